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
	findAgain      = 100.0
	findTimeout    = 15000.0 // a socket without a home for so long is closed; its session may be there still
	unknownTimeout = 4000.0  // one that was never opened, longer than a lease: its session is unknown, or its secret wrong
	republishAfter = 500.0   // what is not safe by then is said again
	maxUnsafe      = 64      // messages of a client that are not safe yet; more are not read
	comeBytes      = 256 << 10
)

// ToClientKind is what a socket's client is to be told.
type ToClientKind uint8

const (
	Opened  ToClientKind = iota + 1 // Session, Secret; N: of its messages all up to that are safe
	Message                         // N, Body
	Safe                            // its messages up to N are
	Closed                          // Why
)

// ToClient is one thing for a client.
type ToClient struct {
	Kind   ToClientKind
	Sock   uint64
	N      uint64
	Body   []byte
	Why    string
	Again  bool // the session may be there still
	Secret string
	ID     string
}

type socket struct {
	id       uint64
	session  string
	secret   string
	fresh    bool // the session begins with this socket
	seq      uint64
	epoch    uint64
	home     string
	copies   []string
	wrote    uint64
	got      uint64 // by the client's word
	in       []Msg  // not safe yet
	inLast   uint64
	attached bool
	opened   bool
	askAt    float64
	since    float64 // not attached since
	tried    int
	saidAt   float64
}

// Edge is one process.
type Edge struct {
	Name   string
	m      *sites.Map
	zone   string
	region string
	socks  map[uint64]*socket
	out    []Send
	tell   []ToClient
	gaps   []float64 // how long sockets were without a home
}

// NewEdge is one without a socket.
func NewEdge(name, zone, region string) *Edge {
	return &Edge{Name: name, zone: zone, region: region, socks: map[uint64]*socket{}}
}

// Sends gives what is to be said to sites, Tells what to clients; both are forgotten.
func (e *Edge) Sends() []Send {
	out := e.out
	e.out = nil
	return out
}

func (e *Edge) ClientMessages() []ToClient {
	out := e.tell
	e.tell = nil
	return out
}

// Gaps gives how long sockets were without a home, in milliseconds, of the newest changes.
func (e *Edge) Gaps() []float64 { return e.gaps }

// Sockets is how many are open.
func (e *Edge) Sockets() int { return len(e.socks) }

func (e *Edge) send(to string, k *socket, w Envelope) {
	w.Session, w.Sock = k.session, k.id
	e.out = append(e.out, Send{to, w})
}

// Open takes a socket. fresh: its session begins; else got is what the client has of it.
func (e *Edge) Open(id uint64, session, secret string, fresh bool, got uint64, now float64) {
	k := &socket{id: id, session: session, secret: secret, fresh: fresh, wrote: got, got: got, since: now}
	e.socks[id] = k
	e.findHome(k, now)
}

