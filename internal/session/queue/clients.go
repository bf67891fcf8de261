package queue

// This file owns what producers, consumers and edges ask of a session at home.

import (
	"cmp"
	"crypto/subtle"
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// Reply is what a producer or consumer is answered: 202 queued on home and copies, 200 the same message before, 404 no
// such session here, 400 the key or 413 the message is too long, 429 its queue is full, 507 this site is full, 503 not
// now (no lease, handing over, no neighbour).
type Reply func(status int, n uint64)

type waiter struct {
	logIndex uint64
	number   uint64
	reply    Reply
	deadline float64
}

// deliver sends the client what is safe and fits its window.
func (s *Site) deliver(x *session, safe uint64, now float64) {
	if !x.attached || !s.holdsLease(now) || x.handOverTo != "" || safe == 0 {
		return
	}
	most := x.replicatedOutbox(safe)
	var msgs []Message
	way := int64(0) // bytes that the client has not acknowledged
	for i := range x.Outbox {
		m := &x.Outbox[i]
		if way += messageSize(m); i >= s.Limits.WindowMessages || i > 0 && way > s.Limits.WindowBytes {
			break
		}
		if m.Number > x.delivered && m.Number <= most {
			msgs = append(msgs, Message{Number: m.Number, Body: m.Body})
		}
	}
	if msgs != nil {
		x.delivered = msgs[len(msgs)-1].Number
		s.send(x.edge, Envelope{Kind: KindDeliver, Session: x.id, Epoch: x.Epoch, Socket: x.socket, Messages: msgs})
	}
}

// Put queues a message for the client. key is its producer's own name for it: the same again is the same message.
func (s *Site) Enqueue(id, key string, body []byte, now float64, reply Reply) {
	x := s.owned[id]
	switch {
	case x == nil:
		reply(statusNoSession, 0)
	case len(body) > s.Limits.MessageBytes:
		reply(statusTooLong, 0)
	case len(key) > maxKeyBytes:
		reply(statusBadKey, 0)
	case !s.holdsLease(now) || x.handOverTo != "" || len(x.Replicas) == 0:
		reply(statusUnavailable, 0)
	default:
		s.enqueue(x, key, body, now, reply)
	}
}

// put queues a message of a session that is at home here, unless it was queued before or there is no room.
func (s *Site) enqueue(x *session, key string, body []byte, now float64, reply Reply) {
	if i := slices.IndexFunc(x.RecentKeys, func(k Message) bool { return key != "" && k.Key == key }); i >= 0 {
		n := x.RecentKeys[i].Number
		if x.replicatedOutbox(s.replicatedIndex(x)) >= n {
			reply(statusRepeated, n)
		} else {
			x.waiters = append(x.waiters, waiter{x.LogLength, n, reply, now + replyTimeout})
		}
		return
	}
	m := Message{Number: x.OutboxLast + 1, Key: key, Body: body, EnqueuedAt: now}
	if len(x.Outbox) >= s.Limits.SessionMessages || x.bytes+messageSize(&m) > s.Limits.SessionBytes {
		reply(statusQueueFull, 0)
		return
	}
	if s.bytes+messageSize(&m) > s.Limits.TotalBytes {
		reply(statusSiteFull, 0)
		return
	}
	s.applyAsOwner(x, Op{Kind: OpPut, Message: &m}, now)
	x.waiters = append(x.waiters, waiter{x.LogLength, m.Number, reply, now + replyTimeout})
}

// Inbox gives what the client sent and the consumer has not taken, as far as it is safe; ok is false where the session
// isn't here.
func (s *Site) Inbox(id string, after uint64, now float64) (msgs []Message, ok bool) {
	x := s.owned[id]
	if x == nil || !s.holdsLease(now) {
		return nil, false
	}
	most := x.replicatedInbox(s.replicatedIndex(x))
	for _, m := range x.Inbox {
		if m.Number > after && m.Number <= most {
			msgs = append(msgs, m)
		}
	}
	return msgs, true
}

// Consumed is the consumer's word that it has all up to n.
func (s *Site) Consume(id string, n uint64, now float64) bool {
	x := s.owned[id]
	if x == nil || !s.holdsLease(now) || x.handOverTo != "" {
		return false
	}
	if len(x.Inbox) > 0 && x.Inbox[0].Number <= n {
		s.applyAsOwner(x, Op{Kind: OpConsume, Number: min(n, x.InboxLast)}, now)
	}
	return true
}

// attach takes a socket of an edge for a session, an existing one or a new one.
func (s *Site) attach(from string, w *Envelope, now float64) {
	refuse := func(why string) {
		s.send(from, Envelope{Kind: KindRejected, Session: w.Session, Socket: w.Socket, Reason: why})
	}
	if !s.holdsLease(now) {
		refuse("not now")
		return
	}
	x := s.owned[w.Session]
	if x == nil && w.New {
		if x = s.create(w, now); x == nil {
			refuse("full")
			return
		}
	}
	switch {
	case x == nil:
		if c := s.replicas[w.Session]; c != nil {
			s.send(from, Envelope{Kind: KindRedirect, Session: w.Session, Socket: w.Socket, Owner: c.Owner, Replicas: c.Replicas,
				Epoch: c.Epoch})
			return
		}
		refuse("unknown")
		return
	case subtle.ConstantTimeCompare([]byte(x.Secret), []byte(w.Secret)) != 1:
		refuse("unknown") // as if it were not there
		return
	case x.handOverTo != "":
		refuse("not now")
		return
	case w.Connection > 0 && w.Connection < x.Connection: // a newer connection has taken its place
		s.send(from, Envelope{Kind: KindDetach, Session: w.Session, Socket: w.Socket, Epoch: x.Epoch})
		return
	}
	s.connect(x, from, w, now)
}

// create makes a session at home here; nil where the site has no room or takes none.
func (s *Site) create(w *Envelope, now float64) *session {
	if s.current.Sites[s.Name].State != sites.StateActive || len(s.owned) >= s.Limits.Sessions || s.bytes >= s.Limits.TotalBytes {
		return nil
	}
	x := &session{id: w.Session, SessionState: SessionState{Secret: w.Secret, Epoch: 1, Owner: s.Name, OwnerEpoch: s.Epoch}, idleSince: now}
	x.resetReplication()
	s.owned[w.Session] = x
	s.repairReplicas(x, now)
	return x
}

// connect makes a socket the session's, in place of the one before.
func (s *Site) connect(x *session, from string, w *Envelope, now float64) {
	if x.attached && (x.edge != from || x.socket != w.Socket) {
		s.send(x.edge, Envelope{Kind: KindDetach, Session: x.id, Socket: x.socket, Epoch: x.Epoch})
	}
	seq := cmp.Or(w.Connection, x.Connection+1)
	x.edge, x.socket, x.delivered, x.attached = from, w.Socket, w.Number, true
	if seq > x.Connection {
		s.applyAsOwner(x, Op{Kind: OpAttach, Number: seq}, now)
	}
	if len(x.Outbox) > 0 && x.Outbox[0].Number <= w.Base {
		s.applyAsOwner(x, Op{Kind: OpAck, Number: min(w.Base, x.OutboxLast)}, now)
	}
	s.send(from, Envelope{Kind: KindAttached, Session: x.id, Epoch: x.Epoch, Connection: seq, Socket: w.Socket, Owner: s.Name,
		Replicas: x.Replicas, Number: x.replicatedInbox(s.replicatedIndex(x)),
		Base: x.OutboxLast - uint64(len(x.Outbox))})
	s.progress(x, now)
}

// fromEdge takes what an attached edge says of a session.
func (s *Site) receiveFromEdge(from string, w *Envelope, now float64) {
	x := s.owned[w.Session]
	if x == nil || x.edge != from || x.socket != w.Socket {
		return
	}
	switch w.Kind {
	case KindDetach:
		x.attached, x.idleSince = false, now
	case KindAck:
		if x.handOverTo == "" && len(x.Outbox) > 0 && x.Outbox[0].Number <= w.Number {
			s.applyAsOwner(x, Op{Kind: OpAck, Number: min(w.Number, x.delivered)}, now)
			s.progress(x, now)
		}
	case KindPublish:
		if x.handOverTo != "" {
			return // it comes again at the next home
		}
		s.acceptPublished(x, w.Messages, now)
		s.ackPublished(x)
	}
}

// takePublished takes the client's messages in order, as far as there is room; the rest comes again.
func (s *Site) acceptPublished(x *session, msgs []Message, now float64) {
	for _, m := range msgs {
		if m.Number <= x.InboxLast { // it was taken, here or at the home before
			continue
		}
		full := len(x.Inbox) >= s.Limits.SessionMessages || x.bytes+messageSize(&m) > s.Limits.SessionBytes || s.bytes+messageSize(&m) > s.Limits.TotalBytes
		if m.Number != x.InboxLast+1 || len(m.Body) > s.Limits.MessageBytes || full {
			break
		}
		m.EnqueuedAt = now
		s.applyAsOwner(x, Op{Kind: OpPublish, Message: &m}, now)
	}
}

// ackPublished tells the edge which of the client's messages are safe.
func (s *Site) ackPublished(x *session) {
	if x.attached {
		s.send(x.edge, Envelope{Kind: KindPublishAck, Session: x.id, Epoch: x.Epoch, Socket: x.socket, Number: x.replicatedInbox(s.replicatedIndex(x))})
	}
}

// LostEdge notes that the link to an edge has ended: its sockets attach anew.
func (s *Site) HandleEdgeLost(edge string, now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.owned)) {
		if x := s.owned[id]; x.attached && x.edge == edge {
			x.attached, x.idleSince = false, now
		}
	}
}
