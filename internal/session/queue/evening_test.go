package queue

import (
	"fmt"
	"hash"
	"hash/fnv"
	"math/rand/v2"
	"os"
	"runtime"
	"slices"
	"strconv"
	"strings"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/session/sites"
	"weirwind/internal/standin/virtualclock"
)

// evening plays sessions of sites and edges in virtual time: sites are pulled, frozen, drained and come back empty,
// links end, edges die, clients come again by their token, producers repeat what got no answer. The audit: each
// message that was queued arrives once and in order, in both directions.
type evening struct {
	virtualclock.Queue
	r     *rand.Rand
	m     *sites.Map
	sites map[string]*host
	edges map[string]*edgeHost
	conn  map[string]int // breaks of a link
	grant map[string]float64
	cl    []*client
	live  bool
	log   []string

	trace hash.Hash64 // over every message and answer in order; nil: none is kept
}

// record adds a decision to the trace, by the values of its fields in a fixed order.
func (e *evening) record(values ...any) {
	if e.trace != nil {
		b, err := cbor.Marshal(values)
		if err != nil {
			panic(err)
		}
		_, _ = e.trace.Write(b)
	}
}

type host struct {
	name   string
	s      *Site
	life   uint64
	up     bool
	frozen bool
	inbox  []func()
}

type edgeHost struct {
	name  string
	e     *Edge
	up    bool
	next  uint64
	socks map[uint64]*client
}

type client struct {
	id, secret string
	plain      bool
	edge       string
	sock       uint64
	open       bool
	got        uint64
	seen       []string // as they came
	queued     []string // the producer was told that they are, in this order
	maybe      map[string]bool
	sent       []string // to the server
	safe       uint64
	took       []string // by the consumer
	tookN      uint64
	reconnects int
}

func (e *evening) note(f string, args ...any) {
	e.log = append(e.log, fmt.Sprintf("%.0f ", e.Now)+fmt.Sprintf(f, args...))
}

func pair(a, b string) string {
	if a < b {
		return a + " " + b
	}
	return b + " " + a
}

// link carries a message in order; a break loses what is on its way, and both ends hear of it.
func (e *evening) link(from, to string, w Envelope) {
	key := pair(from, to)
	n := e.conn[key]
	e.In(3, func() {
		if e.conn[key] != n {
			return
		}
		if h := e.sites[to]; h != nil {
			h.take(func() { h.s.Receive(from, &w, e.Now); e.flush(h) })
		} else if g := e.edges[to]; g != nil && g.up {
			g.e.Receive(from, &w, e.Now)
			e.flushEdge(g)
		}
	})
}

func (h *host) take(f func()) {
	switch {
	case h.frozen:
		h.inbox = append(h.inbox, f)
	case h.up:
		f()
	}
}

func (e *evening) cut(a, b string) {
	e.conn[pair(a, b)]++
	for _, x := range [][2]string{{a, b}, {b, a}} {
		if g := e.edges[x[0]]; g != nil && g.up {
			e.In(5, func() { g.e.HandleSiteLost(x[1], e.Now); e.flushEdge(g) })
		}
		if h := e.sites[x[0]]; h != nil && e.edges[x[1]] != nil {
			e.In(5, func() { h.take(func() { h.s.HandleEdgeLost(x[1], e.Now); e.flush(h) }) })
		}
	}
}

func (e *evening) flush(h *host) {
	for _, s := range h.s.TakeOutgoing() {
		e.record("site", e.Now, h.name, s.To, s.Envelope)
		e.link(h.name, s.To, s.Envelope)
	}
}

func (e *evening) flushEdge(g *edgeHost) {
	for _, t := range g.e.TakeClientEvents() {
		e.record("client", e.Now, g.name, uint8(t.Kind), t.Socket, t.Number, t.Body, t.Reason, t.Resumable, t.Secret, t.Session)
		c := g.socks[t.Socket]
		if c == nil {
			continue
		}
		switch t.Kind {
		case EventOpened:
			if c.edge == g.name && c.sock == t.Socket {
				c.open = true
				e.resend(c, t.Number)
			}
		case EventMessage:
			if !c.plain && (t.Number <= c.got || c.edge != g.name || c.sock != t.Socket) {
				break // what it has, or on a connection that it has given up
			}
			c.seen = append(c.seen, string(t.Body))
			if c.got+1 != t.Number && c.got != 0 {
				e.note("client %s got %d behind %d", c.id, t.Number, c.got)
				c.seen = append(c.seen, "!gap")
			}
			c.got = t.Number
			if c.plain {
				g.e.Ack(t.Socket, t.Number)
			} else {
				n := t.Number
				e.In(4+float64(e.r.IntN(3)*150), func() {
					if g.up && g.socks[t.Socket] == c {
						g.e.Ack(t.Socket, n)
						e.flushEdge(g)
					}
				})
			}
		case EventPublishAcked:
			c.safe = max(c.safe, t.Number)
		case EventClosed:
			delete(g.socks, t.Socket)
			if c.edge == g.name && c.sock == t.Socket {
				e.note("%s closed: %s", c.id, t.Reason)
				c.open = false
				e.reconnect(c)
			}
		}
	}
	for _, s := range g.e.TakeOutgoing() {
		e.record("edge", e.Now, g.name, s.To, s.Envelope)
		e.link(g.name, s.To, s.Envelope)
	}
}

