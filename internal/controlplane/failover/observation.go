package failover

import (
	"slices"

	"weirwind/internal/member/wire"
)

// observation is what a member reported, and which queries to it are under way.
type observation struct {
	status    wire.MemberStatus // latest reply; meaningful only while known
	queriedAt float64           // when the query that it replied to was sent: the status is at least as new as that
	known     bool              // cleared where a phase needs newer statuses

	refusals     int  // connections refused in a row
	failures     int  // queries without a reply in a row
	pending      bool // at most one query is under way
	pendingKind  ActionKind
	pendingSince float64 // when the latest query was sent

	// paused: it replied to a pause of this failover that it is paused, and no reply since contradicts that.
	paused bool
	// reportsPause: by its latest reply it is paused, whoever paused it.
	reportsPause bool
	// pauseSent: a pause was sent, and it isn't known whether it still has an effect or may yet arrive.
	pauseSent bool
	// resumeDue: it may be paused with no failover under way. It is queried until it reports that it isn't, and resumed
	// if it is.
	resumeCheckDue bool
	// resumeLateUntil: a resume that was given up may be executed until then. A reply to a pause that was sent before
	// proves nothing, as the resume may follow it.
	resumeLateUntil float64
	// pauseLateUntil: a pause that was given up may be executed until then.
	pauseLateUntil float64
	// nextResumeAt: it is not queried for resumeDue before.
	nextResumeCheckAt float64
}

// observation returns the one for a member. A member of which nothing is known may have been paused by an earlier
// leader.
func (c *Controller) observation(id string) *observation {
	o := c.observations[id]
	if o == nil {
		o = &observation{resumeCheckDue: true}
		c.observations[id] = o
	}
	return o
}

func (c *Controller) forgetRemovedMembers(view *View) {
	for id := range c.observations {
		if !slices.ContainsFunc(view.Members, func(m Member) bool { return m.ID == id }) {
			delete(c.observations, id)
		}
	}
}

// HandleStatus takes a member's reply to QueryStatus, PauseReplication, ResumeReplication or StepDown. The query was
// sent at the time sent.
func (c *Controller) HandleStatus(id string, kind ActionKind, sent float64, status wire.MemberStatus) {
	o := c.observation(id)
	o.pending, o.known, o.status, o.queriedAt = false, true, status, sent
	o.refusals, o.failures = 0, 0
	c.highestTerm = max(c.highestTerm, status.Term, status.PromisedTerm)
	o.reportsPause = !status.Primary && status.PromisedTerm > 0 // a replica promises a term only while it is paused
	switch {
	case kind == PauseReplication:
		o.paused = o.reportsPause && sent >= o.resumeLateUntil
	case !o.reportsPause: // it was resumed, or has restarted
		o.paused = false
	}
	pauseMayFollow := sent < o.pauseLateUntil
	switch {
	case pauseMayFollow:
		o.resumeCheckDue = o.resumeCheckDue || o.pauseSent // it is queried again until no pause can follow
	case kind == ResumeReplication:
		o.resumeCheckDue, o.pauseSent = o.reportsPause, false
	case kind == QueryStatus && !o.reportsPause && o.pauseSent:
		o.pauseSent = false // a pause that got no reply may arrive late: it is queried once more
	case kind == QueryStatus && !o.reportsPause:
		o.resumeCheckDue = false
	}
}

// HandleStatusFailure takes a query that was given up at now, without a reply. refused: the member is not at its
// address.
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

// query sends a query unless one is under way.
func (c *Controller) query(id string, kind ActionKind, now float64) {
	o := c.observation(id)
	if o.pending {
		return
	}
	o.pending, o.pendingKind, o.pendingSince = true, kind, now
	o.pauseSent = o.pauseSent || kind == PauseReplication
	c.addAction(kind, id, "")
}

// leader returns the member with the latest claim to lead, nil for none. Claims in replies go by term and come before
// those in heartbeats, which bear none.
func (c *Controller) leader(view *View, now float64) *Member {
	var leader *Member
	var leaderTerm uint64
	var leaderAt float64
	for i := range view.Members {
		m := &view.Members[i]
		term, at, ok := c.leadershipClaim(m, now)
		if ok && (leader == nil || term > leaderTerm || term == leaderTerm && at > leaderAt) {
			leader, leaderTerm, leaderAt = m, term, at
		}
	}
	return leader
}

// leadershipClaim returns the term in which a member claims to lead, 0 if it did so by a heartbeat, and since when
// that is known.
func (c *Controller) leadershipClaim(member *Member, now float64) (term uint64, at float64, ok bool) {
	o := c.observations[member.ID]
	replied := o != nil && o.known
	switch {
	case member.Absent:
		return 0, 0, false
	case replied && o.status.Primary:
		return max(o.status.Term, 1), o.queriedAt, true
	case !member.Primary:
		return 0, 0, false
	case replied && member.SinceHeartbeat > now-o.queriedAt: // the reply that it doesn't lead is newer
		return 0, 0, false
	}
	return 0, now - member.SinceHeartbeat, true
}

// possibleLeader returns the first member that may lead, as it has not replied that it doesn't, "" for none. One that
// has departed does not.
func (c *Controller) possibleLeader(view *View) string {
	for _, m := range view.Members {
		o := c.observations[m.ID]
		if !m.Departed && (o == nil || !o.known || o.status.Primary) {
			return m.ID
		}
	}
	return ""
}
