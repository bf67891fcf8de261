package config

import "testing"

// WithRoster does not modify the original state, and returns that very state for a change without effect.
func TestWithRosterLeavesOriginalStateUnchanged(t *testing.T) {
	first := &State{Version: 3}
	two := first.WithRoster(RosterChange{Add: []RosterMember{{"s", "b"}, {"s", "a"}, {"r", "c"}}})
	if first.Roster != nil || two.Version != 3 ||
		!two.Roster.Contains("s", "a") || !two.Roster.Contains("s", "b") || two.Roster.Contains("s", "c") {
		t.Fatal(first.Roster, two.Roster)
	}
	noop := RosterChange{Add: []RosterMember{{"s", "a"}}, Remove: []RosterMember{{"s", "x"}}}
	if same := two.WithRoster(noop); same != two {
		t.Error("a change without effect returned a different state")
	}
	one := two.WithRoster(RosterChange{Remove: []RosterMember{{"s", "a"}}})
	if one.Roster.Contains("s", "a") || !one.Roster.Contains("s", "b") || !two.Roster.Contains("s", "a") {
		t.Error(one.Roster, two.Roster)
	}
	if gone := two.WithoutMember("c"); gone.Roster.Contains("r", "c") || !gone.Roster.Contains("s", "a") {
		t.Error(gone)
	}
}

// A change of the configuration keeps the roster, which is not part of the configuration.
func TestApplyKeepsRoster(t *testing.T) {
	s := (&State{}).WithRoster(RosterChange{Add: []RosterMember{{"s", "a"}}})
	next, err := s.Apply(&Change{Body: []byte(`{"gen":1,"routes":[],"svcs":[]}`)}, "n", 0)
	if err != nil || !next.Roster.Contains("s", "a") {
		t.Error(next, err)
	}
}