// resend is what a client of the subprotocol does when it is connected anew: what is not safe goes again, under its
// own numbers.
func (e *evening) resend(c *client, n uint64) {
	c.safe = max(c.safe, n)
	g := e.edges[c.edge]
	for i := c.safe; i < uint64(len(c.sent)); i++ {
		g.e.Publish(c.sock, i+1, []byte(c.sent[i]))
	}
}

func (e *evening) reconnect(c *client) {
	if !e.live && len(c.seen) >= len(c.queued) {
		return
	}
	c.reconnects++
	e.In(50+200*e.r.Float64(), func() { e.connect(c, false) })
}

func (e *evening) connect(c *client, fresh bool) {
	names := []string{"e0", "e1"}
	g := e.edges[names[e.r.IntN(2)]]
	if !g.up {
		e.In(50, func() { e.connect(c, fresh) })
		return
	}
	g.next++
	c.edge, c.sock = g.name, g.next
	g.socks[g.next] = c
	g.e.OpenSocket(g.next, c.id, c.secret, fresh, c.got, e.Now)
	e.flushEdge(g)
}

func (e *evening) spread() {
	m := e.m
	for _, name := range []string{"a", "b", "c", "d"} {
		h := e.sites[name]
		e.In(2+20*e.r.Float64(), func() { h.take(func() { h.s.ApplyMap(m, h.life, e.Now); e.flush(h) }) })
	}
	for _, name := range []string{"e0", "e1"} {
		g := e.edges[name]
		if g == nil {
			continue
		}
		e.In(2+20*e.r.Float64(), func() {
			if g.up {
				g.e.ApplyMap(m, e.Now)
				e.flushEdge(g)
			}
		})
	}
}

func (e *evening) change(c *sites.Change) {
	next, err := e.m.Apply(c)
	if err == nil && next != e.m {
		e.m = next
		e.spread()
	}
}

const leaseFor = 1500.0

// begin starts a life of a site, which renews its lease while it lives.
func (e *evening) begin(h *host) {
	h.life++
	h.s = NewSite(h.name, Limits{Sessions: 20000, SessionBytes: 1 << 20, SessionMessages: 200, MaxAge: 1e9, TotalBytes: 64 << 20, MessageBytes: 1 << 16,
		WindowMessages: 8, WindowBytes: 1 << 20, Replicas: 1, RecentKeys: 64})
	h.up, h.frozen, h.inbox = true, false, nil
	life := h.life
	i := slices.Index([]string{"a", "b", "c", "d"}, h.name)
	e.In(10, func() {
		e.change(&sites.Change{Kind: sites.ChangeJoin, Name: h.name,
			Site: sites.Site{Addr: h.name, Zone: fmt.Sprint("z", i%3), Region: "r", Incarnation: life}})
		e.grant[h.name] = e.Now
	})
	var tick, renew func()
	renew = func() {
		if h.life != life || !h.up {
			return
		}
		if !h.frozen {
			asked := e.Now
			e.In(5, func() { // the core's answer, confirmed
				if s := e.m.Sites[h.name]; s.Incarnation == life && s.State != sites.StateRemoved && h.up {
					e.grant[h.name] = e.Now
					e.In(5, func() { h.take(func() { h.s.ExtendLease(asked + leaseFor) }) })
				}
			})
		}
		e.In(300, renew)
	}
	tick = func() {
		if h.life != life || !h.up {
			return
		}
		if !h.frozen {
			h.s.Tick(e.Now)
			e.flush(h)
		}
		e.In(50, tick)
	}
	e.In(20, renew)
	e.In(20, tick)
}

