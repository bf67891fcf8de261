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
	stepMs           = 10.0
	forwardTimeoutMs = 3000.0 // a server waits so long for the leader
	callTimeoutMs    = 1000.0 // a caller waits so long for a server
	maxAttempts      = 9
	lossRate         = 0.05
	slowRate         = 0.05
	slowestMs        = 5000.0
)

// cluster runs the servers of a control plane in virtual time: consensus, queues of orders, and the callers' calls,
// which any server forwards to the leader. Messages and calls are lost, late and duplicated; servers freeze, are
// partitioned, and lose power before or after a sync.
type cluster struct {
	t           *testing.T
	r           *rand.Rand
	now         float64
	servers     []*server
	inFlight    []message
	partitioned map[[2]int]bool

	onAnswer func(at int, a Answer) // sees each answer of a queue, in order; may be nil
}

type server struct {
	index       int
	node        *consensus.Node
	disk        consensus.HardState
	running     bool
	incarnation int
	frozenUntil float64
	queue       *Queue
	state       *config.State
	seenEntry   [2]uint64              // term and index of the entry that state is of
	forwarded   map[int]*forwardedCall // to the leader, by number
	lastNumber  int
}

type forwardedCall struct {
	deadline float64
	reply    func(Answer)
}

type message struct {
	at       float64
	from, to int // -1: a caller
	deliver  func()
}

func newCluster(t *testing.T, seed uint64, n int) *cluster {
	c := &cluster{t: t, r: rand.New(rand.NewPCG(seed, 31)), partitioned: map[[2]int]bool{}}
	var addrs []string
	for i := range n {
		addrs = append(addrs, address(i))
	}
	for i := range n {
		srv := &server{index: i, disk: consensus.Bootstrap(addrs[i], addrs)}
		c.servers = append(c.servers, srv)
		c.start(srv)
	}
	return c
}

func address(i int) string { return string(rune('0' + i)) }

func indexOf(addr string) int { return int(addr[0] - '0') }

func (c *cluster) start(srv *server) {
	var seeds []string
	for i := range c.servers {
		seeds = append(seeds, address(i))
	}
	srv.running, srv.frozenUntil, srv.state, srv.forwarded = true, 0, nil, map[int]*forwardedCall{}
	srv.incarnation++
	srv.queue = New(Limits{Pending: 64, Timeout: 3000})
	srv.node = consensus.New(consensus.Options{
		Addr:              address(srv.index),
		Seeds:             seeds,
		MinVoters:         len(c.servers),
		HeartbeatInterval: 200,
		ElectionTimeout:   900,
		RemoveAfter:       1e12,
		Random:            c.r.Float64,
	}, clone(srv.disk), c.now)
	srv.applyCommitted(c.t)
}

func clone(h consensus.HardState) consensus.HardState {
	h.Last.Voters, h.Last.Value = slices.Clone(h.Last.Voters), slices.Clone(h.Last.Value)
	return h
}

// applyCommitted decodes the newest committed entry, as the control plane does.
func (srv *server) applyCommitted(t *testing.T) {
	e, ok := srv.node.Committed()
	if !ok || srv.state != nil && srv.seenEntry == [2]uint64{e.Term, e.Index} {
		return
	}
	s := &config.State{}
	if len(e.Value) > 0 {
		if err := cbor.Unmarshal(e.Value, s); err != nil {
			t.Fatal(err)
		}
	}
	srv.state, srv.seenEntry = s, [2]uint64{e.Term, e.Index}
}

// process syncs, sends, applies and decides, in the order of the control plane's loop. With probability risk, power
// is lost before or after a sync.
func (c *cluster) process(srv *server, risk float64) {
	for range 8 {
		if srv.node.Dirty() {
			if c.r.Float64() < risk {
				if c.r.IntN(2) == 0 {
					srv.disk = clone(srv.node.HardState)
				}
				srv.running = false
				return
			}
			srv.disk = clone(srv.node.HardState)
			srv.node.Synced(c.now)
		}
		c.sendMessages(srv)
		srv.applyCommitted(c.t)
		srv.queue.Step(srv.node, srv.state, c.now, 0)
		if !srv.node.Dirty() {
			break
		}
	}
	if !srv.node.Dirty() {
		c.sendMessages(srv)
	}
}

func (c *cluster) sendMessages(srv *server) {
	for _, s := range srv.node.Messages() {
		msg := s.Message
		if msg.Entry != nil {
			e := *msg.Entry
			msg.Entry = &e
		}
		to := c.servers[indexOf(s.To)]
		for range 1 + c.r.IntN(20)/19 {
			c.transmit(srv.index, to.index, func() { to.node.Step(&msg, c.now) })
		}
	}
}

// transmit has f run at another server, later or never.
func (c *cluster) transmit(from, to int, f func()) {
	if from >= 0 && to >= 0 && c.partitioned[[2]int{from, to}] || c.r.Float64() < lossRate {
		return
	}
	c.inFlight = append(c.inFlight, message{c.now + 1 + 60*c.r.Float64()*c.r.Float64(), from, to, f})
}

