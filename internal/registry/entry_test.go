package registry

import (
	"encoding/json"
	"strings"
	"testing"

	"weirwind/internal/roster"
	"weirwind/internal/standin/kv"
)

// Invalid entries of every kind beside valid ones: the last valid value stays, and a readable drain applies.
func TestInvalidEntries(t *testing.T) {
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

// Operators read these texts, in which encoding/json quotes the names of types and fields.
func TestEntryErrorTexts(t *testing.T) {
	for text, want := range map[string]string{
		`{"cell":"x"}`:       "json: cannot unmarshal string into Go struct field .Cell of type int64",
		`{"locality":3}`:     "json: cannot unmarshal number into Go struct field .Locality of type string",
		`{"host_port":3}`:    "json: cannot unmarshal number into Go struct field .host_port of type string",
		`{"up_since_ms":""}`: "json: cannot unmarshal string into Go struct field .up_since_ms of type float64",
		`[]`: "json: cannot unmarshal array into Go value of type struct { ID string; " +
			`HostPort string "json:\"host_port\""; Locality string; Cell *int64; Phase string; Access string; ` +
			`Started float64 "json:\"up_since_ms\"" }`,
	} {
		t.Run(text, func(t *testing.T) {
			if _, err := parseEntry("m", []byte(text)); err == nil || err.Error() != want {
				t.Errorf("%v; want %s", err, want)
			}
		})
	}
}

func TestResponseErrorTexts(t *testing.T) {
	for _, c := range []struct {
		text string
		into any
		want string
	}{
		{`{"more":1}`, &etcdRangeResponse{}, "json: cannot unmarshal number into Go struct field .More of type bool"},
		{`{"kvs":[{"key":1}]}`, &etcdRangeResponse{},
			"json: cannot unmarshal number into Go struct field etcdKey.KVs.key of type []uint8"},
		{`{"created":1}`, &etcdWatchResponse{}, "json: cannot unmarshal number into Go struct field .Created of type bool"},
		{`{"ID":1}`, &etcdGrantResponse{}, "json: cannot unmarshal number into Go struct field .ID of type string"},
		{`{"code":""}`, &etcdError{}, "json: cannot unmarshal string into Go struct field etcdError.Code of type int"},
		{`[{"Service":{"ModifyIndex":""}}]`, &[]consulInstance{},
			"json: cannot unmarshal string into Go struct field .Service.ModifyIndex of type int64"},
	} {
		t.Run(c.text, func(t *testing.T) {
			if err := json.Unmarshal([]byte(c.text), c.into); err == nil || err.Error() != c.want {
				t.Errorf("%v; want %s", err, c.want)
			}
		})
	}
}
