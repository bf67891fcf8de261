package consensus

import (
	"fmt"
	"math"
	"math/rand/v2"
)

// contactModel runs machines whose clocks start with their processes and run up to 0.001 fast or slow. Messages are
// lost, delayed and, at a frozen machine, buffered; machines are partitioned in one or both directions, freeze and lose
// power.
type contactModel struct {
	random    *rand.Rand
	now       float64 // true time in milliseconds
	machines  []*contactMachine
	inTransit []contactDelivery
	commits   []commitMoment // ordered by time

	// Machines on different sides of a split can't reach each other until splitUntil.
	splitUntil float64
	splitSince float64

	skipContactCheck          bool // clock rates are changed, so contact may be wrong until the drift is detected
	samples, samplesInContact int
	digest                    *digest // see cluster
}

type contactMachine struct {
	addr      string
	node      *Node
	disk      HardState
	process   int     // number of the current process
	startedAt float64 // when the current process started
	clockRate float64

	running         bool
	poweredOffUntil float64
	frozenUntil     float64

	// committed is the index of the latest entry that the current process has known to be committed.
	committed uint64

	inMinority                                bool    // on the smaller side of a split
	outboundBlockedUntil, inboundBlockedUntil float64 // end of the block of messages in each direction
	partitionedSince                          float64 // start of these blocks; +Inf if there is none
}

type contactDelivery struct {
	at      float64
	to      *contactMachine
	process int
	message Message
}

// commitMoment is the first time at which a leader knew an entry to be committed. Acknowledgments come then or later.
type commitMoment struct {
	at    float64
	index uint64
}

func newContactModel(seed uint64, n int) *contactModel {
	c := &contactModel{random: rand.New(rand.NewPCG(seed, 11))}
	var seeds []string
	for i := range n {
		seeds = append(seeds, fmt.Sprint("m", i))
	}
	for _, addr := range seeds {
		m := &contactMachine{addr: addr, disk: Bootstrap(addr, seeds), partitionedSince: math.Inf(1)}
		m.clockRate = 1 + 0.001*(2*c.random.Float64()-1)
		c.machines = append(c.machines, m)
		c.start(m, seeds)
	}
	return c
}

func (c *contactModel) start(m *contactMachine, seeds []string) {
	m.process++
	m.running, m.startedAt, m.committed = true, c.now, 0
	m.node = New(Options{Addr: m.addr, Seeds: seeds, MinVoters: len(seeds), HeartbeatInterval: 200, ElectionTimeout: 900,
		RemoveAfter: 4500, Random: c.random.Float64}, cloneState(m.disk), 0)
	c.recordCommitted(m)
}

// clock returns the reading of a machine's clock, in milliseconds since its process started.
func (c *contactModel) clock(m *contactMachine) float64 { return (c.now - m.startedAt) * m.clockRate }

func (c *contactModel) isActive(m *contactMachine) bool { return m.running && m.frozenUntil <= c.now }

func (c *contactModel) machine(addr string) *contactMachine {
	for _, m := range c.machines {
		if m.addr == addr {
			return m
		}
	}
	return nil
}

func (c *contactModel) partitioned(from, to *contactMachine) bool {
	return from.outboundBlockedUntil > c.now || to.inboundBlockedUntil > c.now ||
		c.splitUntil > c.now && from.inMinority != to.inMinority
}

func (c *contactModel) flush(m *contactMachine) {
	for range 4 {
		if m.node.Dirty() {
			m.disk = cloneState(m.node.HardState)
			m.node.Synced(c.clock(m))
		}
		for _, e := range m.node.Messages() {
			c.digest.message(m.addr, e)
			to := c.machine(e.To)
			if c.partitioned(m, to) || c.random.Float64() < 0.05 {
				continue
			}
			if e.Message.Entry != nil {
				entry := *e.Message.Entry
				e.Message.Entry = &entry
			}
			at := c.now + 1 + 60*c.random.Float64()*c.random.Float64()
			c.inTransit = append(c.inTransit, contactDelivery{at, to, to.process, e.Message})
		}
		c.digest.node(m.node, c.clock(m))
		c.recordCommitted(m)
		if !m.node.Dirty() {
			return
		}
	}
}

