package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// cluster runs the machines of a cluster under one scheduler in virtual time. Messages are lost, duplicated and
// delayed; machines lose power between a write and its sync, freeze, lose their disks, and are replaced at other
// addresses. Each proposed value appends a change to the previous value ("c1;c2;"), so that a lost change is
// detected.
type cluster struct {
	random   *rand.Rand
	now      float64             // milliseconds
	machines map[string]*machine // by address
	founders []string

	inTransit   []delivery
	lossRate    float64               // fraction of messages that are lost
	extraDelay  map[string]float64    // milliseconds, by receiver
	partitioned map[[2]string]bool    // by sender and receiver
	connectedAt map[[2]string]float64 // when a connection is established; nil: all are at all times

	minVoters       int     // Options.MinVoters; 0: the number of founders
	crashRate       float64 // probability that power is lost during a proposal
	newestCrashesAt float64 // when the newest machine loses power; 0: never
	diskCount       int     // number of replaced disks and machines so far, used to name new ones

	proposals    int               // number of proposals so far
	acknowledged []string          // proposals that their proposer knew to be committed
	committed    map[uint64]string // by index: values that any machine knew to be committed
	violation    string            // conflicting committed values; "" if none were seen

	digest *digest // of all output of the machines; nil if not needed
}

// machine is a machine with a node and a disk.
type machine struct {
	addr  string
	seeds []string // nil: the founders
	node  *Node
	disk  HardState

	running     bool
	retired     bool // gone permanently
	frozenUntil float64

	// proposed is a change that was proposed here and isn't known to be committed, with the index and term of its entry.
	proposed string
	index    uint64
	term     uint64
}

// delivery is a message in transit.
type delivery struct {
	at      float64
	to      string
	message Message
}

func newCluster(seed uint64, founders int) *cluster {
	c := &cluster{random: rand.New(rand.NewPCG(seed, 7)), machines: map[string]*machine{}, committed: map[uint64]string{},
		partitioned: map[[2]string]bool{}, crashRate: 0.01, lossRate: 0.05, extraDelay: map[string]float64{}}
	for i := range founders {
		c.founders = append(c.founders, fmt.Sprint("m", i))
	}
	for _, addr := range c.founders {
		c.start(&machine{addr: addr, disk: Bootstrap(addr, c.founders)})
	}
	return c
}

// start powers on a machine: its node starts from the state on the disk.
func (c *cluster) start(m *machine) {
	c.machines[m.addr] = m
	m.running, m.frozenUntil, m.proposed = true, 0, ""
	seeds := m.seeds
	if seeds == nil {
		seeds = c.founders
	}
	minVoters := c.minVoters
	if minVoters == 0 {
		minVoters = len(c.founders)
	}
	m.node = New(Options{Addr: m.addr, Seeds: seeds, MinVoters: minVoters, HeartbeatInterval: 200, ElectionTimeout: 900,
		RemoveAfter: 1575, Random: c.random.Float64}, cloneState(m.disk), c.now)
	c.reconnect(m.addr)
}

func cloneState(h HardState) HardState {
	h.Last.Voters = slices.Clone(h.Last.Voters)
	h.Last.Value = slices.Clone(h.Last.Value)
	return h
}

// addrs returns the addresses of all machines that ever existed, sorted.
func (c *cluster) addrs() []string {
	var out []string
	for addr := range c.machines {
		out = append(out, addr)
	}
	slices.Sort(out)
	return out
}

// liveAddrs returns the addresses of all machines that are not retired, sorted.
func (c *cluster) liveAddrs() (out []string) {
	for _, addr := range c.addrs() {
		if !c.machines[addr].retired {
			out = append(out, addr)
		}
	}
	return out
}

// leader returns the established leader, or nil if there is none.
func (c *cluster) leader() *machine {
	for _, addr := range c.addrs() {
		if m := c.machines[addr]; m.running && m.node.Established() {
			return m
		}
	}
	return nil
}

func (c *cluster) leaderValue() []byte {
	if m := c.leader(); m != nil {
		return m.node.HardState.Last.Value
	}
	return nil
}

