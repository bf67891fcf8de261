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

// scenario simulates sessions of sites and edges in virtual time: sites are killed, frozen, drained and restarted
// empty, links break, edges crash, clients reconnect with their tokens, and producers retry messages without an answer.
// verify checks that each acknowledged message arrives once and in order, in both directions.
type scenario struct {
	virtualclock.Scheduler
	random        *rand.Rand
	current       *sites.Map
	sites         map[string]*simSite
	edges         map[string]*simEdge
	linkBreaks    map[string]int // number of breaks, by the result of pair
	renewedAt     map[string]float64
	clients       []*client
	clientsActive bool
	log           []string

	trace hash.Hash64 // hash of every message and answer in order; nil: not recorded
}

// record adds the values that describe a decision to the trace.
func (sc *scenario) record(values ...any) {
	if sc.trace != nil {
		b, err := cbor.Marshal(values)
		if err != nil {
			panic(err)
		}
		_, _ = sc.trace.Write(b)
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

func (sc *scenario) logf(format string, args ...any) {
	sc.log = append(sc.log, fmt.Sprintf("%.0f ", sc.Now)+fmt.Sprintf(format, args...))
}

func pair(a, b string) string {
	if a < b {
		return a + " " + b
	}
	return b + " " + a
}

// deliver delivers an envelope in order, unless the link breaks before it arrives.
func (sc *scenario) deliver(from, to string, envelope Envelope) {
	key := pair(from, to)
	breaks := sc.linkBreaks[key]
	sc.After(3, func() {
		if sc.linkBreaks[key] != breaks {
			return
		}
		if site := sc.sites[to]; site != nil {
			site.run(func() { site.decider.Receive(from, &envelope, sc.Now); sc.flushSite(site) })
		} else if edge := sc.edges[to]; edge != nil && edge.up {
			edge.decider.Receive(from, &envelope, sc.Now)
			sc.flushEdge(edge)
		}
	})
}

func (site *simSite) run(command func()) {
	switch {
	case site.frozen:
		site.frozenCommands = append(site.frozenCommands, command)
	case site.up:
		command()
	}
}

func (sc *scenario) breakLink(a, b string) {
	sc.linkBreaks[pair(a, b)]++
	for _, ends := range [][2]string{{a, b}, {b, a}} {
		if edge := sc.edges[ends[0]]; edge != nil && edge.up {
			sc.After(5, func() { edge.decider.HandleSiteLost(ends[1], sc.Now); sc.flushEdge(edge) })
		}
		if site := sc.sites[ends[0]]; site != nil && sc.edges[ends[1]] != nil {
			sc.After(5, func() { site.run(func() { site.decider.HandleEdgeLost(ends[1], sc.Now); sc.flushSite(site) }) })
		}
	}
}

func (sc *scenario) flushSite(site *simSite) {
	for _, outgoing := range site.decider.TakeOutgoing() {
		sc.record("site", sc.Now, site.name, outgoing.To, outgoing.Envelope)
		sc.deliver(site.name, outgoing.To, outgoing.Envelope)
	}
}

func (sc *scenario) flushEdge(edge *simEdge) {
	for _, event := range edge.decider.TakeClientEvents() {
		sc.record("client", sc.Now, edge.name, uint8(event.Kind), event.Socket, event.Number, event.Body, event.Reason, event.Resumable, event.Secret,
			event.Session)
		recipient := edge.sockets[event.Socket]
		if recipient == nil {
			continue
		}
		switch event.Kind {
		case EventOpened:
			if recipient.edge == edge.name && recipient.socket == event.Socket {
				recipient.open = true
				sc.resend(recipient, event.Number)
			}
		case EventMessage:
			if !recipient.plain && (event.Number <= recipient.acked || recipient.edge != edge.name || recipient.socket != event.Socket) {
				break // a duplicate, or on an abandoned connection
			}
			recipient.received = append(recipient.received, string(event.Body))
			if recipient.acked+1 != event.Number && recipient.acked != 0 {
				sc.logf("client %s received %d after %d", recipient.id, event.Number, recipient.acked)
				recipient.received = append(recipient.received, "!gap")
			}
			recipient.acked = event.Number
			if recipient.plain {
				edge.decider.Ack(event.Socket, event.Number)
			} else {
				number := event.Number
				sc.After(4+float64(sc.random.IntN(3)*150), func() {
					if edge.up && edge.sockets[event.Socket] == recipient {
						edge.decider.Ack(event.Socket, number)
						sc.flushEdge(edge)
					}
				})
			}
		case EventPublishAcked:
			recipient.publishAcked = max(recipient.publishAcked, event.Number)
		case EventClosed:
			delete(edge.sockets, event.Socket)
			if recipient.edge == edge.name && recipient.socket == event.Socket {
				sc.logf("%s closed: %s", recipient.id, event.Reason)
				recipient.open = false
				sc.reconnectLater(recipient)
			}
		}
	}
	for _, outgoing := range edge.decider.TakeOutgoing() {
		sc.record("edge", sc.Now, edge.name, outgoing.To, outgoing.Envelope)
		sc.deliver(edge.name, outgoing.To, outgoing.Envelope)
	}
}

func (sc *scenario) publishMap() {
	m := sc.current
	for _, name := range simSites {
		site := sc.sites[name]
		sc.After(2+20*sc.random.Float64(), func() {
			site.run(func() {
				site.decider.ApplyMap(m, site.incarnation,
					sc.Now)
				sc.flushSite(site)
			})
		})
	}
	for _, name := range simEdges {
		edge := sc.edges[name]
		if edge == nil {
			continue
		}
		sc.After(2+20*sc.random.Float64(), func() {
			if edge.up {
				edge.decider.ApplyMap(m, sc.Now)
				sc.flushEdge(edge)
			}
		})
	}
}

func (sc *scenario) change(change *sites.Change) {
	next, err := sc.current.Apply(change)
	if err == nil && next != sc.current {
		sc.current = next
		sc.publishMap()
	}
}

const leaseFor = 1500.0

// startSite starts a new incarnation of a site, which renews its lease while it runs.
func (sc *scenario) startSite(site *simSite) {
	site.incarnation++
	site.decider = NewSite(site.name, Limits{Sessions: 20000, SessionBytes: 1 << 20, SessionMessages: 200, MaxAge: 1e9,
		TotalBytes: 64 << 20, MessageBytes: 1 << 16, WindowMessages: 8, WindowBytes: 1 << 20, Replicas: 1, RecentKeys: 64})
	site.up, site.frozen, site.frozenCommands = true, false, nil
	incarnation := site.incarnation
	siteIndex := slices.Index(simSites, site.name)
	sc.After(10, func() {
		sc.change(&sites.Change{Kind: sites.ChangeJoin, Name: site.name,
			Site: sites.Site{Addr: site.name, Zone: fmt.Sprint("z", siteIndex%3), Region: "r", Incarnation: incarnation}})
		sc.renewedAt[site.name] = sc.Now
	})
	var tick, renew func()
	renew = func() {
		if site.incarnation != incarnation || !site.up {
			return
		}
		if !site.frozen {
			requestedAt := sc.Now
			sc.After(5, func() { // the core's answer
				if entry := sc.current.Sites[site.name]; entry.Incarnation == incarnation &&
					entry.State != sites.StateRemoved && site.up {
					sc.renewedAt[site.name] = sc.Now
					sc.After(5, func() { site.run(func() { site.decider.ExtendLease(requestedAt + leaseFor) }) })
				}
			})
		}
		sc.After(300, renew)
	}
	tick = func() {
		if site.incarnation != incarnation || !site.up {
			return
		}
		if !site.frozen {
			site.decider.Tick(sc.Now)
			sc.flushSite(site)
		}
		sc.After(50, tick)
	}
	sc.After(20, renew)
	sc.After(20, tick)
}

// expireLeases does what the core does: it removes sites whose leases have certainly expired.
func (sc *scenario) expireLeases() {
	for _, name := range simSites {
		entry, ok := sc.current.Sites[name]
		if ok && entry.State != sites.StateRemoved && sc.Now-sc.renewedAt[name] > leaseFor+200 {
			sc.logf("%s is removed, its lease has expired", name)
			sc.change(&sites.Change{Kind: sites.ChangeExpire, Name: name, Epoch: entry.Epoch})
			if site := sc.sites[name]; site.up && !site.frozen { // the process starts a new incarnation
				site.up = false
				sc.After(500, func() { sc.startSite(site) })
			}
		}
	}
	sc.After(50, sc.expireLeases)
}

// kill ends a site's process and its links, and starts a new process after the downtime.
func (sc *scenario) kill(site *simSite, downtimeMs float64) {
	sc.logf("%s is killed", site.name)
	site.up = false
	for _, name := range []string{"e0", "e1", "a", "b", "c", "d"} {
		if name != site.name {
			sc.breakLink(site.name, name)
		}
	}
	sc.After(downtimeMs, func() {
		if !site.up {
			sc.startSite(site)
		}
	})
}

func newScenario(seed uint64, clients int) *scenario {
	sc := &scenario{random: rand.New(rand.NewPCG(seed, 5)), sites: map[string]*simSite{}, edges: map[string]*simEdge{},
		linkBreaks: map[string]int{}, renewedAt: map[string]float64{}, clientsActive: true,
		current: &sites.Map{Sites: map[string]sites.Site{}}}
	for _, name := range simSites {
		site := &simSite{name: name}
		sc.sites[name] = site
		sc.startSite(site)
	}
	for _, name := range simEdges {
		edge := &simEdge{name: name, decider: NewEdge(name, "z0", "r"), up: true, sockets: map[uint64]*client{}}
		sc.edges[name] = edge
		sc.startEdge(edge)
	}
	sc.After(50, sc.expireLeases)
	sc.RunUntil(400)
	for i := range clients {
		newClient := &client{id: fmt.Sprint("c", i), secret: fmt.Sprint("s", i), plain: i%3 == 0, produced: map[string]bool{}}
		sc.clients = append(sc.clients, newClient)
		sc.connect(newClient, true)
	}
	return sc
}

func (sc *scenario) startEdge(edge *simEdge) {
	decider := edge.decider
	var tick func()
	tick = func() {
		if edge.decider == decider && edge.up {
			edge.decider.Tick(sc.Now)
			sc.flushEdge(edge)
			sc.After(25, tick)
		}
	}
	sc.After(25, tick)
}
