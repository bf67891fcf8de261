package failover

import (
	"maps"

	"weirwind/internal/member/wire"
)

// This file implements phaseWatching and the failure detector, which decides when a failover or switchover begins.

// stepWatching queries the primary. It begins a switchover if the primary is draining, and a failover if the primary
// has failed or there is none.
func (c *Controller) stepWatching(view *View, now float64) {
	c.resumePaused(view, now)
	primary := c.claimedPrimary(view, now)
	if primary == nil {
		c.watchWithoutPrimary(view, now)
		return
	}
	c.noPrimarySince = 0
	c.primary = primary.ID
	c.confirmWriter(primary.ID)
	if primary.Draining && c.mayBegin(view, now) && c.replaceDraining(view, primary.ID, now) {
		return
	}
	c.queryPrimary(primary, now)
	c.detectFailure(view, primary, now)
}

// confirmWriter assigns the primary as the writer once it has replied that it is the primary, to a query from after the
// last failover. Until then a member that says so by itself, as one that is back under another ID, is not written to.
func (c *Controller) confirmWriter(primary string) {
	if o := c.observation(primary); o.known && o.status.Primary && o.queriedAt >= c.phaseStart {
		c.assignWriter(primary)
	}
}

// replaceDraining begins the replacement of a draining primary, and reports whether it did. A switchover relies on the
// old primary's log, so the member has to have replied that it is the primary: a heartbeat may have been sent before it
// lost the lead. If it does not reply, a failover begins, which relies on the other members' logs alone.
func (c *Controller) replaceDraining(view *View, primary string, now float64) (begun bool) {
	o := c.observation(primary)
	switch {
	case !hasSuccessor(view, primary):
		c.logOnce("nobody could take over from " + primary)
		return false
	case o.known && o.status.Primary:
		c.begin(view, primary, switchover, "it is to be replaced", now)
		return true
	case o.failures > 1:
		c.begin(view, primary, failover, "it is to be replaced, and does not reply", now)
		return true
	}
	return false
}

// queryPrimary queries the primary's status at the interval that its state calls for.
func (c *Controller) queryPrimary(primary *Member, now float64) {
	o := c.observation(primary.ID)
	if now < c.nextQueryAt || o.pending {
		return
	}
	c.nextQueryAt = now + watchInterval
	if o.failures > 0 || primary.SinceHeartbeat > 2*watchInterval {
		c.nextQueryAt = now + urgentInterval
	}
	c.query(primary.ID, QueryStatus, now)
}

// detectFailure begins a failover if the primary has failed: it is suspected, stalled, dead or silent.
func (c *Controller) detectFailure(view *View, primary *Member, now float64) {
	o := c.observation(primary.ID)
	mayBegin := c.mayBegin(view, now)
	silentFor := min(primary.SinceHeartbeat, now-o.queriedAt)
	if mayBegin && suspected(primary.Reports, view.Drivers, o, silentFor, now) {
		c.begin(view, primary.ID, failover, "drivers wait for it in vain", now)
		return
	}
	if primary.Reports.Suspect > 0 && !o.pending && now-o.queriedAt > suspectedReplyTimeout {
		c.query(primary.ID, QueryStatus, now)
	}
	if primary.Reports.Stalled+primary.Reports.Suspect == 0 || !mayBegin {
		c.stalledPositions = nil
	} else if c.stalled(view, primary.ID, now) {
		c.begin(view, primary.ID, failover, "its commits reach no replica", now)
		c.primaryStalled = true
		return
	}
	switch {
	case !mayBegin:
	case o.refusals >= maxRefusals:
		c.begin(view, primary.ID, failover, "it takes no connection", now)
	case o.failures > 0 && silentFor >= silenceTimeout && primary.Reports.Healthy == 0:
		c.begin(view, primary.ID, failover, "it is silent", now)
	}
}

// suspected reports whether the primary does not reply while enough drivers get no reply from it either.
func suspected(reports DriverReports, drivers int, primary *observation, silentFor, now float64) bool {
	return primary.pending && now-primary.pendingSince > suspectedReplyTimeout &&
		reports.Suspect >= max(2, drivers/3) && reports.Healthy == 0 &&
		silentFor >= minSuspectedSilence
}

// stalled queries all members. It reports whether every replica has been behind the primary for stallTimeout without
// making progress, which means that the primary's commits reach none of them.
func (c *Controller) stalled(view *View, primary string, now float64) bool {
	positions := c.positionsBehind(view, primary, now)
	if now >= c.nextStallQueryAt {
		c.nextStallQueryAt = now + urgentInterval
		c.queryAll(view, now)
	}
	if len(positions) == 0 || !maps.Equal(positions, c.stalledPositions) {
		c.stalledPositions, c.stalledSince = positions, now
		return false
	}
	return now-c.stalledSince >= stallTimeout
}

// positionsBehind returns the positions of all reachable replicas. It returns an empty map if any of them is not known
// to be behind the primary.
func (c *Controller) positionsBehind(view *View, primary string, now float64) map[string]wire.Position {
	end := c.observation(primary).status.Received
	positions := map[string]wire.Position{}
	for _, m := range view.Members {
		if m.ID == primary || m.Absent {
			continue
		}
		o := c.observation(m.ID)
		if !o.known || now-o.queriedAt > 3*urgentInterval || !o.status.Received.Less(end) {
			return map[string]wire.Position{}
		}
		positions[m.ID] = o.status.Received
	}
	return positions
}

// watchWithoutPrimary queries all members while none claims to be the primary, and begins a failover without an old
// primary once each member on the roster has replied that it is not the primary. A member that has been unknown for
// unknownMemberTimeout may have been the primary or may have a commit; the controller keeps waiting for it only if too
// few others replied.
func (c *Controller) watchWithoutPrimary(view *View, now float64) {
	if c.noPrimarySince == 0 {
		c.noPrimarySince = now
	}
	c.primary = ""
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + urgentInterval
		c.queryAll(view, now)
	}
	if !c.mayBegin(view, now) || now-c.noPrimarySince <= noPrimaryTimeout || len(view.Members) == 0 {
		return
	}
	possible := c.possiblePrimary(view)
	waitedLong := now-max(c.noPrimarySince, c.startedAt) > unknownMemberTimeout
	if possible == "" || waitedLong && c.repliesCoverCommits(view) {
		c.begin(view, "", failover, "nobody leads", now)
		return
	}
	c.logOnce("nobody leads, and it waits for " + possible + ", which may lead or alone hold a commit")
}

// repliesCoverCommits reports whether the members that replied that they are not the primary have every acknowledged
// commit between them.
func (c *Controller) repliesCoverCommits(view *View) bool {
	replies := 0
	for _, m := range view.Members {
		o := c.observations[m.ID]
		if m.Absent || o == nil || !o.known {
			continue
		}
		if o.status.Primary {
			return false
		}
		replies++
	}
	return replies >= pauseQuorum(len(view.Members), view.SyncReplicas, false)
}
