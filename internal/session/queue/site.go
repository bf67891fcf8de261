package queue

// This file implements a site: its sessions, its copy of the map, its lease and its periodic work.

import (
	"maps"
	"slices"

	"weirwind/internal/session/sites"
)

// Site is one incarnation of a site.
type Site struct {
	Name            string
	Epoch           uint64 // assigned by the map; 0: this incarnation isn't in the map and holds no sessions
	Limits          Limits
	ExpiredMessages int // number of messages dropped because of their age

	current    *sites.Map
	leaseUntil float64
	owned      map[string]*session // by id; no session is in both maps
	replicas   map[string]*session
	bytes      int64 // of the sessions in both maps
	outgoing   []Outgoing

	drainBudget          float64 // number of sessions that a drain may hand over now
	drainBudgetUpdatedAt float64
	nextTakeOverCheckAt  float64 // next check for sessions whose owner's epoch has ended
}

// NewSite returns a site without sessions.
func NewSite(name string, limits Limits) *Site {
	return &Site{Name: name, Limits: limits, owned: map[string]*session{}, replicas: map[string]*session{}}
}

// TakeOutgoing returns the envelopes to be sent since the last call.
func (s *Site) TakeOutgoing() []Outgoing {
	outgoing := s.outgoing
	s.outgoing = nil
	return outgoing
}

func (s *Site) send(to string, envelope Envelope) {
	envelope.SiteEpoch = s.Epoch
	s.outgoing = append(s.outgoing, Outgoing{to, envelope})
}

// ExtendLease extends the lease until the given time. Messages are delivered, accepted and acknowledged only while the
// lease is valid.
func (s *Site) ExtendLease(until float64) { s.leaseUntil = max(s.leaseUntil, until) }

func (s *Site) holdsLease(now float64) bool { return s.Epoch > 0 && now < s.leaseUntil }

// OwnedSessions returns the number of sessions that the site owns.
func (s *Site) OwnedSessions() int { return len(s.owned) }

// ReplicatedSessions returns the number of sessions of which the site has a replica.
func (s *Site) ReplicatedSessions() int { return len(s.replicas) }

// Bytes returns the size of all sessions, including replicas.
func (s *Site) Bytes() int64 { return s.bytes }

// Map returns the newest map that the site knows, or nil.
func (s *Site) Map() *sites.Map { return s.current }

// OwnerOf returns the owner of a session of which the site has a replica.
func (s *Site) OwnerOf(id string) (owner string, ok bool) {
	if sess := s.replicas[id]; sess != nil {
		return sess.Owner, true
	}
	return "", false
}

// SessionInfo describes a session to operators. Its fields are in the order of their JSON names.
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

// Describe returns a description of a session that the site owns, or nil if it doesn't own the session.
func (s *Site) Describe(id string) *SessionInfo {
	sess := s.owned[id]
	if sess == nil {
		return nil
	}
	return &SessionInfo{Attached: sess.attached, Bytes: sess.bytes, Connections: sess.Connection,
		Replicas: sess.Replicas, Edge: sess.edge, Epoch: sess.Epoch, Inbox: len(sess.Inbox),
		HandOverTo: sess.handOverTo, Owner: sess.Owner, OutboxLast: sess.OutboxLast, OutboxLength: len(sess.Outbox)}
}

// ApplyMap applies a map if it is newer. If this incarnation's epoch has ended the site drops all sessions. Otherwise
// it takes over sessions whose owner's epoch has ended if it is the first of their replicas that is alive.
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

// reset drops all sessions: their replicas at other sites take over.
func (s *Site) reset() {
	for _, sess := range s.owned {
		sess.failWaiters(StatusUnavailable)
	}
	s.owned, s.replicas = map[string]*session{}, map[string]*session{}
	s.bytes, s.Epoch, s.leaseUntil = 0, 0, 0
}

// remove removes a session from one of the site's maps, and answers waiting producers with the status.
func (s *Site) remove(from map[string]*session, sess *session, status Status) {
	sess.failWaiters(status)
	s.bytes -= sess.bytes
	delete(from, sess.id)
}

// Tick performs the periodic work: it resends messages, hands sessions over while the site drains, and expires messages
// and idle sessions. It must be called every few milliseconds.
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
	if sess.attached && len(sess.Inbox) > 0 { // an earlier acknowledgement may have been lost
		s.ackPublished(sess)
	}
}

// expireMessages drops messages that were not acknowledged within MaxAge.
func (s *Site) expireMessages(sess *session, now float64) {
	for len(sess.Outbox) > 0 && now-sess.Outbox[0].EnqueuedAt > s.Limits.MaxAge && sess.Outbox[0].EnqueuedAt > 0 {
		s.ExpiredMessages++
		s.applyAsOwner(sess, Op{Kind: OpAck, Number: sess.Outbox[0].Number}, now)
		sess.delivered = max(sess.delivered, sess.outboxAcked())
	}
}

// discardIdle removes an idle session here and at its replicas.
func (s *Site) discardIdle(sess *session) {
	for _, replica := range sess.Replicas {
		s.send(replica, Envelope{Kind: KindDiscard, Session: sess.id, Epoch: sess.Epoch})
	}
	s.remove(s.owned, sess, StatusNoSession)
}
