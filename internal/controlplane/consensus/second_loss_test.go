package consensus

import (
	"fmt"
	"testing"
)

// TestSecondLossRightAfterReplacement replaces as many machines as may be lost at a time, in various ways, and stops
// as many others after the catch-up time that the cluster has between two losses. A change must be acknowledged while
// those are down.
func TestSecondLossRightAfterReplacement(t *testing.T) {
	const ackTimeoutMs = 5000
	seeds := seedCount(150)
	slowest := 0.0
	for seed := range seeds {
		tolerate, catchUp := 1, 4000.0
		machines := 3
		if seed%3 == 2 {
			tolerate, catchUp, machines = 2, 6000, 5+seed/3%2
		}
		c := newFaultlessCluster(seed, 33, 2*tolerate+1)
		for i := 3; i < machines; i++ {
			addr := fmt.Sprint("m", i)
			c.start(&machine{addr: addr, disk: Empty("0@" + addr)})
		}
		c.run(catchUp, 0)
		var events []string
		for range 3 {
			lastStart, successors := 0.0, []string{}
			for range 1 + c.random.IntN(tolerate) {
				kind := []string{"gone", "planned", "wiped"}[c.random.IntN(3)]
				m := c.pickMachine(c.random.IntN(2) == 0, successors...)
				successor, at := c.replace(kind, m)
				events = append(events, fmt.Sprint(kind, " ", m.addr, " at ", at))
				lastStart, successors = max(lastStart, at), append(successors, successor)
			}
			c.run(lastStart+catchUp-c.now, 0)
			lossAt, proposalsBefore := c.now, c.proposals
			var lost []string
			for n := range tolerate {
				m := c.pickMachine(n == 0 && c.random.IntN(2) == 0, lost...)
				lost = append(lost, m.addr)
				events = append(events, fmt.Sprint("lost ", m.addr, " at ", c.now))
				m.running = false
				if c.random.IntN(3) == 0 {
					c.diskCount++
					m.disk = Empty(fmt.Sprintf("%d@%s", c.diskCount, m.addr))
				}
			}
			for c.now < lossAt+ackTimeoutMs && !c.acknowledgedSince(proposalsBefore) {
				c.run(10, 0)
			}
			slowest = max(slowest, c.now-lossAt)
			if c.violation != "" || !c.acknowledgedSince(proposalsBefore) {
				t.Fatalf("seed %d, %v: no change was acknowledged for %d ms; %s\n%s", seed, events, ackTimeoutMs, c.violation,
					c.describe())
			}
			c.restartAll()
			c.run(catchUp, 0)
		}
		c.requireNothingLost(t, fmt.Sprint("seed ", seed, events))
	}
	t.Logf("%d histories; the slowest first acknowledgment took %.0f ms", seeds, slowest)
}

// TestLossOfReplacement replaces a machine and stops the replacement within its first seconds: the cluster must go on
// without both.
func TestLossOfReplacement(t *testing.T) {
	const ackTimeoutMs = 5000
	for seed := range seedCount(400) {
		c := newFaultlessCluster(seed, 34, 3)
		c.run(4000, 0)
		m := c.pickMachine(seed%2 == 0)
		kind := []string{"gone", "planned"}[c.random.IntN(2)]
		history := fmt.Sprint("seed ", seed, ": ", kind, " ", m.addr)
		c.newestCrashesAt = c.now + 1000 + 3000*c.random.Float64()
		_, startedAt := c.replace(kind, m)
		for c.newestCrashesAt > c.now {
			c.run(10, 0)
		}
		lossAt, proposalsBefore := c.now, c.proposals
		for c.now < lossAt+ackTimeoutMs && !c.acknowledgedSince(proposalsBefore) {
			c.run(10, 0)
		}
		if c.violation != "" || !c.acknowledgedSince(proposalsBefore) {
			t.Fatalf("%s, replacement started at %.0f and stopped at %.0f: no change was acknowledged for %d ms; %s\n%s",
				history, startedAt, lossAt, ackTimeoutMs, c.violation, c.describe())
		}
		c.restartAll()
		c.run(4000, 0)
		c.requireNothingLost(t, history)
	}
}
