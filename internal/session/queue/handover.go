package queue

// This file owns how a session changes its home: by the death of the site it was at, or by a drain.

import (
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

func (s *Site) inheritAll(now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.copies)) {
		s.inherit(s.copies[id], now)
	}
}

// inherit makes a copy the home where the home's life is over and all copies before this one's are too.
func (s *Site) inherit(x *session, now float64) {
	if s.current.Lives(x.Home, x.HomeEpoch) {
		return
	}
	for _, c := range x.Copies {
		if c == s.Name {
			s.takeOver(x, now)
			return
		}
		if s.current.Up(c) {
			s.send(c, Envelope{Kind: Defer, Session: x.id, Epoch: x.Epoch})
			return
		}
	}
}

func (s *Site) takeOver(x *session, now float64) {
	delete(s.copies, x.id)
	x.Epoch++
	x.Home, x.HomeEpoch = s.Name, s.Epoch
	x.Copies = slices.DeleteFunc(x.Copies, func(c string) bool { return c == s.Name })
	x.resetReplication()
	x.handOverTo, x.edge, x.sock, x.delivered, x.attached, x.idleAt = "", "", 0, 0, false, now
	for i := range x.Out {
		x.Out[i].At = now // by this home's clock
	}
	s.home[x.id] = x
	s.repairCopies(x, now)
}

// acceptHandOver makes this site home of a session that its home hands on.
func (s *Site) acceptHandOver(from string, w *Envelope, now float64) {
	if x := s.home[w.Session]; x != nil && x.Epoch >= w.Epoch { // it was, and the answer was lost
		s.send(from, Envelope{Kind: HandOverDone, Session: w.Session, Epoch: w.Epoch, Home: s.Name})
		return
	}
	x := s.copies[w.Session]
	if x == nil || x.Epoch+1 != w.Epoch || x.Home != from || !s.current.Lives(x.Home, x.HomeEpoch) {
		return
	}
	x.Copies = append(x.Copies, from) // until another has all
	s.takeOver(x, now)
	s.send(from, Envelope{Kind: HandOverDone, Session: w.Session, Epoch: w.Epoch, Home: s.Name})
}

// finishHandOver makes the old home a copy, and tells the edge where to go.
func (s *Site) finishHandOver(x *session, to string, epoch uint64) {
	s.failWaiters(x, statusUnavailable)
	if x.attached {
		s.send(x.edge, Envelope{Kind: Redirect, Session: x.id, Sock: x.sock, Home: to, Copies: []string{s.Name},
			Epoch: epoch})
	}
	delete(s.home, x.id)
	x.Home, x.HomeEpoch, x.Epoch, x.handOverTo, x.attached = to, s.current.Sites[to].Epoch, epoch, "", false
	x.Copies = append(slices.DeleteFunc(slices.Clone(x.Copies), func(c string) bool { return c == to }), s.Name)
	s.copies[x.id] = x
}

// startHandOver starts to hand a session to its first copy that stays.
func (s *Site) startHandOver(x *session, now float64) {
	for _, c := range x.Copies {
		if _, known := x.acked[c]; known && s.current.Sites[c].State == sites.In {
			s.budget--
			x.handOverTo, x.handOverAt = c, now-resendAfter
			s.progress(x, now)
			return
		}
	}
}

// receiveDefer answers a copy that waits for this site to become home, or takes such an answer.
func (s *Site) receiveDefer(from string, w *Envelope, now float64) {
	if x := s.home[w.Session]; x != nil && x.Epoch > w.Epoch && !slices.Contains(x.Copies, from) {
		s.send(from, Envelope{Kind: Forget, Session: w.Session, Epoch: x.Epoch})
	} else if x == nil && s.copies[w.Session] == nil { // nothing of it is here: who asks is to go on without
		s.send(from, Envelope{Kind: Defer, Session: w.Session, Epoch: w.Epoch, New: true})
	}
	x := s.copies[w.Session]
	if x != nil && w.New && !s.current.Lives(x.Home, x.HomeEpoch) && x.Epoch == w.Epoch {
		x.Copies = slices.DeleteFunc(slices.Clone(x.Copies), func(c string) bool { return c == from })
		s.inherit(x, now)
	}
}
