package failover

import (
	"fmt"
	"slices"
)

// This file implements phasePausing: replicas are paused and queried until the mode's condition for a candidate holds.

// pauseQuorum returns the number of replicas that must be paused so that together they have every acknowledged commit,
// regardless of which replicas they are: any set of that size intersects every set of syncReplicas replicas. If the old
// primary is not known, it is counted in replicas, and a commit is on syncReplicas+1 of them.
func pauseQuorum(replicas, syncReplicas int, primaryKnown bool) int {
	switch {
	case syncReplicas == 0:
		return replicas
	case primaryKnown:
		return max(replicas-syncReplicas+1, 1)
	}
	return max(replicas-syncReplicas, 1)
}

// pauseQuorum returns pauseQuorum of the current failover.
func (c *Controller) pauseQuorum(view *View) int {
	return pauseQuorum(len(c.replicas(view)), view.SyncReplicas, c.oldPrimary != "")
}

// replicas returns all members except the old primary, including those that can't be queried: each may have received a
// commit.
func (c *Controller) replicas(view *View) []Member {
	return slices.DeleteFunc(slices.Clone(view.Members), func(m Member) bool { return m.ID == c.oldPrimary })
}

// stepPausing pauses replicas, and enters phaseRecording once the mode's condition for a candidate holds.
func (c *Controller) stepPausing(view *View, now float64) {
	replicas := c.replicas(view)
	if len(replicas) == 0 && !c.issued {
		c.abandon(view, "there is no replica", now)
		return
	}
	if c.observeEffect(view, now) || c.abandonIfPrimaryExists(view, now) {
		return
	}
	c.watchOldPrimary(now)
	if c.mode.planned() && !c.selectSuccessor(view, replicas, now) {
		return
	}
	stopped := !c.mode.planned() && c.awaitStop(view, now)
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + urgentInterval
		c.pauseReplicas(view, now)
		c.queryOldPrimary(view, now)
	}
	switch {
	case c.mode.planned():
		c.pauseForSwitchover(view, replicas, now)
	case stopped:
		c.pauseForFailover(view, replicas, now)
	default:
		c.logWaitForStop(view)
	}
}

// selectSuccessor selects the candidate of a switchover, unless there is one already that can be queried. It returns
// false if it abandoned the switchover, as no member could take over.
func (c *Controller) selectSuccessor(view *View, replicas []Member, now float64) bool {
	if findMember(view, c.candidate) != nil {
		return true
	}
	c.candidate = c.preferredReplica(replicas)
	if c.candidate == "" && !hasSuccessor(view, c.oldPrimary) {
		c.abandon(view, "nobody could take over", now)
		return false
	}
	return true
}

// pauseForFailover waits until a candidate's log is known to be complete. The old primary has stopped.
func (c *Controller) pauseForFailover(view *View, replicas []Member, now float64) {
	c.candidate = c.selectForFailover(view, replicas, now)
	if c.candidate == "" && c.oldPrimaryLeadsAgain(view, now) {
		c.logOnce("the old primary is to lead again")
		c.candidate = c.oldPrimary
	}
	switch {
	case c.candidate == "":
	case c.isRepeated() && c.record.Accepted && findMember(view, c.candidate) != nil &&
		c.observation(c.candidate).failures == 0:
		c.enterPhase(phaseConfirming, now)
	default:
		c.startRecording(view, now)
	}
}

func (c *Controller) logWaitForStop(view *View) {
	if c.fencingWanted && view.Writer.Unconfirmed > 0 {
		c.logOnce(fmt.Sprintf("waits until the old primary has stepped down, or %d proxies no longer write to it",
			view.Writer.Unconfirmed))
		return
	}
	c.logOnce("waits until the old primary has stepped down, or no proxy writes to it")
}

// oldPrimaryLeadsAgain reports whether the old primary, which has stepped down, has to be promoted again: only it
// certainly has a commit that was made just before.
func (c *Controller) oldPrimaryLeadsAgain(view *View, now float64) bool {
	waited := c.steppedDownAt > 0 && now-c.steppedDownAt > pauseTimeout
	if !waited || !c.oldPrimaryLed || findMember(view, c.oldPrimary) == nil {
		return false
	}
	o := c.observation(c.oldPrimary)
	return !c.issued && o.known && o.failures == 0 && now-o.queriedAt <= pauseValidity
}