// flush syncs and sends as the control plane does. With a probability of crashRate, power is lost before the sync, or
// after it and before messages are sent.
func (c *cluster) flush(m *machine, crashRate float64) {
	for range 4 {
		if m.node.Dirty() {
			if c.random.Float64() < crashRate {
				if c.random.IntN(2) == 0 {
					m.disk = cloneState(m.node.HardState)
				}
				m.running = false
				return
			}
			m.disk = cloneState(m.node.HardState)
			m.node.Synced(c.now)
		}
		for _, e := range m.node.Messages() {
			c.digest.message(m.addr, e)
			c.transmit(m.addr, e)
		}
		c.digest.node(m.node, c.now)
		c.checkCommitted(m)
		if !m.node.Dirty() {
			return
		}
	}
}

// checkCommitted compares the entry that a node knows to be committed with those of all nodes before, and acknowledges
// proposals.
func (c *cluster) checkCommitted(m *machine) {
	if e, ok := m.node.Committed(); ok {
		value := string(e.Value)
		if previous, known := c.committed[e.Index]; known && previous != value {
			c.violation = fmt.Sprintf("entry %d: %q and %q", e.Index, previous, value)
		}
		c.committed[e.Index] = value
		if m.proposed != "" && e.Term == m.term && e.Index >= m.index {
			c.acknowledged = append(c.acknowledged, m.proposed)
			m.proposed = ""
		}
	}
	if m.proposed != "" && !m.node.Established() {
		m.proposed = ""
	}
}

// propose proposes a change on each established leader that has none in flight.
func (c *cluster) propose() {
	for _, addr := range c.addrs() {
		m := c.machines[addr]
		if !m.running || m.frozenUntil > c.now || !m.node.Established() || m.proposed != "" {
			continue
		}
		c.proposals++
		change := fmt.Sprintf("c%d;", c.proposals)
		if e, ok := m.node.Propose([]byte(string(m.node.HardState.Last.Value)+change), c.now); ok {
			m.proposed, m.index, m.term = change, e.Index, e.Term
			c.flush(m, c.crashRate)
		}
	}
}

// step advances time by 10 ms: due messages are delivered, and nodes tick.
func (c *cluster) step(crashRate float64) {
	c.now += 10
	if c.newestCrashesAt > 0 && c.newestCrashesAt <= c.now {
		if m := c.machines[fmt.Sprint("n", c.diskCount)]; m != nil {
			m.running = false
		}
		c.newestCrashesAt = 0
	}
	c.deliver(crashRate)
	for _, addr := range c.addrs() {
		if m := c.machines[addr]; m.running && m.frozenUntil <= c.now {
			m.node.Tick(c.now)
			c.flush(m, crashRate)
		}
	}
}

func (c *cluster) deliver(crashRate float64) {
	due := c.inTransit
	c.inTransit = nil
	for _, d := range due {
		m := c.machines[d.to]
		if d.at > c.now {
			c.inTransit = append(c.inTransit, d)
		} else if m != nil && m.running && m.frozenUntil <= c.now {
			m.node.Step(&d.message, c.now)
			c.flush(m, crashRate)
		} else if m != nil && m.running && c.random.IntN(2) == 0 {
			d.at = m.frozenUntil + 1 // the message waits in a buffer of the frozen machine
			c.inTransit = append(c.inTransit, d)
		}
	}
}

// run advances time, with a change proposed about every 120 ms.
func (c *cluster) run(ms, crashRate float64) {
	for end := c.now + ms; c.now < end && c.violation == ""; {
		if c.random.IntN(12) == 0 {
			c.propose()
		}
		c.step(crashRate)
	}
}

// runBusy advances time, with a change proposed every 20 ms.
func (c *cluster) runBusy(ms float64) {
	for end := c.now + ms; c.now < end && c.violation == ""; {
		c.propose()
		c.step(0)
		c.step(0)
	}
}

// awaitAcknowledged proposes changes until the given number was acknowledged. It returns false after 600 s.
func (c *cluster) awaitAcknowledged(changes int) bool {
	for want, end := len(c.acknowledged)+changes, c.now+600_000; len(c.acknowledged) < want; {
		if c.now > end || c.violation != "" {
			return false
		}
		c.runBusy(20)
	}
	return true
}

// acknowledgedSince reports whether the latest acknowledged change was proposed after the nth.
func (c *cluster) acknowledgedSince(n int) bool {
	if len(c.acknowledged) == 0 {
		return false
	}
	var newest int
	_, _ = fmt.Sscanf(c.acknowledged[len(c.acknowledged)-1], "c%d;", &newest)
	return newest > n
}
