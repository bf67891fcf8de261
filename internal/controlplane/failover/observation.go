package failover

import "weirwind/internal/member/wire"

// observation holds a member's latest reply and the state of the queries to it.
type observation struct {
	status    wire.MemberStatus // latest reply; valid only if known is set
	queriedAt float64           // when the query of the latest reply was sent: status is at least as recent
	known     bool              // cleared when a phase needs a newer status

	refusals     int  // connections refused in a row
	failures     int  // queries without a reply in a row
	pending      bool // a query is in flight; at most one is at a time
	pendingKind  ActionKind
	pendingSince float64 // when the latest query was sent

	// paused is set if the member confirmed a pause of this failover, no later reply contradicts it, and no resume was
	// sent since.
	paused bool
	// reportsPause is set if the member is paused according to its latest reply, regardless of which leader paused it.
	reportsPause bool
	// pauseSent is set if a pause was sent that may still be in effect or may still arrive.
	pauseSent bool
	// resumeCheckDue is set if the member may be paused while no failover is in progress. It is queried until it reports
	// that it is not paused, and resumed if it is.
	resumeCheckDue bool
	// resumeLateUntil is the time until which a resume that was given up may still be executed. A reply to a pause that
	// was sent before does not count, as the resume may be executed after the pause.
	resumeLateUntil float64
	// pauseLateUntil is the time until which a pause that was given up may still be executed.
	pauseLateUntil float64
	nextRelayAt    float64 // earliest time of the next RelayStepDown that is sent while a query is in flight
	// nextResumeCheckAt is the earliest time of the next query for resumeCheckDue.
	nextResumeCheckAt float64
}

// observation returns a member's observation. A new one has resumeCheckDue set, as an earlier leader may have paused
// the member.
func (c *Controller) observation(id string) *observation {
	o := c.observations[id]
	if o == nil {
		o = &observation{resumeCheckDue: true}
		c.observations[id] = o
	}
	return o
}

// forgetRemovedMembers deletes the observations of members that are no longer in the view.
func (c *Controller) forgetRemovedMembers(view *View) {
	for id := range c.observations {
		if !isListed(view, id) {
			delete(c.observations, id)
		}
	}
}

// HandleStatus processes a member's reply to a QueryStatus, PauseReplication, ResumeReplication or StepDown that was
// sent at the time sent.
func (c *Controller) HandleStatus(id string, kind ActionKind, sent float64, status wire.MemberStatus) {
	o := c.observation(id)
	o.pending, o.known, o.status, o.queriedAt = false, true, status, sent
	o.refusals, o.failures = 0, 0
	c.recordTerms(status)
	o.reportsPause = !status.Primary && status.PromisedTerm > 0 // a replica promises a term only while it is paused
	switch {
	case kind == PauseReplication:
		o.paused = o.reportsPause && sent >= o.resumeLateUntil
	case !o.reportsPause: // it was resumed or has restarted
		o.paused = false
	}
	pauseMayFollow := sent < o.pauseLateUntil || !c.pastTakeover(sent) // a pause of the former leader in the second case
	switch {
	case pauseMayFollow:
		o.resumeCheckDue = o.resumeCheckDue || o.pauseSent // it is queried again until no pause can arrive any more
	case kind == ResumeReplication:
		o.resumeCheckDue, o.pauseSent = o.reportsPause, false
	case kind == QueryStatus && !o.reportsPause && o.pauseSent:
		o.pauseSent = false // a pause without a reply may arrive late: query once more
	case kind == QueryStatus && !o.reportsPause:
		o.resumeCheckDue = false
	}
}

// recordTerms records the terms that a member reports.
func (c *Controller) recordTerms(status wire.MemberStatus) {
	c.newestTerm = max(c.newestTerm, status.Term)
	c.highestTerm = max(c.highestTerm, status.Term, status.PromisedTerm)
}

// HandleStatusFailure processes a query that was given up at now without a reply. refused is set if the connection was
// refused, that is, no process listens at the member's address.
func (c *Controller) HandleStatusFailure(id string, refused bool, now float64) {
	o := c.observation(id)
	o.pending = false
	switch o.pendingKind {
	case PauseReplication:
		o.pauseLateUntil = now + lateStatementWindow
	case ResumeReplication:
		o.resumeLateUntil = now + lateStatementWindow
	}
	o.failures++
	if refused {
		o.refusals++
	} else {
		o.refusals = 0
	}
}

// queryAll queries the status of every member that can be queried.
func (c *Controller) queryAll(view *View, now float64) {
	for _, m := range view.Members {
		if !m.Absent {
			c.query(m.ID, QueryStatus, now)
		}
	}
}

// query sends a query to a member unless one is in flight.
func (c *Controller) query(id string, kind ActionKind, now float64) {
	o := c.observation(id)
	if o.pending {
		return
	}
	o.pending, o.pendingKind, o.pendingSince = true, kind, now
	o.pauseSent = o.pauseSent || kind == PauseReplication
	o.paused = o.paused && kind != ResumeReplication // the member may receive from now on
	c.addAction(kind, id, "")
}

// claimedPrimary returns the member with the latest claim to be the primary, nil for none. Claims in replies are
// ordered by term, and by time within a term. They take precedence over claims in heartbeats, which have no term.
func (c *Controller) claimedPrimary(view *View, now float64) *Member {
	var primary *Member
	var primaryTerm uint64
	var claimedAt float64
	for i := range view.Members {
		m := &view.Members[i]
		term, at, ok := c.primaryClaim(m, now)
		if ok && (primary == nil || term > primaryTerm || term == primaryTerm && at > claimedAt) {
			primary, primaryTerm, claimedAt = m, term, at
		}
	}
	return primary
}

// primaryClaim returns whether a member claims to be the primary, the term of the claim, 0 if it was made by a
// heartbeat, and the time of the claim.
func (c *Controller) primaryClaim(member *Member, now float64) (term uint64, at float64, ok bool) {
	o := c.observations[member.ID]
	replied := o != nil && o.known
	switch {
	case member.Absent:
		return 0, 0, false
	case replied && o.status.Primary:
		return max(o.status.Term, 1), o.queriedAt, true
	case !member.Primary:
		return 0, 0, false
	case replied && member.SinceHeartbeat > now-o.queriedAt: // a newer reply says that it is not the primary
		return 0, 0, false
	}
	return 0, now - member.SinceHeartbeat, true
}

// possiblePrimary returns the first member that has not replied that it is not the primary, "" for none. Departed
// members are skipped.
func (c *Controller) possiblePrimary(view *View) string {
	for _, m := range view.Members {
		o := c.observations[m.ID]
		if !m.Departed && (o == nil || !o.known || o.status.Primary) {
			return m.ID
		}
	}
	return ""
}
