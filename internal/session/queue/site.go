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

	current         *sites.Map
	leaseUntil      float64
	owned           map[string]*session
	replicas        map[string]*session
	bytes           int64
	outgoing        []Outgoing
	drainBudget     float64 // of a drain
	drainBudgetAt   float64
	takeOverAt      float64
	ExpiredMessages int // messages that were given up for their age
}

// New is a site with no session.
func NewSite(name string, lim Limits) *Site {
	return &Site{Name: name, Limits: lim, owned: map[string]*session{}, replicas: map[string]*session{}}
}

// Sends gives what is to be said, and forgets it.
func (s *Site) TakeOutgoing() []Outgoing {
	out := s.outgoing
	s.outgoing = nil
	return out
}

func (s *Site) send(to string, w Envelope) {
	w.SiteEpoch = s.Epoch
	s.outgoing = append(s.outgoing, Outgoing{to, w})
}

// Lease holds until then: only while it holds is anything delivered, taken or answered for.
func (s *Site) ExtendLease(until float64) { s.leaseUntil = max(s.leaseUntil, until) }

func (s *Site) holdsLease(now float64) bool { return s.Epoch > 0 && now < s.leaseUntil }

// Homes is how many sessions are at home here.
func (s *Site) OwnedSessions() int { return len(s.owned) }

// Copied is how many sessions have a copy here.
func (s *Site) ReplicatedSessions() int { return len(s.replicas) }

// Bytes is what all queues take, copies included.
func (s *Site) Bytes() int64 { return s.bytes }

// HomeOf says where a session is that this site has a copy of.
func (s *Site) OwnerOf(id string) (string, bool) {
	if x := s.replicas[id]; x != nil {
		return x.Owner, true
	}
	return "", false
}

// Show says what is here of a session, for operators; nil for nothing.
func (s *Site) Describe(id string) map[string]any {
	x := s.owned[id]
	if x == nil {
		return nil
	}
	return map[string]any{"home": x.Owner, "copies": x.Replicas, "epoch": x.Epoch, "queued": len(x.Outbox), "last": x.OutboxLast,
		"fromClient": len(x.Inbox),
		"bytes":      x.bytes, "attached": x.attached, "edge": x.edge, "handedTo": x.handOverTo, "connections": x.Connection}
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
	if !ok || self.Incarnation != life || self.State == sites.StateRemoved {
		if s.Epoch > 0 {
			s.reset()
		}
		return
	}
	if s.Epoch != self.Epoch {
		s.reset()
		s.Epoch = self.Epoch
	}
	s.takeOverOrphans(now)
	for _, id := range slices.Sorted(maps.Keys(s.owned)) {
		s.repairReplicas(s.owned[id], now)
	}
}

// reset lets go of everything: others have it, or will.
func (s *Site) reset() {
	for _, x := range s.owned {
		s.failWaiters(x, statusUnavailable)
	}
	s.owned, s.replicas, s.bytes, s.Epoch, s.leaseUntil = map[string]*session{}, map[string]*session{}, 0, 0, 0
}

func (s *Site) failWaiters(x *session, status int) {
	for _, w := range x.waiters {
		w.reply(status, 0)
	}
	x.waiters = nil
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
	if self.State == sites.StateDraining {
		s.drainBudget = min(s.drainBudget+float64(self.DrainRate)*(now-s.drainBudgetAt)/1000, float64(self.DrainRate))
	}
	s.drainBudgetAt = now
	if now >= s.takeOverAt {
		s.takeOverAt = now + 5*resendAfter
		s.takeOverOrphans(now)
	}
	for _, id := range slices.Sorted(maps.Keys(s.owned)) {
		s.tickSession(s.owned[id], self.State == sites.StateDraining, now)
	}
}

// tickSession goes on with one session at home.
func (s *Site) tickSession(x *session, draining bool, now float64) {
	for _, c := range x.Replicas {
		if x.ackedIndex[c] < x.LogLength && now-x.sentAt[c] >= resendAfter {
			s.replicate(x, now)
			break
		}
	}
	if s.holdsLease(now) && x.handOverTo == "" {
		s.expireMessages(x, now)
		if draining && s.drainBudget >= 1 {
			s.startHandOver(x, now)
		}
		if !x.attached && len(x.Outbox) == 0 && len(x.Inbox) == 0 && now-x.idleSince > idleTimeout {
			s.discardIdle(x)
			return
		}
	}
	s.progress(x, now)
	if x.attached && len(x.Inbox) > 0 { // its client may still wait for the answer
		s.ackPublished(x)
	}
}

// expireMessages gives up messages that nobody fetched in time.
func (s *Site) expireMessages(x *session, now float64) {
	for len(x.Outbox) > 0 && now-x.Outbox[0].EnqueuedAt > s.Limits.MaxAge && x.Outbox[0].EnqueuedAt > 0 {
		s.ExpiredMessages++
		s.applyAsOwner(x, Op{Kind: OpAck, Number: x.Outbox[0].Number}, now)
		x.delivered = max(x.delivered, x.OutboxLast-uint64(len(x.Outbox)))
	}
}

// forget ends an idle session here and at its copies.
func (s *Site) discardIdle(x *session) {
	for _, c := range x.Replicas {
		s.send(c, Envelope{Kind: KindDiscard, Session: x.id, Epoch: x.Epoch})
	}
	s.remove(s.owned, x, statusNoSession)
}
