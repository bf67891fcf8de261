package consensus

import (
	"fmt"
	"testing"
)

// TestSecondLossRightAfterReplacement replaces as many machines as may be lost, one way or another, and loses
// as many others at the earliest moment that the rules give: catchupS after the successors' start. A change
// must be acknowledged while they are away.
func TestSecondLossRightAfterReplacement(t *testing.T) {
	const ackMs = 5000
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
			last, successors := 0.0, []string{}
			for range 1 + c.random.IntN(tolerate) {
				how := []string{"gone", "planned", "wiped"}[c.random.IntN(3)]
				m := c.pick(c.random.IntN(2) == 0, successors...)
				successor, at := c.replace(how, m)
				events = append(events, fmt.Sprint(how, " ", m.addr, " at ", at))
				last, successors = max(last, at), append(successors, successor)
			}
			c.run(last+catchUp-c.now, 0)
			began, asked := c.now, c.proposals
			var lost []string
			for n := range tolerate {
				m := c.pick(n == 0 && c.random.IntN(2) == 0, lost...)
				lost = append(lost, m.addr)
				events = append(events, fmt.Sprint("lost ", m.addr, " at ", c.now))
				m.running = false
				if c.random.IntN(3) == 0 {
					c.disks++
					m.disk = Empty(fmt.Sprintf("%d@%s", c.disks, m.addr))
				}
			}
			for c.now < began+ackMs && !c.acknowledgedSince(asked) {
				c.run(10, 0)
			}
			slowest = max(slowest, c.now-began)
			if c.violation != "" || !c.acknowledgedSince(asked) {
				t.Fatalf("seed %d, %v: no change was acknowledged for %d ms; %s\n%s", seed, events, ackMs, c.violation,
					c.describe())
			}
			c.restartAll()
			c.run(catchUp, 0)
		}
		c.requireNothingLost(t, fmt.Sprint("seed ", seed, events))
	}
	t.Logf("%d histories; the slowest first change took %.0f ms", seeds, slowest)
}

// TestSuccessorLostToo replaces a machine and loses its successor within its first seconds: the others go on
// without either.
func TestSuccessorLostToo(t *testing.T) {
	const ackMs = 5000
	for seed := range seedCount(400) {
		c := newFaultlessCluster(seed, 34, 3)
		c.run(4000, 0)
		m := c.pick(seed%2 == 0)
		how := []string{"gone", "planned"}[c.random.IntN(2)]
		history := fmt.Sprint("seed ", seed, ": ", how, " ", m.addr)
		c.newestCrashesAt = c.now + 1000 + 3000*c.random.Float64()
		_, at := c.replace(how, m)
		for c.newestCrashesAt > c.now {
			c.run(10, 0)
		}
		began, asked := c.now, c.proposals
		for c.now < began+ackMs && !c.acknowledgedSince(asked) {
			c.run(10, 0)
		}
		if c.violation != "" || !c.acknowledgedSince(asked) {
			t.Fatalf("%s, its successor started at %.0f and lost at %.0f: no change was acknowledged for %d ms; %s\n%s",
				history, at, began, ackMs, c.violation, c.describe())
		}
		c.restartAll()
		c.run(4000, 0)
		c.requireNothingLost(t, history)
	}
}