// transmitSlowly is transmit over a link that may delay a call for longer than its caller waits.
func (c *cluster) transmitSlowly(from, to int, f func()) {
	if c.r.Float64() >= slowRate {
		c.transmit(from, to, f)
		return
	}
	c.inFlight = append(c.inFlight, message{c.now + slowestMs*c.r.Float64(), from, to, f})
}

// step advances time by stepMs; risk is the probability that power is lost at each sync.
func (c *cluster) step(risk float64) {
	c.now += stepMs
	due := c.inFlight
	c.inFlight = nil
	for _, msg := range due {
		switch srv := c.target(msg); {
		case msg.at > c.now:
			c.inFlight = append(c.inFlight, msg)
		case srv == nil:
			msg.deliver()
		case srv.running && srv.frozenUntil <= c.now:
			msg.deliver()
			c.process(srv, risk)
		case srv.running: // buffered until the server goes on
			msg.at = srv.frozenUntil + 1
			c.inFlight = append(c.inFlight, msg)
		}
	}
	for _, srv := range c.servers {
		if !srv.running || srv.frozenUntil > c.now {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(srv.forwarded)) {
			if p := srv.forwarded[n]; c.now >= p.deadline {
				delete(srv.forwarded, n)
				p.reply(*unknown(ErrTimeout, "no answer from the leader"))
			}
		}
		srv.node.Tick(c.now)
		c.process(srv, risk)
	}
}

func (c *cluster) target(msg message) *server {
	if msg.to < 0 {
		return nil
	}
	return c.servers[msg.to]
}

// call has a server carry out a caller's request. The reply may be late, and is lost where the server restarted.
func (c *cluster) call(at int, r controlmsg.Request, reply func(Answer)) {
	srv := c.servers[at]
	c.transmitSlowly(-1, at, func() {
		life := srv.incarnation
		back := func(a Answer) {
			if srv.incarnation == life {
				c.transmit(at, -1, func() { reply(a) })
			}
		}
		leader, known := srv.node.Leader()
		switch {
		case known && indexOf(leader.Addr) == at:
			srv.queue.Submit(&Order{Request: r, Reply: c.observed(at, back)}, c.now)
		case known:
			c.forward(srv, c.servers[indexOf(leader.Addr)], r, back)
		default:
			back(*unknown(ErrNotLeader, "no leader is known"))
		}
	})
}

func (c *cluster) observed(at int, reply func(Answer)) func(Answer) {
	if c.onAnswer == nil {
		return reply
	}
	return func(a Answer) {
		c.onAnswer(at, a)
		reply(a)
	}
}

func (c *cluster) forward(srv, leader *server, r controlmsg.Request, back func(Answer)) {
	srv.lastNumber++
	number, life := srv.lastNumber, srv.incarnation
	srv.forwarded[number] = &forwardedCall{c.now + forwardTimeoutMs, back}
	c.transmitSlowly(srv.index, leader.index, func() {
		leader.queue.Submit(&Order{Request: r, Reply: c.observed(leader.index, func(a Answer) {
			c.transmit(leader.index, srv.index, func() {
				if p := srv.forwarded[number]; p != nil && srv.incarnation == life {
					delete(srv.forwarded, number)
					p.reply(a)
				}
			})
		})}, c.now)
	})
}

// leader gives a server that decides orders, nil for none.
func (c *cluster) leader() *server {
	for _, srv := range c.servers {
		if srv.running && srv.node.Established() {
			return srv
		}
	}
	return nil
}

// injectFault stops, freezes or partitions one server, or stops all of them.
func (c *cluster) injectFault() {
	srv := c.servers[c.r.IntN(len(c.servers))]
	if msg := c.leader(); msg != nil && c.r.IntN(3) > 0 {
		srv = msg
	}
	switch c.r.IntN(4) {
	case 0:
		srv.running = false
	case 1:
		srv.frozenUntil = c.now + 300 + 3000*c.r.Float64()
	case 2:
		for i := range c.servers {
			c.partitioned[[2]int{srv.index, i}], c.partitioned[[2]int{i, srv.index}] = c.r.IntN(4) > 0, true
		}
	case 3:
		for _, srv := range c.servers {
			srv.running = false
		}
	}
}

// recoverAll restarts stopped servers and heals partitions.
func (c *cluster) recoverAll() {
	c.partitioned = map[[2]int]bool{}
	for _, srv := range c.servers {
		if !srv.running {
			c.start(srv)
		}
	}
}

// waitForLeader waits for a leader with nothing in flight.
func (c *cluster) waitForLeader() *server {
	for range 3000 {
		if srv := c.leader(); srv != nil && srv.state != nil && !srv.node.InFlight() {
			return srv
		}
		c.step(0)
	}
	c.t.Fatal("nobody leads")
	return nil
}

func replacement(base, gen, id int) controlmsg.Request {
	body := fmt.Appendf(nil, `{"gen":%d,"routes":[],"svcs":[],"limits":{"txIdleMs":%d}}`, gen, id)
	return controlmsg.Request{BaseVersion: uint64(base), Body: body}
}

func amendment(base, gen, id int) controlmsg.Request {
	body := fmt.Appendf(nil, `{"gen":%d,"upsert":{"svcs":[{"name":"%d"}]}}`, gen, id)
	return controlmsg.Request{Amend: true, BaseVersion: uint64(base), Body: body}
}
