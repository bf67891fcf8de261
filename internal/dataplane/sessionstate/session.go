package sessionstate

import (
	"hash/fnv"
	"maps"
	"slices"
)

// Limits of one session. SET and PREP commands beyond them are refused.
const (
	MaxValues   = 256
	MaxPrepared = 256
)

// Statement is a prepared statement: its kind (FETCH or STORE) and its text.
type Statement struct{ Kind, Text string }

// Session is the state of a client's session. The zero value is the state of a new session.
type Session struct {
	values     map[string]string
	prepared   map[string]Statement // by the client's name
	valuesHash uint64               // see hashValues
}

// SetValue sets a value. It returns false if the session has too many.
func (s *Session) SetValue(name, value string) bool {
	if s.values == nil {
		s.values = map[string]string{}
	}
	if _, known := s.values[name]; !known && len(s.values) >= MaxValues {
		return false
	}
	s.values[name] = value
	s.valuesHash = hashValues(s.values)
	return true
}

// Prepare stores a prepared statement. It returns false if the session has too many.
func (s *Session) Prepare(name string, statement Statement) bool {
	if s.prepared == nil {
		s.prepared = map[string]Statement{}
	}
	if _, known := s.prepared[name]; !known && len(s.prepared) >= MaxPrepared {
		return false
	}
	s.prepared[name] = statement
	return true
}

// Unprepare deletes a prepared statement, and reports whether there was one of that name.
func (s *Session) Unprepare(name string) bool {
	_, known := s.prepared[name]
	delete(s.prepared, name)
	return known
}

// Prepared returns the statement that was prepared under a name, and whether there is one.
func (s *Session) Prepared(name string) (Statement, bool) {
	statement, known := s.prepared[name]
	return statement, known
}

// ValuesHash returns a hash that is equal for sessions and connections with the same values, 0 for no values.
func (s *Session) ValuesHash() uint64 { return s.valuesHash }

// hashValues returns a hash of names and values, 0 if there are none.
func hashValues(values map[string]string) uint64 {
	if len(values) == 0 {
		return 0
	}
	h := fnv.New64a()
	for _, name := range slices.Sorted(maps.Keys(values)) {
		h.Write([]byte(name + "\x00" + values[name] + "\x00"))
	}
	return h.Sum64() | 1 // never 0, which stands for no values
}
