package orders

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
)

const (
	stepMillis    = 10.0
	passedFor     = 3000.0 // a machine waits so long for who leads
	silence       = 1000.0 // a caller waits so long for a machine
	mostTries     = 9
	lossOfLetters = 0.05
	shareOfSlow   = 0.05
	slowest       = 5000.0
)

// core is machines of the core in virtual time: agreement, queues of orders, and callers' calls, which any machine
// passes on to who leads. Messages and calls are lost and late; machines freeze, are cut off, and lose power around
// their syncs.
type core struct {
	t     *testing.T
	r     *rand.Rand
	now   float64
	hosts []*machine
	mail  []letter
	cut   map[[2]int]bool

	answered func(at int, a Answer) // sees each answer of a queue to a call, in order; nil: nobody does
}

type machine struct {
	at      int
	node    *consensus.Node
	disk    consensus.HardState
	on      bool
	life    int
	frozen  float64
	queue   *Queue
	state   *config.State
	seen    [2]uint64       // term and index of the entry that state is from
	pending map[int]*passed // calls that were passed on, by number
	number  int
}

type passed struct {
	until float64
	reply func(Answer)
}

type letter struct {
	at       float64
	from, to int // -1: a caller
	take     func()
}

func newCore(t *testing.T, seed uint64, n int) *core {
	c := &core{t: t, r: rand.New(rand.NewPCG(seed, 31)), cut: map[[2]int]bool{}}
	var addrs []string
	for i := range n {
		addrs = append(addrs, address(i))
	}
	for i := range n {
		m := &machine{at: i, disk: consensus.Bootstrap(addrs[i], addrs)}
		c.hosts = append(c.hosts, m)
		c.start(m)
	}
	return c
}

func address(i int) string { return string(rune('0' + i)) }

func place(addr string) int { return int(addr[0] - '0') }

func (c *core) start(m *machine) {
	var seeds []string
	for i := range c.hosts {
		seeds = append(seeds, address(i))
	}
	m.on, m.frozen, m.state, m.pending = true, 0, nil, map[int]*passed{}
	m.life++
	m.queue = New(Limits{Pending: 64, Timeout: 3000})
	m.node = consensus.New(consensus.Options{Addr: address(m.at), Seeds: seeds, MinVoters: len(c.hosts), HeartbeatInterval: 200, ElectionTimeout: 900,
		RemoveAfter: 1e12, Random: c.r.Float64}, clone(m.disk), c.now)
	m.learn(c.t)
}

func clone(h consensus.HardState) consensus.HardState {
	h.Last.Voters, h.Last.Value = slices.Clone(h.Last.Voters), slices.Clone(h.Last.Value)
	return h
}

// learn takes what is known committed, as the control plane does.
func (m *machine) learn(t *testing.T) {
	e, ok := m.node.Committed()
	if !ok || m.state != nil && m.seen == [2]uint64{e.Term, e.Index} {
		return
	}
	s := &config.State{}
	if len(e.Value) > 0 {
		if err := cbor.Unmarshal(e.Value, s); err != nil {
			t.Fatal(err)
		}
	}
	m.state, m.seen = s, [2]uint64{e.Term, e.Index}
}

// settle syncs, sends, learns and decides, in the order of the control plane's loop. Power may be lost before a sync
// or behind it.
func (c *core) settle(m *machine, risk float64) {
	for range 8 {
		if m.node.Dirty() {
			if c.r.Float64() < risk {
				if c.r.IntN(2) == 0 {
					m.disk = clone(m.node.HardState)
				}
				m.on = false
				return
			}
			m.disk = clone(m.node.HardState)
			m.node.Synced(c.now)
		}
		c.post(m)
		m.learn(c.t)
		m.queue.Step(m.node, m.state, c.now, 0)
		if !m.node.Dirty() {
			break
		}
	}
	if !m.node.Dirty() {
		c.post(m)
	}
}

func (c *core) post(m *machine) {
	for _, s := range m.node.Messages() {
		msg := s.Message
		if msg.Entry != nil {
			e := *msg.Entry
			msg.Entry = &e
		}
		to := c.hosts[place(s.To)]
		for range 1 + c.r.IntN(20)/19 {
			c.say(m.at, to.at, func() { to.node.Step(&msg, c.now) })
		}
	}
}

// say has something carried out at another machine, later, or never.
func (c *core) say(from, to int, f func()) {
	if from >= 0 && to >= 0 && c.cut[[2]int{from, to}] || c.r.Float64() < lossOfLetters {
		return
	}
	c.mail = append(c.mail, letter{c.now + 1 + 60*c.r.Float64()*c.r.Float64(), from, to, f})
}

