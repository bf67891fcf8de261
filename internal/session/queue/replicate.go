package queue

// This file owns the copies of a session: its log of ops, what each copy has of it, and which sites hold one. A message
// is safe once all copies have it.

import (
	"slices"

	"weirwind/internal/session/sites"
)

// apply carries an op out, at home and at copies alike.
func (x *session) apply(o *Op, keys int) (delta int64) {
	x.LogLength++
	switch o.Kind {
	case OpPut:
		x.OutboxLast = o.Message.Number
		x.Outbox = append(x.Outbox, *o.Message)
		delta = messageSize(o.Message)
		if o.Message.Key != "" {
			if x.RecentKeys = append(x.RecentKeys, Message{Number: o.Message.Number, Key: o.Message.Key}); len(x.RecentKeys) > keys {
				x.RecentKeys = slices.Delete(x.RecentKeys, 0, 1)
			}
		}
	case OpAck:
		for len(x.Outbox) > 0 && x.Outbox[0].Number <= o.Number {
			delta -= messageSize(&x.Outbox[0])
			x.Outbox = x.Outbox[1:]
		}
	case OpPublish:
		x.InboxLast = o.Message.Number
		x.Inbox = append(x.Inbox, *o.Message)
		delta = messageSize(o.Message)
	case OpConsume:
		for len(x.Inbox) > 0 && x.Inbox[0].Number <= o.Number {
			delta -= messageSize(&x.Inbox[0])
			x.Inbox = x.Inbox[1:]
		}
	case OpAttach:
		x.Connection = o.Number
	}
	x.bytes += delta
	return delta
}

func messageSize(m *Message) int64 { return int64(len(m.Body) + len(m.Key) + messageOverhead) }

// applyAtHome carries an op out at home and tells the copies.
func (s *Site) applyAsOwner(x *session, o Op, now float64) {
	s.bytes += x.apply(&o, s.Limits.RecentKeys)
	x.ops = append(x.ops, o)
	s.replicate(x, now)
}

// replicate tells each copy what it was not told yet, and again what it has not answered for a while.
func (s *Site) replicate(x *session, now float64) {
	first := x.LogLength - uint64(len(x.ops)) // ops[0] is first+1
	for _, c := range x.Replicas {
		have, known := x.ackedIndex[c]
		late := now-x.sentAt[c] >= resendAfter
		from := x.sentIndex[c]
		if late {
			from = have
		}
		switch {
		case !known || from < first:
			if _, sent := x.sentAt[c]; sent && !late {
				continue
			}
			st := x.SessionState
			x.sentAt[c], x.sentIndex[c], x.replicaEpoch[c] = now, x.LogLength, s.current.Sites[c].Epoch
			s.send(c, Envelope{Kind: KindSnapshot, Session: x.id, Epoch: x.Epoch, State: &st})
		case from < x.LogLength:
			x.sentAt[c], x.sentIndex[c] = now, x.LogLength
			s.send(c, Envelope{Kind: KindReplicate, Session: x.id, Epoch: x.Epoch, Base: from,
				Ops: slices.Clone(x.ops[from-first:])})
		}
	}
}

// replicated is how much of the log all copies have. With no neighbour at all a session is its home's alone, and
// nothing more is taken.
func (s *Site) replicatedIndex(x *session) uint64 {
	if len(x.Replicas) == 0 {
		return 0
	}
	safe := x.LogLength
	for _, c := range x.Replicas {
		safe = min(safe, x.ackedIndex[c])
	}
	return safe
}

// progress answers who waited, delivers what is safe, and goes on with a hand-over.
func (s *Site) progress(x *session, now float64) {
	safe := s.replicatedIndex(x)
	kept := x.waiters[:0]
	for _, w := range x.waiters {
		switch {
		case w.logIndex <= safe && s.holdsLease(now):
			w.reply(statusQueued, w.number)
		case now >= w.deadline:
			w.reply(statusUnavailable, w.number)
		default:
			kept = append(kept, w)
		}
	}
	x.waiters = kept
	if drop := int(safe) - int(x.LogLength) + len(x.ops); drop > 0 {
		x.ops = slices.Clone(x.ops[drop:])
	}
	if x.handOverTo != "" {
		if safe == x.LogLength && now-x.handOverAt >= resendAfter {
			x.handOverAt = now
			s.send(x.handOverTo, Envelope{Kind: KindHandOver, Session: x.id, Epoch: x.Epoch + 1})
		}
		return
	}
	s.deliver(x, safe, now)
}

