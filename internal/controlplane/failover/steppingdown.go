package failover

import "weirwind/internal/member/wire"

// This file establishes that the old primary is no longer written to, before a promote is issued.
//
// A paused replica acknowledges nothing, but one that joins or restarts is not paused, and the old primary commits with
// it until the promote takes effect. So only replies to queries that were sent after the old primary had stopped show
// which log is complete. It has stopped when
//
//   - it replies, to this machine or to an agent beside a driver, that it is a replica: it was told to step down; or
//   - no proxy acknowledges its commits: each has confirmed an assignment of another writer, or has lost its lease.
//
// That it does not reply, that its address refuses connections or that its heartbeats cease shows nothing, however many
// ask: it may be frozen or busy, or be cut off from all of them.

// watchOldPrimary notes that the old primary has stepped down, or that it is the primary again.
func (c *Controller) watchOldPrimary(now float64) {
	if c.oldPrimary == "" {
		return
	}
	o := c.observation(c.oldPrimary)
	switch {
	case !o.known || o.queriedAt < c.beganAt:
	case o.status.Primary && o.queriedAt > c.steppedDownAt:
		c.steppedDownAt, c.oldPrimaryLed = 0, true
		if o.queriedAt > c.stoppedAt {
			c.stoppedAt = 0
		}
	case !o.status.Primary && c.steppedDownAt == 0:
		c.steppedDownAt, c.oldPosition, c.nextQueryAt = now, o.status.Received, now
		if c.mode.planned() {
			c.turnIntoFailover("the old primary has stepped down")
		}
	}
}

// awaitStop has the old primary stopped, and reports whether it has.
func (c *Controller) awaitStop(view *View, now float64) bool {
	c.fenceWriters(view)
	return c.watchStop(view, now)
}

// watchStop notes that the old primary has stopped, and reports whether it has. The replicas are queried again then.
func (c *Controller) watchStop(view *View, now float64) bool {
	if c.stoppedAt == 0 && c.hasStopped(view) {
		c.stoppedAt, c.nextQueryAt = now, now
	}
	return c.stoppedAt > 0
}

// hasStopped reports whether the old primary has stopped, by one of the proofs above. Without synchronous replicas it
// acknowledges on its own, and what it alone has is lost with it: it needs not have stopped if it is out of reach.
func (c *Controller) hasStopped(view *View) bool {
	if c.steppedDownAt > 0 || c.writersFenced(view) {
		return true
	}
	unreached := !isListed(view, c.oldPrimary) || c.relayFailed || c.observation(c.oldPrimary).refusals >= maxRefusals
	return view.SyncReplicas == 0 && unreached
}

// fenceWriters has the proxies stop to write to the old primary, if it may serve clients though it does not reply.
func (c *Controller) fenceWriters(view *View) {
	c.fencingWanted = c.fencingWanted || c.relayFailed || findMember(view, c.oldPrimary) == nil ||
		c.observation(c.oldPrimary).refusals > 0
	mayServe := !c.writerChosen || c.writer == c.oldPrimary || c.oldPrimary == ""
	if c.fencingWanted && c.stoppedAt == 0 && mayServe {
		c.assignWriter("")
	}
}

// writersFenced reports whether each proxy knows that the old primary is not the writer, or has no lease.
func (c *Controller) writersFenced(view *View) bool {
	w := view.Writer
	return w.Assigned && w.Confirmed && c.writerChosen && w.ID == c.writer && (c.writer == "" || c.writer != c.oldPrimary)
}

// assignWriter lets the proxies write to a member alone, "" for none.
func (c *Controller) assignWriter(id string) {
	if c.writerChosen && c.writer == id {
		return
	}
	c.writer, c.writerChosen = id, true
	c.addAction(AssignWriter, id, "")
}

// unreachable reports whether this machine has had no reply to its latest query of a member.
func (c *Controller) unreachable(id string, now float64) bool {
	o := c.observation(id)
	return o.failures > 0 || o.pending && now-o.pendingSince > suspectedReplyTimeout
}

// queryOldPrimary queries the old primary. In a failover that its claim to be the primary can no longer end, it is told
// to step down instead.
func (c *Controller) queryOldPrimary(view *View, now float64) {
	if !isListed(view, c.oldPrimary) || c.candidate == c.oldPrimary && c.issued {
		return
	}
	o := c.observation(c.oldPrimary)
	isPrimary := o.known && o.status.Primary && o.queriedAt >= c.beganAt
	replaced := !c.mode.planned() && (c.issued || c.primaryStalled)
	if isPrimary && replaced {
		c.query(c.oldPrimary, StepDown, now)
	} else {
		c.query(c.oldPrimary, QueryStatus, now)
	}
	switch {
	case c.mode.planned() || c.steppedDownAt > 0 || c.highestTerm == 0:
	case c.oldPrimaryLed:
		c.relay(c.oldPrimary, RelayStepDown, now)
	default: // its log counts only if it is known to have been the primary
		c.relay(c.oldPrimary, RelayStatus, now)
	}
}

// relay has agents send a member a statement if this machine does not reach it.
func (c *Controller) relay(id string, kind ActionKind, now float64) {
	if !c.unreachable(id, now) || c.relayPending || now < c.nextRelayAt {
		return
	}
	c.relayPending, c.nextRelayAt = true, now+relayInterval
	c.addAction(kind, id, "")
}

// stepDownClaimants tells each member that claims to be the primary to step down, but the candidate, while a promote
// may take effect: the old primary may have come back, also under another ID.
func (c *Controller) stepDownClaimants(view *View, now float64) {
	if !c.issued {
		return
	}
	for i := range view.Members {
		m := &view.Members[i]
		if m.Absent || m.ID == c.record.Candidate {
			continue
		}
		o := c.observation(m.ID)
		replied := o.known && o.status.Primary && o.queriedAt >= c.beganAt
		reported := m.Primary && now-m.SinceHeartbeat > max(c.beganAt, o.queriedAt)
		switch {
		case !replied && !reported:
		case !o.pending:
			c.query(m.ID, StepDown, now)
		case now >= o.nextRelayAt: // the query and a relay may have been sent while the member was down
			o.nextRelayAt = now + urgentInterval
			c.addAction(RelayStepDown, m.ID, "")
		}
	}
}

// HandleRelayedStatus processes a member's reply to a RelayStepDown or RelayStatus that was issued at the time sent.
func (c *Controller) HandleRelayedStatus(id string, sent float64, status wire.MemberStatus) {
	c.relayPending = false
	c.recordTerms(status)
	if status.Primary && id != c.record.Candidate { // it was not told yet, or has a newer term than the statement
		c.oldPrimaryLed = c.oldPrimaryLed || id == c.oldPrimary && status.Term >= c.newestTerm
		c.nextRelayAt = 0
		return
	}
	if o := c.observation(id); sent >= o.queriedAt || !o.known {
		o.known, o.status, o.queriedAt = true, status, sent
	}
}

// HandleRelayFailure processes a RelayStepDown or RelayStatus after which no agent has had a reply.
func (c *Controller) HandleRelayFailure(id string) {
	c.relayPending = false
	c.relayFailed = c.relayFailed || id == c.oldPrimary
}
