package consensus

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// restartAll gives power back to all machines that aren't retired.
func (c *cluster) restartAll() {
	for _, addr := range c.addrs() {
		if m := c.machines[addr]; !m.running && !m.retired {
			c.start(m)
		}
	}
}

// isolate cuts a machine off from others, in both directions.
func (c *cluster) isolate(addr string, others []string) {
	for _, other := range others {
		c.partitioned[[2]string{addr, other}], c.partitioned[[2]string{other, addr}] = true, true
	}
}

// terminate is a SIGTERM: the process says that it leaves, and ends when nothing waits for it.
func (c *cluster) terminate(m *machine) {
	m.node.Leave(c.now)
	c.flush(m, 0)
	for end := c.now + 1500; c.now < end && !m.node.LeaveDone(c.now); {
		c.run(10, 0)
	}
	c.run(100, 0)
	m.running = false
}

// pick is the leader, or another machine that is not retired.
func (c *cluster) pickMachine(wantLeader bool, excluded ...string) *machine {
	addrs := slices.DeleteFunc(c.liveAddrs(), func(addr string) bool { return slices.Contains(excluded, addr) })
	if l := c.leader(); l != nil {
		if wantLeader && slices.Contains(addrs, l.addr) {
			return l
		}
		addrs = slices.DeleteFunc(addrs, func(addr string) bool { return addr == l.addr })
	}
	return c.machines[addrs[c.random.IntN(len(addrs))]]
}

// replace retires a machine, or loses only its disk, and gives the time at which its successor started.
func (c *cluster) replace(kind string, m *machine) (successor string, startedAt float64) {
	c.diskCount++
	if kind == "wiped" {
		m.disk, m.running = Empty(fmt.Sprintf("%d@%s", c.diskCount, m.addr)), false
		c.run(300+2000*c.random.Float64(), 0)
		c.start(m)
		return m.addr, c.now
	}
	addrs := c.liveAddrs()
	c.random.Shuffle(len(addrs), func(i, j int) { addrs[i], addrs[j] = addrs[j], addrs[i] })
	addr := fmt.Sprint("n", c.diskCount)
	replacement := &machine{addr: addr, seeds: addrs[:3], disk: Empty(fmt.Sprintf("%d@%s", c.diskCount, addr))}
	if kind == "gone" {
		m.running, m.retired = false, true
		c.run(1000, 0)
		c.start(replacement)
		return addr, c.now
	}
	c.start(replacement)
	startedAt = c.now
	c.run(1000, 0)
	m.retired = true
	c.terminate(m)
	return addr, startedAt
}

// fault brings one about, of those that are tolerated: one machine of three or two of five at a time.
func (c *cluster) injectFault() string {
	live := c.liveAddrs()
	m := c.machines[live[c.random.IntN(len(live))]]
	switch c.random.IntN(7) {
	case 0:
		m.running = false
		return "power lost"
	case 1:
		c.powerOff(live)
		return "power lost everywhere"
	case 2:
		m.frozenUntil = c.now + 300 + 3000*c.random.Float64()
		return "frozen"
	case 3:
		for _, other := range live {
			c.partitioned[[2]string{m.addr, other}], c.partitioned[[2]string{other, m.addr}] = true, c.random.IntN(3) > 0
		}
		return "partitioned off"
	case 4: // the disk is lost, with power elsewhere too
		c.diskCount++
		m.disk, m.running = Empty(fmt.Sprintf("%d@%s", c.diskCount, m.addr)), false
		if c.random.IntN(2) == 0 {
			c.powerOff(live)
		}
		return "wiped"
	case 5: // a machine is gone for good, an empty one comes at another address
		m.running, m.retired = false, true
		c.diskCount++
		addr := fmt.Sprint("n", c.diskCount)
		// Its seeds are three of the machines that stood before the loss, as the operator's list had them.
		c.start(&machine{addr: addr, seeds: live[:3], disk: Empty(fmt.Sprintf("%d@%s", c.diskCount, addr))})
		return "replaced"
	}
	return "none"
}

func (c *cluster) powerOff(addrs []string) {
	for _, addr := range addrs {
		c.machines[addr].running = false
	}
}

// awaitRecovery waits until all live machines vote and one leads, as the rules give the core time between two
// losses; false: that takes too long.
func (c *cluster) awaitRecovery() bool {
	for range 60 {
		c.run(500, 0)
		c.restartAll()
		if ok := c.recovered(); ok || c.violation != "" {
			return ok
		}
	}
	return false
}

// recovered says that one machine leads, that the live machines vote and no others, and that all hold the
// leader's value.
func (c *cluster) recovered() bool {
	leaders := 0
	var voters []Voter
	for _, addr := range c.addrs() {
		if m := c.machines[addr]; m.running && m.node.Established() && !m.node.InFlight() {
			leaders++
			voters = m.node.HardState.Last.Voters
		}
	}
	if leaders != 1 || len(voters) != len(c.liveAddrs()) { // the retired ones are voted out
		return false
	}
	for _, m := range c.machines {
		votes := slices.ContainsFunc(voters, func(v Voter) bool { return v.ID == m.disk.ID })
		if votes == m.retired || !m.retired && string(m.disk.Last.Value) != string(c.leaderValue()) {
			return false
		}
	}
	return true
}

// requireNothingLost waits until the core has recovered, and fails the test if a change was acknowledged and is lost.
func (c *cluster) requireNothingLost(t *testing.T, history string) {
	t.Helper()
	if !c.awaitRecovery() {
		t.Fatalf("%s: the core doesn't recover; %s\n%s", history, c.violation, c.describe())
	}
	c.requireAcknowledged(t, history)
}

// requireAcknowledged fails the test if the leader lacks a change that was acknowledged.
func (c *cluster) requireAcknowledged(t *testing.T, history string) {
	t.Helper()
	value := string(c.leaderValue())
	for _, change := range c.acknowledged {
		if !strings.Contains(value, change) {
			t.Fatalf("%s: %s was acknowledged and is lost: %s", history, change, value)
		}
	}
}

// describe tells each machine's state, for a test that failed.
func (c *cluster) describe() string {
	var b strings.Builder
	for _, addr := range c.addrs() {
		m := c.machines[addr]
		n := m.node
		fmt.Fprintf(&b, "%s running %v retired %v role %d term %d last %d,%d in flight %v voters %v\n", addr, m.running,
			m.retired, n.role, n.HardState.Term, n.HardState.Last.Term, n.HardState.Last.Index, n.InFlight(),
			n.HardState.Last.Voters)
	}
	return b.String()
}

// seedCount gives how many seeds a test plays; the variable SEEDS asks for more.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return n
	}
	if testing.Short() {
		return defaultCount / 4
	}
	return defaultCount
}