// slow is say over a link that may hold a call up for longer than its caller waits.
func (c *core) slow(from, to int, f func()) {
	if c.r.Float64() >= shareOfSlow {
		c.say(from, to, f)
		return
	}
	c.mail = append(c.mail, letter{c.now + slowest*c.r.Float64(), from, to, f})
}

// step lets time pass, and risk is that of power lost at each sync.
func (c *core) step(risk float64) {
	c.now += stepMillis
	due := c.mail
	c.mail = nil
	for _, l := range due {
		switch m := c.to(l); {
		case l.at > c.now:
			c.mail = append(c.mail, l)
		case m == nil:
			l.take()
		case m.on && m.frozen <= c.now:
			l.take()
			c.settle(m, risk)
		case m.on: // it waits in a buffer until the machine goes on
			l.at = m.frozen + 1
			c.mail = append(c.mail, l)
		}
	}
	for _, m := range c.hosts {
		if !m.on || m.frozen > c.now {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(m.pending)) {
			if p := m.pending[n]; c.now >= p.until {
				delete(m.pending, n)
				p.reply(*unknown(ErrTimeout, "no answer from who leads"))
			}
		}
		m.node.Tick(c.now)
		c.settle(m, risk)
	}
}

func (c *core) to(l letter) *machine {
	if l.to < 0 {
		return nil
	}
	return c.hosts[l.to]
}

// call has a caller's request carried out at a machine; reply may come late, and never comes where the machine's life
// ended.
func (c *core) call(at int, r controlmsg.Request, reply func(Answer)) {
	m := c.hosts[at]
	c.slow(-1, at, func() {
		life := m.life
		back := func(a Answer) {
			if m.life == life {
				c.say(at, -1, func() { reply(a) })
			}
		}
		leader, known := m.node.Leader()
		switch {
		case known && place(leader.Addr) == at:
			m.queue.Submit(&Order{Request: r, Reply: c.seen(at, back)}, c.now)
		case known:
			c.pass(m, c.hosts[place(leader.Addr)], r, back)
		default:
			back(*unknown(ErrNotLeader, "nobody is known to lead"))
		}
	})
}

func (c *core) seen(at int, reply func(Answer)) func(Answer) {
	if c.answered == nil {
		return reply
	}
	return func(a Answer) {
		c.answered(at, a)
		reply(a)
	}
}

func (c *core) pass(m, leader *machine, r controlmsg.Request, back func(Answer)) {
	m.number++
	number, life := m.number, m.life
	m.pending[number] = &passed{c.now + passedFor, back}
	c.slow(m.at, leader.at, func() {
		leader.queue.Submit(&Order{Request: r, Reply: c.seen(leader.at, func(a Answer) {
			c.say(leader.at, m.at, func() {
				if p := m.pending[number]; p != nil && m.life == life {
					delete(m.pending, number)
					p.reply(a)
				}
			})
		})}, c.now)
	})
}

// leader is one that takes orders, nil for none.
func (c *core) leader() *machine {
	for _, m := range c.hosts {
		if m.on && m.node.Established() {
			return m
		}
	}
	return nil
}

// trouble brings one about, of the kinds that a core bears; one machine at a time but for the power.
func (c *core) trouble() {
	m := c.hosts[c.r.IntN(len(c.hosts))]
	if l := c.leader(); l != nil && c.r.IntN(3) > 0 {
		m = l
	}
	switch c.r.IntN(4) {
	case 0:
		m.on = false
	case 1:
		m.frozen = c.now + 300 + 3000*c.r.Float64()
	case 2:
		for i := range c.hosts {
			c.cut[[2]int{m.at, i}], c.cut[[2]int{i, m.at}] = c.r.IntN(4) > 0, true
		}
	case 3:
		for _, m := range c.hosts {
			m.on = false
		}
	}
}

// wake gives power back, and mends cuts.
func (c *core) wake() {
	c.cut = map[[2]int]bool{}
	for _, m := range c.hosts {
		if !m.on {
			c.start(m)
		}
	}
}

// ready waits until one leads.
func (c *core) ready() *machine {
	for range 3000 {
		if m := c.leader(); m != nil && m.state != nil && !m.node.InFlight() {
			return m
		}
		c.step(0)
	}
	c.t.Fatal("nobody leads")
	return nil
}

func replace(base, gen, id int) controlmsg.Request {
	return controlmsg.Request{BaseVersion: uint64(base), Body: fmt.Appendf(nil, `{"gen":%d,"routes":[],"svcs":[],"limits":{"txIdleMs":%d}}`, gen, id)}
}

func amend(base, gen, id int) controlmsg.Request {
	return controlmsg.Request{Amend: true, BaseVersion: uint64(base), Body: fmt.Appendf(nil, `{"gen":%d,"upsert":{"svcs":[{"name":"%d"}]}}`, gen, id)}
}
