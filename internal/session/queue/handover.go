package queue

// This file owns the hand-over: a draining owner makes one of its replicas the owner.

import (
	"slices"

	"weirwind/internal/session/sites"
)

// startHandOver begins to hand a session over to its first replica at an active site. From here on it doesn't change.
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

// sendHandOver asks the new owner to take the session, once all replicas have all of it, and again until it answers.
func (s *Site) sendHandOver(sess *session, replicated uint64, now float64) {
	if replicated == sess.LogLength && now-sess.handOverAt >= resendAfter {
		sess.handOverAt = now
		s.send(sess.handOverTo, Envelope{Kind: KindHandOver, Session: sess.id, Epoch: sess.Epoch + 1})
	}
}

// acceptHandOver makes this site the owner of a session that its owner hands over.
func (s *Site) acceptHandOver(from string, envelope *Envelope, now float64) {
	done := Envelope{Kind: KindHandOverDone, Session: envelope.Session, Epoch: envelope.Epoch, Owner: s.Name}
	if owned := s.owned[envelope.Session]; owned != nil && owned.Epoch >= envelope.Epoch {
		s.send(from, done) // again: the first answer was lost
		return
	}
	sess := s.replicas[envelope.Session]
	if sess == nil || sess.Epoch+1 != envelope.Epoch || sess.Owner != from ||
		!s.current.AliveAt(sess.Owner, sess.OwnerEpoch) {
		return
	}
	sess.Replicas = append(sess.Replicas, from) // until another has all
	s.takeOver(sess, now)
	s.send(from, done)
}

func (s *Site) receiveHandOverDone(from string, envelope *Envelope) {
	sess := s.owned[envelope.Session]
	if sess != nil && sess.handOverTo == from && envelope.Epoch == sess.Epoch+1 {
		s.finishHandOver(sess, from, envelope.Epoch)
	}
}

// finishHandOver makes the old owner a replica, and tells the edge who the new one is.
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

// abandonHandOver keeps a session whose new owner was removed. It may have been the owner by the next epoch, which is
// over, so this site goes on by the one behind that.
func (s *Site) abandonHandOver(sess *session) {
	sess.handOverTo = ""
	sess.Epoch += 2
	sess.resyncReplicas()
	if sess.attached { // what the client sent meanwhile was not accepted
		s.redirect(sess, s.Name, sess.Replicas, sess.Epoch)
	}
}
