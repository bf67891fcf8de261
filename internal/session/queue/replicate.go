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
		x.OutLast = o.Msg.N
		x.Out = append(x.Out, *o.Msg)
		delta = size(o.Msg)
		if o.Msg.Key != "" {
			if x.Keys = append(x.Keys, Msg{N: o.Msg.N, Key: o.Msg.Key}); len(x.Keys) > keys {
				x.Keys = slices.Delete(x.Keys, 0, 1)
			}
		}
	case OpAck:
		for len(x.Out) > 0 && x.Out[0].N <= o.N {
			delta -= size(&x.Out[0])
			x.Out = x.Out[1:]
		}
	case OpPublish:
		x.InLast = o.Msg.N
		x.In = append(x.In, *o.Msg)
		delta = size(o.Msg)
	case OpConsume:
		for len(x.In) > 0 && x.In[0].N <= o.N {
			delta -= size(&x.In[0])
			x.In = x.In[1:]
		}
	case OpAttach:
		x.Seq = o.N
	}
	x.bytes += delta
	return delta
}

func size(m *Msg) int64 { return int64(len(m.Body) + len(m.Key) + messageOverhead) }

// applyAtHome carries an op out at home and tells the copies.
func (s *Site) applyAtHome(x *session, o Op, now float64) {
	s.bytes += x.apply(&o, s.Limits.Keys)
	x.ops = append(x.ops, o)
	s.replicate(x, now)
}

// replicate tells each copy what it was not told yet, and again what it has not answered for a while.
func (s *Site) replicate(x *session, now float64) {
	first := x.LogLength - uint64(len(x.ops)) // ops[0] is first+1
	for _, c := range x.Copies {
		have, known := x.acked[c]
		late := now-x.sentAt[c] >= resendAfter
		from := x.sent[c]
		if late {
			from = have
		}
		switch {
		case !known || from < first:
			if _, sent := x.sentAt[c]; sent && !late {
				continue
			}
			st := x.State
			x.sentAt[c], x.sent[c], x.copyEpoch[c] = now, x.LogLength, s.current.Sites[c].Epoch
			s.send(c, Envelope{Kind: Snapshot, Session: x.id, Epoch: x.Epoch, State: &st})
		case from < x.LogLength:
			x.sentAt[c], x.sent[c] = now, x.LogLength
			s.send(c, Envelope{Kind: Replicate, Session: x.id, Epoch: x.Epoch, Base: from,
				Log: slices.Clone(x.ops[from-first:])})
		}
	}
}

// replicated is how much of the log all copies have. With no neighbour at all a session is its home's alone, and
// nothing more is taken.
func (s *Site) replicated(x *session) uint64 {
	if len(x.Copies) == 0 {
		return 0
	}
	safe := x.LogLength
	for _, c := range x.Copies {
		safe = min(safe, x.acked[c])
	}
	return safe
}

// progress answers who waited, delivers what is safe, and goes on with a hand-over.
func (s *Site) progress(x *session, now float64) {
	safe := s.replicated(x)
	kept := x.waiting[:0]
	for _, w := range x.waiting {
		switch {
		case w.log <= safe && s.holdsLease(now):
			w.reply(statusQueued, w.n)
		case now >= w.until:
			w.reply(statusUnavailable, w.n)
		default:
			kept = append(kept, w)
		}
	}
	x.waiting = kept
	if drop := int(safe) - int(x.LogLength) + len(x.ops); drop > 0 {
		x.ops = slices.Clone(x.ops[drop:])
	}
	if x.handOverTo != "" {
		if safe == x.LogLength && now-x.handOverAt >= resendAfter {
			x.handOverAt = now
			s.send(x.handOverTo, Envelope{Kind: HandOver, Session: x.id, Epoch: x.Epoch + 1})
		}
		return
	}
	s.deliver(x, safe, now)
}

// outSafe is the newest message for the client that all copies have.
func (x *session) outSafe(safe uint64) uint64 { return x.numbered(OpPut, x.OutLast, safe) }

// inSafe is the newest message of the client that all copies have.
func (x *session) inSafe(safe uint64) uint64 { return x.numbered(OpPublish, x.InLast, safe) }

// numbered goes back from the newest number of a kind over the ops behind safe.
func (x *session) numbered(kind OpKind, last, safe uint64) uint64 {
	for i, at := len(x.ops)-1, x.LogLength; i >= 0 && at > safe; i, at = i-1, at-1 {
		if x.ops[i].Kind == kind {
			last = x.ops[i].Msg.N - 1
		}
	}
	return last
}

// repairCopies gives a session other copies where one's life is over, or there are too few.
func (s *Site) repairCopies(x *session, now float64) {
	x.Copies = slices.DeleteFunc(x.Copies, func(c string) bool {
		gone := !s.current.Up(c)
		if of, told := x.copyEpoch[c]; gone || told && of != s.current.Sites[c].Epoch { // another life of it has nothing
			delete(x.acked, c)
			delete(x.sentAt, c)
			delete(x.copyEpoch, c)
			if x.handOverTo == c {
				s.abandonHandOver(x)
			}
		}
		return gone
	})
	in := slices.DeleteFunc(slices.Clone(x.Copies), func(c string) bool { return s.current.Sites[c].State != sites.In })
	if len(in) < s.Limits.Copies {
		for _, c := range s.current.Neighbours(s.Name, x.id, s.Limits.Copies-len(in),
			func(c string) bool { return slices.Contains(x.Copies, c) }) {
			x.Copies = append(x.Copies, c)
			s.resyncCopies(x)
		}
	}
	s.replicate(x, now)
	s.progress(x, now)
}

