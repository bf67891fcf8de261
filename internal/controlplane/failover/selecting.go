package failover

import (
	"fmt"

	"weirwind/internal/member/wire"
)

// This file decides whether a log has every acknowledged commit.

// countsAsPaused reports whether a replica's reply shows which commits it may have acknowledged: it was paused, is so
// still as far as is known, and the query was sent after the old primary had stopped, if it has, and after the last
// moment at which a resume of the former leader could be executed. A replica that has departed since has received
// nothing after its pause.
func (c *Controller) countsAsPaused(m *Member, now float64) bool {
	o := c.observation(m.ID)
	fresh := m.Absent || now-o.queriedAt <= pauseValidity
	return o.paused && fresh && (m.Departed || o.queriedAt >= c.stoppedAt) && c.pastTakeover(o.queriedAt)
}

// candidateEnd returns the end of the candidate's log. That of a candidate whose promote was issued is at least as in
// its record, also if it does not reply now; reported is false then.
func (c *Controller) candidateEnd(now float64) (end wire.Position, reported bool) {
	o := c.observation(c.candidate)
	if o.known && now-o.queriedAt <= pauseValidity {
		return o.status.Received, true
	}
	return c.record.Position, false
}

// isRepeated reports whether a promote of the candidate was issued before and is not resolved.
func (c *Controller) isRepeated() bool { return c.issued && c.candidate == c.record.Candidate }

// mayReplaceCandidate reports whether another member may be promoted although a promote was issued and is not resolved:
// it has not been carried out in time, and the candidate's log is not complete.
func (c *Controller) mayReplaceCandidate(view *View, now float64) bool {
	if now-c.calledAt <= effectTimeout || c.laterTermReceived(view) {
		c.logOnce("waits for " + c.record.Candidate + ", whose promote may take effect")
		return false
	}
	_, reported := c.candidateEnd(now)
	return reported || c.observation(c.record.Candidate).failures > 0
}

// covers reports whether the candidate's log has every acknowledged commit: it has all that the old primary had when it
// stepped down, or all that a quorum of paused replicas has.
func (c *Controller) covers(view *View, now float64) bool {
	candidate := findMember(view, c.candidate)
	repeated := c.isRepeated()
	end, reported := c.candidateEnd(now)
	if !reported && !repeated || candidate != nil && candidate.Unlisted || candidate == nil && !repeated {
		return false
	}
	if c.candidate == c.oldPrimary && repeated {
		return !end.Less(c.record.Position)
	}
	if c.steppedDownAt > 0 && c.oldPrimaryLed && !end.Less(c.oldPosition) {
		return true
	}
	if c.candidate == c.oldPrimary {
		return false
	}
	paused, ok := c.pausedUpTo(view, end, now)
	if candidate == nil || !c.countsAsPaused(candidate, now) {
		paused++ // what it has acknowledged itself it has
	}
	return ok && paused >= c.pauseQuorum(view) && c.quorumIsKnown(view)
}

// pausedUpTo returns the number of paused replicas. ok is false if any of them has entries beyond end.
func (c *Controller) pausedUpTo(view *View, end wire.Position, now float64) (paused int, ok bool) {
	for _, m := range c.replicas(view) {
		if !c.countsAsPaused(&m, now) {
			continue
		}
		if end.Less(c.observation(m.ID).status.Received) {
			return paused, false
		}
		paused++
	}
	return paused, true
}

// quorumIsKnown reports whether the replicas that may have acknowledged a commit are known. While membership is
// uncertain, the log of an old primary that can be queried is relied on instead.
func (c *Controller) quorumIsKnown(view *View) bool {
	if !c.oldPrimaryLed || !view.MembershipUncertain || c.steppedDownAt == 0 || findMember(view, c.oldPrimary) == nil {
		return true
	}
	return c.observation(c.oldPrimary).failures > 0
}

// selectForFailover returns the candidate: one whose promote was issued before, if its log is complete, or else the
// paused replica with the longest log. It returns "" while too few replicas are paused.
func (c *Controller) selectForFailover(view *View, replicas []Member, now float64) string {
	if c.issued {
		c.candidate = c.record.Candidate
		if c.covers(view, now) {
			return c.candidate
		}
		if !c.mayReplaceCandidate(view, now) {
			return ""
		}
	}
	paused, quorum := 0, c.pauseQuorum(view)
	for i := range replicas {
		if c.countsAsPaused(&replicas[i], now) {
			paused++
		}
	}
	if paused < quorum && !(c.steppedDownAt > 0 && c.oldPrimaryLed) {
		c.logOnce(fmt.Sprintf("waits for %d more of %d replicas, as one of them may alone hold a commit",
			quorum-paused, len(replicas)))
		return ""
	}
	c.candidate = c.longestLog(view, replicas, now)
	if c.candidate == "" {
		c.logOnce("waits for a member that could take over")
		return ""
	}
	if c.covers(view, now) {
		return c.candidate
	}
	return ""
}
