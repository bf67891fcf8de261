package registry

import (
	"strings"
	"testing"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

// Bad entries beside good ones, of every kind: the last good value stays, and what says draining counts.
func TestBadEntries(t *testing.T) {
	s := kv.NewStore("c1")
	for i, id := range []string{"a", "b", "c", "d"} {
		s.Put(prefix+id, entry(i+1, "up"))
	}
	r := follow(t, "etcd", roster.Options{}, serve(t, s))
	r.waitFor("a b c d")
	s.Put(prefix+"a", "{", prefix+"b", `{"phase":"draining","cell":"three"}`, prefix+"e", entry(5, "asleep"),
		prefix+"d", entry(4, "draining"))
	r.waitFor("a b- c d-")
	r.mu.Lock()
	defer r.mu.Unlock()
	if len(r.notes) < 3 || !strings.Contains(strings.Join(r.notes, "\n"), `entry e: unknown phase "asleep"`) {
		t.Errorf("notes %q", r.notes)
	}
}

func TestParseEntry(t *testing.T) {
	for text, want := range map[string]string{
		`{"host_port":"h:1","cell":3,"phase":"up"}`:                                  "",
		`{"id":"m","host_port":"h:1","cell":0,"phase":"draining","access":"writer"}`: "",
		`{"id":"n","host_port":"h:1","cell":3,"phase":"up"}`:                         `it is of member "n"`,
		`{"host_port":"h","cell":3,"phase":"up"}`:                                    "missing port",
		`{"host_port":"h:1","phase":"up"}`:                                           "cell is missing",
		`{"host_port":"h:1","cell":3}`:                                               "unknown phase",
		`{"host_port":"h:1","cell":3,"phase":"up","access":"king"}`:                  "unknown access",
		`{"host_port":"h:1","cell":3,"phase":"up","up_since_ms":-1}`:                 "up_since_ms",
		`[]`:                                     "cannot unmarshal",
		`"` + strings.Repeat("x", maxEntryBytes): "bytes are over",
	} {
		t.Run(text[:min(len(text), 60)], func(t *testing.T) {
			e, err := parseEntry("m", []byte(text))
			valid := err == nil && e.Address == "h:1"
			if want == "" && !valid || want != "" && (err == nil || !strings.Contains(err.Error(), want)) {
				t.Errorf("%+v, %v; want %q", e, err, want)
			}
		})
	}
}

func FuzzParseEntry(f *testing.F) {
	f.Add([]byte(entry(1, "up")))
	f.Fuzz(func(t *testing.T, text []byte) {
		if e, err := parseEntry("m", text); e.ID != "m" || err == nil && e.Address == "" {
			t.Fatalf("%+v %v", e, err)
		}
	})
}
