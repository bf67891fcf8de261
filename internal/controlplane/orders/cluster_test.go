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
	forwardTimeoutMs = 3000.0 // how long a server waits for the leader's answer
	callTimeoutMs    = 1000.0 // how long a caller waits for a server's answer
	maxAttempts      = 9      // per call
	lossRate         = 0.05   // share of messages that are lost
	slowCallRate     = 0.05   // share of calls that are delayed by up to maxSlowCallMs
	maxSlowCallMs    = 5000.0
)

// cluster simulates the servers of a control plane in virtual time: consensus, the queues of orders, and clients'
// calls, which any server forwards to the leader. Messages and calls are lost, delayed and duplicated; servers freeze,
// are partitioned, and lose power before or after a sync.
type cluster struct {
	t           *testing.T
	random      *rand.Rand
	now         float64
	servers     []*server
	inFlight    []message
	partitioned map[[2]int]bool

	onAnswer func(serverIndex int, a Answer) // called for each answer of a queue, in order; may be nil
}

type server struct {
	index          int
	node           *consensus.Node
	disk           consensus.HardState
	running        bool
	incarnation    int
	frozenUntil    float64
	queue          *Queue
	state          *config.State
	appliedEntry   [2]uint64              // term and index of the entry that state was decoded from
	forwarded      map[int]*forwardedCall // calls forwarded to the leader, by number
	lastCallNumber int
}

type forwardedCall struct {
	deadline float64
	reply    func(Answer)
}

type message struct {
	dueAt    float64
	from, to int // server indexes; -1 is a client
	deliver  func()
}

func newCluster(t *testing.T, seed uint64, size int) *cluster {
	c := &cluster{t: t, random: rand.New(rand.NewPCG(seed, 31)), partitioned: map[[2]int]bool{}}
	var addrs []string
	for i := range size {
		addrs = append(addrs, address(i))
	}
	for i := range size {
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
		Random:            c.random.Float64,
	}, clone(srv.disk), c.now)
	srv.applyCommitted(c.t)
}

func clone(h consensus.HardState) consensus.HardState {
	h.Last.Voters, h.Last.Value = slices.Clone(h.Last.Voters), slices.Clone(h.Last.Value)
	return h
}

// applyCommitted decodes the newest committed entry into the server's state, as the control plane does.
func (srv *server) applyCommitted(t *testing.T) {
	e, ok := srv.node.Committed()
	if !ok || srv.state != nil && srv.appliedEntry == [2]uint64{e.Term, e.Index} {
		return
	}
	s := &config.State{}
	if len(e.Value) > 0 {
		if err := cbor.Unmarshal(e.Value, s); err != nil {
			t.Fatal(err)
		}
	}
	srv.state, srv.appliedEntry = s, [2]uint64{e.Term, e.Index}
}

