package failover

import (
	"fmt"
	"strings"
	"testing"
)

// Times of histories of cuts, in milliseconds.
const (
	cutDuration        = 5000.0 // a cut member stays in contact with clients, other members and the platform
	maxCutGap          = 4000.0 // between the cuts of a pair
	lateHeartbeatRate  = 0.2
	maxHeartbeatDelay  = 3000.0
	maxReplicaDowntime = 1500.0
	cutPairs           = 6
	cutHistoryCount    = 300 // seeds
)

// cutPrimary cuts the primary off from the control plane.
func (sim *simulation) cutPrimary() string {
	primary := sim.group.Leader()
	if primary == nil {
		return "no primary to cut off"
	}
	sim.cutUntil[primary.ID] = sim.now + cutDuration
	return primary.ID + " cut off"
}

// injectBetweenCuts injects what may happen between the cuts of a pair, and returns its description. Members start only
// if starts is set.
func (sim *simulation) injectBetweenCuts(starts bool) string {
	fault := sim.random.IntN(4)
	if starts {
		fault = sim.random.IntN(6)
	}
	switch fault {
	case 0:
		sim.control.term++
		sim.takeOver()
		return "leader of the control plane changed"
	case 1:
		sim.control.changeLeader()
		sim.takeOver()
		return "new leader of the control plane without any heartbeats"
	case 2:
		if primary := sim.group.Leader(); primary != nil {
			primary.Draining = true
			return primary.ID + " draining"
		}
	case 3:
		return "nothing"
	case 4:
		if replicas := sim.runningReplicas(); len(replicas) > 0 {
			return sim.restartReplica(replicas[sim.random.IntN(len(replicas))])
		}
	case 5:
		if replicas := sim.runningReplicas(); len(replicas) > 1 {
			return sim.replace(replicas[sim.random.IntN(len(replicas))])
		}
	}
	return "nothing"
}

// restartReplica restarts a replica.
func (sim *simulation) restartReplica(id string) string {
	sim.group.Member(id).Up = false
	sim.after(maxReplicaDowntime*sim.random.Float64(), func() { sim.restart(id) })
	return id + " restarts"
}

// runCutHistory runs a seeded history in which primaries are cut off from the control plane, two at a time. It returns
// the simulation at its end, and the injected faults.
func runCutHistory(seed uint64, starts bool, ids ...string) (sim *simulation, faults []string) {
	sim = newSimulationOf(seed, 1, ids...)
	sim.control.delayReceiving = true
	sim.heartbeats.lateRate, sim.heartbeats.maxDelay = lateHeartbeatRate, maxHeartbeatDelay
	inject := func(fault string) { faults = append(faults, fmt.Sprintf("%.0f %s", sim.now, fault)) }
	sim.run(2500)
	for range cutPairs {
		inject(sim.cutPrimary())
		gap := maxCutGap * sim.random.Float64()
		before := gap * sim.random.Float64()
		sim.run(before)
		inject(sim.injectBetweenCuts(starts))
		sim.run(gap - before)
		inject(sim.cutPrimary())
		sim.run(4000 * sim.random.Float64())
		inject(sim.injectBetweenCuts(starts))
		sim.run(6000)
		sim.heal()
		sim.run(4000 * sim.random.Float64())
	}
	sim.run(20000)
	return sim, faults
}

// checkEnd fails the test if a history ends without a primary though all members that may have a commit are reachable, or
// with a paused member. It reports whether there is a primary.
func (sim *simulation) checkEnd(t *testing.T, transcript string) bool {
	t.Helper()
	if primary := sim.group.Leader(); primary == nil || primary.Paused {
		if len(sim.control.absent()) == 0 {
			t.Fatalf("no primary, though all members that may have a commit are reachable: %s", transcript)
		}
		return false
	}
	for _, m := range sim.group.Members {
		if m.Paused {
			t.Fatalf("%s was left paused: %s", m.ID, transcript)
		}
	}
	return true
}

// checkCutHistories runs histories of groups of three and four members. It fails if a promoted member lacks an
// acknowledged commit, or if in the end there is no primary or a member is paused.
func checkCutHistories(t *testing.T, starts bool) {
	t.Helper()
	for _, ids := range [][]string{{"a", "b", "c"}, {"a", "b", "c", "d"}} {
		waiting := 0
		for seed := range uint64(cutHistoryCount) {
			sim, faults := runCutHistory(seed, starts, ids...)
			transcript := fmt.Sprintf("seed %d of %d members\n%s\n%s", seed, len(ids), strings.Join(faults, "\n"),
				strings.Join(sim.transcript, "\n"))
			if len(sim.group.LostCommits) > 0 {
				t.Fatalf("the promoted member lacks %v: %s", sim.group.LostCommits, transcript)
			}
			if !sim.checkEnd(t, transcript) {
				waiting++
			}
		}
		t.Logf("%d members: %d of %d histories wait for a departed member that may be the only one with a commit", len(ids),
			waiting, cutHistoryCount)
	}
}

// Guards against evidence of an earlier time that passes for the present: with two primaries cut off one soon after the
// other, late heartbeats and new leaders of the control plane in between, no acknowledged commit is lost.
func TestPairsOfCutsLoseNoCommit(t *testing.T) { checkCutHistories(t, false) }

// Guards against members that start while the primary is replaced, and acknowledge commits of the old one.
func TestPairsOfCutsWithStartsLoseNoCommit(t *testing.T) { checkCutHistories(t, true) }
