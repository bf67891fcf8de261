package consensus

import (
	"math/rand/v2"
	"slices"
	"testing"
)

// outageFaults are faults that TestOutageDurations injects at a follower or the leader.
var outageFaults = []struct {
	name     string
	follower bool
	// inject injects the fault at a machine.
	inject func(c *cluster, m *machine)
	// keepsProposal is set if a proposal from before the fault may be the one that is acknowledged after it.
	keepsProposal bool
}{
	{"leader killed", false, (*cluster).kill, false},
	{"leader frozen", false, func(c *cluster, m *machine) { m.frozenUntil = c.now + 20000 }, false},
	{"leader isolated", false, func(c *cluster, m *machine) { c.isolate(m.addr, c.addrs()) }, false},
	{"follower killed", true, (*cluster).kill, true},
	{"power lost everywhere", false, func(c *cluster, _ *machine) {
		for _, addr := range c.addrs() {
			c.start(c.machines[addr])
		}
	}, true},
	{"leader wiped", false, func(c *cluster, m *machine) {
		m.disk = Empty("9@" + m.addr)
		c.start(m)
	}, false},
	{"leader shut down", false, func(c *cluster, m *machine) {
		m.node.Leave(c.now)
		c.flush(m, 0)
	}, false},
}

// kill ends a machine's process: the others notice that their connections to it broke.
func (c *cluster) kill(m *machine) {
	m.running = false
	for _, addr := range c.addrs() {
		if other := c.machines[addr]; other.running {
			other.node.PeerDisconnected(m.addr, c.now)
		}
	}
}

// TestOutageDurations measures, for each kind of fault, the time until the next change is acknowledged. It logs the
// figures, and fails if an outage lasts longer than 15 s.
func TestOutageDurations(t *testing.T) {
	for _, fault := range outageFaults {
		var outages []float64 // milliseconds
		for seed := range 200 {
			c := newCluster(uint64(seed+7000), 3)
			c.random = rand.New(rand.NewPCG(uint64(seed), 99))
			c.crashRate = 0
			c.run(4000, 0)
			var m *machine
			for _, addr := range c.addrs() {
				if c.machines[addr].node.Established() != fault.follower {
					m = c.machines[addr]
				}
			}
			if m == nil {
				continue
			}
			faultAt, acknowledged := c.now, len(c.acknowledged)
			fault.inject(c, m)
			for c.now < faultAt+20000 && len(c.acknowledged) == acknowledged {
				c.run(10, 0)
				m.running = m.running && !m.node.LeaveDone(c.now)
				if !fault.keepsProposal {
					m.proposed = ""
				}
			}
			outages = append(outages, c.now-faultAt)
		}
		slices.Sort(outages)
		if n := len(outages); n == 0 || outages[n-1] > 15000 {
			t.Errorf("%s: %v", fault.name, outages)
		} else {
			t.Logf("%-22s until the next change is acknowledged, ms: median %.0f, p99 %.0f, worst %.0f", fault.name,
				outages[n/2], outages[n*99/100], outages[n-1])
		}
	}
}
