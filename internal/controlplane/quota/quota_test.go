package quota

import (
	"fmt"
	"testing"
)

const (
	histories     = 40
	historyLength = 80_000.0 // ms
	overfull      = 1 + 1e-9
)

// extremes are the worst of many histories.
type extremes struct {
	fullest              float64 // window, as a part of its limit
	held                 float64 // sum of shares
	fullestSeed, hadSeed uint64
}

func (e extremes) broken() bool { return e.fullest > overfull || e.held > overfull }

func (e extremes) String() string {
	return fmt.Sprintf("the fullest window has %.3f of its limit (seed %d), the shares held sum to %.6f at most (seed %d)",
		e.fullest, e.fullestSeed, e.held, e.hadSeed)
}

func play(f faults) (e extremes) {
	for seed := range uint64(histories) {
		m := newModel(seed, f)
		m.run(historyLength)
		for tenant := range m.limits {
			if fullest := m.fullest(tenant); fullest > e.fullest {
				e.fullest, e.fullestSeed = fullest, seed
			}
		}
		if m.mostHeld > e.held {
			e.held, e.hadSeed = m.mostHeld, seed
		}
	}
	return e
}

func TestNoWindowHasMoreThanTheLimit(t *testing.T) {
	e := play(faults{})
	t.Log(e)
	if e.broken() || e.fullest < 0.9 || e.held < 0.99 {
		t.Error(e)
	}
}

func TestTheLimitNeedsItsGuards(t *testing.T) {
	for name, f := range map[string]faults{
		"a holder takes an old answer for the newest": {anyGrantApplies: true},
		"a new lead has no unknown period":            {newLeadKnowsAll: true},
		"a new lead forgets who ceased to vote":       {formerForgotten: true},
	} {
		e := play(f)
		t.Log(name, e)
		if !e.broken() {
			t.Error("nothing is broken though", name, e)
		}
	}
}
