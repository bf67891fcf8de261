package sessionstate

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// fakeMember is a member's side of a connection under the wire protocol: RESET drops values and prepared statements.
type fakeMember struct {
	values   map[string]string
	prepared map[string]Statement
	conn     Conn
}

func (m *fakeMember) receive(t *rapid.T, text string) {
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
		kind, statement, _ := strings.Cut(value, " ")
		m.prepared[name] = Statement{kind, statement}
	default:
		t.Fatal(text)
	}
}

// Sessions share connections in random order. Each statement runs with exactly the values that its own client has set,
// and with its own prepared statement.
func TestNothingLeaksBetweenSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type client struct {
			session  Session
			values   map[string]string
			prepared map[string]Statement
		}
		var clients []*client
		for range 4 {
			clients = append(clients, &client{values: map[string]string{}, prepared: map[string]Statement{}})
		}
		conns := []*fakeMember{}
		for range 3 {
			conns = append(conns, &fakeMember{values: map[string]string{}, prepared: map[string]Statement{}})
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c := clients[rapid.IntRange(0, 3).Draw(t, "client")]
			name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "name"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				value := rapid.SampledFrom([]string{"", "1", "two words"}).Draw(t, "value")
				c.session.SetValue(name, value)
				c.values[name] = value
			case 1:
				statement := Statement{rapid.SampledFrom([]string{"FETCH", "STORE"}).Draw(t, "kind"),
					fmt.Sprint("q", rapid.IntRange(0, 200).Draw(t, "shape"))}
				c.session.Prepare(name, statement)
				c.prepared[name] = statement
			case 2:
				_, existed := c.prepared[name]
				if c.session.Unprepare(name) != existed {
					t.Fatal("Unprepare returned a wrong result")
				}
				delete(c.prepared, name)
			case 3: // the client disconnects and another one connects
				*c = client{values: map[string]string{}, prepared: map[string]Statement{}}
			case 4:
				member := conns[rapid.IntRange(0, 2).Draw(t, "conn")]
				var statement *Statement
				if prepared, ok := c.session.Prepared(name); ok {
					statement = &prepared
				}
				texts, connName := member.conn.Sync(&c.session, statement)
				for _, text := range texts {
					member.receive(t, text)
				}
				if !maps.Equal(member.values, c.values) {
					t.Fatalf("the connection has the values %v, its client set %v", member.values, c.values)
				}
				if statement != nil && member.prepared[connName] != c.prepared[name] {
					t.Fatalf("%s runs %v, its client prepared %v", connName, member.prepared[connName], c.prepared[name])
				}
				if member.conn.ValuesHash() != c.session.ValuesHash() || len(member.prepared) > maxPreparedPerConn {
					t.Fatal(member.conn.ValuesHash(), c.session.ValuesHash(), len(member.prepared))
				}
			}
		}
	})
}
