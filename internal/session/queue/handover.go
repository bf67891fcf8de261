package queue

// This file owns how a session changes its home: by the death of the site it was at, or by a drain.

import (
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

func (s *Site) takeOverOrphans(now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.replicas)) {
		s.takeOverOrphan(s.replicas[id], now)
	}
}

// inherit makes a copy the home where the home's life is over and all copies before this one's are too.
func (s *Site) takeOverOrphan(x *session, now float64) {
	if s.current.AliveAt(x.Owner, x.OwnerEpoch) {
		return
	}
	for _, c := range x.Replicas {
		if c == s.Name {
			s.takeOver(x, now)
			return
		}
		if s.current.Alive(c) {
			s.send(c, Envelope{Kind: KindDefer, Session: x.id, Epoch: x.Epoch})
			return
		}
	}
}

func (s *Site) takeOver(x *session, now float64) {
	delete(s.replicas, x.id)
	x.Epoch++
	x.Owner, x.OwnerEpoch = s.Name, s.Epoch
	x.Replicas = slices.DeleteFunc(x.Replicas, func(c string) bool { return c == s.Name })
	x.resetReplication()
	x.handOverTo, x.edge, x.socket, x.delivered, x.attached, x.idleSince = "", "", 0, 0, false, now
	for i := range x.Outbox {
		x.Outbox[i].EnqueuedAt = now // by this home's clock
	}
	s.owned[x.id] = x
	s.repairReplicas(x, now)
}

// acceptHandOver makes this site home of a session that its home hands on.
func (s *Site) acceptHandOver(from string, w *Envelope, now float64) {
	if x := s.owned[w.Session]; x != nil && x.Epoch >= w.Epoch { // it was, and the answer was lost
		s.send(from, Envelope{Kind: KindHandOverDone, Session: w.Session, Epoch: w.Epoch, Owner: s.Name})
		return
	}
	x := s.replicas[w.Session]
	if x == nil || x.Epoch+1 != w.Epoch || x.Owner != from || !s.current.AliveAt(x.Owner, x.OwnerEpoch) {
		return
	}
	x.Replicas = append(x.Replicas, from) // until another has all
	s.takeOver(x, now)
	s.send(from, Envelope{Kind: KindHandOverDone, Session: w.Session, Epoch: w.Epoch, Owner: s.Name})
}

// finishHandOver makes the old home a copy, and tells the edge where to go.
func (s *Site) finishHandOver(x *session, to string, epoch uint64) {
	s.failWaiters(x, statusUnavailable)
	if x.attached {
		s.send(x.edge, Envelope{Kind: KindRedirect, Session: x.id, Socket: x.socket, Owner: to, Replicas: []string{s.Name},
			Epoch: epoch})
	}
	delete(s.owned, x.id)
	x.Owner, x.OwnerEpoch, x.Epoch, x.handOverTo, x.attached = to, s.current.Sites[to].Epoch, epoch, "", false
	x.Replicas = append(slices.DeleteFunc(slices.Clone(x.Replicas), func(c string) bool { return c == to }), s.Name)
	s.replicas[x.id] = x
}

// startHandOver starts to hand a session to its first copy that stays.
func (s *Site) startHandOver(x *session, now float64) {
	for _, c := range x.Replicas {
		if _, known := x.ackedIndex[c]; known && s.current.Sites[c].State == sites.StateActive {
			s.drainBudget--
			x.handOverTo, x.handOverAt = c, now-resendAfter
			s.progress(x, now)
			return
		}
	}
}

// receiveDefer answers a copy that waits for this site to become home, or takes such an answer.
func (s *Site) receiveDefer(from string, w *Envelope, now float64) {
	if x := s.owned[w.Session]; x != nil && x.Epoch > w.Epoch && !slices.Contains(x.Replicas, from) {
		s.send(from, Envelope{Kind: KindDiscard, Session: w.Session, Epoch: x.Epoch})
	} else if x == nil && s.replicas[w.Session] == nil { // nothing of it is here: who asks is to go on without
		s.send(from, Envelope{Kind: KindDefer, Session: w.Session, Epoch: w.Epoch, New: true})
	}
	x := s.replicas[w.Session]
	if x != nil && w.New && !s.current.AliveAt(x.Owner, x.OwnerEpoch) && x.Epoch == w.Epoch {
		x.Replicas = slices.DeleteFunc(slices.Clone(x.Replicas), func(c string) bool { return c == from })
		s.takeOverOrphan(x, now)
	}
}
