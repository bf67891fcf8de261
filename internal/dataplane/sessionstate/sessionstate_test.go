package sessionstate

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// memberSide is the member's side of a connection, as the wire protocol has it: RESET drops values and prepared names.
type memberSide struct {
	values   map[string]string
	prepared map[string]Statement
	conn     Conn
}

func (m *memberSide) say(t *rapid.T, text string) {
	verb, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch verb {
	case "RESET":
		m.values, m.prepared = map[string]string{}, map[string]Statement{}
	case "SET":
		m.values[name] = value
	case "PREP":
		if _, taken := m.prepared[name]; taken {
			t.Fatalf("%s is prepared twice", name)
		}
		kind, shape, _ := strings.Cut(value, " ")
		m.prepared[name] = Statement{kind, shape}
	default:
		t.Fatal(text)
	}
}

// Sessions share connections in any order; each statement finds its own client's values, all and no others, and its own
// prepared statement.
func TestNothingLeaksBetweenSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type client struct {
			s        Session
			values   map[string]string
			prepared map[string]Statement
		}
		var clients []*client
		for range 4 {
			clients = append(clients, &client{values: map[string]string{}, prepared: map[string]Statement{}})
		}
		conns := []*memberSide{}
		for range 3 {
			conns = append(conns, &memberSide{values: map[string]string{}, prepared: map[string]Statement{}})
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c := clients[rapid.IntRange(0, 3).Draw(t, "client")]
			name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "name"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				v := rapid.SampledFrom([]string{"", "1", "two words"}).Draw(t, "value")
				c.s.SetValue(name, v)
				c.values[name] = v
			case 1:
				sh := Statement{rapid.SampledFrom([]string{"FETCH", "STORE"}).Draw(t, "kind"), fmt.Sprint("q", rapid.IntRange(0, 200).Draw(t, "shape"))}
				c.s.Prepare(name, sh)
				c.prepared[name] = sh
			case 2:
				_, had := c.prepared[name]
				if c.s.Unprepare(name) != had {
					t.Fatal("unprepared what was not there, or not what was")
				}
				delete(c.prepared, name)
			case 3: // the client goes, another comes
				*c = client{values: map[string]string{}, prepared: map[string]Statement{}}
			case 4:
				m := conns[rapid.IntRange(0, 2).Draw(t, "conn")]
				var shape *Statement
				if sh, ok := c.s.Prepared(name); ok {
					shape = &sh
				}
				texts, called := m.conn.Sync(&c.s, shape)
				for _, x := range texts {
					m.say(t, x)
				}
				if !maps.Equal(m.values, c.values) {
					t.Fatalf("the connection has %v, its client %v", m.values, c.values)
				}
				if shape != nil && m.prepared[called] != c.prepared[name] {
					t.Fatalf("%s runs %v, its client prepared %v", called, m.prepared[called], c.prepared[name])
				}
				if m.conn.ValuesHash() != c.s.ValuesHash() || len(m.prepared) > maxPreparedPerConn {
					t.Fatal(m.conn.ValuesHash(), c.s.ValuesHash(), len(m.prepared))
				}
			}
		}
	})
}
