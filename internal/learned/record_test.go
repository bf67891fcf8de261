package learned

import (
	"math"
	"strings"
	"testing"
)

// Records that no run writes must be rejected even if their checksums are valid.
func TestInvalidRecords(t *testing.T) {
	valid := savedState(t, 0)
	for name, change := range map[string]func(*State){
		"schema":       func(s *State) { s.Meta.Schema = 2 },
		"revision":     func(s *State) { s.Meta.Revision = -1 },
		"time":         func(s *State) { s.Meta.SavedAt.Wall = 1e300 },
		"not a number": func(s *State) { s.Groups[3] = Group{ID: 3, SeenAt: math.NaN()} },
		"infinite":     func(s *State) { s.Members["1"] = Member{ID: "1", Window: math.Inf(1)} },
		"no id":        func(s *State) { s.Membership[""] = Entry{} },
		"long id":      func(s *State) { s.Membership["x"] = Entry{ID: strings.Repeat("x", 2000)} },
	} {
		s, _ := Load(valid.Snapshot(), nil)
		change(s)
		if got, err := Load(s.Snapshot(), nil); err == nil {
			t.Errorf("%s: accepted as %+v", name, got)
		}
	}
	if _, err := Load([]byte{0xa0}, nil); err == nil {
		t.Error("a state without a schema version is accepted")
	}
}

func FuzzLoad(f *testing.F) {
	table := NewTable(testConfig(), nil, at(0))
	table.UpdateMembership(at(0), 41, true, entriesUp("1", "2", "3"))
	f.Add(table.Snapshot())
	f.Fuzz(func(t *testing.T, snapshot []byte) {
		state, err := Load(snapshot, nil)
		if err != nil {
			return
		}
		restored := Restore(state, testConfig(), at(0), Membership{})
		for _, g := range restored.Memory.Groups {
			if math.IsNaN(g.SeenAt) || g.SeenAt > baseTime+0.001 {
				t.Fatalf("evidence dated in the future: %+v", g)
			}
		}
		if again, err := Load(state.Snapshot(), nil); err != nil || len(again.Membership) != len(state.Membership) {
			t.Fatal(err)
		}
	})
}