// abandonHandOver keeps a session whose new home has died. Whether that was home for a moment or not, its life is over.
func (s *Site) abandonHandOver(x *session) {
	x.handOverTo = ""
	x.Epoch += 2
	s.resyncCopies(x)
	if x.attached { // what it said meanwhile was not taken
		s.send(x.edge, Envelope{Kind: Redirect, Session: x.id, Sock: x.sock, Home: s.Name, Copies: x.Copies,
			Epoch: x.Epoch})
	}
}

// resyncCopies has the whole session told to its copies, as what they know of it is no longer so.
func (s *Site) resyncCopies(x *session) {
	clear(x.sentAt)
	clear(x.acked)
}

// resetReplication forgets what copies have.
func (x *session) resetReplication() {
	x.acked, x.sent, x.sentAt, x.copyEpoch, x.ops = map[string]uint64{}, map[string]uint64{}, map[string]float64{},
		map[string]uint64{}, nil
}

// receiveSnapshot takes a session as a whole, as a copy. A home that is older than this site's own word of it is told
// to let go.
func (s *Site) receiveSnapshot(from string, w *Envelope) {
	if !s.current.Lives(w.State.Home, w.State.HomeEpoch) || w.State.Home != from {
		return // of a life that is over, or not known yet
	}
	if x := s.home[w.Session]; x != nil {
		if x.Epoch >= w.Epoch {
			s.send(from, Envelope{Kind: Forget, Session: w.Session, Epoch: x.Epoch})
			return
		}
		s.remove(s.home, x, statusUnavailable)
		if x.attached {
			s.send(x.edge, Envelope{Kind: Redirect, Session: x.id, Sock: x.sock, Home: from, Copies: w.State.Copies,
				Epoch: w.Epoch})
		}
	}
	x := s.copies[w.Session]
	if x != nil && (x.Epoch > w.Epoch || x.Epoch == w.Epoch && x.LogLength > w.State.LogLength) {
		if x.Home != from {
			s.send(from, Envelope{Kind: Forget, Session: w.Session, Epoch: x.Epoch})
		}
		return
	}
	if x != nil {
		s.remove(s.copies, x, statusUnavailable)
	}
	x = &session{id: w.Session, State: *w.State}
	x.Out, x.In, x.Keys, x.Copies = slices.Clone(x.Out), slices.Clone(x.In), slices.Clone(x.Keys), slices.Clone(x.Copies)
	for i := range x.Out {
		x.bytes += size(&x.Out[i])
	}
	for i := range x.In {
		x.bytes += size(&x.In[i])
	}
	s.bytes += x.bytes
	s.copies[w.Session] = x
	s.send(from, Envelope{Kind: ReplicateAck, Session: w.Session, Epoch: w.Epoch, Base: x.LogLength})
}

// dropSpareCopy lets a draining site's copy go once others have all.
func (s *Site) dropSpareCopy(x *session, now float64) {
	if x.handOverTo != "" || s.replicated(x) != x.LogLength || len(x.Copies) <= s.Limits.Copies {
		return
	}
	for _, c := range x.Copies {
		if s.current.Sites[c].State == sites.Draining && len(x.Copies) > s.Limits.Copies {
			x.Copies = slices.DeleteFunc(slices.Clone(x.Copies), func(o string) bool { return o == c })
			s.send(c, Envelope{Kind: Forget, Session: x.id, Epoch: x.Epoch})
			x.Epoch++ // the copies that stay are to know who takes over; one that has not heard of it yields to them
			s.resyncCopies(x)
			s.replicate(x, now)
			return
		}
	}
}

// receiveOps takes the part of a session's log that this copy lacks; where there is a gap it asks for the whole.
func (s *Site) receiveOps(from string, w *Envelope) {
	x := s.copies[w.Session]
	if x == nil || x.Epoch != w.Epoch || x.LogLength < w.Base {
		s.send(from, Envelope{Kind: ReplicateAck, Session: w.Session, Epoch: w.Epoch, New: true})
		return
	}
	for i := range w.Log {
		if w.Base+uint64(i) >= x.LogLength {
			s.bytes += x.apply(&w.Log[i], s.Limits.Keys)
		}
	}
	s.send(from, Envelope{Kind: ReplicateAck, Session: w.Session, Epoch: w.Epoch, Base: x.LogLength})
}

func (s *Site) receiveReplicateAck(from string, w *Envelope, now float64) {
	x := s.home[w.Session]
	if x == nil || x.Epoch != w.Epoch || !slices.Contains(x.Copies, from) {
		return
	}
	if w.New {
		delete(x.acked, from)
		delete(x.sentAt, from)
	} else {
		x.acked[from] = max(x.acked[from], w.Base)
		x.sent[from] = max(x.sent[from], w.Base)
	}
	s.replicate(x, now)
	s.progress(x, now)
	s.dropSpareCopy(x, now)
}

// receiveForget lets go of what is older than the home that says so.
func (s *Site) receiveForget(w *Envelope) {
	if x := s.copies[w.Session]; x != nil && x.Epoch <= w.Epoch {
		s.remove(s.copies, x, statusUnavailable)
	}
	if x := s.home[w.Session]; x != nil && x.Epoch <= w.Epoch { // a newer home refused to be its copy
		s.remove(s.home, x, statusUnavailable)
	}
}