// nearestSites gives the sites that take new sessions, near ones first.
func (e *Edge) nearestSites() []string {
	var all []string
	for name, s := range e.m.Sites {
		if s.State == sites.In {
			all = append(all, name)
		}
	}
	far := func(name string) int {
		switch s := e.m.Sites[name]; {
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
func (e *Edge) findHome(k *socket, now float64) {
	k.askAt = now + findAgain
	k.tried++
	if e.m == nil {
		return
	}
	if k.fresh && k.epoch == 0 {
		if all := e.nearestSites(); len(all) > 0 {
			k.home = all[(k.tried-1)%len(all)]
			e.attach(k)
		}
		return
	}
	if k.home != "" && e.m.Up(k.home) && k.tried%3 != 0 {
		e.attach(k)
		return
	}
	for _, c := range k.copies {
		if e.m.Up(c) && k.tried%3 != 0 {
			k.home = c
			e.attach(k)
			return
		}
	}
	for _, name := range slices.Sorted(maps.Keys(e.m.Sites)) {
		if e.m.Up(name) {
			e.send(name, k, Envelope{Kind: Find})
		}
	}
}

func (e *Edge) attach(k *socket) {
	e.send(k.home, k, Envelope{Kind: Attach, Secret: k.secret, Seq: k.seq, N: k.wrote, Base: k.got, New: k.fresh &&
		k.epoch == 0})
}

// lose notes that a socket has no home.
func (k *socket) lose(now float64) {
	if k.attached {
		k.attached, k.since, k.tried = false, now, 0
	}
}

// ApplyMap takes a newer map.
func (e *Edge) ApplyMap(m *sites.Map, now float64) {
	if m == nil || e.m != nil && m.Version <= e.m.Version {
		return
	}
	old := e.m
	e.m = m
	for _, id := range slices.Sorted(maps.Keys(e.socks)) {
		k := e.socks[id]
		if old != nil && k.home != "" && old.Sites[k.home].Epoch == m.Sites[k.home].Epoch &&
			m.Sites[k.home].State != sites.Out {
			continue
		}
		k.lose(now)
		e.findHome(k, now)
	}
}

// LostSite notes that the link to a site has ended.
func (e *Edge) LostSite(site string, now float64) {
	for _, id := range slices.Sorted(maps.Keys(e.socks)) {
		if k := e.socks[id]; k.home == site {
			k.lose(now)
			k.askAt = min(k.askAt, now+findAgain/2)
		}
	}
}

// Close takes the end of a socket.
func (e *Edge) Close(id uint64) {
	if k := e.socks[id]; k != nil {
		if k.attached {
			e.send(k.home, k, Envelope{Kind: Detach})
		}
		delete(e.socks, id)
	}
}

// HasRoom says whether more of a client's messages may be read now.
func (e *Edge) HasRoom(id uint64) bool {
	k := e.socks[id]
	if k == nil || !k.opened || len(k.in) >= maxUnsafe {
		return false
	}
	bytes := 0
	for i := range k.in {
		bytes += len(k.in[i].Body)
	}
	return bytes < comeBytes
}

// Publish takes a client's message. n is the client's own number for it, 0 where it has none; one that came before
// changes nothing.
func (e *Edge) Publish(id, n uint64, body []byte) {
	k := e.socks[id]
	if k == nil || !k.opened {
		return
	}
	if n > 0 && n <= k.inLast {
		return
	}
	k.inLast++
	if n > 0 && n != k.inLast {
		e.closeSocket(k, "message numbers go up by one", false)
		return
	}
	m := Msg{N: k.inLast, Body: body}
	k.in = append(k.in, m)
	if k.attached {
		e.send(k.home, k, Envelope{Kind: Publish, Epoch: k.epoch, Msgs: []Msg{m}})
	}
}

// Ack is the client's word, or the socket's of a plain client, that it has all up to n.
func (e *Edge) Ack(id, n uint64) {
	if k := e.socks[id]; k != nil && n > k.got && n <= k.wrote {
		k.got = n
		if k.attached {
			e.send(k.home, k, Envelope{Kind: Ack, Epoch: k.epoch, N: n})
		}
	}
}

// closeSocket ends a socket, again: its session may be there still.
func (e *Edge) closeSocket(k *socket, why string, again bool) {
	e.tell = append(e.tell, ToClient{Kind: Closed, Sock: k.id, Why: why, Again: again})
	e.Close(k.id)
}

// Receive takes a site's word.
func (e *Edge) Receive(from string, w *Envelope, now float64) {
	k := e.socks[w.Sock]
	if k == nil || k.session != w.Session || w.Epoch > 0 && w.Epoch < k.epoch {
		return
	}
	switch w.Kind {
	case Attached:
		if from != k.home {
			return
		}
		if k.seq > 0 && !k.attached {
			if e.gaps = append(e.gaps, now-k.since); len(e.gaps) > 8192 {
				e.gaps = slices.Delete(e.gaps, 0, 2048)
			}
		}
		first := !k.opened
		k.wrote = max(k.wrote, w.Base) // the client had those by an earlier connection
		k.attached, k.opened, k.epoch, k.seq, k.copies, k.tried = true, true, w.Epoch, w.Seq, w.Copies, 0
		if first {
			k.inLast = max(k.inLast, w.N)
			e.tell = append(e.tell, ToClient{Kind: Opened, Sock: k.id, N: w.N, Secret: k.secret, ID: k.session})
		} else {
			e.ackPublished(k, w.N)
		}
		e.publish(k, now)
	case Deliver:
		if !k.attached || from != k.home {
			return
		}
		k.epoch = w.Epoch
		for _, m := range w.Msgs {
			if m.N == k.wrote+1 {
				k.wrote = m.N
				e.tell = append(e.tell, ToClient{Kind: Message, Sock: k.id, N: m.N, Body: m.Body})
			}
		}
	case PublishAck:
		if k.attached && from == k.home {
			e.ackPublished(k, w.N)
		}
	case Redirect:
		if k.attached && k.home == w.Home && w.Epoch <= k.epoch {
			return
		}
		k.lose(now)
		k.home, k.copies, k.askAt = w.Home, w.Copies, now+findAgain
		e.attach(k)
	case Refused:
		if from == k.home && !k.attached && w.Why == "unknown" {
			k.home = ""
		}
	case Detach:
		if from == k.home {
			e.closeSocket(k, "another connection has taken its place", false)
		}
	}
}

func (e *Edge) ackPublished(k *socket, n uint64) {
	before := len(k.in)
	for len(k.in) > 0 && k.in[0].N <= n {
		k.in = k.in[1:]
	}
	if len(k.in) != before {
		e.tell = append(e.tell, ToClient{Kind: Safe, Sock: k.id, N: n})
	}
}

// publish says all of the client's messages that are not safe yet.
func (e *Edge) publish(k *socket, now float64) {
	if k.saidAt = now; len(k.in) > 0 {
		e.send(k.home, k, Envelope{Kind: Publish, Epoch: k.epoch, Msgs: slices.Clone(k.in)})
	}
}

// Tick seeks again.
func (e *Edge) Tick(now float64) {
	for _, id := range slices.Sorted(maps.Keys(e.socks)) {
		k := e.socks[id]
		switch {
		case k.attached:
			if now-k.saidAt > republishAfter {
				e.publish(k, now)
			}
		case !k.opened && !k.fresh && e.m != nil && now-k.since > unknownTimeout:
			e.closeSocket(k, "unknown session", false)
		case now-k.since > findTimeout:
			e.closeSocket(k, "no site serves this session now", true)
		case now >= k.askAt:
			e.findHome(k, now)
		}
	}
}
