package queue

// This file implements an edge, to which clients' sockets are connected. It keeps each client's messages until they are
// replicated and sends them again to each new owner, so that a change of the owner is transparent to the client.

import (
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// Times are milliseconds.
const (
	locateInterval     = 100.0     // between attempts to attach a socket
	locateTimeout      = 15000.0   // after which a detached socket is closed, although its session may still exist
	unknownTimeout     = 4000.0    // the same for a socket that was never attached; longer than a lease
	republishAfter     = 500.0     // after which unacknowledged messages are sent again
	maxUnackedMessages = 64        // unacknowledged messages of a client at which reading from it stops
	maxUnackedBytes    = 256 << 10 // bytes of unacknowledged messages at which reading stops
	maxOwnerGaps       = 8192      // owner gaps that are kept
	prunedOwnerGaps    = maxOwnerGaps / 4
)

// ClientEventKind is the kind of a ClientEvent.
type ClientEventKind uint8

// The kinds of client events, with the fields that they use besides Socket.
const (
	EventOpened       ClientEventKind = iota + 1 // the session is attached: Session, Secret, Number as below
	EventMessage                                 // Number, Body
	EventPublishAcked                            // the client's messages up to Number are replicated
	EventClosed                                  // Reason, Resumable
)

// ClientEvent is an event to send to a client.
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
	newSession bool   // the session is created with this socket
	connection uint64 // number of the connection; 0 before the socket was attached

	// The session's owner as known to the edge.
	epoch    uint64 // of the session; 0: the socket was never attached
	owner    string
	replicas []string
	attached bool
	opened   bool // the socket was attached at least once

	delivered     uint64    // number of the last message sent to the client
	acked         uint64    // number of the last message that the client acknowledged
	unacked       []Message // the client's messages that are not replicated; numbered without gaps up to lastPublished
	lastPublished uint64    // number of the client's last message

	nextAttachAt   float64 // earliest time of the next attempt to attach
	detachedAt     float64
	attachAttempts int // attempts to attach since detachedAt
	publishSentAt  float64
}

// Edge is the state of an edge process.
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

// NewEdge returns an edge without sockets.
func NewEdge(name, zone, region string) *Edge {
	return &Edge{Name: name, zone: zone, region: region, sockets: map[uint64]*socket{}}
}

// TakeOutgoing returns the envelopes to be sent to sites since the last call.
func (e *Edge) TakeOutgoing() []Outgoing {
	outgoing := e.outgoing
	e.outgoing = nil
	return outgoing
}

// TakeClientEvents returns the events to be sent to clients since the last call.
func (e *Edge) TakeClientEvents() []ClientEvent {
	events := e.events
	e.events = nil
	return events
}

// OwnerGaps returns, for the latest changes of owners, the milliseconds for which a socket was detached.
func (e *Edge) OwnerGaps() []float64 { return e.ownerGaps }

func (e *Edge) addOwnerGap(gap float64) {
	e.ownerGaps = append(e.ownerGaps, gap)
	if len(e.ownerGaps) > maxOwnerGaps {
		e.ownerGaps = slices.Delete(e.ownerGaps, 0, prunedOwnerGaps)
	}
}

// Sockets returns the number of open sockets.
func (e *Edge) Sockets() int { return len(e.sockets) }

func (e *Edge) send(to string, sock *socket, envelope Envelope) {
	envelope.Session, envelope.Socket = sock.session, sock.id
	e.outgoing = append(e.outgoing, Outgoing{to, envelope})
}

func (e *Edge) emit(event ClientEvent) { e.events = append(e.events, event) }

// OpenSocket adds a client's socket. newSession says that its session is to be created; otherwise acked is the number
// of the last message that the client has received.
func (e *Edge) OpenSocket(id uint64, session, secret string, newSession bool, acked uint64, now float64) {
	sock := &socket{id: id, session: session, secret: secret, newSession: newSession, delivered: acked, acked: acked,
		detachedAt: now}
	e.sockets[id] = sock
	e.locateOwner(sock, now)
}

// CloseSocket removes a client's socket that was closed.
func (e *Edge) CloseSocket(id uint64) {
	if sock := e.sockets[id]; sock != nil {
		if sock.attached {
			e.send(sock.owner, sock, Envelope{Kind: KindDetach})
		}
		delete(e.sockets, id)
	}
}

// endSocket emits an event that closes a client's socket, and removes the socket.
func (e *Edge) endSocket(sock *socket, reason string, resumable bool) {
	e.emit(ClientEvent{Kind: EventClosed, Socket: sock.id, Reason: reason, Resumable: resumable})
	e.CloseSocket(sock.id)
}

// CanPublish reports whether another message of a client may be read now.
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

// Publish accepts a client's message. number is the message's number, or 0 if the client doesn't number its messages. A
// duplicate is ignored, and a gap closes the socket.
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

// republish sends all unacknowledged messages of the client again.
func (e *Edge) republish(sock *socket, now float64) {
	sock.publishSentAt = now
	if len(sock.unacked) > 0 {
		e.send(sock.owner, sock, Envelope{Kind: KindPublish, Epoch: sock.epoch, Messages: slices.Clone(sock.unacked)})
	}
}

// Ack acknowledges all messages up to a number for a client. For a client that doesn't acknowledge messages itself the
// caller acknowledges those that were written to its socket.
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

// Tick performs the periodic work: it attaches sockets, sends unacknowledged messages again, and closes sockets whose
// session isn't found.
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
