package queue

// This file implements the takeover: a replica becomes the owner because the owner's epoch has ended.

import (
	"maps"
	"slices"
)

// takeOverOrphans checks all replicas for sessions whose owner's epoch has ended.
func (s *Site) takeOverOrphans(now float64) {
	for _, id := range slices.Sorted(maps.Keys(s.replicas)) {
		s.takeOverOrphan(s.replicas[id], now)
	}
}

// takeOverOrphan takes a session over if its owner's epoch has ended and no earlier replica is alive. If one is, it
// asks that replica to take over.
func (s *Site) takeOverOrphan(sess *session, now float64) {
	if s.current.AliveAt(sess.Owner, sess.OwnerEpoch) {
		return
	}
	for _, replica := range sess.Replicas {
		if replica == s.Name {
			s.takeOver(sess, now)
			return
		}
		if s.current.Alive(replica) {
			s.send(replica, Envelope{Kind: KindTakeOverRequest, Session: sess.id, Epoch: sess.Epoch})
			return
		}
	}
}

// takeOver makes this site the owner of a session of which it has a replica, with the session's next epoch.
func (s *Site) takeOver(sess *session, now float64) {
	delete(s.replicas, sess.id)
	sess.Epoch++
	sess.Owner, sess.OwnerEpoch = s.Name, s.Epoch
	sess.Replicas = slices.DeleteFunc(sess.Replicas, func(replica string) bool { return replica == s.Name })
	sess.resetReplication()
	sess.handOverTo, sess.edge, sess.socket, sess.delivered = "", "", 0, 0
	sess.detach(now)
	for i := range sess.Outbox {
		sess.Outbox[i].EnqueuedAt = now // clocks of sites differ
	}
	s.owned[sess.id] = sess
	s.repairReplicas(sess, now)
}

// receiveTakeOverRequest answers a replica that waits for this site to take over, or handles such an answer.
func (s *Site) receiveTakeOverRequest(from string, envelope *Envelope, now float64) {
	owned, replica := s.owned[envelope.Session], s.replicas[envelope.Session]
	switch {
	case owned != nil && owned.Epoch > envelope.Epoch && !slices.Contains(owned.Replicas, from):
		s.send(from, Envelope{Kind: KindDiscard, Session: envelope.Session, Epoch: owned.Epoch})
	case owned == nil && replica == nil: // this site has no data of the session, so the sender should take over itself
		s.send(from, Envelope{Kind: KindTakeOverRequest, Session: envelope.Session, Epoch: envelope.Epoch, New: true})
	}
	if replica != nil && envelope.New && replica.Epoch == envelope.Epoch &&
		!s.current.AliveAt(replica.Owner, replica.OwnerEpoch) {
		replica.Replicas = slices.DeleteFunc(slices.Clone(replica.Replicas), func(name string) bool { return name == from })
		s.takeOverOrphan(replica, now)
	}
}
