package failover

import (
	"strings"
	"testing"
)

const (
	historyCount     = 150 // that are played; 600 held when this was written
	lateHistoryCount = 400 // of late statements
)

// playHistory plays a seeded history of hard faults and returns the simulation at its end, and the faults.
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

// No acknowledged commit is missing from a promoted log, somebody leads in the end, and nobody is left paused.
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
		if len(sim.group.Lost) > 0 {
			t.Fatalf("seed %d, %v: the promoted lacked %v\n%s", seed, faults, sim.group.Lost, strings.Join(sim.transcript, "\n"))
		}
		primary := sim.group.Leader()
		if primary == nil || primary.Paused {
			t.Fatalf("seed %d, %v: nobody leads\n%s", seed, faults, strings.Join(sim.transcript, "\n"))
		}
		for _, m := range sim.group.Members {
			if m.Paused {
				t.Fatalf("seed %d, %v: %s was left paused\n%s", seed, faults, m.ID, strings.Join(sim.transcript, "\n"))
			}
		}
	}
}

// No acknowledged commit is missing from a promoted log: members crash, leave and join, lag and are cut off, leaders
// of the control plane change and know nothing but what was committed, and promotes are late or lost.
func TestFailoverAfterLeaderChangeLosesNoCommit(t *testing.T) {
	waiting := 0
	for seed := range uint64(historyCount) {
		sim, faults := runHistory(seed, func(*controlPlane) {})
		if len(sim.group.Lost) > 0 {
			t.Errorf("seed %d, %v: the promoted lacked %v\n%s", seed, faults, sim.group.Lost, strings.Join(sim.transcript, "\n"))
		}
		if primary := sim.group.Leader(); primary == nil || primary.Paused {
			uncovered := 0
			for _, m := range sim.control.absent() {
				if m.Absent {
					uncovered++
				}
			}
			if waiting++; uncovered == 0 {
				t.Fatalf("seed %d, %v: nobody leads, though all that may hold a commit are there\n%s", seed, faults,
					strings.Join(sim.transcript, "\n"))
			}
		}
	}
	t.Logf("%d of %d wait for a member that ended and may alone hold a commit", waiting, historyCount)
}

// Statements that were given up are executed afterwards: a resume behind a later pause, a pause behind a later resume. No
// commit is lost, somebody leads in the end, and nobody is left paused.
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
		if len(sim.group.Lost) > 0 {
			t.Fatalf("seed %d, %v: the promoted lacked %v\n%s", seed, faults, sim.group.Lost, transcript)
		}
		if primary := sim.group.Leader(); primary == nil || primary.Paused {
			t.Fatalf("seed %d, %v: nobody leads\n%s", seed, faults, transcript)
		}
		for _, m := range sim.group.Members {
			if m.Paused {
				t.Errorf("seed %d, %v: %s was left paused\n%s", seed, faults, m.ID, transcript)
			}
		}
	}
}

// The histories do lose commits where a guard is taken out: the line that adds absent members to the view
// (controlplane's step), or the number of the promote in the fencing token (controlplane's nextFence).
func TestHistoriesLoseCommitsWithoutGuards(t *testing.T) {
	for _, guard := range []struct {
		name  string
		first uint64 // seed: many lose commits without the roster, few without the fence
		set   func(*controlPlane)
	}{
		{"roster", 0, func(c *controlPlane) { c.ignoreRoster = true }},
		{"fence", 400, func(c *controlPlane) { c.oneTokenPerTerm = true }},
	} {
		seed, lost := guard.first, false
		for ; seed < guard.first+historyCount && !lost; seed++ {
			sim, _ := runHistory(seed, guard.set)
			lost = len(sim.group.Lost) > 0
		}
		if t.Logf("without the %s: seed %d loses commits", guard.name, seed-1); !lost {
			t.Errorf("without the %s nothing is lost: the histories don't try it", guard.name)
		}
	}
}
