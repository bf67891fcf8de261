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
	log   uint64
	n     uint64
	reply Reply
	until float64
}

// deliver sends the client what is safe and fits its window.
func (s *Site) deliver(x *session, safe uint64, now float64) {
	if !x.attached || !s.holdsLease(now) || x.handOverTo != "" || safe == 0 {
		return
	}
	most := x.outSafe(safe)
	var msgs []Msg
	way := int64(0) // bytes that the client has not acknowledged
	for i := range x.Out {
		m := &x.Out[i]
		if way += size(m); i >= s.Limits.Window || i > 0 && way > s.Limits.WindowBytes {
			break
		}
		if m.N > x.delivered && m.N <= most {
			msgs = append(msgs, Msg{N: m.N, Body: m.Body})
		}
	}
	if msgs != nil {
		x.delivered = msgs[len(msgs)-1].N
		s.send(x.edge, Envelope{Kind: Deliver, Session: x.id, Epoch: x.Epoch, Sock: x.sock, Msgs: msgs})
	}
}

// Put queues a message for the client. key is its producer's own name for it: the same again is the same message.
func (s *Site) Put(id, key string, body []byte, now float64, reply Reply) {
	x := s.home[id]
	switch {
	case x == nil:
		reply(statusNoSession, 0)
	case len(body) > s.Limits.Message:
		reply(statusTooLong, 0)
	case len(key) > maxKeyBytes:
		reply(statusBadKey, 0)
	case !s.holdsLease(now) || x.handOverTo != "" || len(x.Copies) == 0:
		reply(statusUnavailable, 0)
	default:
		s.put(x, key, body, now, reply)
	}
}

// put queues a message of a session that is at home here, unless it was queued before or there is no room.
func (s *Site) put(x *session, key string, body []byte, now float64, reply Reply) {
	if i := slices.IndexFunc(x.Keys, func(k Msg) bool { return key != "" && k.Key == key }); i >= 0 {
		n := x.Keys[i].N
		if x.outSafe(s.replicated(x)) >= n {
			reply(statusRepeated, n)
		} else {
			x.waiting = append(x.waiting, waiter{x.LogLength, n, reply, now + replyTimeout})
		}
		return
	}
	m := Msg{N: x.OutLast + 1, Key: key, Body: body, At: now}
	if len(x.Out) >= s.Limits.Msgs || x.bytes+size(&m) > s.Limits.Bytes {
		reply(statusQueueFull, 0)
		return
	}
	if s.bytes+size(&m) > s.Limits.All {
		reply(statusSiteFull, 0)
		return
	}
	s.applyAtHome(x, Op{Kind: OpPut, Msg: &m}, now)
	x.waiting = append(x.waiting, waiter{x.LogLength, m.N, reply, now + replyTimeout})
}

// Inbox gives what the client sent and the consumer has not taken, as far as it is safe; ok is false where the session
// isn't here.
func (s *Site) Inbox(id string, after uint64, now float64) (msgs []Msg, ok bool) {
	x := s.home[id]
	if x == nil || !s.holdsLease(now) {
		return nil, false
	}
	most := x.inSafe(s.replicated(x))
	for _, m := range x.In {
		if m.N > after && m.N <= most {
			msgs = append(msgs, m)
		}
	}
	return msgs, true
}

// Consumed is the consumer's word that it has all up to n.
func (s *Site) Consumed(id string, n uint64, now float64) bool {
	x := s.home[id]
	if x == nil || !s.holdsLease(now) || x.handOverTo != "" {
		return false
	}
	if len(x.In) > 0 && x.In[0].N <= n {
		s.applyAtHome(x, Op{Kind: OpConsume, N: min(n, x.InLast)}, now)
	}
	return true
}

