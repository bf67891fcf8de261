package consensus

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestCatchesUpFromAnyAge has a machine away from the tenth of some hundreds of changes on, and back while
// changes go on every 20 ms, from each state that its disk may have; then made the leader. It must hold all
// that was acknowledged.
func TestCatchUpFromAnyDiskState(t *testing.T) {
	const removed = "removed meanwhile"
	tests := []struct {
		name          string
		wasLeader     bool // it led when it went
		beforeRestart func(c *cluster, m *machine, term uint64)
	}{
		{"as it was", false, func(*cluster, *machine, uint64) {}},
		{"it led", true, func(*cluster, *machine, uint64) {}},
		{"it led, with an entry nobody else has", true, func(_ *cluster, m *machine, _ uint64) {
			m.disk.Last.Index, m.disk.Last.Value = m.disk.Last.Index+1, append(m.disk.Last.Value, "lost;"...)
		}},
		{"with an older term's entry of a higher index", true, func(_ *cluster, m *machine, _ uint64) {
			m.disk.Last.Index += 5000
		}},
		{"with a higher term", false, func(_ *cluster, m *machine, term uint64) { m.disk.Term, m.disk.Vote = term+3, "" }},
		{"with an empty disk", false, func(_ *cluster, m *machine, _ uint64) { m.disk = Empty("9@" + m.addr) }},
		{removed, false, func(c *cluster, _ *machine, _ uint64) { c.minVoters = 2 }},
		{"behind a slow connection", false, func(c *cluster, m *machine, _ uint64) { c.extraDelay[m.addr] = 150 }},
	}
	for i, test := range tests {
		for seed := range max(1, seedCount(4)/2) {
			c := newCluster(uint64(seed), 3)
			c.random = rand.New(rand.NewPCG(uint64(seed), uint64(100+i)))
			c.crashRate, c.lossRate = 0, []float64{0, 0.05}[seed%2]
			c.run(4000, 0)
			history := fmt.Sprint(test.name, ", seed ", seed)
			if !c.awaitAcknowledged(10) {
				t.Fatal(history, c.violation, c.describe())
			}
			m := c.pickMachine(test.wasLeader)
			m.running = false
			if test.name == removed {
				for _, addr := range c.liveAddrs() {
					c.machines[addr].node.options.MinVoters = 2
				}
			}
			c.run(6000, 0)
			if !c.awaitAcknowledged(500) {
				t.Fatal(history, c.violation, c.describe())
			}
			test.beforeRestart(c, m, c.leader().node.HardState.Term)
			c.start(m)
			c.runBusy(4000)
			c.requireCaughtUp(t, history, m)
			clear(c.extraDelay)
			c.transferTo(t, history, m)
			c.runBusy(500)
			c.requireNothingLost(t, history)
		}
	}
}

// requireCaughtUp fails the test unless a machine votes, and knows committed what was acknowledged half a second ago.
func (c *cluster) requireCaughtUp(t *testing.T, history string, m *machine) {
	t.Helper()
	acknowledged := len(c.acknowledged)
	c.runBusy(500)
	e, _ := m.node.Committed()
	l := c.leader()
	votes := l != nil && l.node.isVoter(m.node.HardState.ID)
	if acknowledged == 0 || !votes || !containsChange(string(e.Value), c.acknowledged[acknowledged-1]) {
		t.Fatalf("%s: %s has not caught up with %d changes: it knows entry %d\n%s", history, m.addr, len(c.acknowledged),
			e.Index, c.describe())
	}
}

func containsChange(value, change string) bool {
	return len(value) > len(change) && (value[:len(change)] == change || strings.Contains(value, ";"+change))
}

// transferTo has a machine made the leader, while changes go on.
func (c *cluster) transferTo(t *testing.T, history string, m *machine) {
	t.Helper()
	for end := c.now + 20_000; c.leader() != m; {
		if l := c.leader(); l != nil && !l.node.InFlight() {
			if p := l.node.progress[m.node.HardState.ID]; p != nil && !l.node.lacksLastEntry(p) {
				l.node.send(m.addr, Message{Kind: TimeoutNow, Term: l.node.HardState.Term})
				c.flush(l, 0)
				for range 30 { // a leader that is about to lose its lead takes no change meanwhile
					c.step(0)
				}
				continue
			}
		}
		c.runBusy(20)
		if c.now > end || c.violation != "" {
			t.Fatalf("%s: %s does not lead; %s\n%s", history, m.addr, c.violation, c.describe())
		}
	}
	for i, change := range c.acknowledged {
		if !containsChange(string(m.node.HardState.Last.Value), change) {
			t.Fatalf("%s: %s leads without change %d, %s", history, m.addr, i, change)
		}
	}
}

// TestJoinsWhileChangesGoOn has machines join behind a connection so slow that changes outrun their answers.
func TestJoinDuringChanges(t *testing.T) {
	for seed := range seedCount(20) {
		c := newFaultlessCluster(seed, 200, 3)
		c.run(4000, 0)
		m := &machine{addr: "n1", seeds: c.founders, disk: Empty("1@n1")}
		c.extraDelay["n1"] = 120
		c.start(m)
		c.runBusy(2500)
		c.requireCaughtUp(t, fmt.Sprint("seed ", seed), m)
	}
}

// TestJoinsWithinASecond has an empty machine start at a new address. One of its seeds was replaced, and
// connections are made first.
func TestJoinWithinOneSecond(t *testing.T) {
	slowest := 0.0
	for seed := range seedCount(200) {
		c := newFaultlessCluster(seed, 201, 3)
		c.run(4000, 0)
		m := &machine{addr: "n1", seeds: []string{"m0", "m1", "gone"}, disk: Empty("1@n1")}
		c.start(m)
		startedAt := c.now
		for l := c.leader(); l == nil || !l.node.isVoter("1@n1") || l.node.InFlight(); l = c.leader() {
			if c.now > startedAt+1000 {
				t.Fatalf("seed %d: it does not vote after a second\n%s", seed, c.describe())
			}
			c.run(10, 0)
		}
		slowest = max(slowest, c.now-startedAt)
	}
	t.Logf("the slowest took %.0f ms", slowest)
}

// TestComesBackWhenAllThatItKnewAreReplaced has a machine removed while it is away, and come back with an
// empty disk when none of its seeds is there: those that saw it removed notify it of who leads.
func TestRejoinAfterAllKnownVotersWereReplaced(t *testing.T) {
	for seed := range seedCount(20) {
		c := newFaultlessCluster(seed, 202, 5)
		for _, addr := range []string{"m3", "m4"} {
			c.start(&machine{addr: addr, disk: Empty("0@" + addr)})
		}
		c.run(6000, 0)
		for _, addr := range []string{"m1", "m2"} {
			c.replace("gone", c.machines[addr])
			c.run(6000, 0)
		}
		away := c.machines["m0"]
		away.running = false
		c.run(3000, 0)
		c.start(&machine{addr: "n9", seeds: []string{"m0", "m3", "m4"}, disk: Empty("9@n9")})
		c.run(6000, 0)
		if l := c.leader(); l == nil || l.node.isVoter("0@m0") {
			t.Fatalf("seed %d: it still votes\n%s", seed, c.describe())
		}
		away.disk = Empty("8@m0")
		c.start(away)
		c.run(4000, 0)
		if l := c.leader(); l == nil || !l.node.isVoter("8@m0") {
			t.Fatalf("seed %d: it does not vote again\n%s", seed, c.describe())
		}
		c.requireNothingLost(t, fmt.Sprint("seed ", seed))
	}
}