func (e *evening) lapse() {
	for _, name := range []string{"a", "b", "c", "d"} {
		s, ok := e.m.Sites[name]
		if ok && s.State != sites.StateRemoved && e.Now-e.grant[name] > leaseFor+200 {
			e.note("%s lapses", name)
			e.change(&sites.Change{Kind: sites.ChangeExpire, Name: name, Epoch: s.Epoch})
			if h := e.sites[name]; h.up && !h.frozen { // it begins anew under another life
				h.up = false
				e.In(500, func() { e.begin(h) })
			}
		}
	}
	e.In(50, e.lapse)
}

func (e *evening) kill(h *host, forMs float64) {
	e.note("%s is pulled", h.name)
	h.up = false
	for _, name := range []string{"e0", "e1", "a", "b", "c", "d"} {
		if name != h.name {
			e.cut(h.name, name)
		}
	}
	e.In(forMs, func() {
		if !h.up {
			e.begin(h)
		}
	})
}

// produce queues a message, repeating it under its key until it has an answer.
func (e *evening) produce(c *client, n int) {
	key := fmt.Sprint("k", n)
	body := fmt.Sprint(c.id, "-", n)
	c.maybe[body] = true
	var try func(left int)
	try = func(left int) {
		if left == 0 {
			return
		}
		done := false
		for _, name := range []string{"a", "b", "c", "d"} { // whoever is home answers
			h := e.sites[name]
			if !h.up || h.frozen || h.s.owned[c.id] == nil {
				continue
			}
			h.s.Enqueue(c.id, key, []byte(body), e.Now, func(status Status, n uint64) {
				e.record("reply", e.Now, status, n)
				if e.r.IntN(50) == 0 { // the answer is lost
					e.In(300, func() { try(left - 1) })
					return
				}
				switch {
				case status == 202 || status == 200:
					if !slices.Contains(c.queued, body) {
						c.queued = append(c.queued, body)
					}
				case status == 503 || status == 404:
					e.In(100, func() { try(left - 1) })
				}
			})
			e.flush(h)
			done = true
			break
		}
		if !done {
			e.In(100, func() { try(left - 1) })
		}
	}
	try(60)
}

func (e *evening) consume(c *client) {
	for _, name := range []string{"a", "b", "c", "d"} {
		h := e.sites[name]
		if !h.up || h.frozen {
			continue
		}
		msgs, ok := h.s.Inbox(c.id, c.tookN, e.Now)
		e.record("inbox", msgs, ok)
		if !ok {
			continue
		}
		for _, m := range msgs {
			c.took = append(c.took, string(m.Body))
			c.tookN = m.Number
		}
		if len(msgs) > 0 {
			h.s.Consume(c.id, c.tookN, e.Now)
			e.flush(h)
		}
		return
	}
}

func newEvening(seed uint64, clients int) *evening {
	e := &evening{r: rand.New(rand.NewPCG(seed, 5)), sites: map[string]*host{}, edges: map[string]*edgeHost{},
		conn: map[string]int{}, grant: map[string]float64{}, live: true,
		m: &sites.Map{Sites: map[string]sites.Site{}}}
	for _, name := range []string{"a", "b", "c", "d"} {
		h := &host{name: name}
		e.sites[name] = h
		e.begin(h)
	}
	for _, name := range []string{"e0", "e1"} {
		g := &edgeHost{name: name, e: NewEdge(name, "z0", "r"), up: true, socks: map[uint64]*client{}}
		e.edges[name] = g
		e.edgeTick(g)
	}
	e.In(50, e.lapse)
	e.Pass(400)
	for i := range clients {
		c := &client{id: fmt.Sprint("c", i), secret: fmt.Sprint("s", i), plain: i%3 == 0, maybe: map[string]bool{}}
		e.cl = append(e.cl, c)
		e.connect(c, true)
	}
	return e
}

func (e *evening) edgeTick(g *edgeHost) {
	first := g.e
	var tick func()
	tick = func() {
		if g.e == first && g.up {
			g.e.Tick(e.Now)
			e.flushEdge(g)
			e.In(25, tick)
		}
	}
	e.In(25, tick)
}

func (e *evening) traffic(until float64) {
	for _, c := range e.cl {
		n := 0
		var put, say, take func()
		put = func() {
			if e.Now < until {
				e.produce(c, n)
				n++
				e.In(400*e.r.Float64(), put)
			}
		}
		say = func() {
			if e.Now < until {
				if g := e.edges[c.edge]; c.open && g.up && g.e.CanPublish(c.sock) {
					c.sent = append(c.sent, fmt.Sprint(c.id, ">", len(c.sent)))
					num := uint64(len(c.sent))
					if c.plain {
						num = 0
					}
					g.e.Publish(c.sock, num, []byte(c.sent[len(c.sent)-1]))
					e.flushEdge(g)
				}
				e.In(600*e.r.Float64(), say)
			}
		}
		take = func() {
			e.consume(c)
			e.In(100, take)
		}
		e.In(500*e.r.Float64(), put)
		e.In(500*e.r.Float64(), say)
		e.In(500, take)
	}
}