// outSafe is the newest message for the client that all copies have.
func (x *session) replicatedOutbox(safe uint64) uint64 {
	return x.replicatedNumber(OpPut, x.OutboxLast, safe)
}

// inSafe is the newest message of the client that all copies have.
func (x *session) replicatedInbox(safe uint64) uint64 {
	return x.replicatedNumber(OpPublish, x.InboxLast, safe)
}

// numbered goes back from the newest number of a kind over the ops behind safe.
func (x *session) replicatedNumber(kind OpKind, last, safe uint64) uint64 {
	for i, at := len(x.ops)-1, x.LogLength; i >= 0 && at > safe; i, at = i-1, at-1 {
		if x.ops[i].Kind == kind {
			last = x.ops[i].Message.Number - 1
		}
	}
	return last
}

// repairCopies gives a session other copies where one's life is over, or there are too few.
func (s *Site) repairReplicas(x *session, now float64) {
	x.Replicas = slices.DeleteFunc(x.Replicas, func(c string) bool {
		gone := !s.current.Alive(c)
		if of, told := x.replicaEpoch[c]; gone || told && of != s.current.Sites[c].Epoch { // another life of it has nothing
			delete(x.ackedIndex, c)
			delete(x.sentAt, c)
			delete(x.replicaEpoch, c)
			if x.handOverTo == c {
				s.abandonHandOver(x)
			}
		}
		return gone
	})
	in := slices.DeleteFunc(slices.Clone(x.Replicas), func(c string) bool { return s.current.Sites[c].State != sites.StateActive })
	if len(in) < s.Limits.Replicas {
		for _, c := range s.current.ReplicaCandidates(s.Name, x.id, s.Limits.Replicas-len(in),
			func(c string) bool { return slices.Contains(x.Replicas, c) }) {
			x.Replicas = append(x.Replicas, c)
			s.resyncReplicas(x)
		}
	}
	s.replicate(x, now)
	s.progress(x, now)
}

// abandonHandOver keeps a session whose new home has died. Whether that was home for a moment or not, its life is over.
func (s *Site) abandonHandOver(x *session) {
	x.handOverTo = ""
	x.Epoch += 2
	s.resyncReplicas(x)
	if x.attached { // what it said meanwhile was not taken
		s.send(x.edge, Envelope{Kind: KindRedirect, Session: x.id, Socket: x.socket, Owner: s.Name, Replicas: x.Replicas,
			Epoch: x.Epoch})
	}
}

// resyncCopies has the whole session told to its copies, as what they know of it is no longer so.
func (s *Site) resyncReplicas(x *session) {
	clear(x.sentAt)
	clear(x.ackedIndex)
}

// resetReplication forgets what copies have.
func (x *session) resetReplication() {
	x.ackedIndex, x.sentIndex, x.sentAt, x.replicaEpoch, x.ops = map[string]uint64{}, map[string]uint64{}, map[string]float64{},
		map[string]uint64{}, nil
}