// process syncs, sends messages, applies entries and decides orders, in the same sequence as the control plane's loop.
// At each sync power is lost with probability powerLossRate, either before or after it.
func (c *cluster) process(srv *server, powerLossRate float64) {
	for range 8 {
		if srv.node.Dirty() {
			if c.random.Float64() < powerLossRate {
				if c.random.IntN(2) == 0 {
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
	for _, outgoing := range srv.node.Messages() {
		msg := outgoing.Message
		if msg.Entry != nil {
			e := *msg.Entry
			msg.Entry = &e
		}
		to := c.servers[indexOf(outgoing.To)]
		for range 1 + c.random.IntN(20)/19 {
			c.transmit(srv.index, to.index, func() { to.node.Step(&msg, c.now) })
		}
	}
}

// transmit schedules f, which delivers a message, after a random delay, or drops the message.
func (c *cluster) transmit(from, to int, f func()) {
	if from >= 0 && to >= 0 && c.partitioned[[2]int{from, to}] || c.random.Float64() < lossRate {
		return
	}
	c.inFlight = append(c.inFlight, message{c.now + 1 + 60*c.random.Float64()*c.random.Float64(), from, to, f})
}

// transmitSlowly is like transmit, but may delay a call for longer than its caller waits.
func (c *cluster) transmitSlowly(from, to int, f func()) {
	if c.random.Float64() >= slowCallRate {
		c.transmit(from, to, f)
		return
	}
	c.inFlight = append(c.inFlight, message{c.now + maxSlowCallMs*c.random.Float64(), from, to, f})
}

// step advances time by stepMs. powerLossRate is the probability that a server loses power at a sync.
func (c *cluster) step(powerLossRate float64) {
	c.now += stepMs
	due := c.inFlight
	c.inFlight = nil
	for _, msg := range due {
		switch srv := c.target(msg); {
		case msg.dueAt > c.now:
			c.inFlight = append(c.inFlight, msg)
		case srv == nil:
			msg.deliver()
		case srv.running && srv.frozenUntil <= c.now:
			msg.deliver()
			c.process(srv, powerLossRate)
		case srv.running: // frozen: the message is buffered until the server resumes
			msg.dueAt = srv.frozenUntil + 1
			c.inFlight = append(c.inFlight, msg)
		}
	}
	for _, srv := range c.servers {
		if !srv.running || srv.frozenUntil > c.now {
			continue
		}
		for _, n := range slices.Sorted(maps.Keys(srv.forwarded)) {
			if pendingCall := srv.forwarded[n]; c.now >= pendingCall.deadline {
				delete(srv.forwarded, n)
				pendingCall.reply(*unknown(ErrTimeout, "no answer from the leader"))
			}
		}
		srv.node.Tick(c.now)
		c.process(srv, powerLossRate)
	}
}

func (c *cluster) target(msg message) *server {
	if msg.to < 0 {
		return nil
	}
	return c.servers[msg.to]
}

// call sends a client's request to a server. The reply may be late, and it is lost if the server restarts meanwhile.
func (c *cluster) call(serverIndex int, req controlmsg.Request, reply func(Answer)) {
	srv := c.servers[serverIndex]
	c.transmitSlowly(-1, serverIndex, func() {
		incarnation := srv.incarnation
		sendReply := func(a Answer) {
			if srv.incarnation == incarnation {
				c.transmit(serverIndex, -1, func() { reply(a) })
			}
		}
		leader, known := srv.node.Leader()
		switch {
		case known && indexOf(leader.Addr) == serverIndex:
			srv.queue.Submit(&Order{Request: req, Reply: c.observed(serverIndex, sendReply)}, c.now)
		case known:
			c.forward(srv, c.servers[indexOf(leader.Addr)], req, sendReply)
		default:
			sendReply(*unknown(ErrNotLeader, "no leader is known"))
		}
	})
}

func (c *cluster) observed(serverIndex int, reply func(Answer)) func(Answer) {
	if c.onAnswer == nil {
		return reply
	}
	return func(a Answer) {
		c.onAnswer(serverIndex, a)
		reply(a)
	}
}

func (c *cluster) forward(srv, leader *server, req controlmsg.Request, reply func(Answer)) {
	srv.lastCallNumber++
	number, incarnation := srv.lastCallNumber, srv.incarnation
	srv.forwarded[number] = &forwardedCall{c.now + forwardTimeoutMs, reply}
	c.transmitSlowly(srv.index, leader.index, func() {
		leader.queue.Submit(&Order{Request: req, Reply: c.observed(leader.index, func(a Answer) {
			c.transmit(leader.index, srv.index, func() {
				if pendingCall := srv.forwarded[number]; pendingCall != nil && srv.incarnation == incarnation {
					delete(srv.forwarded, number)
					pendingCall.reply(a)
				}
			})
		})}, c.now)
	})
}

// leader returns a server that is an established leader, nil for none.
func (c *cluster) leader() *server {
	for _, srv := range c.servers {
		if srv.running && srv.node.Established() {
			return srv
		}
	}
	return nil
}

// injectFault stops, freezes or partitions one server, most often the leader, or stops all servers.
func (c *cluster) injectFault() {
	srv := c.servers[c.random.IntN(len(c.servers))]
	if leader := c.leader(); leader != nil && c.random.IntN(3) > 0 {
		srv = leader
	}
	switch c.random.IntN(4) {
	case 0:
		srv.running = false
	case 1:
		srv.frozenUntil = c.now + 300 + 3000*c.random.Float64()
	case 2:
		for i := range c.servers {
			c.partitioned[[2]int{srv.index, i}], c.partitioned[[2]int{i, srv.index}] = c.random.IntN(4) > 0, true
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

// waitForLeader advances time until there is a leader with no entry in flight.
func (c *cluster) waitForLeader() *server {
	for range 3000 {
		if srv := c.leader(); srv != nil && srv.state != nil && !srv.node.InFlight() {
			return srv
		}
		c.step(0)
	}
	c.t.Fatal("no leader was elected")
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