func (e *evening) audit(closedOK bool) (wrong []string) {
	for _, c := range e.cl {
		if len(c.seen) > 0 && strings.Contains(strings.Join(c.seen, " "), "!gap") {
			wrong = append(wrong, c.id+" saw a gap")
		}
		seen := map[string]int{}
		for _, m := range c.seen {
			seen[m]++
			if seen[m] > 1 {
				wrong = append(wrong, fmt.Sprintf("%s got %s twice", c.id, m))
			}
			if !c.maybe[m] {
				wrong = append(wrong, fmt.Sprintf("%s got %s, which nobody sent", c.id, m))
			}
		}
		for _, m := range c.queued {
			if seen[m] != 1 {
				wrong = append(wrong, fmt.Sprintf("%s never got %s, which was queued", c.id, m))
			}
		}
		for i, m := range c.took {
			if i >= len(c.sent) || c.sent[i] != m {
				wrong = append(wrong, fmt.Sprintf("%s: the consumer's %d is %s", c.id, i, m))
				break
			}
		}
		if len(c.took) < len(c.sent) {
			wrong = append(wrong, fmt.Sprintf("%s: %d were sent, %d came", c.id, len(c.sent), len(c.took)))
		}
		if len(c.took) < int(c.safe) {
			wrong = append(wrong, fmt.Sprintf("%s: %d are safe, %d came", c.id, c.safe, len(c.took)))
		}
		if !closedOK && c.reconnects > 0 {
			wrong = append(wrong, fmt.Sprintf("%s did not stay open", c.id))
		}
	}
	return wrong
}

// playFaults plays an evening whose sites come and go, to its quiet end.
func playFaults(seed uint64, trace hash.Hash64) *evening {
	e := newEvening(seed, 12)
	e.trace = trace
	e.Pass(1000)
	e.traffic(12000)
	names := []string{"a", "b", "c", "d"}
	// One site at a time is away, and only once its sessions have copies again.
	at := 1500.0
	for at < 11000 {
		h := e.sites[names[e.r.IntN(4)]]
		k := e.r.IntN(5)
		e.In(at-e.Now, func() {
			if !h.up || h.frozen {
				return
			}
			switch k {
			case 0:
				e.kill(h, 3000)
			case 1:
				e.note("%s is frozen", h.name)
				h.frozen = true
				e.In(1000+2500*e.r.Float64(), func() {
					h.frozen = false
					for _, f := range h.inbox {
						f()
					}
					h.inbox = nil
				})
			case 2:
				e.note("%s drains", h.name)
				e.change(&sites.Change{Kind: sites.ChangeDrain, Name: h.name, DrainRate: 20})
				e.In(2500, func() { e.change(&sites.Change{Kind: sites.ChangeUndrain, Name: h.name}) })
			case 3:
				e.cut(h.name, fmt.Sprint("e", e.r.IntN(2)))
			case 4:
				e.cut(h.name, names[e.r.IntN(4)])
			}
		})
		at += []float64{4500, 5500, 1200, 300, 300}[k]
	}
	e.Pass(14000)
	e.live = false
	e.Pass(30000)
	return e
}

// Sites are pulled, frozen, drained and return; links break. The edges live: every socket stays open.
func TestEvenings(t *testing.T) {
	seeds := 60
	if n, err := strconv.Atoi(os.Getenv("SEEDS")); err == nil {
		seeds = n
	}
	var gaps []float64
	queued := 0
	for seed := range uint64(seeds) {
		e := playFaults(seed, nil)
		for _, g := range e.edges {
			gaps = append(gaps, g.e.OwnerGaps()...)
		}
		for _, c := range e.cl {
			queued += len(c.queued)
		}
		if wrong := e.audit(false); len(wrong) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, wrong[:min(len(wrong), 4)], strings.Join(e.log, "\n"))
		}
	}
	slices.Sort(gaps)
	t.Logf("%d evenings, %d messages queued, %d changes of home: silence %.0f ms at the median, %.0f at p99, %.0f at most",
		seeds, queued, len(gaps), gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1])
}

