package queue

// This file handles clients' sockets at a session's owner: how they attach, and the messages that pass through them.

import (
	"cmp"
	"crypto/subtle"
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// attach attaches a client's socket to its session, which it creates if requested.
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
		s.reject(from, envelope, reasonUnknown) // don't reveal that the session exists
	case sess.handOverTo != "":
		s.reject(from, envelope, reasonNotNow)
	case envelope.Connection > 0 && envelope.Connection < sess.Connection: // replaced by a newer connection
		s.send(from, Envelope{Kind: KindDetach, Session: envelope.Session, Socket: envelope.Socket, Epoch: sess.Epoch})
	default:
		s.connect(sess, from, envelope, now)
	}
}

// redirectToOwner redirects an edge to the owner of a session of which this site has a replica.
func (s *Site) redirectToOwner(from string, envelope *Envelope) {
	replica := s.replicas[envelope.Session]
	if replica == nil {
		s.reject(from, envelope, reasonUnknown)
		return
	}
	s.send(from, Envelope{Kind: KindRedirect, Session: envelope.Session, Socket: envelope.Socket, Owner: replica.Owner,
		Replicas: replica.Replicas, Epoch: replica.Epoch})
}

// create creates a session that this site owns. It returns nil if the site isn't active or has reached its limits.
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

// connect makes a socket the session's current one, and detaches the previous one.
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

// receiveFromEdge handles an envelope of the edge that the session's socket is connected to.
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
		return // the edge sends it again to the next owner
	}
	switch envelope.Kind {
	case KindAck:
		s.receiveAck(sess, envelope.Number, now)
	case KindPublish:
		s.acceptPublished(sess, envelope.Messages, now)
		s.ackPublished(sess)
	}
}

// receiveAck handles the client's acknowledgement of all messages up to a number.
func (s *Site) receiveAck(sess *session, number uint64, now float64) {
	if len(sess.Outbox) > 0 && sess.Outbox[0].Number <= number {
		s.applyAsOwner(sess, Op{Kind: OpAck, Number: min(number, sess.delivered)}, now)
		s.progress(sess, now)
	}
}

// acceptPublished accepts the client's messages in order, as long as there is space. The edge sends the others again.
func (s *Site) acceptPublished(sess *session, messages []Message, now float64) {
	for _, m := range messages {
		if m.Number <= sess.InboxLast { // a duplicate, accepted here or by an earlier owner
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

// ackPublished acknowledges to the edge the client's messages that are replicated.
func (s *Site) ackPublished(sess *session) {
	if sess.attached {
		s.send(sess.edge, Envelope{Kind: KindPublishAck, Session: sess.id, Epoch: sess.Epoch, Socket: sess.socket,
			Number: sess.replicatedInbox(s.replicatedIndex(sess))})
	}
}

// deliver sends the client the messages that are replicated and fit into its window.
func (s *Site) deliver(sess *session, replicated uint64, now float64) {
	if !sess.attached || !s.holdsLease(now) || sess.handOverTo != "" || replicated == 0 {
		return
	}
	last := sess.replicatedOutbox(replicated)
	var messages []Message
	inFlightBytes := int64(0) // bytes not acknowledged by the client
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

// HandleEdgeLost detaches the sockets of an edge whose link has ended. They will attach again.
func (s *Site) HandleEdgeLost(edge string, now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.owned)) {
		if sess := s.owned[id]; sess.attached && sess.edge == edge {
			sess.detach(now)
		}
	}
}
