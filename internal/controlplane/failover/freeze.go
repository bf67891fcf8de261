package failover

// This file owns the first step of a succession: replicas are paused and read.

import (
	"fmt"
	"slices"
)

// needOf is how many of n replicas hold every acknowledged commit between them, whichever they are: any set of that many meets
// every set of syncN. Where who led isn't known it is one of the n, and a commit is at syncN+1 of them.
func needOf(n, syncN int, primaryKnown bool) int {
	switch {
	case syncN == 0:
		return n
	case primaryKnown:
		return max(n-syncN+1, 1)
	}
	return max(n-syncN, 1)
}

// replicas are all that a commit may have been received by, apart from the old primary: also those that can't be asked.
func (s *Controller) replicas(v *View) []Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.ID == s.old })
}

func (s *Controller) freeze(v *View, now float64) {
	rs := s.replicas(v)
	if len(rs) == 0 {
		s.giveUp(v, "there is no replica", now)
		return
	}
	if s.other(v, now) {
		return
	}
	if s.planned && s.next == "" {
		if s.next = s.choose(rs); s.next == "" && !s.successors(v, s.old) {
			s.giveUp(v, "nobody could take over", now)
			return
		}
	}
	if now >= s.askAt {
		s.askAt = now + pressEvery
		s.hold(v, now)
		s.depose(v, now)
	}
	if s.planned {
		if s.stepped {
			if s.next != "" {
				s.enter(catching, now)
				s.catch(v, now)
			}
			return
		}
		if s.find(v, s.old) == nil {
			s.planned, s.next = false, ""
			s.say("the old primary has left")
			return
		}
		old := s.fact(s.old)
		if old.refused >= refusedMost || old.failed > 1 && now-old.at > darkAfter {
			s.planned, s.next = false, "" // it died on the way: its successor is held to the stricter terms
			s.say("the old primary is silent")
			return
		}
		if s.next == "" {
			return
		}
		allPaused := !slices.ContainsFunc(rs, func(m Member) bool { return m.ID != s.next && !s.fact(m.ID).paused })
		if allPaused && !v.MembershipUncertain {
			s.enter(catching, now)
			s.catch(v, now)
		} else if allPaused || now-s.since > stepAfter {
			// A replica can't be paused, or isn't known, and might receive what the successor lacks: the old primary itself is the
			// one that surely has all. Its drain binds, so that nothing new comes; once the successor has what it has, it steps down.
			if !s.bound {
				s.bound = true
				s.act(EnforceDrain, s.old, "")
			}
			n := s.fact(s.next)
			switch {
			case old.ok && !old.status.Primary && old.at >= s.since:
				s.stepped, s.oldPos = true, old.status.Received
				s.say("the old primary has stepped down, as a replica can't be paused or isn't known")
				s.enter(catching, now)
				s.catch(v, now)
			case !old.waiting && old.ok && n.ok && n.at >= s.since && !n.status.Received.Less(old.status.Received):
				s.ask(s.old, StepDown, now)
			case now-s.since > 2*swapAfter:
				s.swap(v, now)
			}
		}
		return
	}
	paused := 0
	for _, m := range rs {
		if s.fact(m.ID).paused {
			paused++
		}
	}
	need := needOf(len(rs), v.SyncReplicas, s.old != "")
	if paused < need {
		s.say(fmt.Sprintf("waits for %d more of %d replicas, as one of them may alone hold a commit", need-paused, len(rs)))
		return
	}
	best := ""
	for _, m := range rs {
		f := s.fact(m.ID)
		if m.Absent || !f.paused || best != "" && !s.further(v, m.ID, best) {
			continue
		}
		best = m.ID
	}
	if best == "" {
		s.say("waits for a member that could take over")
		return
	}
	s.next = best
	s.enter(catching, now)
	s.catch(v, now)
}

// hold pauses the replicas that are not, or whose answer is so old that they may have restarted and forgotten it. The successor of a
// planned end is only asked.
func (s *Controller) hold(v *View, now float64) {
	for _, m := range s.replicas(v) {
		f := s.fact(m.ID)
		switch {
		case m.Absent, m.ID == s.next && s.phase == proving:
		case s.planned && m.ID == s.next:
			s.ask(m.ID, QueryStatus, now)
		case f.paused && now-f.at <= pauseHolds:
		case s.term == 0:
			s.ask(m.ID, QueryStatus, now) // the newest term must be known first
		default:
			s.ask(m.ID, PauseReplication, now)
		}
	}
}

// depose asks the old primary for its state. Once its word can't end the succession any more it is told to step down, so that it
// has nothing acknowledged by a replica that is not paused yet.
func (s *Controller) depose(v *View, now float64) {
	if s.find(v, s.old) == nil {
		return
	}
	f := s.fact(s.old)
	if !s.planned && (s.called || s.stuck) && s.next != s.old && f.ok && f.status.Primary && f.at >= s.since {
		s.ask(s.old, StepDown, now)
		return
	}
	s.ask(s.old, QueryStatus, now)
}

// other looks whether somebody leads after all, so that there is nothing to do.
func (s *Controller) other(v *View, now float64) bool {
	for _, m := range v.Members {
		f := s.fact(m.ID)
		if m.Absent {
			continue
		}
		if m.ID == s.old {
			if !s.planned && !s.called && !s.stuck && f.ok && f.status.Primary && f.at > s.since {
				s.giveUp(v, "it answers", now)
				return true
			}
			continue
		}
		if f.ok && f.status.Primary && f.at >= s.since {
			s.giveUp(v, m.ID+" leads", now)
			if s.old != "" {
				s.act(EnforceDrain, s.old, "")
			}
			return true
		}
	}
	return false
}
