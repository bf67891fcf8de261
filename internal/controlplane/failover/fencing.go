package failover

// This file resumes paused replicas, after a fence if one is needed.
//
// A promote may reach the platform late, and its answer may be lost. While every replica that the promote relied on is
// paused, nothing is acknowledged that the candidate lacks; so they stay paused until a promote with a higher fencing
// token was answered. If the primary should not change, that promote names the current primary; this is called a fence.
// A new leader of the control plane issues one only if it finds a replica that an earlier leader paused: if all members
// replied and none was paused, no failover is in progress.

// resumePaused finds replicas that were left paused, by this leader or an earlier one, and resumes them. It returns
// true if it started a fence, which ends this step.
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
			continue // an unreachable member may still be paused: it is queried again for as long as it is in the view
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

// nonePaused reports whether no member is paused, by replies to queries that were sent after any promote of an earlier
// leader would have been carried out. It is false while a reply is missing.
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

// startFencing promotes the current primary again if a replica must be resumed and the primary has just confirmed its
// role. It reports whether it issued the promote.
func (c *Controller) startFencing(view *View, now float64) bool {
	primary := c.claimedPrimary(view, now)
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

// resumeNeeded reports whether a reachable member is known to be paused while no failover is in progress.
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

// stepQuiescing ends the fence once any promote that the platform accepted before it would have taken effect. All
// members are queried again to find the primary.
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
