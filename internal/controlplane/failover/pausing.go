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

// replicas returns all members except the old primary, including those that can't be queried: each may have received a
// commit.
func (c *Controller) replicas(view *View) []Member {
	return slices.DeleteFunc(slices.Clone(view.Members), func(m Member) bool { return m.ID == c.oldPrimary })
}

// stepPausing pauses replicas, and enters phaseCatchingUp once the mode's condition holds.
func (c *Controller) stepPausing(view *View, now float64) {
	replicas := c.replicas(view)
	if len(replicas) == 0 {
		c.abandon(view, "there is no replica", now)
		return
	}
	if c.abandonIfPrimaryExists(view, now) {
		return
	}
	if c.mode.planned() && !c.selectSuccessor(view, replicas, now) {
		return
	}
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + urgentInterval
		c.pauseReplicas(view, now)
		c.queryOldPrimary(view, now)
	}
	switch c.mode {
	case failover:
		c.pauseForFailover(view, replicas, now)
	case switchover, switchoverDraining:
		c.pauseForSwitchover(view, replicas, now)
	case switchoverSteppedDown:
		if c.candidate != "" {
			c.startCatchingUp(view, now)
		}
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

// startCatchingUp enters phaseCatchingUp and takes its first step at once.
func (c *Controller) startCatchingUp(view *View, now float64) {
	c.enterPhase(phaseCatchingUp, now)
	c.stepCatchingUp(view, now)
}

// pauseForFailover waits for a quorum of paused replicas. The one with the longest log becomes the candidate.
func (c *Controller) pauseForFailover(view *View, replicas []Member, now float64) {
	paused := 0
	for _, m := range replicas {
		if c.observation(m.ID).paused {
			paused++
		}
	}
	quorum := pauseQuorum(len(replicas), view.SyncReplicas, c.oldPrimary != "")
	if paused < quorum {
		c.logOnce(fmt.Sprintf("waits for %d more of %d replicas, as one of them may alone hold a commit",
			quorum-paused, len(replicas)))
		return
	}
	candidate := c.longestLog(view, replicas)
	if candidate == "" {
		c.logOnce("waits for a member that could take over")
		return
	}
	c.candidate = candidate
	c.startCatchingUp(view, now)
}

// pauseForSwitchover waits until all replicas but the candidate are paused. If that fails, or unknown replicas may
// exist, the old primary has to step down first.
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
	switch {
	case allPaused && !view.MembershipUncertain:
		c.startCatchingUp(view, now)
	case allPaused || now-c.phaseStart > pauseTimeout:
		c.stepDownOldPrimary(view, now)
	}
}

// turnIntoFailover changes the mode to failover, which has stricter conditions for a candidate, because the old primary
// no longer cooperates.
func (c *Controller) turnIntoFailover(reason string) {
	c.mode, c.candidate = failover, ""
	c.logOnce(reason)
}

// stepDownOldPrimary continues a switchover in which a replica can't be paused or is not known. That replica might
// receive entries that the candidate lacks, so only the old primary certainly has all entries. Its drain is enforced,
// so that it gets no new writes, and once the candidate has caught up with it, it steps down.
func (c *Controller) stepDownOldPrimary(view *View, now float64) {
	if c.mode == switchover {
		c.mode = switchoverDraining
		c.addAction(EnforceDrain, c.oldPrimary, "")
	}
	old, candidate := c.observation(c.oldPrimary), c.observation(c.candidate)
	caughtUp := candidate.known && candidate.queriedAt >= c.phaseStart &&
		!candidate.status.Received.Less(old.status.Received)
	switch {
	case old.known && !old.status.Primary && old.queriedAt >= c.phaseStart:
		c.mode, c.oldPosition = switchoverSteppedDown, old.status.Received
		c.logOnce("the old primary has stepped down, as a replica can't be paused or isn't known")
		c.startCatchingUp(view, now)
	case !old.pending && old.known && caughtUp:
		c.query(c.oldPrimary, StepDown, now)
	case now-c.phaseStart > 2*catchUpTimeout:
		c.replaceCandidate(view, now)
	}
}

// pauseReplicas pauses the replicas that are not paused, or whose reply is so old that they may have restarted and lost
// the pause. The candidate of a switchover is only queried, as it has to keep receiving.
func (c *Controller) pauseReplicas(view *View, now float64) {
	for _, m := range c.replicas(view) {
		o := c.observation(m.ID)
		switch {
		case m.Absent, m.ID == c.candidate && c.phase == phaseConfirming:
		case c.mode.planned() && m.ID == c.candidate:
			c.queryCandidate(now)
		case o.paused && now-o.queriedAt <= pauseValidity:
		case c.highestTerm == 0: // a pause must have a term above the highest one
			c.query(m.ID, QueryStatus, now)
		default:
			c.query(m.ID, PauseReplication, now)
		}
	}
}

// queryCandidate queries the candidate of a switchover. If it may be paused, as another member was the candidate
// before, it is resumed, because it has to receive. As at most one query per member is in flight, the resume can't
// overtake a pause.
func (c *Controller) queryCandidate(now float64) {
	o := c.observation(c.candidate)
	mayBePaused := o.reportsPause || o.pauseSent
	if mayBePaused && c.earlierPromotesVoid {
		c.query(c.candidate, ResumeReplication, now)
		return
	}
	c.query(c.candidate, QueryStatus, now)
}

// queryOldPrimary queries the old primary. In a failover that its claim to be the primary can no longer end, it is told
// to step down instead, so that no replica that is not paused yet acknowledges its commits.
func (c *Controller) queryOldPrimary(view *View, now float64) {
	if findMember(view, c.oldPrimary) == nil {
		return
	}
	o := c.observation(c.oldPrimary)
	isPrimary := o.known && o.status.Primary && o.queriedAt >= c.phaseStart
	replaced := !c.mode.planned() && (c.promoteIssued || c.primaryStalled) && c.candidate != c.oldPrimary
	if isPrimary && replaced {
		c.query(c.oldPrimary, StepDown, now)
		return
	}
	c.query(c.oldPrimary, QueryStatus, now)
}

// scheduleResumes marks every replica that may be paused. phaseWatching resumes them once earlier promotes are void.
func (c *Controller) scheduleResumes(view *View, now float64) {
	for _, m := range view.Members {
		if o := c.observation(m.ID); !m.Absent && (o.paused || o.pauseSent) {
			o.resumeCheckDue, o.paused, o.nextResumeCheckAt = true, false, now
		}
	}
}
