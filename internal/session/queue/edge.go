package queue

// This file owns the edge: where sockets end. It knows of each what it wrote and what the client sent that is not safe
// yet, and finds the session's home anew whenever that changes, so that the client notices nothing.

import (
	"cmp"
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

const (
	locateInterval  = 100.0
	locateTimeout   = 15000.0 // a socket without a home for so long is closed; its session may be there still
	unknownTimeout  = 4000.0  // one that was never opened, longer than a lease: its session is unknown, or its secret wrong
	republishAfter  = 500.0   // what is not safe by then is said again
	maxUnacked      = 64      // messages of a client that are not safe yet; more are not read
	maxUnackedBytes = 256 << 10
)

// ToClientKind is what a socket's client is to be told.
type ClientEventKind uint8

const (
	EventOpened       ClientEventKind = iota + 1 // Session, Secret; N: of its messages all up to that are safe
	EventMessage                                 // N, Body
	EventPublishAcked                            // its messages up to N are
	EventClosed                                  // Why
)

// ToClient is one thing for a client.
type ClientEvent struct {
	Kind      ClientEventKind
	Socket    uint64
	Number    uint64
	Body      []byte
	Reason    string
	Resumable bool // the session may be there still
	Secret    string
	Session   string
}

type socket struct {
	id          uint64
	session     string
	secret      string
	newSession  bool // the session begins with this socket
	connection  uint64
	epoch       uint64
	owner       string
	replicas    []string
	delivered   uint64
	acked       uint64    // by the client's word
	unacked     []Message // not safe yet
	published   uint64
	attached    bool
	opened      bool
	retryAt     float64
	detachedAt  float64 // not attached since
	attempts    int
	publishedAt float64
}

// Edge is one process.
type Edge struct {
	Name      string
	current   *sites.Map
	zone      string
	region    string
	sockets   map[uint64]*socket
	outgoing  []Outgoing
	events    []ClientEvent
	ownerGaps []float64 // how long sockets were without a home
}

// NewEdge is one without a socket.
func NewEdge(name, zone, region string) *Edge {
	return &Edge{Name: name, zone: zone, region: region, sockets: map[uint64]*socket{}}
}

// Sends gives what is to be said to sites, Tells what to clients; both are forgotten.
func (e *Edge) TakeOutgoing() []Outgoing {
	out := e.outgoing
	e.outgoing = nil
	return out
}

func (e *Edge) TakeClientEvents() []ClientEvent {
	out := e.events
	e.events = nil
	return out
}

// Gaps gives how long sockets were without a home, in milliseconds, of the newest changes.
func (e *Edge) OwnerGaps() []float64 { return e.ownerGaps }

// Sockets is how many are open.
func (e *Edge) Sockets() int { return len(e.sockets) }

func (e *Edge) send(to string, k *socket, w Envelope) {
	w.Session, w.Socket = k.session, k.id
	e.outgoing = append(e.outgoing, Outgoing{to, w})
}

// Open takes a socket. fresh: its session begins; else got is what the client has of it.
func (e *Edge) OpenSocket(id uint64, session, secret string, fresh bool, got uint64, now float64) {
	k := &socket{id: id, session: session, secret: secret, newSession: fresh, delivered: got, acked: got, detachedAt: now}
	e.sockets[id] = k
	e.locateOwner(k, now)
}

// nearestSites gives the sites that take new sessions, near ones first.
func (e *Edge) nearestSites() []string {
	var all []string
	for name, s := range e.current.Sites {
		if s.State == sites.StateActive {
			all = append(all, name)
		}
	}
	far := func(name string) int {
		switch s := e.current.Sites[name]; {
		case s.Zone == e.zone:
			return 0
		case s.Region == e.region:
			return 1
		}
		return 2
	}
	slices.SortFunc(all, func(a, b string) int { return cmp.Or(cmp.Compare(far(a), far(b)), cmp.Compare(a, b)) })
	return all
}

// findHome goes for the session's home.
func (e *Edge) locateOwner(k *socket, now float64) {
	k.retryAt = now + locateInterval
	k.attempts++
	if e.current == nil {
		return
	}
	if k.newSession && k.epoch == 0 {
		if all := e.nearestSites(); len(all) > 0 {
			k.owner = all[(k.attempts-1)%len(all)]
			e.attach(k)
		}
		return
	}
	if k.owner != "" && e.current.Alive(k.owner) && k.attempts%3 != 0 {
		e.attach(k)
		return
	}
	for _, c := range k.replicas {
		if e.current.Alive(c) && k.attempts%3 != 0 {
			k.owner = c
			e.attach(k)
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.current.Sites)) {
		if e.current.Alive(name) {
			e.send(name, k, Envelope{Kind: KindLocate})
		}
	}
}

func (e *Edge) attach(k *socket) {
	e.send(k.owner, k, Envelope{Kind: KindAttach, Secret: k.secret, Connection: k.connection, Number: k.delivered, Base: k.acked, New: k.newSession &&
		k.epoch == 0})
}

// lose notes that a socket has no home.
func (k *socket) detach(now float64) {
	if k.attached {
		k.attached, k.detachedAt, k.attempts = false, now, 0
	}
}

// ApplyMap takes a newer map.
func (e *Edge) ApplyMap(m *sites.Map, now float64) {
	if m == nil || e.current != nil && m.Version <= e.current.Version {
		return
	}
	old := e.current
	e.current = m
	for _, id := range slices.Sorted(maps.Keys(e.sockets)) {
		k := e.sockets[id]
		if old != nil && k.owner != "" && old.Sites[k.owner].Epoch == m.Sites[k.owner].Epoch &&
			m.Sites[k.owner].State != sites.StateRemoved {
			continue
		}
		k.detach(now)
		e.locateOwner(k, now)
	}
}

// LostSite notes that the link to a site has ended.
func (e *Edge) HandleSiteLost(site string, now float64) {
	for _, id := range slices.Sorted(maps.Keys(e.sockets)) {
		if k := e.sockets[id]; k.owner == site {
			k.detach(now)
			k.retryAt = min(k.retryAt, now+locateInterval/2)
		}
	}
}

// Close takes the end of a socket.
func (e *Edge) CloseSocket(id uint64) {
	if k := e.sockets[id]; k != nil {
		if k.attached {
			e.send(k.owner, k, Envelope{Kind: KindDetach})
		}
		delete(e.sockets, id)
	}
}

// HasRoom says whether more of a client's messages may be read now.
func (e *Edge) CanPublish(id uint64) bool {
	k := e.sockets[id]
	if k == nil || !k.opened || len(k.unacked) >= maxUnacked {
		return false
	}
	bytes := 0
	for i := range k.unacked {
		bytes += len(k.unacked[i].Body)
	}
	return bytes < maxUnackedBytes
}

// Publish takes a client's message. n is the client's own number for it, 0 where it has none; one that came before
// changes nothing.
func (e *Edge) Publish(id, n uint64, body []byte) {
	k := e.sockets[id]
	if k == nil || !k.opened {
		return
	}
	if n > 0 && n <= k.published {
		return
	}
	k.published++
	if n > 0 && n != k.published {
		e.endSocket(k, "message numbers go up by one", false)
		return
	}
	m := Message{Number: k.published, Body: body}
	k.unacked = append(k.unacked, m)
	if k.attached {
		e.send(k.owner, k, Envelope{Kind: KindPublish, Epoch: k.epoch, Messages: []Message{m}})
	}
}

// Ack is the client's word, or the socket's of a plain client, that it has all up to n.
func (e *Edge) Ack(id, n uint64) {
	if k := e.sockets[id]; k != nil && n > k.acked && n <= k.delivered {
		k.acked = n
		if k.attached {
			e.send(k.owner, k, Envelope{Kind: KindAck, Epoch: k.epoch, Number: n})
		}
	}
}

// closeSocket ends a socket, again: its session may be there still.
func (e *Edge) endSocket(k *socket, why string, again bool) {
	e.events = append(e.events, ClientEvent{Kind: EventClosed, Socket: k.id, Reason: why, Resumable: again})
	e.CloseSocket(k.id)
}

// Receive takes a site's word.
func (e *Edge) Receive(from string, w *Envelope, now float64) {
	k := e.sockets[w.Socket]
	if k == nil || k.session != w.Session || w.Epoch > 0 && w.Epoch < k.epoch {
		return
	}
	switch w.Kind {
	case KindAttached:
		if from != k.owner {
			return
		}
		if k.connection > 0 && !k.attached {
			if e.ownerGaps = append(e.ownerGaps, now-k.detachedAt); len(e.ownerGaps) > 8192 {
				e.ownerGaps = slices.Delete(e.ownerGaps, 0, 2048)
			}
		}
		first := !k.opened
		k.delivered = max(k.delivered, w.Base) // the client had those by an earlier connection
		k.attached, k.opened, k.epoch, k.connection, k.replicas, k.attempts = true, true, w.Epoch, w.Connection, w.Replicas, 0
		if first {
			k.published = max(k.published, w.Number)
			e.events = append(e.events, ClientEvent{Kind: EventOpened, Socket: k.id, Number: w.Number, Secret: k.secret, Session: k.session})
		} else {
			e.ackPublished(k, w.Number)
		}
		e.publish(k, now)
	case KindDeliver:
		if !k.attached || from != k.owner {
			return
		}
		k.epoch = w.Epoch
		for _, m := range w.Messages {
			if m.Number == k.delivered+1 {
				k.delivered = m.Number
				e.events = append(e.events, ClientEvent{Kind: EventMessage, Socket: k.id, Number: m.Number, Body: m.Body})
			}
		}
	case KindPublishAck:
		if k.attached && from == k.owner {
			e.ackPublished(k, w.Number)
		}
	case KindRedirect:
		if k.attached && k.owner == w.Owner && w.Epoch <= k.epoch {
			return
		}
		k.detach(now)
		k.owner, k.replicas, k.retryAt = w.Owner, w.Replicas, now+locateInterval
		e.attach(k)
	case KindRejected:
		if from == k.owner && !k.attached && w.Reason == "unknown" {
			k.owner = ""
		}
	case KindDetach:
		if from == k.owner {
			e.endSocket(k, "another connection has taken its place", false)
		}
	}
}

func (e *Edge) ackPublished(k *socket, n uint64) {
	before := len(k.unacked)
	for len(k.unacked) > 0 && k.unacked[0].Number <= n {
		k.unacked = k.unacked[1:]
	}
	if len(k.unacked) != before {
		e.events = append(e.events, ClientEvent{Kind: EventPublishAcked, Socket: k.id, Number: n})
	}
}

// publish says all of the client's messages that are not safe yet.
func (e *Edge) publish(k *socket, now float64) {
	if k.publishedAt = now; len(k.unacked) > 0 {
		e.send(k.owner, k, Envelope{Kind: KindPublish, Epoch: k.epoch, Messages: slices.Clone(k.unacked)})
	}
}

// Tick seeks again.
func (e *Edge) Tick(now float64) {
	for _, id := range slices.Sorted(maps.Keys(e.sockets)) {
		k := e.sockets[id]
		switch {
		case k.attached:
			if now-k.publishedAt > republishAfter {
				e.publish(k, now)
			}
		case !k.opened && !k.newSession && e.current != nil && now-k.detachedAt > unknownTimeout:
			e.endSocket(k, "unknown session", false)
		case now-k.detachedAt > locateTimeout:
			e.endSocket(k, "no site serves this session now", true)
		case now >= k.retryAt:
			e.locateOwner(k, now)
		}
	}
}
