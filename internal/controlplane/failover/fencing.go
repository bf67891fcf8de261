package failover

// This file resumes paused replicas, after a fence where one is needed.
//
// A promote may reach the platform late, and its answer may be lost. While every replica that the promote relied on
// is paused, nothing is acknowledged that the candidate lacks; so they stay paused until a promote with a higher
// fencing token was answered. Where nothing is to be changed, that promote names the present primary. A new leader of
// the control plane issues one only if it finds a replica that an earlier leader paused: where all members replied
// and none was paused, no failover is under way.

// resumePaused looks for replicas that were left paused, by this leader or an earlier one, and resumes them. It
// reports whether it has begun to fence, with nothing else to be done in this step.
func (c *Controller) resumePaused(view *View, now float64) (fencing bool) {
	if !c.pastPromoteLatency(now) {
		return false
	}
	if !c.earlierPromotesVoid && !c.promoteUnresolved && c.nonePaused(view) {
		c.earlierPromotesVoid = true
	}
	if !c.earlierPromotesVoid && c.startFencing(view, now) {
		return true
	}
	for _, m := range view.Members {
		o := c.observation(m.ID)
		if m.Absent || !o.resumeCheckDue || m.ID == c.primary || o.pending || now < o.nextResumeCheckAt {
			continue // it may be cut off and still paused: it is queried for as long as it is there
		}
		o.nextResumeCheckAt = now + resumeInterval
		if o.reportsPause && c.earlierPromotesVoid {
			c.query(m.ID, ResumeReplication, now)
		} else {
			c.query(m.ID, QueryStatus, now)
		}
	}
	return false
}

// nonePaused is whether every member was queried since earlier promotes would have been carried out, and none is
// paused.
func (c *Controller) nonePaused(view *View) bool {
	for _, m := range view.Members {
		if m.Departed {
			continue
		}
		o := c.observations[m.ID]
		if o == nil || !o.known || o.reportsPause || o.queriedAt < c.startedAt+promoteLatency {
			return false
		}
	}
	return len(view.Members) > 0
}

// startFencing promotes the present primary anew if a replica is to be resumed and the primary has just reported that
// it leads. It reports whether it did.
func (c *Controller) startFencing(view *View, now float64) bool {
	primary := c.leader(view, now)
	if primary == nil || !c.resumeNeeded(view) || now < c.nextQueryAt {
		return false
	}
	o := c.observation(primary.ID)
	if !o.known || !o.status.Primary || now-o.queriedAt > watchInterval {
		return false // stepWatching queries it
	}
	c.primary, c.candidate = primary.ID, primary.ID
	c.addAction(Log, primary.ID, "a fence before paused replicas are let go")
	c.enterPhase(phaseFencing, now)
	c.addAction(Promote, primary.ID, "")
	return true
}

// anyToResume is whether a member that can be queried is known to be paused, with no failover under way.
func (c *Controller) resumeNeeded(view *View) bool {
	for _, m := range view.Members {
		o := c.observations[m.ID]
		if o != nil && !m.Absent && o.resumeCheckDue && o.reportsPause {
			return true
		}
	}
	return false
}

func (c *Controller) handleFenceResult(status int, now float64) {
	if status == statusAccepted {
		c.enterPhase(phaseQuiescing, now)
		return
	}
	c.enterPhase(phaseWatching, now)
	c.nextQueryAt = now + fenceRetryDelay
}

// stepQuiescing ends the fence once promotes that the platform accepted before it would have shown. Who leads is
// queried anew.
func (c *Controller) stepQuiescing(now float64) {
	if now-c.phaseStart < promoteLatency {
		return
	}
	c.promoteIssued, c.promoteUnresolved, c.earlierPromotesVoid = false, false, true
	for _, o := range c.observations {
		o.known = false
		o.nextResumeCheckAt = now
	}
	c.enterPhase(phaseWatching, now)
}
