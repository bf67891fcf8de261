package queue

// This file owns clients' sockets at a session's owner: how they attach, and what goes through them.

import (
	"cmp"
	"crypto/subtle"
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// attach takes a client's socket for a session, one that exists or a new one.
func (s *Site) attach(from string, envelope *Envelope, now float64) {
	if !s.holdsLease(now) {
		s.reject(from, envelope, reasonNotNow)
		return
	}
	sess := s.owned[envelope.Session]
	if sess == nil && envelope.New {
		if sess = s.create(envelope, now); sess == nil {
			s.reject(from, envelope, reasonFull)
			return
		}
	}
	switch {
	case sess == nil:
		s.redirectToOwner(from, envelope)
	case subtle.ConstantTimeCompare([]byte(sess.Secret), []byte(envelope.Secret)) != 1:
		s.reject(from, envelope, reasonUnknown) // as if it were not there
	case sess.handOverTo != "":
		s.reject(from, envelope, reasonNotNow)
	case envelope.Connection > 0 && envelope.Connection < sess.Connection: // a newer one has taken its place
		s.send(from, Envelope{Kind: KindDetach, Session: envelope.Session, Socket: envelope.Socket, Epoch: sess.Epoch})
	default:
		s.connect(sess, from, envelope, now)
	}
}

// attachElsewhere sends an edge to the owner of a session that this site has a replica of.
func (s *Site) redirectToOwner(from string, envelope *Envelope) {
	replica := s.replicas[envelope.Session]
	if replica == nil {
		s.reject(from, envelope, reasonUnknown)
		return
	}
	s.send(from, Envelope{Kind: KindRedirect, Session: envelope.Session, Socket: envelope.Socket, Owner: replica.Owner,
		Replicas: replica.Replicas, Epoch: replica.Epoch})
}

// create makes a session that this site owns; nil where it is full or takes none.
func (s *Site) create(envelope *Envelope, now float64) *session {
	if s.current.Sites[s.Name].State != sites.StateActive || len(s.owned) >= s.Limits.Sessions ||
		s.bytes >= s.Limits.TotalBytes {
		return nil
	}
	sess := &session{id: envelope.Session, idleSince: now,
		SessionState: SessionState{Secret: envelope.Secret, Epoch: 1, Owner: s.Name, OwnerEpoch: s.Epoch}}
	sess.resetReplication()
	s.owned[envelope.Session] = sess
	s.repairReplicas(sess, now)
	return sess
}

// connect makes a socket the session's, in place of the one before.
func (s *Site) connect(sess *session, from string, envelope *Envelope, now float64) {
	if sess.attached && (sess.edge != from || sess.socket != envelope.Socket) {
		s.send(sess.edge, Envelope{Kind: KindDetach, Session: sess.id, Socket: sess.socket, Epoch: sess.Epoch})
	}
	connection := cmp.Or(envelope.Connection, sess.Connection+1)
	sess.edge, sess.socket, sess.delivered, sess.attached = from, envelope.Socket, envelope.Number, true
	if connection > sess.Connection {
		s.applyAsOwner(sess, Op{Kind: OpAttach, Number: connection}, now)
	}
	if len(sess.Outbox) > 0 && sess.Outbox[0].Number <= envelope.Base {
		s.applyAsOwner(sess, Op{Kind: OpAck, Number: min(envelope.Base, sess.OutboxLast)}, now)
	}
	s.send(from, Envelope{Kind: KindAttached, Session: sess.id, Epoch: sess.Epoch, Connection: connection,
		Socket: envelope.Socket, Owner: s.Name, Replicas: sess.Replicas,
		Number: sess.replicatedInbox(s.replicatedIndex(sess)), Base: sess.outboxAcked()})
	s.progress(sess, now)
}

// receiveFromEdge takes what an attached edge sends of a session.
func (s *Site) receiveFromEdge(from string, envelope *Envelope, now float64) {
	sess := s.owned[envelope.Session]
	if sess == nil || sess.edge != from || sess.socket != envelope.Socket {
		return
	}
	if envelope.Kind == KindDetach {
		sess.detach(now)
		return
	}
	if sess.handOverTo != "" {
		return // it is sent again to the next owner
	}
	switch envelope.Kind {
	case KindAck:
		s.receiveAck(sess, envelope.Number, now)
	case KindPublish:
		s.acceptPublished(sess, envelope.Messages, now)
		s.ackPublished(sess)
	}
}

// receiveAck takes that the client has all messages up to a number.
func (s *Site) receiveAck(sess *session, number uint64, now float64) {
	if len(sess.Outbox) > 0 && sess.Outbox[0].Number <= number {
		s.applyAsOwner(sess, Op{Kind: OpAck, Number: min(number, sess.delivered)}, now)
		s.progress(sess, now)
	}
}

// acceptPublished takes the client's messages in order, as far as there is space; the rest is sent again.
func (s *Site) acceptPublished(sess *session, messages []Message, now float64) {
	for _, m := range messages {
		if m.Number <= sess.InboxLast { // it was taken, here or at an earlier owner
			continue
		}
		sessionFits, siteFits := s.fits(sess, len(sess.Inbox), &m)
		if m.Number != sess.InboxLast+1 || len(m.Body) > s.Limits.MessageBytes || !sessionFits || !siteFits {
			break
		}
		m.EnqueuedAt = now
		s.applyAsOwner(sess, Op{Kind: OpPublish, Message: &m}, now)
	}
}

// ackPublished tells the edge which of the client's messages are replicated.
func (s *Site) ackPublished(sess *session) {
	if sess.attached {
		s.send(sess.edge, Envelope{Kind: KindPublishAck, Session: sess.id, Epoch: sess.Epoch, Socket: sess.socket,
			Number: sess.replicatedInbox(s.replicatedIndex(sess))})
	}
}

// deliver sends the client what is replicated and fits its window.
func (s *Site) deliver(sess *session, replicated uint64, now float64) {
	if !sess.attached || !s.holdsLease(now) || sess.handOverTo != "" || replicated == 0 {
		return
	}
	last := sess.replicatedOutbox(replicated)
	var messages []Message
	inFlightBytes := int64(0) // bytes that the client has not acknowledged
	for i := range sess.Outbox {
		m := &sess.Outbox[i]
		inFlightBytes += messageSize(m)
		if i >= s.Limits.WindowMessages || i > 0 && inFlightBytes > s.Limits.WindowBytes {
			break
		}
		if m.Number > sess.delivered && m.Number <= last {
			messages = append(messages, Message{Number: m.Number, Body: m.Body})
		}
	}
	if messages == nil {
		return
	}
	sess.delivered = messages[len(messages)-1].Number
	s.send(sess.edge, Envelope{Kind: KindDeliver, Session: sess.id, Epoch: sess.Epoch, Socket: sess.socket,
		Messages: messages})
}

// HandleEdgeLost takes that the link to an edge has ended: its sockets attach again.
func (s *Site) HandleEdgeLost(edge string, now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.owned)) {
		if sess := s.owned[id]; sess.attached && sess.edge == edge {
			sess.detach(now)
		}
	}
}
