package queue

// This file implements replication at a replica.

import "slices"

// receiveSnapshot replaces this site's replica with a snapshot. If this site has a newer epoch of the session it tells
// the sender to discard the session.
func (s *Site) receiveSnapshot(from string, envelope *Envelope) {
	state := envelope.State
	if !s.current.AliveAt(state.Owner, state.OwnerEpoch) || state.Owner != from {
		return // the sender's epoch has ended, or isn't known yet
	}
	if owned := s.owned[envelope.Session]; owned != nil && !s.yieldOwnership(owned, from, envelope) {
		return
	}
	replica := s.replicas[envelope.Session]
	if replica != nil && (replica.Epoch > envelope.Epoch ||
		replica.Epoch == envelope.Epoch && replica.LogLength > state.LogLength) {
		if replica.Owner != from {
			s.send(from, Envelope{Kind: KindDiscard, Session: envelope.Session, Epoch: replica.Epoch})
		}
		return
	}
	if replica != nil {
		s.remove(s.replicas, replica, StatusUnavailable)
	}
	replica = newReplica(envelope.Session, state)
	s.bytes += replica.bytes
	s.replicas[envelope.Session] = replica
	s.send(from, Envelope{Kind: KindReplicateAck, Session: envelope.Session, Epoch: envelope.Epoch,
		Base: replica.LogLength})
}

// newReplica returns a replica with a copy of a snapshot: sites in one process, as in tests, must not share its slices.
func newReplica(id string, state *SessionState) *session {
	replica := &session{id: id, SessionState: *state}
	replica.Outbox, replica.Inbox = slices.Clone(state.Outbox), slices.Clone(state.Inbox)
	replica.RecentKeys, replica.Replicas = slices.Clone(state.RecentKeys), slices.Clone(state.Replicas)
	replica.recomputeBytes()
	return replica
}

// yieldOwnership gives up a session that another site owns with a newer epoch, and redirects its edge. If the
// snapshot's epoch isn't newer it tells the sender to discard the session instead.
func (s *Site) yieldOwnership(owned *session, from string, snapshot *Envelope) (yielded bool) {
	if owned.Epoch >= snapshot.Epoch {
		s.send(from, Envelope{Kind: KindDiscard, Session: owned.id, Epoch: owned.Epoch})
		return false
	}
	s.remove(s.owned, owned, StatusUnavailable)
	if owned.attached {
		s.redirect(owned, from, snapshot.State.Replicas, snapshot.Epoch)
	}
	return true
}

// receiveOps applies the ops that this replica lacks. If there is a gap it asks for a snapshot.
func (s *Site) receiveOps(from string, envelope *Envelope) {
	replica := s.replicas[envelope.Session]
	if replica == nil || replica.Epoch != envelope.Epoch || replica.LogLength < envelope.Base {
		s.send(from, Envelope{Kind: KindReplicateAck, Session: envelope.Session, Epoch: envelope.Epoch, New: true})
		return
	}
	for i := range envelope.Ops {
		if envelope.Base+uint64(i) >= replica.LogLength {
			s.bytes += replica.apply(&envelope.Ops[i], s.Limits.RecentKeys)
		}
	}
	s.send(from, Envelope{Kind: KindReplicateAck, Session: envelope.Session, Epoch: envelope.Epoch,
		Base: replica.LogLength})
}

// receiveDiscard removes this site's data of a session if its epoch is not newer than the sender's.
func (s *Site) receiveDiscard(envelope *Envelope) {
	if replica := s.replicas[envelope.Session]; replica != nil && replica.Epoch <= envelope.Epoch {
		s.remove(s.replicas, replica, StatusUnavailable)
	}
	if owned := s.owned[envelope.Session]; owned != nil && owned.Epoch <= envelope.Epoch { // answered by a newer owner
		s.remove(s.owned, owned, StatusUnavailable)
	}
}
