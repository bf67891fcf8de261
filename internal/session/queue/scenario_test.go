package queue

import (
	"fmt"
	"hash"
	"math/rand/v2"
	"slices"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/session/sites"
	"weirwind/internal/standin/virtualclock"
)

var (
	simSites = []string{"a", "b", "c", "d"}
	simEdges = []string{"e0", "e1"}
)

// scenario plays sessions of sites and edges in virtual time: sites are killed, frozen, drained and come back empty,
// links break, edges die, clients come again by their token, producers repeat what got no answer. verify: each
// message that was acknowledged arrives once and in order, in both directions.
type scenario struct {
	virtualclock.Scheduler
	random     *rand.Rand
	current    *sites.Map
	sites      map[string]*simSite
	edges      map[string]*simEdge
	linkBreaks map[string]int // by pair of ends
	renewedAt  map[string]float64
	clients    []*client
	clientsRun bool
	log        []string

	trace hash.Hash64 // over every message and answer in order; nil: none is kept
}

// record adds a decision to the trace, by the values of its fields in a fixed order.
func (e *scenario) record(values ...any) {
	if e.trace != nil {
		b, err := cbor.Marshal(values)
		if err != nil {
			panic(err)
		}
		_, _ = e.trace.Write(b)
	}
}

type simSite struct {
	name           string
	decider        *Site
	incarnation    uint64
	up             bool
	frozen         bool
	frozenCommands []func()
}

type simEdge struct {
	name       string
	decider    *Edge
	up         bool
	lastSocket uint64
	sockets    map[uint64]*client
}

func (e *scenario) logf(f string, args ...any) {
	e.log = append(e.log, fmt.Sprintf("%.0f ", e.Now)+fmt.Sprintf(f, args...))
}

func pair(a, b string) string {
	if a < b {
		return a + " " + b
	}
	return b + " " + a
}

// deliver carries an envelope in order; a break loses what is on its way, and both ends hear of it.
func (e *scenario) deliver(from, to string, w Envelope) {
	key := pair(from, to)
	n := e.linkBreaks[key]
	e.After(3, func() {
		if e.linkBreaks[key] != n {
			return
		}
		if site := e.sites[to]; site != nil {
			site.run(func() { site.decider.Receive(from, &w, e.Now); e.flushSite(site) })
		} else if edge := e.edges[to]; edge != nil && edge.up {
			edge.decider.Receive(from, &w, e.Now)
			e.flushEdge(edge)
		}
	})
}

func (site *simSite) run(f func()) {
	switch {
	case site.frozen:
		site.frozenCommands = append(site.frozenCommands, f)
	case site.up:
		f()
	}
}

func (e *scenario) breakLink(a, b string) {
	e.linkBreaks[pair(a, b)]++
	for _, x := range [][2]string{{a, b}, {b, a}} {
		if edge := e.edges[x[0]]; edge != nil && edge.up {
			e.After(5, func() { edge.decider.HandleSiteLost(x[1], e.Now); e.flushEdge(edge) })
		}
		if site := e.sites[x[0]]; site != nil && e.edges[x[1]] != nil {
			e.After(5, func() { site.run(func() { site.decider.HandleEdgeLost(x[1], e.Now); e.flushSite(site) }) })
		}
	}
}

func (e *scenario) flushSite(site *simSite) {
	for _, s := range site.decider.TakeOutgoing() {
		e.record("site", e.Now, site.name, s.To, s.Envelope)
		e.deliver(site.name, s.To, s.Envelope)
	}
}

func (e *scenario) flushEdge(edge *simEdge) {
	for _, t := range edge.decider.TakeClientEvents() {
		e.record("client", e.Now, edge.name, uint8(t.Kind), t.Socket, t.Number, t.Body, t.Reason, t.Resumable, t.Secret,
			t.Session)
		c := edge.sockets[t.Socket]
		if c == nil {
			continue
		}
		switch t.Kind {
		case EventOpened:
			if c.edge == edge.name && c.socket == t.Socket {
				c.open = true
				e.resend(c, t.Number)
			}
		case EventMessage:
			if !c.plain && (t.Number <= c.acked || c.edge != edge.name || c.socket != t.Socket) {
				break // what it has, or on a connection that it has given up
			}
			c.received = append(c.received, string(t.Body))
			if c.acked+1 != t.Number && c.acked != 0 {
				e.logf("client %s got %d behind %d", c.id, t.Number, c.acked)
				c.received = append(c.received, "!gap")
			}
			c.acked = t.Number
			if c.plain {
				edge.decider.Ack(t.Socket, t.Number)
			} else {
				n := t.Number
				e.After(4+float64(e.random.IntN(3)*150), func() {
					if edge.up && edge.sockets[t.Socket] == c {
						edge.decider.Ack(t.Socket, n)
						e.flushEdge(edge)
					}
				})
			}
		case EventPublishAcked:
			c.publishAcked = max(c.publishAcked, t.Number)
		case EventClosed:
			delete(edge.sockets, t.Socket)
			if c.edge == edge.name && c.socket == t.Socket {
				e.logf("%s closed: %s", c.id, t.Reason)
				c.open = false
				e.reconnectLater(c)
			}
		}
	}
	for _, s := range edge.decider.TakeOutgoing() {
		e.record("edge", e.Now, edge.name, s.To, s.Envelope)
		e.deliver(edge.name, s.To, s.Envelope)
	}
}

