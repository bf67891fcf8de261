package learned

import (
	"math"
	"strings"
	"testing"
)

// Records that no run writes are rejected, whatever the checksums say.
func TestInvalidRecords(t *testing.T) {
	good := savedState(t, 0)
	for name, change := range map[string]func(*State){
		"schema":       func(s *State) { s.Meta.Schema = 2 },
		"revision":     func(s *State) { s.Meta.Revision = -1 },
		"time":         func(s *State) { s.Meta.SavedAt.Wall = 1e300 },
		"not a number": func(s *State) { s.Groups[3] = Group{ID: 3, SeenAt: math.NaN()} },
		"infinite":     func(s *State) { s.Members["1"] = Member{ID: "1", Window: math.Inf(1)} },
		"no id":        func(s *State) { s.Membership[""] = Entry{} },
		"long id":      func(s *State) { s.Membership["x"] = Entry{ID: strings.Repeat("x", 2000)} },
	} {
		s, _ := Load(good.Snapshot(), nil)
		change(s)
		if got, err := Load(s.Snapshot(), nil); err == nil {
			t.Errorf("%s: taken as %+v", name, got)
		}
	}
	if _, err := Load([]byte{0xa0}, nil); err == nil {
		t.Error("a state without its schema is taken")
	}
}

func FuzzLoad(f *testing.F) {
	b := NewTable(testConfig(), nil, at(0))
	b.UpdateMembership(at(0), 41, true, entriesUp("1", "2", "3"))
	f.Add(b.Snapshot())
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Load(text, nil)
		if err != nil {
			return
		}
		restored := Restore(s, testConfig(), at(0), Membership{})
		for _, g := range restored.Memory.Groups {
			if math.IsNaN(g.SeenAt) || g.SeenAt > day+0.001 {
				t.Fatalf("evidence from the future: %+v", g)
			}
		}
		if again, err := Load(s.Snapshot(), nil); err != nil || len(again.Membership) != len(s.Membership) {
			t.Fatal(err)
		}
	})
}
