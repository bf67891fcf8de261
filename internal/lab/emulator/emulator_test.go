package emulator

import (
	"reflect"
	"strings"
	"testing"
)

func setup(policy string, drivers int, faults ...Fault) Setup {
	return Setup{Drivers: drivers, Groups: 1, Members: 5, Cores: 4, Work: 40, Load: 0.4, Lag: 20, For: 20000, Retries: 2, Policy: policy, Seed: 3, Faults: faults}
}

var troubles = []Fault{{4000, "kill", "g1m1"}, {9000, "heal", "g1m1"}, {10000, "hang", "g1m3"}, {13000, "heal", "g1m3"}, {14000, "drain", "g1m4"},
	{15000, "vanish", "g1m2"}, {17000, "heal", "g1m2"}, {18000, "lag", "g1m5"}}

// The module keeps the rules through every kind of fault, at few and at many drivers, and serves most of the worth.
func TestModuleKeepsTheRules(t *testing.T) {
	for _, drivers := range []int{1, 3, 60} {
		r, err := Play(setup("module", drivers, troubles...))
		if err != nil || len(r.Broken) > 0 || r.Worth < 0.6 || r.Asked < 3000 {
			t.Errorf("%d drivers: %v: worth %.2f of %d ops, broken %v %q", drivers, err, r.Worth, r.Asked, r.Broken, r.First)
		}
	}
}

// The auditor finds what plain policies do: stale reads while there is no primary.
func TestBaselinesBreakRules(t *testing.T) {
	for _, policy := range []string{"primary", "random", "round-robin", "least"} {
		r, err := Play(setup(policy, 3, troubles...))
		if err != nil || r.Broken["rule 5"] == 0 {
			t.Errorf("%s: %v, broken %v", policy, err, r.Broken)
		}
	}
}

func TestSameSeedSamePlay(t *testing.T) {
	a, _ := Play(setup("module", 20, troubles...))
	b, _ := Play(setup("module", 20, troubles...))
	if a.Worth != b.Worth || a.Asked != b.Asked || !reflect.DeepEqual(a.Types[0].Ends, b.Types[0].Ends) ||
		a.Types[2].Latency.Mean() != b.Types[2].Latency.Mean() {
		t.Errorf("%v %v, %v %v", a.Worth, b.Worth, a.Types, b.Types)
	}
	s := setup("module", 20, troubles...)
	s.Seed++
	if c, _ := Play(s); c.Types[0].Latency.Mean() == a.Types[0].Latency.Mean() {
		t.Error("another seed gives the same play")
	}
}

// All of many drivers restart at once behind a change of the primary, and near a cold member: no rule breaks, with learned
// state or without.
func TestRestartOfAll(t *testing.T) {
	for _, what := range []string{"restart", "lose"} {
		s := setup("module", 60, Fault{2000, "kill", "g1m4"}, Fault{3000, "drain", "g1m1"}, Fault{5900, "heal", "g1m4"}, Fault{6000, what, "all"},
			Fault{9000, what, "all"}, Fault{12000, what, "n7"})
		r, err := Play(s)
		if err != nil || len(r.Broken) > 0 || r.Lost == 0 || r.Worth < 0.8 {
			t.Errorf("%s: %v, broken %v %q, %d lost, worth %.3f", what, err, r.Broken, r.First, r.Lost, r.Worth)
		}
	}
}

func TestSetupsThatMakeNoSense(t *testing.T) {
	for want, change := range map[string]func(*Setup){
		"policy":              func(s *Setup) { s.Policy = "hope" },
		"drivers":             func(s *Setup) { s.Drivers = 0 },
		"cores":               func(s *Setup) { s.Cores = 0 },
		"no member or driver": func(s *Setup) { s.Faults = []Fault{{1, "kill", "x"}} },
		"fault \"eat":         func(s *Setup) { s.Faults = []Fault{{1, "eat", "g1m1"}} },
	} {
		s := setup("module", 1)
		change(&s)
		if _, err := Play(s); err == nil || !strings.Contains(err.Error(), want) {
			t.Errorf("%q: %v", want, err)
		}
	}
}
