package consensus

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

// TestCatchUpFromAnyDiskState stops a machine after ten changes and restarts it some hundreds of changes later, with
// each state that its disk may have, while a change is made every 20 ms. The machine must catch up, and as the leader
// afterwards it must hold every acknowledged change.
func TestCatchUpFromAnyDiskState(t *testing.T) {
	const removed = "removed meanwhile"
	tests := []struct {
		name          string
		wasLeader     bool // the machine led when it was stopped
		beforeRestart func(c *cluster, m *machine, term uint64)
	}{
		{"unchanged disk", false, func(*cluster, *machine, uint64) {}},
		{"former leader", true, func(*cluster, *machine, uint64) {}},
		{"former leader with an entry that no other machine has", true, func(_ *cluster, m *machine, _ uint64) {
			m.disk.Last.Index, m.disk.Last.Value = m.disk.Last.Index+1, append(m.disk.Last.Value, "lost;"...)
		}},
		{"entry of an older term with a higher index", true, func(_ *cluster, m *machine, _ uint64) {
			m.disk.Last.Index += 5000
		}},
		{"higher term", false, func(_ *cluster, m *machine, term uint64) { m.disk.Term, m.disk.Vote = term+3, "" }},
		{"empty disk", false, func(_ *cluster, m *machine, _ uint64) { m.disk = Empty("9@" + m.addr) }},
		{removed, false, func(c *cluster, _ *machine, _ uint64) { c.minVoters = 2 }},
		{"slow connection", false, func(c *cluster, m *machine, _ uint64) { c.extraDelay[m.addr] = 150 }},
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

// requireCaughtUp fails the test unless a machine votes, and knows the changes that were acknowledged half a second ago
// to be committed.
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

// transferTo transfers leadership to a machine while changes go on.
func (c *cluster) transferTo(t *testing.T, history string, m *machine) {
	t.Helper()
	for end := c.now + 20_000; c.leader() != m; {
		if l := c.leader(); l != nil && !l.node.InFlight() {
			if p := l.node.progress[m.node.HardState.ID]; p != nil && !l.node.lacksLastEntry(p) {
				l.node.send(m.addr, Message{Kind: TimeoutNow, Term: l.node.HardState.Term})
				c.flush(l, 0)
				for range 30 { // propose nothing while the leader is about to be replaced
					c.step(0)
				}
				continue
			}
		}
		c.runBusy(20)
		if c.now > end || c.violation != "" {
			t.Fatalf("%s: %s doesn't lead; %s\n%s", history, m.addr, c.violation, c.describe())
		}
	}
	for i, change := range c.acknowledged {
		if !containsChange(string(m.node.HardState.Last.Value), change) {
			t.Fatalf("%s: %s leads without change %d, %s", history, m.addr, i, change)
		}
	}
}

// TestJoinDuringChanges lets machines join over a connection so slow that changes arrive faster than their answers.
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

// TestJoinWithinOneSecond starts an empty machine at a new address, with no connection established yet. One of its
// seeds no longer exists.
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
				t.Fatalf("seed %d: the machine doesn't vote after one second\n%s", seed, c.describe())
			}
			c.run(10, 0)
		}
		slowest = max(slowest, c.now-startedAt)
	}
	t.Logf("the slowest join took %.0f ms", slowest)
}

// TestRejoinAfterAllKnownVotersWereReplaced removes a machine while it is down and restarts it with an empty disk after
// all its seeds were replaced: leaders notify the address of the removed voter, so that it can join.
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
			t.Fatalf("seed %d: the machine still votes\n%s", seed, c.describe())
		}
		away.disk = Empty("8@m0")
		c.start(away)
		c.run(4000, 0)
		if l := c.leader(); l == nil || !l.node.isVoter("8@m0") {
			t.Fatalf("seed %d: the machine doesn't vote again\n%s", seed, c.describe())
		}
		c.requireNothingLost(t, fmt.Sprint("seed ", seed))
	}
}
