package queue

// This file owns an edge, where clients' sockets end: what it holds of each, and what clients do. It keeps what the
// client sent and is not replicated yet, and sends it again to each next owner, so that the client notices nothing.

import (
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// Times are milliseconds.
const (
	locateInterval     = 100.0     // between attempts to attach a socket
	locateTimeout      = 15000.0   // after which a detached socket is closed; its session may still exist
	unknownTimeout     = 4000.0    // the same for one that never was attached: longer than a lease, so that it is unknown
	republishAfter     = 500.0     // after which what is not acknowledged is sent again
	maxUnackedMessages = 64        // messages of a client that are not acknowledged; more are not read
	maxUnackedBytes    = 256 << 10 // and their bytes
	maxOwnerGaps       = 8192      // that are remembered
	prunedOwnerGaps    = maxOwnerGaps / 4
)

// ClientEventKind of a client event.
type ClientEventKind uint8

// The kinds of client events, with their fields beside Socket.
const (
	EventOpened       ClientEventKind = iota + 1 // the session is attached: Session, Secret, Number as below
	EventMessage                                 // Number, Body
	EventPublishAcked                            // the client's messages up to Number are replicated
	EventClosed                                  // Reason, Resumable
)

// ClientEvent is something to tell a client.
type ClientEvent struct {
	Kind      ClientEventKind
	Socket    uint64
	Number    uint64
	Body      []byte
	Reason    string
	Resumable bool // the session may still exist
	Secret    string
	Session   string
}

// socket is a client's connection.
type socket struct {
	id         uint64
	session    string
	secret     string
	newSession bool   // the session begins with this socket
	connection uint64 // number of the connection, once it was attached

	// The session's owner, as far as it is known.
	epoch    uint64 // of the session; 0: it was not attached yet
	owner    string
	replicas []string
	attached bool
	opened   bool // it was attached once

	delivered     uint64    // number of the last message that was given to the client
	acked         uint64    // and of the last one that it acknowledged
	unacked       []Message // of the client, not replicated yet; numbers without gaps up to published
	lastPublished uint64    // number of the client's last message

	nextAttachAt   float64 // no attempt to attach before
	detachedAt     float64
	attachAttempts int // to attach, since detachedAt
	publishSentAt  float64
}

// Edge is one process.
type Edge struct {
	Name string

	current   *sites.Map
	zone      string
	region    string
	sockets   map[uint64]*socket
	outgoing  []Outgoing
	events    []ClientEvent
	ownerGaps []float64
}

// NewEdge has no socket.
func NewEdge(name, zone, region string) *Edge {
	return &Edge{Name: name, zone: zone, region: region, sockets: map[uint64]*socket{}}
}

// TakeOutgoing gives what is to be sent to sites since the last call.
func (e *Edge) TakeOutgoing() []Outgoing {
	outgoing := e.outgoing
	e.outgoing = nil
	return outgoing
}

// TakeClientEvents gives what is to be told to clients since the last call.
func (e *Edge) TakeClientEvents() []ClientEvent {
	events := e.events
	e.events = nil
	return events
}

// OwnerGaps gives for how many milliseconds sockets were without an owner, of the newest changes.
func (e *Edge) OwnerGaps() []float64 { return e.ownerGaps }

func (e *Edge) addOwnerGap(gap float64) {
	e.ownerGaps = append(e.ownerGaps, gap)
	if len(e.ownerGaps) > maxOwnerGaps {
		e.ownerGaps = slices.Delete(e.ownerGaps, 0, prunedOwnerGaps)
	}
}

// Sockets is how many are open.
func (e *Edge) Sockets() int { return len(e.sockets) }

func (e *Edge) send(to string, sock *socket, envelope Envelope) {
	envelope.Session, envelope.Socket = sock.session, sock.id
	e.outgoing = append(e.outgoing, Outgoing{to, envelope})
}

func (e *Edge) emit(event ClientEvent) { e.events = append(e.events, event) }

// OpenSocket takes a client's socket. newSession: its session begins with it; else acked is the last message that the
// client has of it.
func (e *Edge) OpenSocket(id uint64, session, secret string, newSession bool, acked uint64, now float64) {
	sock := &socket{id: id, session: session, secret: secret, newSession: newSession, delivered: acked, acked: acked,
		detachedAt: now}
	e.sockets[id] = sock
	e.locateOwner(sock, now)
}

// CloseSocket takes that a client's socket is closed.
func (e *Edge) CloseSocket(id uint64) {
	if sock := e.sockets[id]; sock != nil {
		if sock.attached {
			e.send(sock.owner, sock, Envelope{Kind: KindDetach})
		}
		delete(e.sockets, id)
	}
}

// endSocket has a client's socket closed.
func (e *Edge) endSocket(sock *socket, reason string, resumable bool) {
	e.emit(ClientEvent{Kind: EventClosed, Socket: sock.id, Reason: reason, Resumable: resumable})
	e.CloseSocket(sock.id)
}

// CanPublish says whether more of a client's messages may be read now.
func (e *Edge) CanPublish(id uint64) bool {
	sock := e.sockets[id]
	if sock == nil || !sock.opened || len(sock.unacked) >= maxUnackedMessages {
		return false
	}
	bytes := 0
	for i := range sock.unacked {
		bytes += len(sock.unacked[i].Body)
	}
	return bytes < maxUnackedBytes
}

// Publish takes a client's message. number is the client's own for it, 0 where it gives none; a repeated one changes
// nothing, and a gap closes the socket.
func (e *Edge) Publish(id, number uint64, body []byte) {
	sock := e.sockets[id]
	if sock == nil || !sock.opened || number > 0 && number <= sock.lastPublished {
		return
	}
	sock.lastPublished++
	if number > 0 && number != sock.lastPublished {
		e.endSocket(sock, "message numbers go up by one", false)
		return
	}
	m := Message{Number: sock.lastPublished, Body: body}
	sock.unacked = append(sock.unacked, m)
	if sock.attached {
		e.send(sock.owner, sock, Envelope{Kind: KindPublish, Epoch: sock.epoch, Messages: []Message{m}})
	}
}

// republish sends all of the client's messages that are not acknowledged.
func (e *Edge) republish(sock *socket, now float64) {
	sock.publishSentAt = now
	if len(sock.unacked) > 0 {
		e.send(sock.owner, sock, Envelope{Kind: KindPublish, Epoch: sock.epoch, Messages: slices.Clone(sock.unacked)})
	}
}

// Ack takes that the client, or the socket of one that doesn't acknowledge, has all messages up to a number.
func (e *Edge) Ack(id, number uint64) {
	sock := e.sockets[id]
	if sock == nil || number <= sock.acked || number > sock.delivered {
		return
	}
	sock.acked = number
	if sock.attached {
		e.send(sock.owner, sock, Envelope{Kind: KindAck, Epoch: sock.epoch, Number: number})
	}
}

// Tick does what is due: attaching sockets, sending again, closing sockets whose session is not found.
func (e *Edge) Tick(now float64) {
	for _, id := range slices.Sorted(maps.Keys(e.sockets)) {
		sock := e.sockets[id]
		switch {
		case sock.attached:
			if now-sock.publishSentAt > republishAfter {
				e.republish(sock, now)
			}
		case !sock.opened && !sock.newSession && e.current != nil && now-sock.detachedAt > unknownTimeout:
			e.endSocket(sock, "unknown session", false)
		case now-sock.detachedAt > locateTimeout:
			e.endSocket(sock, "no site serves this session now", true)
		case now >= sock.nextAttachAt:
			e.locateOwner(sock, now)
		}
	}
}
