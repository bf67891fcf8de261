package queue

// This file owns a site as a whole: what it holds, the map that it knows, and the lease under which it serves.

import (
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// Site is one incarnation of a site.
type Site struct {
	Name            string
	Epoch           uint64 // by the map; 0: not in it yet, and nothing is held
	Limits          Limits
	ExpiredMessages int // that were dropped for their age

	current    *sites.Map
	leaseUntil float64
	owned      map[string]*session // by id; no session is in both maps
	replicas   map[string]*session
	bytes      int64 // of the sessions in both
	outgoing   []Outgoing

	drainBudget          float64 // sessions that a drain may hand over now
	drainBudgetUpdatedAt float64 // as of
	nextTakeOverCheckAt  float64 // next check for sessions whose owner is gone
}

// NewSite holds no session.
func NewSite(name string, limits Limits) *Site {
	return &Site{Name: name, Limits: limits, owned: map[string]*session{}, replicas: map[string]*session{}}
}

// TakeOutgoing gives what is to be sent since the last call.
func (s *Site) TakeOutgoing() []Outgoing {
	outgoing := s.outgoing
	s.outgoing = nil
	return outgoing
}

func (s *Site) send(to string, envelope Envelope) {
	envelope.SiteEpoch = s.Epoch
	s.outgoing = append(s.outgoing, Outgoing{to, envelope})
}

// ExtendLease has the lease hold until then: only while it holds is anything delivered, accepted or acknowledged.
func (s *Site) ExtendLease(until float64) { s.leaseUntil = max(s.leaseUntil, until) }

func (s *Site) holdsLease(now float64) bool { return s.Epoch > 0 && now < s.leaseUntil }

// OwnedSessions is how many sessions the site owns.
func (s *Site) OwnedSessions() int { return len(s.owned) }

// ReplicatedSessions is how many sessions it has a replica of.
func (s *Site) ReplicatedSessions() int { return len(s.replicas) }

// Bytes is what all its sessions take, replicas included.
func (s *Site) Bytes() int64 { return s.bytes }

// Map is the map that the site knows, nil for none.
func (s *Site) Map() *sites.Map { return s.current }

// OwnerOf gives the owner of a session that the site has a replica of.
func (s *Site) OwnerOf(id string) (owner string, ok bool) {
	if sess := s.replicas[id]; sess != nil {
		return sess.Owner, true
	}
	return "", false
}

// SessionInfo is what operators are shown of a session. Its fields stand in the order of their JSON names.
type SessionInfo struct {
	Attached     bool     `json:"attached"`
	Bytes        int64    `json:"bytes"`
	Connections  uint64   `json:"connections"`
	Replicas     []string `json:"copies"`
	Edge         string   `json:"edge"`
	Epoch        uint64   `json:"epoch"`
	Inbox        int      `json:"fromClient"` // messages
	HandOverTo   string   `json:"handedTo"`
	Owner        string   `json:"home"`
	OutboxLast   uint64   `json:"last"`
	OutboxLength int      `json:"queued"`
}

// Describe describes a session that the site owns, nil for another.
func (s *Site) Describe(id string) *SessionInfo {
	sess := s.owned[id]
	if sess == nil {
		return nil
	}
	return &SessionInfo{Attached: sess.attached, Bytes: sess.bytes, Connections: sess.Connection,
		Replicas: sess.Replicas, Edge: sess.edge, Epoch: sess.Epoch, Inbox: len(sess.Inbox),
		HandOverTo: sess.handOverTo, Owner: sess.Owner, OutboxLast: sess.OutboxLast, OutboxLength: len(sess.Outbox)}
}

// ApplyMap takes a newer map. If the epoch of this incarnation is over the site holds nothing any more; sessions
// whose owner's epoch is over become this site's where it is the first of their replicas that is alive.
func (s *Site) ApplyMap(m *sites.Map, incarnation uint64, now float64) {
	if m == nil || s.current != nil && m.Version <= s.current.Version {
		return
	}
	s.current = m
	self, ok := m.Sites[s.Name]
	if !ok || self.Incarnation != incarnation || self.State == sites.StateRemoved {
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

// reset drops everything: other sites have it, or will.
func (s *Site) reset() {
	for _, sess := range s.owned {
		sess.failWaiters(StatusUnavailable)
	}
	s.owned, s.replicas = map[string]*session{}, map[string]*session{}
	s.bytes, s.Epoch, s.leaseUntil = 0, 0, 0
}

// remove drops a session from one of the site's maps; producers that wait get the status.
func (s *Site) remove(from map[string]*session, sess *session, status Status) {
	sess.failWaiters(status)
	s.bytes -= sess.bytes
	delete(from, sess.id)
}

// Tick does what is due: resending, drains, messages and sessions that expire. It is to be called every few
// milliseconds.
func (s *Site) Tick(now float64) {
	if s.current == nil || s.Epoch == 0 {
		return
	}
	self := s.current.Sites[s.Name]
	draining := self.State == sites.StateDraining
	if draining {
		rate := float64(self.DrainRate)
		s.drainBudget = min(s.drainBudget+rate*(now-s.drainBudgetUpdatedAt)/1000, rate)
	}
	s.drainBudgetUpdatedAt = now
	if now >= s.nextTakeOverCheckAt {
		s.nextTakeOverCheckAt = now + takeOverInterval
		s.takeOverOrphans(now)
	}
	for _, id := range slices.Sorted(maps.Keys(s.owned)) {
		s.tickSession(s.owned[id], draining, now)
	}
}

func (s *Site) tickSession(sess *session, draining bool, now float64) {
	for _, replica := range sess.Replicas {
		if sess.ackedIndex[replica] < sess.LogLength && now-sess.sentAt[replica] >= resendAfter {
			s.replicate(sess, now)
			break
		}
	}
	if s.holdsLease(now) && sess.handOverTo == "" {
		s.expireMessages(sess, now)
		if draining && s.drainBudget >= 1 {
			s.startHandOver(sess, now)
		}
		if !sess.attached && len(sess.Outbox) == 0 && len(sess.Inbox) == 0 && now-sess.idleSince > idleTimeout {
			s.discardIdle(sess)
			return
		}
	}
	s.progress(sess, now)
	if sess.attached && len(sess.Inbox) > 0 { // its acknowledgement may have been lost
		s.ackPublished(sess)
	}
}

// expireMessages drops messages that were not acknowledged in time.
func (s *Site) expireMessages(sess *session, now float64) {
	for len(sess.Outbox) > 0 && now-sess.Outbox[0].EnqueuedAt > s.Limits.MaxAge && sess.Outbox[0].EnqueuedAt > 0 {
		s.ExpiredMessages++
		s.applyAsOwner(sess, Op{Kind: OpAck, Number: sess.Outbox[0].Number}, now)
		sess.delivered = max(sess.delivered, sess.outboxAcked())
	}
}

// discardIdle ends an idle session here and at its replicas.
func (s *Site) discardIdle(sess *session) {
	for _, replica := range sess.Replicas {
		s.send(replica, Envelope{Kind: KindDiscard, Session: sess.id, Epoch: sess.Epoch})
	}
	s.remove(s.owned, sess, StatusNoSession)
}
