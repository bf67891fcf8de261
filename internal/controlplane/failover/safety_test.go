package failover

import (
	"strings"
	"testing"
)

const (
	historyCount     = 150 // seeds per test; the tests also passed with 600
	lateHistoryCount = 400 // seeds of the test of late statements
)

// runHistory runs a seeded history of hard faults. It returns the simulation at its end, and the injected faults.
func runHistory(seed uint64, configure func(*controlPlane)) (sim *simulation, faults []string) {
	sim = newSimulation(seed)
	sim.control.delayReceiving = true
	configure(sim.control)
	sim.run(2500)
	for range 5 {
		for range 1 + sim.random.IntN(3) {
			faults = append(faults, sim.injectHardFault())
			sim.run(1500 * sim.random.Float64())
		}
		sim.run(4000 * sim.random.Float64())
		sim.heal()
		sim.control.latePromoteRate = 0
		sim.run(500 + 4000*sim.random.Float64())
	}
	sim.run(30000)
	return sim, faults
}

// With faults of members, links and leaders, no promoted member lacks an acknowledged commit, and in the end there is a
// primary and no member is left paused.
func TestFailoverLosesNoCommit(t *testing.T) {
	for seed := range 300 {
		sim := newSimulation(uint64(seed))
		sim.run(2500)
		var faults []string
		for range 4 {
			for range 1 + sim.random.IntN(2) {
				faults = append(faults, sim.injectFault())
				sim.run(1500 * sim.random.Float64())
			}
			sim.run(3000 * sim.random.Float64())
			sim.heal()
			sim.run(500 + 3000*sim.random.Float64())
		}
		sim.run(8000)
		if len(sim.group.LostCommits) > 0 {
			t.Fatalf("seed %d, %v: the promoted member lacks %v\n%s", seed, faults, sim.group.LostCommits,
				strings.Join(sim.transcript, "\n"))
		}
		primary := sim.group.Leader()
		if primary == nil || primary.Paused {
			t.Fatalf("seed %d, %v: no primary at the end\n%s", seed, faults, strings.Join(sim.transcript, "\n"))
		}
		for _, m := range sim.group.Members {
			if m.Paused {
				t.Fatalf("seed %d, %v: %s was left paused\n%s", seed, faults, m.ID, strings.Join(sim.transcript, "\n"))
			}
		}
	}
}

// No promoted member lacks an acknowledged commit, although members crash, leave, join, lag and are partitioned, new
// leaders of the control plane know only what was committed, and promotes are late or lost.
func TestFailoverAfterLeaderChangeLosesNoCommit(t *testing.T) {
	waiting := 0
	for seed := range uint64(historyCount) {
		sim, faults := runHistory(seed, func(*controlPlane) {})
		if len(sim.group.LostCommits) > 0 {
			t.Errorf("seed %d, %v: the promoted member lacks %v\n%s", seed, faults, sim.group.LostCommits,
				strings.Join(sim.transcript, "\n"))
		}
		if primary := sim.group.Leader(); primary == nil || primary.Paused {
			if waiting++; len(sim.control.absent()) == 0 {
				t.Fatalf("seed %d, %v: no primary, though all members that may have a commit are reachable\n%s", seed, faults,
					strings.Join(sim.transcript, "\n"))
			}
		}
	}
	t.Logf("%d of %d histories wait for an absent member that may be the only one with a commit", waiting, historyCount)
}

// Statements are executed after they were given up, such as a resume after a later pause, or a pause after a later
// resume. No commit is lost, and in the end there is a primary and no member is left paused.
func TestLateStatementsLoseNoCommit(t *testing.T) {
	for seed := range uint64(lateHistoryCount) {
		sim := newSimulation(seed)
		sim.run(2500)
		var faults []string
		for range 6 {
			sim.lateStatementRate = 0.25
			for range 1 + sim.random.IntN(3) {
				faults = append(faults, sim.injectFault())
				sim.run(1200 * sim.random.Float64())
			}
			sim.run(3000 * sim.random.Float64())
			sim.heal()
			sim.run(500 + 2000*sim.random.Float64())
		}
		sim.lateStatementRate = 0
		sim.run(15000)
		transcript := strings.Join(sim.transcript, "\n")
		if len(sim.group.LostCommits) > 0 {
			t.Fatalf("seed %d, %v: the promoted member lacks %v\n%s", seed, faults, sim.group.LostCommits, transcript)
		}
		if primary := sim.group.Leader(); primary == nil || primary.Paused {
			t.Fatalf("seed %d, %v: no primary at the end\n%s", seed, faults, transcript)
		}
		for _, m := range sim.group.Members {
			if m.Paused {
				t.Errorf("seed %d, %v: %s was left paused\n%s", seed, faults, m.ID, transcript)
			}
		}
	}
}

// Checks that the simulated histories are able to detect faults: they lose commits if a guard is disabled, either the
// absent members in the view (controlPlane.absent) or the number of the promote in the fencing token
// (controlPlane.nextFencingToken).
func TestHistoriesLoseCommitsWithoutGuards(t *testing.T) {
	for _, guard := range []struct {
		name  string
		first uint64 // first seed: without the roster many seeds lose commits, without fencing tokens only few
		set   func(*controlPlane)
	}{
		{"roster", 0, func(c *controlPlane) { c.ignoreRoster = true }},
		{"fencing tokens", 7900, func(c *controlPlane) { c.oneTokenPerTerm = true }},
	} {
		seed, lost := guard.first, false
		for ; seed < guard.first+historyCount && !lost; seed++ {
			sim, _ := runHistory(seed, guard.set)
			lost = len(sim.group.LostCommits) > 0
		}
		if t.Logf("without the %s: seed %d loses commits", guard.name, seed-1); !lost {
			t.Errorf("without the %s no commit is lost: the histories do not exercise this guard", guard.name)
		}
	}
}