// attach takes a socket of an edge for a session, an existing one or a new one.
func (s *Site) attach(from string, w *Envelope, now float64) {
	refuse := func(why string) {
		s.send(from, Envelope{Kind: Refused, Session: w.Session, Sock: w.Sock, Why: why})
	}
	if !s.holdsLease(now) {
		refuse("not now")
		return
	}
	x := s.home[w.Session]
	if x == nil && w.New {
		if x = s.create(w, now); x == nil {
			refuse("full")
			return
		}
	}
	switch {
	case x == nil:
		if c := s.copies[w.Session]; c != nil {
			s.send(from, Envelope{Kind: Redirect, Session: w.Session, Sock: w.Sock, Home: c.Home, Copies: c.Copies,
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
	case w.Seq > 0 && w.Seq < x.Seq: // a newer connection has taken its place
		s.send(from, Envelope{Kind: Detach, Session: w.Session, Sock: w.Sock, Epoch: x.Epoch})
		return
	}
	s.connect(x, from, w, now)
}

// create makes a session at home here; nil where the site has no room or takes none.
func (s *Site) create(w *Envelope, now float64) *session {
	if s.current.Sites[s.Name].State != sites.In || len(s.home) >= s.Limits.Sessions || s.bytes >= s.Limits.All {
		return nil
	}
	x := &session{id: w.Session, State: State{Secret: w.Secret, Epoch: 1, Home: s.Name, HomeEpoch: s.Epoch}, idleAt: now}
	x.resetReplication()
	s.home[w.Session] = x
	s.repairCopies(x, now)
	return x
}

// connect makes a socket the session's, in place of the one before.
func (s *Site) connect(x *session, from string, w *Envelope, now float64) {
	if x.attached && (x.edge != from || x.sock != w.Sock) {
		s.send(x.edge, Envelope{Kind: Detach, Session: x.id, Sock: x.sock, Epoch: x.Epoch})
	}
	seq := cmp.Or(w.Seq, x.Seq+1)
	x.edge, x.sock, x.delivered, x.attached = from, w.Sock, w.N, true
	if seq > x.Seq {
		s.applyAtHome(x, Op{Kind: OpAttach, N: seq}, now)
	}
	if len(x.Out) > 0 && x.Out[0].N <= w.Base {
		s.applyAtHome(x, Op{Kind: OpAck, N: min(w.Base, x.OutLast)}, now)
	}
	s.send(from, Envelope{Kind: Attached, Session: x.id, Epoch: x.Epoch, Seq: seq, Sock: w.Sock, Home: s.Name,
		Copies: x.Copies, N: x.inSafe(s.replicated(x)),
		Base: x.OutLast - uint64(len(x.Out))})
	s.progress(x, now)
}

// fromEdge takes what an attached edge says of a session.
func (s *Site) fromEdge(from string, w *Envelope, now float64) {
	x := s.home[w.Session]
	if x == nil || x.edge != from || x.sock != w.Sock {
		return
	}
	switch w.Kind {
	case Detach:
		x.attached, x.idleAt = false, now
	case Ack:
		if x.handOverTo == "" && len(x.Out) > 0 && x.Out[0].N <= w.N {
			s.applyAtHome(x, Op{Kind: OpAck, N: min(w.N, x.delivered)}, now)
			s.progress(x, now)
		}
	case Publish:
		if x.handOverTo != "" {
			return // it comes again at the next home
		}
		s.takePublished(x, w.Msgs, now)
		s.ackPublished(x)
	}
}

// takePublished takes the client's messages in order, as far as there is room; the rest comes again.
func (s *Site) takePublished(x *session, msgs []Msg, now float64) {
	for _, m := range msgs {
		if m.N <= x.InLast { // it was taken, here or at the home before
			continue
		}
		full := len(x.In) >= s.Limits.Msgs || x.bytes+size(&m) > s.Limits.Bytes || s.bytes+size(&m) > s.Limits.All
		if m.N != x.InLast+1 || len(m.Body) > s.Limits.Message || full {
			break
		}
		m.At = now
		s.applyAtHome(x, Op{Kind: OpPublish, Msg: &m}, now)
	}
}

// ackPublished tells the edge which of the client's messages are safe.
func (s *Site) ackPublished(x *session) {
	if x.attached {
		s.send(x.edge, Envelope{Kind: PublishAck, Session: x.id, Epoch: x.Epoch, Sock: x.sock, N: x.inSafe(s.replicated(x))})
	}
}

// LostEdge notes that the link to an edge has ended: its sockets attach anew.
func (s *Site) LostEdge(edge string, now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.home)) {
		if x := s.home[id]; x.attached && x.edge == edge {
			x.attached, x.idleAt = false, now
		}
	}
}
