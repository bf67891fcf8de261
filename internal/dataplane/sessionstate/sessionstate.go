// Package sessionstate is what a client's session carries from one member connection to the next: its values and its
// prepared statements.
//
// This file owns what must be said on a member connection before a session's statement may run on it. It does no I/O. A
// connection never runs a statement with values that its client doesn't have, nor without those that it has.
package sessionstate

import (
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
)

// Bounds of one session, beyond which SET and PREP are refused.
const (
	MostValues   = 256
	MostPrepared = 256
	mostCarried  = 96 // prepared on one connection, for all sessions that it served
)

// Shape is what was prepared.
type Shape struct{ Kind, Text string }

// Session is a client's.
type Session struct {
	values   map[string]string
	prepared map[string]Shape
	sum      uint64
}

// Set keeps a value. False: there are too many.
func (s *Session) Set(name, value string) bool {
	if s.values == nil {
		s.values = map[string]string{}
	}
	if _, old := s.values[name]; !old && len(s.values) >= MostValues {
		return false
	}
	s.values[name] = value
	s.sum = sum(s.values)
	return true
}

// Prepare keeps a prepared statement. False: there are too many.
func (s *Session) Prepare(name string, shape Shape) bool {
	if s.prepared == nil {
		s.prepared = map[string]Shape{}
	}
	if _, old := s.prepared[name]; !old && len(s.prepared) >= MostPrepared {
		return false
	}
	s.prepared[name] = shape
	return true
}

// Unprepare forgets one. False: there is none.
func (s *Session) Unprepare(name string) bool {
	_, ok := s.prepared[name]
	delete(s.prepared, name)
	return ok
}

// Shape gives what was prepared under a name.
func (s *Session) Shape(name string) (Shape, bool) {
	shape, ok := s.prepared[name]
	return shape, ok
}

// Sum is the same for sessions with the same values; 0 for none.
func (s *Session) Sum() uint64 { return s.sum }

func sum(values map[string]string) uint64 {
	if len(values) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, k := range slices.Sorted(maps.Keys(values)) {
		h.Write([]byte(k + "\x00" + values[k] + "\x00"))
	}
	return h.Sum64() | 1
}

// Carrier is what a member connection holds at the moment.
type Carrier struct {
	values   map[string]string
	prepared map[Shape]string
	sum      uint64
	named    int
}

// Sum is that of the values which it holds.
func (c *Carrier) Sum() uint64 { return c.sum }

// Ready gives the texts to be said before a statement of the session, nil for none, and takes them for said. shape is what the
// statement executes, nil for nothing; name is what it is called on this connection.
func (c *Carrier) Ready(s *Session, shape *Shape) (texts []string, name string) {
	extra := false
	for k := range c.values {
		if _, ok := s.values[k]; !ok {
			extra = true
			break
		}
	}
	if extra || shape != nil && len(c.prepared) >= mostCarried {
		texts = append(texts, "RESET")
		c.values, c.prepared = nil, nil
	}
	for _, k := range slices.Sorted(maps.Keys(s.values)) {
		v := s.values[k]
		if old, ok := c.values[k]; ok && old == v {
			continue
		}
		if c.values == nil {
			c.values = map[string]string{}
		}
		c.values[k] = v
		text := "SET " + k
		if v != "" {
			text += " " + v
		}
		texts = append(texts, text)
	}
	c.sum = s.sum
	if shape == nil {
		return texts, ""
	}
	name, ok := c.prepared[*shape]
	if !ok {
		if c.prepared == nil {
			c.prepared = map[Shape]string{}
		}
		c.named++
		name = "w" + strconv.Itoa(c.named)
		c.prepared[*shape] = name
		texts = append(texts, "PREP "+name+" "+shape.Kind+" "+shape.Text)
	}
	return texts, name
}
