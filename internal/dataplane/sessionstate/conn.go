package sessionstate

import (
	"maps"
	"slices"
	"strconv"
)

const maxPreparedPerConn = 96 // on one connection, over all sessions that it has served

// Conn is the session state that a member connection has. The zero value is the state of a new connection.
type Conn struct {
	values     map[string]string
	prepared   map[Statement]string // the connection's names of prepared statements
	valuesHash uint64               // of values; see hashValues
	lastName   int                  // number of the newest name; names are never reused on a connection
}

// ValuesHash returns the hash of the connection's values, comparable with a session's.
func (c *Conn) ValuesHash() uint64 { return c.valuesHash }

// Sync returns the commands to send before a statement of the session, in order, and assumes that they succeed: a
// connection on which one of them fails must be closed. prepared is the prepared statement that is to run, nil for
// none; name is the connection's name for it.
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
		name = c.addPrepared(prepared)
		texts = append(texts, "PREP "+name+" "+prepared.Kind+" "+prepared.Text)
	}
	return texts, name
}

// hasForeignValues reports whether the connection has a value that the session has not set.
func (c *Conn) hasForeignValues(session *Session) bool {
	for name := range c.values {
		if _, known := session.values[name]; !known {
			return true
		}
	}
	return false
}

// syncValues appends a SET command for each value that the connection lacks or has differently, in order of their
// names.
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

// addPrepared assigns a new name to a prepared statement.
func (c *Conn) addPrepared(prepared *Statement) string {
	if c.prepared == nil {
		c.prepared = map[Statement]string{}
	}
	c.lastName++
	name := "w" + strconv.Itoa(c.lastName)
	c.prepared[*prepared] = name
	return name
}
