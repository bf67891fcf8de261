package failover

import (
	"fmt"
	"strings"
	"testing"
)

// promoteHistory configures histories in which primaries are replaced while their promotes take effect late.
type promoteHistory struct {
	effectDelay   delayRange
	starts        bool    // members join and restart, and receive at once
	leaderChanges bool    // the leader of the control plane changes, and the new one knows only what was committed
	lossRate      float64 // share of queries, promotes and answers that are lost
	relayLossRate float64 // share of relays of which no attempt reaches the member
	cutsRefuse    bool    // connections to primaries that are cut off are refused
	backAtOnce    bool    // crashed primaries are back soon, under another ID
	lateHeartbeat float64 // ms by which the first heartbeat of a member that joins is late, at most
	proxyFaults   bool    // proxies are cut off from the control plane, in both directions or one, or freeze
	policy        unleasedPolicy
}

// Times of these histories, in milliseconds.
const (
	promoteRounds     = 5
	maxEventDelay     = 2500.0 // between the failure of a primary and what happens beside it
	promoteRoundQuiet = 16000.0
	promoteHistories  = 150 // seeds a test
)

// failPrimary makes the primary fail, as the control plane sees it, and returns what happened.
func (sim *simulation) failPrimary(h *promoteHistory) string {
	primary := sim.group.Leader()
	switch {
	case primary == nil:
		return "no primary"
	case h.backAtOnce:
		return sim.crashUntilPromote(primary.ID)
	}
	switch sim.random.IntN(3) {
	case 0:
		return sim.cutPrimary()
	case 1:
		primary.Up = false
		sim.after(maxEventDelay*2*sim.random.Float64(), func() { sim.restart(primary.ID) })
		return primary.ID + " down"
	}
	primary.Draining = true
	return primary.ID + " draining"
}

// injectBesides injects what the history has beside the failures of primaries, and returns its description.
func (sim *simulation) injectBesides(h *promoteHistory) string {
	replicas := sim.runningReplicas()
	switch sim.random.IntN(4) {
	case 0, 1:
		if h.starts && len(replicas) > 1 {
			return sim.replace(replicas[sim.random.IntN(len(replicas))])
		}
	case 2:
		if h.starts && len(replicas) > 0 {
			return sim.restartReplica(replicas[sim.random.IntN(len(replicas))])
		}
	}
	if h.leaderChanges {
		sim.control.term++
		sim.control.promotes = 0
		sim.takeOver()
		return "leader of the control plane changed"
	}
	return "nothing"
}

// run runs a seeded history. It returns the simulation at its end, and what was injected.
func (h *promoteHistory) run(seed uint64, ids ...string) (sim *simulation, injected []string) {
	sim = newSimulationOf(seed, 1, ids...)
	sim.control.delayReceiving = true
	sim.effectDelay, sim.receiveDelay, sim.discoveryDelay = h.effectDelay, 0, delayRange{100, 400}
	sim.relayLossRate, sim.cutsRefuse, sim.policy = h.relayLossRate, h.cutsRefuse, h.policy
	sim.heartbeats.firstDelay = h.lateHeartbeat
	if h.backAtOnce {
		sim.refuseConnections, sim.discoveryDelay = true, delayRange{1, 20}
		sim.heartbeats.leaderDelay = 75
	}
	inject := func(what string) { injected = append(injected, fmt.Sprintf("%.0f %s", sim.now, what)) }
	sim.run(2500)
	for range promoteRounds {
		sim.lossRate = h.lossRate
		for range 2 {
			if h.proxyFaults {
				inject(sim.disturbProxies())
			}
			inject(sim.failPrimary(h))
			for range 2 {
				sim.run(maxEventDelay * sim.random.Float64())
				inject(sim.injectBesides(h))
			}
		}
		sim.run(6000 * sim.random.Float64())
		sim.heal()
		sim.run(promoteRoundQuiet)
	}
	sim.run(40000)
	return sim, injected
}

// historiesResult is what came of histories.
type historiesResult struct {
	lost, waiting int // histories that lose commits, or wait for a departed member in the end
	writes        clientWrites
}

// runAll runs histories. It reports the first transcript of one that loses commits to onLoss.
func (h *promoteHistory) runAll(t *testing.T, onLoss func(transcript string), ids ...string) (result historiesResult) {
	t.Helper()
	for seed := range uint64(promoteHistories) {
		sim, injected := h.run(seed, ids...)
		result.writes.add(sim.writes)
		transcript := fmt.Sprintf("seed %d of %d members: lacks %v\n%s\n%s", seed, len(ids), sim.group.LostCommits,
			strings.Join(injected, "\n"), strings.Join(sim.transcript, "\n"))
		switch {
		case len(sim.group.LostCommits) > 0:
			if result.lost++; result.lost == 1 {
				onLoss(transcript)
			}
		case !sim.checkEnd(t, transcript):
			result.waiting++
		}
	}
	t.Logf("%d members, %d histories: %d lose commits, %d wait for a departed member that may be the only one with a "+
		"commit; writes: %+v", len(ids), promoteHistories, result.lost, result.waiting, result.writes)
	return result
}

// check runs histories of three and four members. It fails if a promoted member lacks an acknowledged commit, or if in
// the end there is no primary or a member is paused.
func (h *promoteHistory) check(t *testing.T) {
	t.Helper()
	onLoss := func(transcript string) { t.Errorf("the promoted member lacks commits: %s", transcript) }
	h.runAll(t, onLoss, "a", "b", "c")
	h.runAll(t, onLoss, "a", "b", "c", "d")
}

// Guards against a promote that takes effect after the leader gave it up, and cuts off what was acknowledged since.
func TestPromoteThatTakesEffectLateLosesNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{0, 8000}}).check(t)
}

// Guards against a new leader that does not know of a promote under way, and lets commits be acknowledged before its effect.
func TestNextLeaderOfPromoteUnderWayLosesNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{0, 8000}, leaderChanges: true}).check(t)
}

// Guards against members that start between the decision on a promote and its effect, and acknowledge commits of the old
// primary.
func TestStartsDuringPromoteLoseNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{300, 600}, starts: true}).check(t)
}

// Guards against all three at once, with lost calls and answers.
func TestStartsLateEffectsAndNextLeadersLoseNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{0, 8000}, starts: true, leaderChanges: true, lossRate: 0.1}).check(t)
}

// Guards against the silence of some agents that passes for a primary that nobody reaches.
func TestLostRelaysLoseNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{300, 600}, starts: true, leaderChanges: true, lossRate: 0.1,
		relayLossRate: 1. / 3}).check(t)
}

// Guards against a primary that serves clients while neither the core nor any agent reaches it.
func TestPrimaryThatNoAgentReachesLosesNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{300, 600}, starts: true, leaderChanges: true, lossRate: 0.1,
		relayLossRate: 1}).check(t)
}

// Guards against a refused connection that passes for a primary that is gone.
func TestRefusedConnectionsToLivePrimaryLoseNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{300, 600}, starts: true, leaderChanges: true, cutsRefuse: true,
		relayLossRate: 1}).check(t)
}

// Guards against a promote that is decided before the first heartbeat of a member that has received commits.
func TestMemberHeardLateLosesNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{300, 600}, starts: true, leaderChanges: true, lossRate: 0.1,
		relayLossRate: 1, lateHeartbeat: 2000}).check(t)
}

// Guards against a crashed primary that is back under another ID, and is written to while a promote is under way.
func TestPrimaryBackUnderAnotherIDLosesNoCommit(t *testing.T) {
	(&promoteHistory{effectDelay: delayRange{300, 600}, starts: true, backAtOnce: true}).check(t)
}
