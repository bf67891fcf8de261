package queue

// This file implements the hand-over of a session by a draining owner to one of its replicas.

import (
	"slices"

	"weirwind/internal/session/sites"
)

// startHandOver starts to hand a session over to its first replica at an active site. The session doesn't change from
// then on.
func (s *Site) startHandOver(sess *session, now float64) {
	for _, replica := range sess.Replicas {
		if _, known := sess.ackedIndex[replica]; known && s.current.Sites[replica].State == sites.StateActive {
			s.drainBudget--
			sess.handOverTo, sess.handOverAt = replica, now-resendAfter
			s.progress(sess, now)
			return
		}
	}
}

// sendHandOver asks the new owner to take the session over once all replicas have the complete log, and repeats the
// request until it is answered.
func (s *Site) sendHandOver(sess *session, replicated uint64, now float64) {
	if replicated == sess.LogLength && now-sess.handOverAt >= resendAfter {
		sess.handOverAt = now
		s.send(sess.handOverTo, Envelope{Kind: KindHandOver, Session: sess.id, Epoch: sess.Epoch + 1})
	}
}

// acceptHandOver makes this site the owner of a session that is handed over to it.
func (s *Site) acceptHandOver(from string, envelope *Envelope, now float64) {
	done := Envelope{Kind: KindHandOverDone, Session: envelope.Session, Epoch: envelope.Epoch, Owner: s.Name}
	if owned := s.owned[envelope.Session]; owned != nil && owned.Epoch >= envelope.Epoch {
		s.send(from, done) // repeated, since the first answer was lost
		return
	}
	sess := s.replicas[envelope.Session]
	if sess == nil || sess.Epoch+1 != envelope.Epoch || sess.Owner != from ||
		!s.current.AliveAt(sess.Owner, sess.OwnerEpoch) {
		return
	}
	sess.Replicas = append(sess.Replicas, from) // kept as a replica until another site has the complete log
	s.takeOver(sess, now)
	s.send(from, done)
}

func (s *Site) receiveHandOverDone(from string, envelope *Envelope) {
	sess := s.owned[envelope.Session]
	if sess != nil && sess.handOverTo == from && envelope.Epoch == sess.Epoch+1 {
		s.finishHandOver(sess, from, envelope.Epoch)
	}
}

// finishHandOver makes this site, the old owner, a replica, and redirects the edge to the new owner.
func (s *Site) finishHandOver(sess *session, owner string, epoch uint64) {
	sess.failWaiters(StatusUnavailable)
	if sess.attached {
		s.redirect(sess, owner, []string{s.Name}, epoch)
	}
	delete(s.owned, sess.id)
	sess.Owner, sess.OwnerEpoch, sess.Epoch = owner, s.current.Sites[owner].Epoch, epoch
	sess.handOverTo, sess.attached = "", false
	sess.Replicas = slices.DeleteFunc(slices.Clone(sess.Replicas), func(replica string) bool { return replica == owner })
	sess.Replicas = append(sess.Replicas, s.Name)
	s.replicas[sess.id] = sess
}

// abandonHandOver keeps a session whose designated owner was removed from the map. That site may have been the owner
// with the next epoch, so this site skips that epoch.
func (s *Site) abandonHandOver(sess *session) {
	sess.handOverTo = ""
	sess.Epoch += 2
	sess.resyncReplicas()
	if sess.attached { // messages that the client sent during the hand-over were not accepted
		s.redirect(sess, s.Name, sess.Replicas, sess.Epoch)
	}
}
