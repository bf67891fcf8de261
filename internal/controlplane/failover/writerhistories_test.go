package failover

import "testing"

// Faults of proxies, in milliseconds.
const (
	maxProxyCut    = 9000.0
	maxProxyFreeze = 5000.0
)

// disturbProxies cuts each proxy off from the control plane for a while, in both directions or one, or freezes it, with a
// probability of one in eight each.
func (sim *simulation) disturbProxies() string {
	text := ""
	for _, p := range sim.proxies {
		until := sim.now + maxProxyCut*sim.random.Float64()
		switch sim.random.IntN(8) {
		case 0:
			p.cutUntil = until
			text += p.name + " cut off "
		case 1:
			p.unheardTill = until
			text += p.name + " unheard "
		case 2:
			p.deafUntil = until
			text += p.name + " deaf "
		case 3:
			p.frozenUntil = sim.now + maxProxyFreeze*sim.random.Float64()
			text += p.name + " frozen "
		}
	}
	return text
}

// unreachablePrimaries are histories of primaries that neither the control plane nor any agent reaches, while some proxies
// have lost the control plane or are frozen.
func unreachablePrimaries(policy unleasedPolicy) *promoteHistory {
	return &promoteHistory{effectDelay: delayRange{0, 8000}, starts: true, leaderChanges: true, lossRate: 0.1,
		relayLossRate: 1, proxyFaults: true, policy: policy}
}

// Guards against proxies, cut off, cut one way or frozen, that pass on an acknowledgement of a replaced primary.
func TestProxiesOutOfReachPassNoLostCommitOn(t *testing.T) {
	unreachablePrimaries(confirmAtReplicas).check(t)
}

// The same where connections to the live primary are refused, to the control plane and to all agents that answer.
func TestRefusalsToAllAgentsLoseNoCommit(t *testing.T) {
	histories := unreachablePrimaries(confirmAtReplicas)
	histories.cutsRefuse = true
	histories.check(t)
}

// The histories lose commits if proxies pass on all acknowledgements, and lose none if proxies without a lease serve no
// writes.
func TestLostCommitsByPolicyOfProxiesWithoutLease(t *testing.T) {
	ids := []string{"a", "b", "c"}
	if unreachablePrimaries(ignoreLeases).runAll(t, func(string) {}, ids...).lost == 0 {
		t.Error("no commit is lost without leases: the histories do not exercise them")
	}
	if lost := unreachablePrimaries(refuseWrites).runAll(t, func(string) {}, ids...).lost; lost > 0 {
		t.Errorf("%d histories lose commits", lost)
	}
}

// While the control plane is down and nothing else fails, proxies without a lease go on serving writes.
func TestWritesWithoutControlPlane(t *testing.T) {
	const downtime, minServed = 20000.0, 0.99
	served := map[unleasedPolicy]float64{}
	for _, policy := range []unleasedPolicy{confirmAtReplicas, refuseWrites} {
		var writes clientWrites
		for seed := range uint64(20) {
			sim := newSimulationOf(seed, 1, "a", "b", "c")
			sim.policy = policy
			sim.run(8000)
			sim.writes = clientWrites{}
			sim.coreDownUntil = sim.now + downtime
			sim.run(downtime)
			writes.add(sim.writes)
		}
		served[policy] = float64(writes.acknowledged) / float64(writes.tried)
		t.Logf("policy %d: %.3f of the writes acknowledged: %+v", policy, served[policy], writes)
	}
	if served[confirmAtReplicas] < minServed {
		t.Errorf("%.3f of the writes were acknowledged", served[confirmAtReplicas])
	}
	if served[refuseWrites] > minServed {
		t.Errorf("leases do not end: %.3f of the writes were acknowledged", served[refuseWrites])
	}
}