// recordCommitted records what a machine knows to be committed.
func (c *contactModel) recordCommitted(m *contactMachine) {
	e, ok := m.node.Committed()
	if !ok || e.Index <= m.committed {
		return
	}
	m.committed = e.Index
	if m.node.Established() && (len(c.commits) == 0 || e.Index > c.commits[len(c.commits)-1].index) {
		c.commits = append(c.commits, commitMoment{c.now, e.Index})
	}
}

// acknowledged returns the highest index that was acknowledged before a point in time.
func (c *contactModel) acknowledged(before float64) uint64 {
	for i := len(c.commits) - 1; i >= 0; i-- {
		if c.commits[i].at < before {
			return c.commits[i].index
		}
	}
	return 0
}

// check verifies a machine's contact against the acknowledged entries and the partitions that affect the machine.
func (c *contactModel) check(m *contactMachine) error {
	if c.skipContactCheck {
		return nil
	}
	age := m.node.ContactAge(c.clock(m))
	c.samples++
	if age > ContactLease {
		return nil
	}
	c.samplesInContact++
	tolerance := 1 + 0.003*age
	if required := c.acknowledged(c.now - age - tolerance); m.committed < required {
		return fmt.Errorf("at %.0f %s has contact of %.0f ms ago and knows entry %d; %d was acknowledged before",
			c.now, m.addr, age, m.committed, required)
	}
	isolatedSince := m.partitionedSince
	if m.inMinority && c.splitUntil > c.now {
		isolatedSince = min(isolatedSince, c.splitSince)
	}
	if maxTransit := 70.0; c.now-isolatedSince > ContactLease+maxTransit+tolerance {
		return fmt.Errorf("at %.0f %s has contact of %.0f ms ago and is isolated since %.0f", c.now,
			m.addr, age, isolatedSince)
	}
	return nil
}

func (c *contactModel) step() error {
	c.now += 5
	due := c.inTransit
	c.inTransit = nil
	for _, d := range due {
		switch {
		case d.at > c.now || d.to.process == d.process && d.to.running && d.to.frozenUntil > c.now:
			c.inTransit = append(c.inTransit, d)
		case d.to.running && d.to.process == d.process:
			d.to.node.Step(&d.message, c.clock(d.to))
			c.flush(d.to)
		}
	}
	for _, m := range c.machines {
		if !m.running && m.poweredOffUntil <= c.now {
			c.start(m, m.node.options.Seeds)
		}
		if max(m.outboundBlockedUntil, m.inboundBlockedUntil) <= c.now {
			m.partitionedSince = math.Inf(1)
		}
		if !c.isActive(m) {
			continue
		}
		m.node.Tick(c.clock(m))
		c.flush(m)
		if m.node.Established() && c.random.IntN(20) == 0 {
			m.node.Propose([]byte{byte(c.random.IntN(256))}, c.clock(m))
			c.flush(m)
		}
		if err := c.check(m); err != nil {
			return err
		}
	}
	return nil
}

func (c *contactModel) injectFault() {
	m := c.machines[c.random.IntN(len(c.machines))]
	duration := 500 + 6000*c.random.Float64()
	switch c.random.IntN(6) {
	case 0:
		m.outboundBlockedUntil, m.inboundBlockedUntil = c.now+duration, c.now+duration
	case 1:
		m.outboundBlockedUntil = c.now + duration
	case 2:
		m.inboundBlockedUntil = c.now + duration
	case 3:
		m.frozenUntil = c.now + duration/2
		return
	case 4:
		m.running, m.poweredOffUntil = false, c.now+100+duration/3
		return
	case 5:
		c.startSplit(c.now + duration)
		return
	}
	m.partitionedSince = min(m.partitionedSince, c.now)
}

// startSplit moves a random minority of the machines, possibly with the leader, to a side of their own.
func (c *contactModel) startSplit(until float64) {
	if c.splitUntil > c.now {
		return
	}
	c.splitUntil, c.splitSince = until, c.now
	for i, k := range c.random.Perm(len(c.machines)) {
		c.machines[k].inMinority = i < len(c.machines)/2
	}
}
