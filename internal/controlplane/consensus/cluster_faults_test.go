package consensus

import (
	"fmt"
	"os"
	"slices"
	"strconv"
	"strings"
	"testing"
)

// restartAll starts all stopped machines that aren't retired.
func (c *cluster) restartAll() {
	for _, addr := range c.addrs() {
		if m := c.machines[addr]; !m.running && !m.retired {
			c.start(m)
		}
	}
}

// isolate blocks messages between a machine and others in both directions.
func (c *cluster) isolate(addr string, others []string) {
	for _, other := range others {
		c.partitioned[[2]string{addr, other}], c.partitioned[[2]string{other, addr}] = true, true
	}
}

// terminate simulates SIGTERM: the node leaves, and its process ends once LeaveDone reports true or 1.5 s have passed.
func (c *cluster) terminate(m *machine) {
	m.node.Leave(c.now)
	c.flush(m, 0)
	for end := c.now + 1500; c.now < end && !m.node.LeaveDone(c.now); {
		c.run(10, 0)
	}
	c.run(100, 0)
	m.running = false
}

// pickMachine returns the leader if wantLeader is set, and otherwise a random machine that neither leads nor is
// retired.
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

// replace retires a machine, or only empties its disk, and returns the time at which its replacement started.
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

// injectFault injects a random fault that the cluster tolerates at one machine of three or two of five at a time.
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
	case 4: // the disk is lost, possibly together with power everywhere
		c.diskCount++
		m.disk, m.running = Empty(fmt.Sprintf("%d@%s", c.diskCount, m.addr)), false
		if c.random.IntN(2) == 0 {
			c.powerOff(live)
		}
		return "wiped"
	case 5: // a machine is lost for good, and an empty one starts at another address
		m.running, m.retired = false, true
		c.diskCount++
		addr := fmt.Sprint("n", c.diskCount)
		// Its seeds are three of the machines that existed before the loss, as in an operator's list of that time.
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

// awaitRecovery waits for up to 30 s until all live machines vote and one of them leads, and reports whether they do.
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

// recovered reports whether exactly one machine leads, all live machines and no others vote, and all live machines hold
// the leader's value.
func (c *cluster) recovered() bool {
	leaders := 0
	var voters []Voter
	for _, addr := range c.addrs() {
		if m := c.machines[addr]; m.running && m.node.Established() && !m.node.InFlight() {
			leaders++
			voters = m.node.HardState.Last.Voters
		}
	}
	if leaders != 1 || len(voters) != len(c.liveAddrs()) { // retired machines must have been removed from the voters
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

// requireNothingLost waits for the cluster to recover, and fails the test if an acknowledged change was lost.
func (c *cluster) requireNothingLost(t *testing.T, history string) {
	t.Helper()
	if !c.awaitRecovery() {
		t.Fatalf("%s: the cluster doesn't recover; %s\n%s", history, c.violation, c.describe())
	}
	c.requireAcknowledged(t, history)
}

// requireAcknowledged fails the test if the leader lacks an acknowledged change.
func (c *cluster) requireAcknowledged(t *testing.T, history string) {
	t.Helper()
	value := string(c.leaderValue())
	for _, change := range c.acknowledged {
		if !strings.Contains(value, change) {
			t.Fatalf("%s: acknowledged change %s was lost: %s", history, change, value)
		}
	}
}

// describe returns the state of each machine, for the message of a failed test.
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

// seedCount returns the number of seeds that a test runs; the environment variable SEEDS overrides it.
func seedCount(defaultCount int) int {
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		return n
	}
	if testing.Short() {
		return defaultCount / 4
	}
	return defaultCount
}
