package sessionstate

import (
	"fmt"
	"maps"
	"strings"
	"testing"

	"pgregory.net/rapid"
)

// line is a member connection as the wire's pages have it: RESET drops values and prepared names.
type line struct {
	values   map[string]string
	prepared map[string]Shape
	carrier  Carrier
}

func (l *line) say(t *rapid.T, text string) {
	verb, rest, _ := strings.Cut(text, " ")
	name, value, _ := strings.Cut(rest, " ")
	switch verb {
	case "RESET":
		l.values, l.prepared = map[string]string{}, map[string]Shape{}
	case "SET":
		l.values[name] = value
	case "PREP":
		if _, taken := l.prepared[name]; taken {
			t.Fatalf("%s is prepared twice", name)
		}
		kind, shape, _ := strings.Cut(value, " ")
		l.prepared[name] = Shape{kind, shape}
	default:
		t.Fatal(text)
	}
}

// Sessions share connections in any order; each statement finds its own client's values, all and no others, and its own shape.
func TestNothingLeaksBetweenSessions(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		type client struct {
			s        Session
			values   map[string]string
			prepared map[string]Shape
		}
		var clients []*client
		for range 4 {
			clients = append(clients, &client{values: map[string]string{}, prepared: map[string]Shape{}})
		}
		lines := []*line{}
		for range 3 {
			lines = append(lines, &line{values: map[string]string{}, prepared: map[string]Shape{}})
		}
		for range rapid.IntRange(1, 150).Draw(t, "steps") {
			c := clients[rapid.IntRange(0, 3).Draw(t, "client")]
			name := fmt.Sprint("n", rapid.IntRange(0, 3).Draw(t, "name"))
			switch rapid.IntRange(0, 4).Draw(t, "what") {
			case 0:
				v := rapid.SampledFrom([]string{"", "1", "two words"}).Draw(t, "value")
				c.s.Set(name, v)
				c.values[name] = v
			case 1:
				sh := Shape{rapid.SampledFrom([]string{"FETCH", "STORE"}).Draw(t, "kind"), fmt.Sprint("q", rapid.IntRange(0, 200).Draw(t, "shape"))}
				c.s.Prepare(name, sh)
				c.prepared[name] = sh
			case 2:
				_, had := c.prepared[name]
				if c.s.Unprepare(name) != had {
					t.Fatal("unprepared what was not there, or not what was")
				}
				delete(c.prepared, name)
			case 3: // the client goes, another comes
				*c = client{values: map[string]string{}, prepared: map[string]Shape{}}
			case 4:
				l := lines[rapid.IntRange(0, 2).Draw(t, "line")]
				var shape *Shape
				if sh, ok := c.s.Shape(name); ok {
					shape = &sh
				}
				texts, called := l.carrier.Ready(&c.s, shape)
				for _, x := range texts {
					l.say(t, x)
				}
				if !maps.Equal(l.values, c.values) {
					t.Fatalf("the connection has %v, its client %v", l.values, c.values)
				}
				if shape != nil && l.prepared[called] != c.prepared[name] {
					t.Fatalf("%s runs %v, its client prepared %v", called, l.prepared[called], c.prepared[name])
				}
				if l.carrier.Sum() != c.s.Sum() || len(l.prepared) > mostCarried {
					t.Fatal(l.carrier.Sum(), c.s.Sum(), len(l.prepared))
				}
			}
		}
	})
}