// receiveSnapshot takes a session as a whole, as a copy. A home that is older than this site's own word of it is told
// to let go.
func (s *Site) receiveSnapshot(from string, w *Envelope) {
	if !s.current.AliveAt(w.State.Owner, w.State.OwnerEpoch) || w.State.Owner != from {
		return // of a life that is over, or not known yet
	}
	if x := s.owned[w.Session]; x != nil {
		if x.Epoch >= w.Epoch {
			s.send(from, Envelope{Kind: KindDiscard, Session: w.Session, Epoch: x.Epoch})
			return
		}
		s.remove(s.owned, x, statusUnavailable)
		if x.attached {
			s.send(x.edge, Envelope{Kind: KindRedirect, Session: x.id, Socket: x.socket, Owner: from, Replicas: w.State.Replicas,
				Epoch: w.Epoch})
		}
	}
	x := s.replicas[w.Session]
	if x != nil && (x.Epoch > w.Epoch || x.Epoch == w.Epoch && x.LogLength > w.State.LogLength) {
		if x.Owner != from {
			s.send(from, Envelope{Kind: KindDiscard, Session: w.Session, Epoch: x.Epoch})
		}
		return
	}
	if x != nil {
		s.remove(s.replicas, x, statusUnavailable)
	}
	x = &session{id: w.Session, SessionState: *w.State}
	x.Outbox, x.Inbox, x.RecentKeys, x.Replicas = slices.Clone(x.Outbox), slices.Clone(x.Inbox), slices.Clone(x.RecentKeys), slices.Clone(x.Replicas)
	for i := range x.Outbox {
		x.bytes += messageSize(&x.Outbox[i])
	}
	for i := range x.Inbox {
		x.bytes += messageSize(&x.Inbox[i])
	}
	s.bytes += x.bytes
	s.replicas[w.Session] = x
	s.send(from, Envelope{Kind: KindReplicateAck, Session: w.Session, Epoch: w.Epoch, Base: x.LogLength})
}

// dropSpareCopy lets a draining site's copy go once others have all.
func (s *Site) dropSpareReplica(x *session, now float64) {
	if x.handOverTo != "" || s.replicatedIndex(x) != x.LogLength || len(x.Replicas) <= s.Limits.Replicas {
		return
	}
	for _, c := range x.Replicas {
		if s.current.Sites[c].State == sites.StateDraining && len(x.Replicas) > s.Limits.Replicas {
			x.Replicas = slices.DeleteFunc(slices.Clone(x.Replicas), func(o string) bool { return o == c })
			s.send(c, Envelope{Kind: KindDiscard, Session: x.id, Epoch: x.Epoch})
			x.Epoch++ // the copies that stay are to know who takes over; one that has not heard of it yields to them
			s.resyncReplicas(x)
			s.replicate(x, now)
			return
		}
	}
}

// receiveOps takes the part of a session's log that this copy lacks; where there is a gap it asks for the whole.
func (s *Site) receiveOps(from string, w *Envelope) {
	x := s.replicas[w.Session]
	if x == nil || x.Epoch != w.Epoch || x.LogLength < w.Base {
		s.send(from, Envelope{Kind: KindReplicateAck, Session: w.Session, Epoch: w.Epoch, New: true})
		return
	}
	for i := range w.Ops {
		if w.Base+uint64(i) >= x.LogLength {
			s.bytes += x.apply(&w.Ops[i], s.Limits.RecentKeys)
		}
	}
	s.send(from, Envelope{Kind: KindReplicateAck, Session: w.Session, Epoch: w.Epoch, Base: x.LogLength})
}

func (s *Site) receiveReplicateAck(from string, w *Envelope, now float64) {
	x := s.owned[w.Session]
	if x == nil || x.Epoch != w.Epoch || !slices.Contains(x.Replicas, from) {
		return
	}
	if w.New {
		delete(x.ackedIndex, from)
		delete(x.sentAt, from)
	} else {
		x.ackedIndex[from] = max(x.ackedIndex[from], w.Base)
		x.sentIndex[from] = max(x.sentIndex[from], w.Base)
	}
	s.replicate(x, now)
	s.progress(x, now)
	s.dropSpareReplica(x, now)
}

// receiveForget lets go of what is older than the home that says so.
func (s *Site) receiveDiscard(w *Envelope) {
	if x := s.replicas[w.Session]; x != nil && x.Epoch <= w.Epoch {
		s.remove(s.replicas, x, statusUnavailable)
	}
	if x := s.owned[w.Session]; x != nil && x.Epoch <= w.Epoch { // a newer home refused to be its copy
		s.remove(s.owned, x, statusUnavailable)
	}
}