func (e *scenario) publishMap() {
	m := e.current
	for _, name := range simSites {
		site := e.sites[name]
		e.After(2+20*e.random.Float64(), func() {
			site.run(func() {
				site.decider.ApplyMap(m, site.incarnation,
					e.Now)
				e.flushSite(site)
			})
		})
	}
	for _, name := range simEdges {
		edge := e.edges[name]
		if edge == nil {
			continue
		}
		e.After(2+20*e.random.Float64(), func() {
			if edge.up {
				edge.decider.ApplyMap(m, e.Now)
				e.flushEdge(edge)
			}
		})
	}
}

func (e *scenario) change(c *sites.Change) {
	next, err := e.current.Apply(c)
	if err == nil && next != e.current {
		e.current = next
		e.publishMap()
	}
}

const leaseFor = 1500.0

// startSite begins an incarnation of a site, which renews its lease while it runs.
func (e *scenario) startSite(site *simSite) {
	site.incarnation++
	site.decider = NewSite(site.name, Limits{Sessions: 20000, SessionBytes: 1 << 20, SessionMessages: 200, MaxAge: 1e9,
		TotalBytes: 64 << 20, MessageBytes: 1 << 16, WindowMessages: 8, WindowBytes: 1 << 20, Replicas: 1, RecentKeys: 64})
	site.up, site.frozen, site.frozenCommands = true, false, nil
	incarnation := site.incarnation
	i := slices.Index(simSites, site.name)
	e.After(10, func() {
		e.change(&sites.Change{Kind: sites.ChangeJoin, Name: site.name,
			Site: sites.Site{Addr: site.name, Zone: fmt.Sprint("z", i%3), Region: "r", Incarnation: incarnation}})
		e.renewedAt[site.name] = e.Now
	})
	var tick, renew func()
	renew = func() {
		if site.incarnation != incarnation || !site.up {
			return
		}
		if !site.frozen {
			asked := e.Now
			e.After(5, func() { // the core's answer, confirmed
				if s := e.current.Sites[site.name]; s.Incarnation == incarnation && s.State != sites.StateRemoved && site.up {
					e.renewedAt[site.name] = e.Now
					e.After(5, func() { site.run(func() { site.decider.ExtendLease(asked + leaseFor) }) })
				}
			})
		}
		e.After(300, renew)
	}
	tick = func() {
		if site.incarnation != incarnation || !site.up {
			return
		}
		if !site.frozen {
			site.decider.Tick(e.Now)
			e.flushSite(site)
		}
		e.After(50, tick)
	}
	e.After(20, renew)
	e.After(20, tick)
}

// expireLeases is the core's part: a site whose lease has surely expired is removed.
func (e *scenario) expireLeases() {
	for _, name := range simSites {
		s, ok := e.current.Sites[name]
		if ok && s.State != sites.StateRemoved && e.Now-e.renewedAt[name] > leaseFor+200 {
			e.logf("%s lapses", name)
			e.change(&sites.Change{Kind: sites.ChangeExpire, Name: name, Epoch: s.Epoch})
			if site := e.sites[name]; site.up && !site.frozen { // it begins another incarnation
				site.up = false
				e.After(500, func() { e.startSite(site) })
			}
		}
	}
	e.After(50, e.expireLeases)
}

// kill ends a site's process, and its links; another begins after a while.
func (e *scenario) kill(site *simSite, forMs float64) {
	e.logf("%s is pulled", site.name)
	site.up = false
	for _, name := range []string{"e0", "e1", "a", "b", "c", "d"} {
		if name != site.name {
			e.breakLink(site.name, name)
		}
	}
	e.After(forMs, func() {
		if !site.up {
			e.startSite(site)
		}
	})
}

func newScenario(seed uint64, clients int) *scenario {
	e := &scenario{random: rand.New(rand.NewPCG(seed, 5)), sites: map[string]*simSite{}, edges: map[string]*simEdge{},
		linkBreaks: map[string]int{}, renewedAt: map[string]float64{}, clientsRun: true,
		current: &sites.Map{Sites: map[string]sites.Site{}}}
	for _, name := range simSites {
		site := &simSite{name: name}
		e.sites[name] = site
		e.startSite(site)
	}
	for _, name := range simEdges {
		edge := &simEdge{name: name, decider: NewEdge(name, "z0", "r"), up: true, sockets: map[uint64]*client{}}
		e.edges[name] = edge
		e.startEdge(edge)
	}
	e.After(50, e.expireLeases)
	e.RunUntil(400)
	for i := range clients {
		c := &client{id: fmt.Sprint("c", i), secret: fmt.Sprint("s", i), plain: i%3 == 0, produced: map[string]bool{}}
		e.clients = append(e.clients, c)
		e.connect(c, true)
	}
	return e
}

func (e *scenario) startEdge(edge *simEdge) {
	first := edge.decider
	var tick func()
	tick = func() {
		if edge.decider == first && edge.up {
			edge.decider.Tick(e.Now)
			e.flushEdge(edge)
			e.After(25, tick)
		}
	}
	e.After(25, tick)
}
