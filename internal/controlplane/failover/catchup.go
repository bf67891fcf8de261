package failover

import "weirwind/internal/member/wire"

// This file implements phaseCatchingUp: the candidate receives all entries that the paused replicas, or the old
// primary, have.

// stepCatchingUp promotes the candidate once its log is complete.
func (c *Controller) stepCatchingUp(view *View, now float64) {
	m := findMember(view, c.candidate)
	if m == nil {
		c.restart(now)
		return
	}
	if c.abandonIfPrimaryExists(view, now) {
		return
	}
	candidate := c.observation(c.candidate)
	end := candidate.status.Received
	complete := candidate.known && !m.Unlisted && c.coversPausedLogs(view, end, now)
	if c.mode == switchoverSteppedDown && c.candidate != c.oldPrimary && end.Less(c.oldPosition) {
		complete = false
		if now-c.phaseStart > pauseTimeout {
			// A commit was made just before the step-down. Only the old primary certainly has it: promote that one again.
			c.logOnce("the old primary is to lead again")
			c.candidate = c.oldPrimary
			c.promote(now)
			return
		}
	}
	if complete && now >= c.nextQueryAt {
		c.promote(now)
		return
	}
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + catchUpInterval
		c.pauseReplicas(view, now)
		if c.candidate == c.oldPrimary {
			c.query(c.candidate, QueryStatus, now)
		}
	}
	if complete || now-c.phaseStart <= catchUpTimeout {
		return
	}
	if c.mode.planned() {
		c.replaceCandidate(view, now)
	} else {
		c.restart(now)
	}
}

// coversPausedLogs reports whether a log up to end includes the logs of all paused replicas. It returns false if a
// reply is too old, as the replica may have restarted since and so have lost its pause.
func (c *Controller) coversPausedLogs(view *View, end wire.Position, now float64) bool {
	for _, m := range c.replicas(view) {
		o := c.observation(m.ID)
		if !o.paused {
			continue
		}
		if end.Less(o.status.Received) || !m.Absent && now-o.queriedAt > pauseValidity {
			return false
		}
	}
	return true
}

// replaceCandidate makes a switchover try another candidate. If the platform may still carry out an earlier promote,
// the switchover is abandoned instead, as no replica may be resumed before a fence.
func (c *Controller) replaceCandidate(view *View, now float64) {
	reason := c.candidate + " does not catch up"
	c.logOnce(reason)
	c.rejected[c.candidate] = true
	if !c.earlierPromotesVoid {
		c.abandon(view, reason, now)
		return
	}
	for _, m := range view.Members {
		o := c.observation(m.ID)
		o.known = m.ID == c.oldPrimary && o.known
	}
	c.candidate = "" // pauseReplicas resumes the next candidate when it queries it
	c.enterPhase(phasePausing, now)
}
