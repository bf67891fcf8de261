package roster

import (
	"slices"
	"testing"
)

// A higher number of drivers counts at once, a lower one after a delay. Silent and recovered peers are reported once.
func TestPeers(t *testing.T) {
	p := Peers{Self: "n0", ShrinkAfter: 5000, MessageTimeout: 3000}
	count := func(now float64, connected bool, want int, ids ...string) {
		t.Helper()
		if got := p.Count(now, entries(ids...), connected); got != want {
			t.Errorf("at %g: %d drivers, want %d", now, got, want)
		}
	}
	count(0, false, 1)
	count(10, true, 3, "n0", "n1", "n2")
	count(20, true, 3, "n1", "n2")         // without this driver's own entry
	count(100, true, 3, "n0", "n1")        // one is missing, perhaps restarting
	count(4000, true, 3, "n0", "n1", "n2") // it is back
	count(5000, true, 3, "n0")
	count(9999, true, 3, "n0", "n1")
	count(10001, true, 2, "n0") // the highest number in that time
	count(11000, false, 2)      // without a connection to the registry the number isn't reduced
	count(99000, false, 2)
	count(99001, true, 2)
	count(104002, true, 1)
	listed := entries("n0", "n1", "n2")
	p.CheckTimeouts(0, listed)
	p.Observe(2000, "n1")
	if silent, _ := p.CheckTimeouts(4000, listed); !slices.Equal(silent, []string{"n2"}) {
		t.Errorf("silent: %v", silent)
	}
	p.Observe(4500, "n2")
	p.Observe(4500, "n1")
	if silent, recovered := p.CheckTimeouts(5000, listed); len(silent) > 0 || !slices.Equal(recovered, []string{"n2"}) {
		t.Errorf("silent %v, recovered %v", silent, recovered)
	}
	if p.CheckTimeouts(6000, entries("n1")); len(p.lastMessage) != 1 {
		t.Errorf("a removed peer is still stored: %v", p.lastMessage)
	}
}