// pauseForSwitchover waits until all replicas but the candidate are paused and the candidate has caught up, and then
// has the old primary step down. If a replica can't be paused, or unknown replicas may exist, the old primary's drain
// is enforced first, so that the candidate can receive all that it has.
func (c *Controller) pauseForSwitchover(view *View, replicas []Member, now float64) {
	if findMember(view, c.oldPrimary) == nil {
		c.turnIntoFailover("the old primary has left")
		return
	}
	old := c.observation(c.oldPrimary)
	if old.refusals >= maxRefusals || old.failures > 1 && now-old.queriedAt > silenceTimeout {
		c.turnIntoFailover("the old primary is silent")
		return
	}
	if c.candidate == "" {
		return
	}
	allPaused := !slices.ContainsFunc(replicas, func(m Member) bool {
		return m.ID != c.candidate && !c.observation(m.ID).paused
	})
	elapsed := now - c.phaseStart
	if candidate := c.observation(c.candidate); !candidate.known || candidate.queriedAt < c.phaseStart {
		if elapsed > pauseTimeout { // it does not reply
			c.replaceCandidate(view, now)
		}
		return
	}
	if c.mode == switchover && (allPaused && view.MembershipUncertain || !allPaused && elapsed > pauseTimeout) {
		c.mode = switchoverDraining
		c.addAction(EnforceDrain, c.oldPrimary, "")
	}
	mayStepDown := allPaused && !view.MembershipUncertain || c.mode == switchoverDraining
	switch {
	case mayStepDown && !old.pending && c.caughtUp(view):
		c.query(c.oldPrimary, StepDown, now)
	case elapsed > 2*catchUpTimeout, allPaused && c.mode == switchover && elapsed > catchUpTimeout:
		c.replaceCandidate(view, now)
	}
}

// caughtUp reports whether the candidate of a switchover has all that the old primary and the paused replicas had when
// they were last queried.
func (c *Controller) caughtUp(view *View) bool {
	candidate, old := c.observation(c.candidate), c.observation(c.oldPrimary)
	if !old.known {
		return false
	}
	end := candidate.status.Received
	return !end.Less(old.status.Received) && !slices.ContainsFunc(c.replicas(view), func(m Member) bool {
		o := c.observation(m.ID)
		return o.paused && end.Less(o.status.Received)
	})
}

// replaceCandidate makes a switchover try another candidate.
func (c *Controller) replaceCandidate(view *View, now float64) {
	c.logOnce(c.candidate + " does not catch up")
	c.rejected[c.candidate] = true
	for _, m := range view.Members {
		o := c.observation(m.ID)
		o.known = m.ID == c.oldPrimary && o.known
	}
	c.candidate = "" // pauseReplicas resumes the next candidate when it queries it
	c.enterPhase(phasePausing, now)
}

// turnIntoFailover changes the mode to failover, which has stricter conditions for a candidate, because the old primary
// no longer cooperates.
func (c *Controller) turnIntoFailover(reason string) {
	c.mode, c.candidate = failover, ""
	c.logOnce(reason)
}

// pauseReplicas pauses the replicas that are not paused, or whose reply is so old that they may have restarted and lost
// the pause. The candidate of a switchover is only queried, as it has to keep receiving.
func (c *Controller) pauseReplicas(view *View, now float64) {
	for _, m := range c.replicas(view) {
		switch {
		case m.Absent, m.ID == c.candidate && c.phase == phaseConfirming, c.failedRecently(m.ID, now):
		case c.mode.planned() && m.ID == c.candidate:
			c.queryCandidate(now)
		case c.countsAsPaused(&m, now):
		case c.highestTerm == 0: // a pause must have a term above the highest one
			c.query(m.ID, QueryStatus, now)
		default:
			c.query(m.ID, PauseReplication, now)
		}
	}
}

// failedRecently reports whether the latest query to a member has failed, and is too recent for another one.
func (c *Controller) failedRecently(id string, now float64) bool {
	o := c.observation(id)
	return o.failures > 0 && now-o.pendingSince < urgentInterval
}

// queryCandidate queries the candidate of a switchover. If it may be paused, as another member was the candidate
// before, it is resumed, because it has to receive. As at most one query per member is in flight, the resume can't
// overtake a pause.
func (c *Controller) queryCandidate(now float64) {
	o := c.observation(c.candidate)
	mayBePaused := o.reportsPause || o.pauseSent
	if mayBePaused {
		c.query(c.candidate, ResumeReplication, now)
		return
	}
	c.query(c.candidate, QueryStatus, now)
}
