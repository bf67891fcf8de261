package queue

// This file owns the site as a whole: what it holds, the map that it knows, and the lease under which it serves.

import (
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// Site is one process.
type Site struct {
	Name   string
	Epoch  uint64 // by the map; 0: not in it yet
	Limits Limits

	current    *sites.Map
	leaseUntil float64
	home       map[string]*session
	copies     map[string]*session
	bytes      int64
	out        []Send
	budget     float64 // of a drain
	budgetAt   float64
	inheritAt  float64
	Expired    int // messages that were given up for their age
}

// New is a site with no session.
func New(name string, lim Limits) *Site {
	return &Site{Name: name, Limits: lim, home: map[string]*session{}, copies: map[string]*session{}}
}

// Sends gives what is to be said, and forgets it.
func (s *Site) Sends() []Send {
	out := s.out
	s.out = nil
	return out
}

func (s *Site) send(to string, w Envelope) {
	w.Site = s.Epoch
	s.out = append(s.out, Send{to, w})
}

// Lease holds until then: only while it holds is anything delivered, taken or answered for.
func (s *Site) Lease(until float64) { s.leaseUntil = max(s.leaseUntil, until) }

func (s *Site) holdsLease(now float64) bool { return s.Epoch > 0 && now < s.leaseUntil }

// Homes is how many sessions are at home here.
func (s *Site) Homes() int { return len(s.home) }

// Copied is how many sessions have a copy here.
func (s *Site) Copied() int { return len(s.copies) }

// Bytes is what all queues take, copies included.
func (s *Site) Bytes() int64 { return s.bytes }

// HomeOf says where a session is that this site has a copy of.
func (s *Site) HomeOf(id string) (string, bool) {
	if x := s.copies[id]; x != nil {
		return x.Home, true
	}
	return "", false
}

// Show says what is here of a session, for operators; nil for nothing.
func (s *Site) Show(id string) map[string]any {
	x := s.home[id]
	if x == nil {
		return nil
	}
	return map[string]any{"home": x.Home, "copies": x.Copies, "epoch": x.Epoch, "queued": len(x.Out), "last": x.OutLast,
		"fromClient": len(x.In),
		"bytes":      x.bytes, "attached": x.attached, "edge": x.edge, "handedTo": x.handOverTo, "connections": x.Seq}
}

// Map is the one that it knows.
func (s *Site) Map() *sites.Map { return s.current }

// ApplyMap takes a newer map. A life of this site that is over has no session any more; those of others that are out
// become this site's where it is the first of their copies that lives.
func (s *Site) ApplyMap(m *sites.Map, life uint64, now float64) {
	if m == nil || s.current != nil && m.Version <= s.current.Version {
		return
	}
	s.current = m
	self, ok := m.Sites[s.Name]
	if !ok || self.Life != life || self.State == sites.Out {
		if s.Epoch > 0 {
			s.reset()
		}
		return
	}
	if s.Epoch != self.Epoch {
		s.reset()
		s.Epoch = self.Epoch
	}
	s.inheritAll(now)
	for _, id := range slices.Sorted(maps.Keys(s.home)) {
		s.repairCopies(s.home[id], now)
	}
}

// reset lets go of everything: others have it, or will.
func (s *Site) reset() {
	for _, x := range s.home {
		s.failWaiters(x, statusUnavailable)
	}
	s.home, s.copies, s.bytes, s.Epoch, s.leaseUntil = map[string]*session{}, map[string]*session{}, 0, 0, 0
}

func (s *Site) failWaiters(x *session, status int) {
	for _, w := range x.waiting {
		w.reply(status, 0)
	}
	x.waiting = nil
}

// remove forgets a session, as home or as copy; who still waits for it is answered.
func (s *Site) remove(from map[string]*session, x *session, status int) {
	s.failWaiters(x, status)
	s.bytes -= x.bytes
	delete(from, x.id)
}

// Tick goes on with what waits: messages that were not answered, drains, messages too old.
func (s *Site) Tick(now float64) {
	if s.current == nil || s.Epoch == 0 {
		return
	}
	self := s.current.Sites[s.Name]
	if self.State == sites.Draining {
		s.budget = min(s.budget+float64(self.Pace)*(now-s.budgetAt)/1000, float64(self.Pace))
	}
	s.budgetAt = now
	if now >= s.inheritAt {
		s.inheritAt = now + 5*resendAfter
		s.inheritAll(now)
	}
	for _, id := range slices.Sorted(maps.Keys(s.home)) {
		s.tickSession(s.home[id], self.State == sites.Draining, now)
	}
}

// tickSession goes on with one session at home.
func (s *Site) tickSession(x *session, draining bool, now float64) {
	for _, c := range x.Copies {
		if x.acked[c] < x.LogLength && now-x.sentAt[c] >= resendAfter {
			s.replicate(x, now)
			break
		}
	}
	if s.holdsLease(now) && x.handOverTo == "" {
		s.expireMessages(x, now)
		if draining && s.budget >= 1 {
			s.startHandOver(x, now)
		}
		if !x.attached && len(x.Out) == 0 && len(x.In) == 0 && now-x.idleAt > idleTimeout {
			s.forget(x)
			return
		}
	}
	s.progress(x, now)
	if x.attached && len(x.In) > 0 { // its client may still wait for the answer
		s.ackPublished(x)
	}
}

// expireMessages gives up messages that nobody fetched in time.
func (s *Site) expireMessages(x *session, now float64) {
	for len(x.Out) > 0 && now-x.Out[0].At > s.Limits.Age && x.Out[0].At > 0 {
		s.Expired++
		s.applyAtHome(x, Op{Kind: OpAck, N: x.Out[0].N}, now)
		x.delivered = max(x.delivered, x.OutLast-uint64(len(x.Out)))
	}
}

// forget ends an idle session here and at its copies.
func (s *Site) forget(x *session) {
	for _, c := range x.Copies {
		s.send(c, Envelope{Kind: Forget, Session: x.id, Epoch: x.Epoch})
	}
	s.remove(s.home, x, statusNoSession)
}
