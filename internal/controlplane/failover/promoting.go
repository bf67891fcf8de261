package failover

// This file implements phasePromoting and phaseConfirming: the platform is called, then the candidate confirms that it
// is the primary.
//
// The confirmation ends the pauses of the other replicas, so it has to speak of a moment after the promote took effect:
// until then the old primary may serve, and replicas that receive would acknowledge commits that the candidate lacks.
// Only a reply to a query that was sent after the platform accepted the promote does. A heartbeat does not: it tells a
// role of the time at which it was sent, which is not known, and the candidate may have been the primary before.

// promote calls the platform to make the candidate the primary.
func (c *Controller) promote(now float64) {
	c.enterPhase(phasePromoting, now)
	c.nextQueryAt = now + urgentInterval
	c.promoteIssued, c.promoteUnresolved, c.earlierPromotesVoid = true, true, false
	c.addAction(Promote, c.candidate, c.oldPrimary)
}

// stepPromoting keeps replicas paused until the platform answers: a replica that restarts or joins in the meantime
// could receive entries that the candidate lacks.
func (c *Controller) stepPromoting(view *View, now float64) {
	c.pauseReplicas(view, now)
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + urgentInterval
		c.queryOldPrimary(view, now)
	}
}

// HandlePromoteResult processes the platform's answer to a promote of a member. status is its HTTP status, 0 if there
// was no answer.
func (c *Controller) HandlePromoteResult(id string, status int, now float64) {
	if c.candidate != id {
		return
	}
	switch c.phase {
	case phaseFencing:
		c.handleFenceResult(status, now)
	case phasePromoting:
		c.handlePromoteResult(status, now)
	}
}

func (c *Controller) handlePromoteResult(status int, now float64) {
	switch status {
	case statusAccepted: // the platform rejects earlier promotes from now on, as their fencing tokens are lower
		c.promoteUnresolved, c.earlierPromotesVoid = false, true
		c.enterPhase(phaseConfirming, now)
	case statusRejected:
		c.promoteIssued = false
		c.logOnce("the platform refuses " + c.candidate)
		c.restart(now)
	default:
		// The promote may be carried out at any time until a later call is answered. The statuses are too old by now for
		// another promote, so they are queried again.
		c.restart(now)
	}
}

// stepConfirming waits until the candidate replies that it is the primary.
func (c *Controller) stepConfirming(view *View, now float64) {
	m := findMember(view, c.candidate)
	if m == nil {
		c.restart(now)
		return
	}
	if c.promoteConfirmed() {
		c.complete(view, now)
		return
	}
	c.pauseReplicas(view, now)
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + urgentInterval
		c.queryOldPrimary(view, now)
		if now-c.phaseStart > confirmQueryDelay {
			c.query(c.candidate, QueryStatus, now)
		}
	}
	if m.Primary && c.heartbeatIsNews(m, now) {
		c.query(c.candidate, QueryStatus, now)
	}
	if now-c.phaseStart > confirmTimeout {
		c.logOnce(c.candidate + " does not take the lead")
		c.restart(now)
	}
}

// heartbeatIsNews reports whether a member's latest heartbeat arrived in this phase, and later than the query that the
// member last replied to was sent.
func (c *Controller) heartbeatIsNews(m *Member, now float64) bool {
	arrivedAt := now - m.SinceHeartbeat
	return arrivedAt > max(c.phaseStart, c.observation(m.ID).queriedAt)
}

// promoteConfirmed reports whether the candidate replied that it is the primary, to a query that was sent after the
// platform accepted the promote.
func (c *Controller) promoteConfirmed() bool {
	o := c.observation(c.candidate)
	return o.known && o.status.Primary && o.queriedAt >= c.phaseStart
}

// complete ends a failover or switchover, as the candidate is the primary now. Replicas are resumed at once: no commit
// is acknowledged before.
func (c *Controller) complete(view *View, now float64) {
	c.addAction(Log, c.candidate, "leads")
	if c.oldPrimary != "" {
		c.addAction(EnforceDrain, c.oldPrimary, "")
		c.observation(c.oldPrimary).known = false
	}
	c.scheduleResumes(view, now)
	c.primary = c.candidate
	c.enterPhase(phaseWatching, now)
	c.resumePaused(view, now)
}
