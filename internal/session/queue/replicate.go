package queue

// This file implements replication at the owner. An op is replicated once all replicas have acknowledged it.

import "slices"

// applyAsOwner applies an op and sends it to the replicas.
func (s *Site) applyAsOwner(sess *session, op Op, now float64) {
	s.bytes += sess.apply(&op, s.Limits.RecentKeys)
	sess.ops = append(sess.ops, op)
	s.replicate(sess, now)
}

// replicate sends each replica the ops that were not sent to it yet, and after resendAfter also those that it has not
// acknowledged. It sends a snapshot if these ops have been dropped or the replica's state is unknown.
func (s *Site) replicate(sess *session, now float64) {
	droppedOps := sess.LogLength - uint64(len(sess.ops)) // ops[0] has index first+1
	for _, replica := range sess.Replicas {
		acked, known := sess.ackedIndex[replica]
		resend := now-sess.sentAt[replica] >= resendAfter
		from := sess.sentIndex[replica]
		if resend {
			from = acked
		}
		switch {
		case !known || from < droppedOps:
			if _, sent := sess.sentAt[replica]; !sent || resend {
				s.sendSnapshot(sess, replica, now)
			}
		case from < sess.LogLength:
			sess.sentAt[replica], sess.sentIndex[replica] = now, sess.LogLength
			s.send(replica, Envelope{Kind: KindReplicate, Session: sess.id, Epoch: sess.Epoch, Base: from,
				Ops: slices.Clone(sess.ops[from-droppedOps:])})
		}
	}
}

func (s *Site) sendSnapshot(sess *session, replica string, now float64) {
	state := sess.SessionState
	sess.sentAt[replica], sess.sentIndex[replica] = now, sess.LogLength
	sess.replicaEpoch[replica] = s.current.Sites[replica].Epoch
	s.send(replica, Envelope{Kind: KindSnapshot, Session: sess.id, Epoch: sess.Epoch, State: &state})
}

// replicatedIndex returns the log index up to which all replicas have acknowledged. Without replicas it is 0, and no
// message is accepted.
func (s *Site) replicatedIndex(sess *session) uint64 {
	if len(sess.Replicas) == 0 {
		return 0
	}
	index := sess.LogLength
	for _, replica := range sess.Replicas {
		index = min(index, sess.ackedIndex[replica])
	}
	return index
}

// receiveReplicateAck records how much of the log a replica has, or that it needs a snapshot.
func (s *Site) receiveReplicateAck(from string, envelope *Envelope, now float64) {
	sess := s.owned[envelope.Session]
	if sess == nil || sess.Epoch != envelope.Epoch || !slices.Contains(sess.Replicas, from) {
		return
	}
	if envelope.New {
		delete(sess.ackedIndex, from)
		delete(sess.sentAt, from)
	} else {
		sess.ackedIndex[from] = max(sess.ackedIndex[from], envelope.Base)
		sess.sentIndex[from] = max(sess.sentIndex[from], envelope.Base)
	}
	s.replicate(sess, now)
	s.progress(sess, now)
	s.dropExcessReplica(sess, now)
}

// progress performs the work that newly replicated ops allow: replies, delivery, and the next step of a hand-over.
func (s *Site) progress(sess *session, now float64) {
	replicated := s.replicatedIndex(sess)
	s.replyToWaiters(sess, replicated, now)
	if drop := int(replicated) - int(sess.LogLength) + len(sess.ops); drop > 0 {
		sess.ops = slices.Clone(sess.ops[drop:])
	}
	if sess.handOverTo != "" {
		s.sendHandOver(sess, replicated, now)
		return
	}
	s.deliver(sess, replicated, now)
}

// replyToWaiters answers the producers whose messages are replicated, and those whose deadline has passed.
func (s *Site) replyToWaiters(sess *session, replicated uint64, now float64) {
	waiting := sess.waiters[:0]
	for _, w := range sess.waiters {
		switch {
		case w.logIndex <= replicated && s.holdsLease(now):
			w.reply(StatusQueued, w.number)
		case now >= w.deadline:
			w.reply(StatusUnavailable, w.number)
		default:
			waiting = append(waiting, w)
		}
	}
	sess.waiters = waiting
}
