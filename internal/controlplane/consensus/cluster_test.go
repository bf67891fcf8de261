package consensus

import (
	"fmt"
	"math/rand/v2"
	"slices"
)

// cluster runs machines of a core under one scheduler, in virtual time. Messages are lost, doubled and delayed;
// machines lose power between a write and its sync, freeze, lose their disks, and are replaced at other
// addresses. Proposed values are chains ("c1;c2;"), so that a lost one shows.
type cluster struct {
	random   *rand.Rand
	now      float64             // milliseconds
	machines map[string]*machine // by address
	founders []string

	inTransit   []delivery
	lossRate    float64               // share of messages that are lost
	extraDelay  map[string]float64    // milliseconds, by receiver
	partitioned map[[2]string]bool    // by sender and receiver
	connectedAt map[[2]string]float64 // when a connection stands; nil: all do at all times

	minVoters       int     // Options.MinVoters; 0: as many as founders
	crashRate       float64 // chance that power goes in the middle of a proposal
	newestCrashesAt float64 // when the newest machine loses power; 0: it doesn't
	diskCount       int     // numbers disks and machines that were replaced

	proposals    int               // made so far
	acknowledged []string          // proposals that were known committed where they were made
	committed    map[uint64]string // by index: what any machine ever knew committed
	violation    string            // of agreement; "": none was seen

	digest *digest // of all that the machines put out; nil: none is taken
}

// machine is a host with a node and its disk.
type machine struct {
	addr  string
	seeds []string // nil: the founders
	node  *Node
	disk  HardState

	running     bool
	retired     bool // gone for good
	frozenUntil float64

	// proposed is a value that was proposed here and isn't known committed yet, with the index and term of its entry.
	proposed string
	index    uint64
	term     uint64
}

// delivery is a message on its way.
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

// start gives a machine power: its node begins with what is on its disk.
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

// addrs are those of all machines that ever were, in order.
func (c *cluster) addrs() []string {
	var out []string
	for addr := range c.machines {
		out = append(out, addr)
	}
	slices.Sort(out)
	return out
}

// liveAddrs are those of the machines that are not retired, in order.
func (c *cluster) liveAddrs() (out []string) {
	for _, addr := range c.addrs() {
		if !c.machines[addr].retired {
			out = append(out, addr)
		}
	}
	return out
}

// leader is the established one; nil: there is none.
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

// flush syncs and sends as the control plane does. Power may be lost before the sync, or behind it and before
// the messages.
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

// checkCommitted holds what a node takes for committed against what any did before, and acknowledges proposals.
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

// propose offers a change at each machine that takes one.
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

// step lets 10 ms pass: messages that are due come, and clocks tick.
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
			d.at = m.frozenUntil + 1 // it waits in a buffer
			c.inTransit = append(c.inTransit, d)
		}
	}
}

// run lets time pass, with a change offered every 120 ms or so.
func (c *cluster) run(ms, crashRate float64) {
	for end := c.now + ms; c.now < end && c.violation == ""; {
		if c.random.IntN(12) == 0 {
			c.propose()
		}
		c.step(crashRate)
	}
}

// runBusy lets time pass with a change offered every 20 ms.
func (c *cluster) runBusy(ms float64) {
	for end := c.now + ms; c.now < end && c.violation == ""; {
		c.propose()
		c.step(0)
		c.step(0)
	}
}

// acknowledge offers changes until so many more were acknowledged; false: it takes too long.
func (c *cluster) awaitAcknowledged(changes int) bool {
	for want, end := len(c.acknowledged)+changes, c.now+600_000; len(c.acknowledged) < want; {
		if c.now > end || c.violation != "" {
			return false
		}
		c.runBusy(20)
	}
	return true
}

// acknowledgedSince says whether a change was acknowledged that was proposed behind the nth.
func (c *cluster) acknowledgedSince(n int) bool {
	if len(c.acknowledged) == 0 {
		return false
	}
	var newest int
	_, _ = fmt.Sscanf(c.acknowledged[len(c.acknowledged)-1], "c%d;", &newest)
	return newest > n
}