// playEdgeFaults plays an evening whose edges die, to its quiet end.
func playEdgeFaults(seed uint64, trace hash.Hash64) *evening {
	e := newEvening(seed, 10)
	e.trace = trace
	for _, c := range e.cl {
		c.plain = false
	}
	e.Pass(1000)
	e.traffic(12000)
	for at := 1500.0; at < 11000; at += 1800 {
		g := e.edges[fmt.Sprint("e", e.r.IntN(2))]
		pull := e.r.IntN(3) == 0
		e.In(at-e.Now, func() {
			e.note("%s dies", g.name)
			gone := g.socks
			g.socks = map[uint64]*client{}
			g.up = false
			for _, name := range []string{"a", "b", "c", "d"} {
				e.cut(g.name, name)
			}
			e.In(400, func() {
				g.e, g.up = NewEdge(g.name, "z0", "r"), true
				g.e.ApplyMap(e.m, e.Now)
				e.edgeTick(g)
			})
			for _, c := range e.cl {
				for _, o := range gone {
					if o == c && c.edge == g.name {
						c.open = false
						e.reconnect(c)
						if e.r.IntN(4) == 0 {
							e.reconnect(c)
						}
					}
				}
			}
			if h := e.sites["b"]; pull && h.up {
				e.kill(h, 3000)
			}
		})
	}
	e.Pass(14000)
	e.live = false
	e.Pass(30000)
	return e
}

// Edges die too: the client's next connection, at any edge, resumes its session from what it has, sometimes two at
// once.
func TestEdgesDie(t *testing.T) {
	for seed := range uint64(40) {
		e := playEdgeFaults(1000+seed, nil)
		if wrong := e.audit(true); len(wrong) > 0 {
			t.Fatalf("seed %d: %v\n%s", seed, wrong[:min(len(wrong), 4)], strings.Join(e.log, "\n"))
		}
	}
}

// A drain hands 5,000 sessions on at its pace, and each socket is without a home for little longer than the messages
// take.
func TestDrainOfThousands(t *testing.T) {
	e := newEvening(7, 0)
	var all []*client
	for i := range 5000 {
		c := &client{id: fmt.Sprint("c", i), secret: "s", maybe: map[string]bool{}}
		all = append(all, c)
		e.cl = all
		e.connect(c, true)
	}
	e.Pass(4000)
	from := e.sites["a"].s.OwnedSessions()
	e.change(&sites.Change{Kind: sites.ChangeDrain, Name: "a", DrainRate: 1000})
	began := e.Now
	for e.sites["a"].s.OwnedSessions() > 0 && e.Now < began+30000 {
		e.Pass(e.Now + 50)
	}
	e.Pass(e.Now + 500)
	var gaps []float64
	for _, g := range e.edges {
		gaps = append(gaps, g.e.OwnerGaps()...)
	}
	slices.Sort(gaps)
	if from < 1000 || e.sites["a"].s.OwnedSessions() > 0 || len(gaps) < from {
		t.Fatalf("%d homes of %d are left, %d changes", e.sites["a"].s.OwnedSessions(), from, len(gaps))
	}
	t.Logf("%d sessions in %.0f ms; silence %.0f ms at the median, %.0f at p99, %.0f at most", from, e.Now-began-500,
		gaps[len(gaps)/2], gaps[len(gaps)*99/100], gaps[len(gaps)-1])
	if gaps[len(gaps)*99/100] > 100 {
		t.Error("over 100 ms at p99")
	}
}

// What an idle session takes at home, at its copy and at its edge together.
func TestIdleMemory(t *testing.T) {
	e := newEvening(8, 0)
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	const n = 10000
	for i := range n {
		c := &client{id: fmt.Sprintf("%032d", i), secret: strings.Repeat("s", 32), edge: "e0"}
		e.connect(c, true)
		if i%500 == 0 {
			e.Pass(e.Now + 100)
		}
	}
	e.Pass(e.Now + 2000)
	e.Drop()
	runtime.GC()
	runtime.ReadMemStats(&after)
	homes := 0
	for _, h := range e.sites {
		homes += h.s.OwnedSessions()
	}
	each := float64(after.HeapAlloc-before.HeapAlloc) / float64(max(homes, 1))
	t.Logf("%d sessions: %.0f bytes each at home, copy and edge", homes, each)
	if homes < 1000 || each > 20<<10 {
		t.Errorf("%d sessions, %.0f bytes each", homes, each)
	}
	runtime.KeepAlive(e)
}

// Every message of sites and edges, everything that clients are told and every reply, in order, over evenings of both
// sorts of faults.
func TestDecisionDigest(t *testing.T) {
	const recorded = 0x84654f2fbf612f12
	trace := fnv.New64a()
	for seed := range uint64(10) {
		playFaults(200+seed, trace)
		playEdgeFaults(1200+seed, trace)
	}
	if got := trace.Sum64(); got != recorded {
		t.Errorf("the digest is %#x, recorded is %#x", got, uint64(recorded))
	}
}
