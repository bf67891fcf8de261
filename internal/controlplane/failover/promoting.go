package failover

// This file implements phasePromoting and phaseConfirming: the platform is called, then the candidate confirms that it
// is the primary.
//
// The confirmation ends the pauses of the other replicas, so it has to speak of a moment after the promote took effect:
// until then the old primary may serve, and replicas that receive would acknowledge commits that the candidate lacks.
// Only a reply to a query that was sent after the platform accepted the promote does. A heartbeat does not: it tells a
// role of the time at which it was sent, which is not known, and the candidate may have been the primary before.
//
// No other candidate is promoted meanwhile, however long it takes: the first promote may still take effect, and would
// cut off what the other has acknowledged.

// promote calls the platform to make the candidate the primary.
func (c *Controller) promote(now float64) {
	c.enterPhase(phasePromoting, now)
	c.nextQueryAt = now + urgentInterval
	c.issued, c.calledAt = true, now
	c.calledWhilePaused = c.observation(c.candidate).paused
	if c.record.Repeated {
		c.repeatUntil = now + effectTimeout
	}
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
	if c.candidate != id || c.phase != phasePromoting {
		return
	}
	switch status {
	case statusAccepted:
		c.record.Accepted = true
		c.enterPhase(phaseConfirming, now)
	case statusRejected: // the candidate is not running, so no earlier promote of it can take effect
		c.resolveRecord()
		c.logOnce("the platform refuses " + c.candidate)
		if c.record.Repeated {
			c.replaceOldPrimary(now)
		}
		c.restart(now)
	default:
		c.restart(now) // the statuses are too old by now for another promote, so they are queried again
	}
}

// replaceOldPrimary goes on with a failover from the candidate, which is not running: its first promote may have taken
// effect before it ended. All that the old primary had acknowledged it has.
func (c *Controller) replaceOldPrimary(now float64) {
	c.mode, c.oldPrimary, c.oldPrimaryLed = failover, c.candidate, true
	c.resetOldPrimary(now)
	c.fencingWanted = true
}

// stepConfirming waits until the promote has taken effect. If the candidate does not reply, or a restart may have
// undone the promote, the platform is called again for the same candidate. It rejects the call if that one is not
// running.
func (c *Controller) stepConfirming(view *View, now float64) {
	if c.observeEffect(view, now) {
		return
	}
	if !c.isRecorded(view) {
		c.replicateRecord()
	}
	m := findMember(view, c.candidate)
	if m == nil {
		c.restart(now)
		return
	}
	c.pauseReplicas(view, now)
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + urgentInterval
		c.queryOldPrimary(view, now)
		c.queryPromoted(now)
	}
	if m.Primary && c.heartbeatIsNews(m, now) {
		c.query(c.candidate, QueryStatus, now)
	}
	elapsed := now - c.phaseStart
	switch {
	case elapsed > effectTimeout || c.candidateRestarted():
		c.logOnce(c.candidate + " does not lead: its promote was not carried out")
		c.record.Accepted = false
		c.restart(now)
	case elapsed > confirmTimeout && c.observation(m.ID).failures > 0:
		c.logOnce(c.candidate + " does not reply")
		c.restart(now)
	}
}

// candidateRestarted reports whether the candidate, a replica as before, has lost its pause since the platform was
// called.
func (c *Controller) candidateRestarted() bool {
	o := c.observation(c.candidate)
	replied := o.known && o.queriedAt >= c.phaseStart
	return c.calledWhilePaused && replied && !o.status.Primary && !o.reportsPause
}

// queryPromoted queries the candidate, through agents as well if it does not reply.
func (c *Controller) queryPromoted(now float64) {
	if now-c.phaseStart > confirmQueryDelay {
		c.query(c.candidate, QueryStatus, now)
		c.relay(c.candidate, RelayStatus, now)
	}
}

// heartbeatIsNews reports whether a member's latest heartbeat arrived in this phase, and later than the query that the
// member last replied to was sent.
func (c *Controller) heartbeatIsNews(m *Member, now float64) bool {
	arrivedAt := now - m.SinceHeartbeat
	return arrivedAt > max(c.phaseStart, c.observation(m.ID).queriedAt)
}

// complete ends a failover or switchover, as the candidate is the primary now. Replicas are resumed at once: no commit
// is acknowledged before.
func (c *Controller) complete(view *View, now float64) {
	c.addAction(Log, c.candidate, "leads")
	c.resolveRecord()
	if c.oldPrimary != "" && c.oldPrimary != c.candidate {
		c.addAction(EnforceDrain, c.oldPrimary, "")
		c.observation(c.oldPrimary).known = false
	}
	c.assignWriter(c.candidate)
	c.scheduleResumes(view, now)
	c.primary = c.candidate
	c.enterPhase(phaseWatching, now)
	c.resumePaused(view, now)
}
