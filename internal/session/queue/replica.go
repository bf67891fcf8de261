package queue

// This file owns replication at a replica.

import "slices"

// receiveSnapshot takes a session as a whole. An owner whose epoch is older than what this site knows of the session
// is told to discard it.
func (s *Site) receiveSnapshot(from string, envelope *Envelope) {
	state := envelope.State
	if !s.current.AliveAt(state.Owner, state.OwnerEpoch) || state.Owner != from {
		return // of an epoch that is over, or not known yet
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

// newReplica copies a snapshot: what runs in one process must not share its slices.
func newReplica(id string, state *SessionState) *session {
	replica := &session{id: id, SessionState: *state}
	replica.Outbox, replica.Inbox = slices.Clone(state.Outbox), slices.Clone(state.Inbox)
	replica.RecentKeys, replica.Replicas = slices.Clone(state.RecentKeys), slices.Clone(state.Replicas)
	replica.recomputeBytes()
	return replica
}

// yieldOwnership gives a session up that another site owns by a newer epoch, or refuses an older one.
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

// receiveOps takes the part of a session's log that this replica lacks; where there is a gap it asks for a snapshot.
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

// receiveDiscard drops what is no newer than the owner that says so.
func (s *Site) receiveDiscard(envelope *Envelope) {
	if replica := s.replicas[envelope.Session]; replica != nil && replica.Epoch <= envelope.Epoch {
		s.remove(s.replicas, replica, StatusUnavailable)
	}
	if owned := s.owned[envelope.Session]; owned != nil && owned.Epoch <= envelope.Epoch { // a newer owner answered
		s.remove(s.owned, owned, StatusUnavailable)
	}
}
