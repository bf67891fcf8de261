package sessionstate

import (
	"maps"
	"slices"
	"strconv"
)

const maxPreparedPerConn = 96 // on one connection, for all the sessions that it served

// Conn is the session state that a member connection holds. The zero value is that of a new connection.
type Conn struct {
	values     map[string]string
	prepared   map[Statement]string // the connection's names
	valuesHash uint64               // of values, as Session has it
	lastName   int                  // number of the newest name; names are never used twice on a connection
}

// ValuesHash is the hash of the values that the connection holds, comparable with a session's.
func (c *Conn) ValuesHash() uint64 { return c.valuesHash }

// Sync returns the texts to send before a statement of the session, in order, nil for none, and takes them for
// sent: a connection on which one of them fails is to be closed. prepared is the prepared statement that is to run,
// nil for none; name is what the connection calls it.
func (c *Conn) Sync(session *Session, prepared *Statement) (texts []string, name string) {
	if c.hasForeignValues(session) || prepared != nil && len(c.prepared) >= maxPreparedPerConn {
		texts = append(texts, "RESET")
		c.values, c.prepared = nil, nil
	}
	texts = c.syncValues(texts, session)
	if prepared == nil {
		return texts, ""
	}
	name, known := c.prepared[*prepared]
	if !known {
		name = c.add(prepared)
		texts = append(texts, "PREP "+name+" "+prepared.Kind+" "+prepared.Text)
	}
	return texts, name
}

// hasForeignValues says whether the connection holds a value that the session has not set.
func (c *Conn) hasForeignValues(session *Session) bool {
	for name := range c.values {
		if _, known := session.values[name]; !known {
			return true
		}
	}
	return false
}

// syncValues appends a SET for each value that the connection lacks, in order of their names.
func (c *Conn) syncValues(texts []string, session *Session) []string {
	for _, name := range slices.Sorted(maps.Keys(session.values)) {
		value := session.values[name]
		if held, known := c.values[name]; known && held == value {
			continue
		}
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[name] = value
		text := "SET " + name
		if value != "" {
			text += " " + value
		}
		texts = append(texts, text)
	}
	c.valuesHash = session.valuesHash
	return texts
}

// add gives a prepared statement a name of its own.
func (c *Conn) add(prepared *Statement) string {
	if c.prepared == nil {
		c.prepared = map[Statement]string{}
	}
	c.lastName++
	name := "w" + strconv.Itoa(c.lastName)
	c.prepared[*prepared] = name
	return name
}
