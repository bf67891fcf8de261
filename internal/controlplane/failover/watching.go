package failover

import (
	"maps"

	"weirwind/internal/dataplane/wire"
)

// This file has the failure detector: when a failover or switchover begins.

// stepWatching queries the primary, and begins a switchover if it drains, or a failover if it has failed or nobody
// leads.
func (c *Controller) stepWatching(v *View, now float64) {
	if c.resumePaused(v, now) {
		return
	}
	p := c.leader(v, now)
	if p == nil {
		c.watchLeaderless(v, now)
		return
	}
	c.leaderlessSince = 0
	c.primary = p.ID
	if p.Draining && c.pastEarlierPromotes(now) {
		if hasSuccessor(v, p.ID) {
			c.begin(v, p.ID, switchover, "it is to be replaced", now)
			return
		}
		c.logOnce("nobody could take over from " + p.ID)
	}
	c.queryPrimary(p, now)
	c.detectFailure(v, p, now)
}

// queryPrimary queries the primary's status at the interval that its state calls for.
func (c *Controller) queryPrimary(p *Member, now float64) {
	o := c.observation(p.ID)
	if now < c.nextQueryAt || o.pending {
		return
	}
	c.nextQueryAt = now + watchInterval
	if o.failures > 0 || p.SinceHeartbeat > 2*watchInterval {
		c.nextQueryAt = now + urgentInterval
	}
	c.query(p.ID, QueryStatus, now)
}

// detectFailure begins a failover if the primary has failed: it is suspected, stalled, dead or silent.
func (c *Controller) detectFailure(v *View, p *Member, now float64) {
	o := c.observation(p.ID)
	mayBegin := c.pastEarlierPromotes(now)
	silence := min(p.SinceHeartbeat, now-o.queriedAt)
	if mayBegin && suspected(v, o, silence, now) {
		c.begin(v, p.ID, failover, "drivers wait for it in vain", now)
		return
	}
	if v.SuspectReports > 0 && !o.pending && now-o.queriedAt > suspectedReplyTimeout {
		c.query(p.ID, QueryStatus, now)
	}
	if v.StallReports+v.SuspectReports == 0 || !mayBegin {
		c.stalledPositions = nil
	} else if c.stalled(v, p.ID, now) {
		c.begin(v, p.ID, failover, "its commits reach no replica", now)
		c.primaryStalled = true
		return
	}
	switch {
	case !mayBegin:
	case o.refusals >= maxRefusals:
		c.begin(v, p.ID, failover, "it takes no connection", now)
	case o.failures > 0 && silence >= silenceTimeout && v.HealthyReports == 0:
		c.begin(v, p.ID, failover, "it is silent", now)
	}
}

// suspected is whether the primary does not reply while enough drivers get no reply from it either.
func suspected(v *View, o *observation, silence, now float64) bool {
	return o.pending && now-o.pendingSince > suspectedReplyTimeout &&
		v.SuspectReports >= max(2, v.Drivers/3) && v.HealthyReports == 0 &&
		silence >= suspectedSilence
}

// stalled queries all members, and tells whether every replica has stood still behind the primary for stallTimeout:
// its commits reach none of them.
func (c *Controller) stalled(v *View, primary string, now float64) bool {
	positions := c.positionsBehind(v, primary, now)
	if now >= c.nextStallQueryAt {
		c.nextStallQueryAt = now + urgentInterval
		c.queryAll(v, now)
	}
	if len(positions) == 0 || c.stalledPositions == nil || !maps.Equal(positions, c.stalledPositions) {
		c.stalledPositions, c.stalledSince = positions, now
		return false
	}
	return now-c.stalledSince >= stallTimeout
}

// positionsBehind returns the positions of all replicas that can be queried, none if one of them isn't known to be
// behind the primary.
func (c *Controller) positionsBehind(v *View, primary string, now float64) map[string]wire.Position {
	end := c.observation(primary).status.Received
	positions := map[string]wire.Position{}
	for _, m := range v.Members {
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

// watchLeaderless queries all members while nobody claims to lead, and begins a failover without an old primary once
// each member on the roster replied that it doesn't lead. A member that nobody knows anything of for long counts as
// one that may have led, or may hold a commit; it is waited for only if the others are too few.
func (c *Controller) watchLeaderless(v *View, now float64) {
	if c.leaderlessSince == 0 {
		c.leaderlessSince = now
	}
	c.primary = ""
	if now >= c.nextQueryAt {
		c.nextQueryAt = now + urgentInterval
		c.queryAll(v, now)
	}
	if !c.pastEarlierPromotes(now) || now-c.leaderlessSince <= leaderlessTimeout || len(v.Members) == 0 {
		return
	}
	possible := c.possibleLeader(v)
	waitedLong := now-max(c.leaderlessSince, c.startedAt) > unknownMemberTimeout
	if possible == "" || waitedLong && c.repliesCoverCommits(v) {
		c.begin(v, "", failover, "nobody leads", now)
		return
	}
	c.logOnce("nobody leads, and it waits for " + possible + ", which may lead or alone hold a commit")
}

// repliesCoverCommits is whether those who replied that they don't lead hold every acknowledged commit between them.
func (c *Controller) repliesCoverCommits(v *View) bool {
	replies := 0
	for _, m := range v.Members {
		o := c.observations[m.ID]
		if m.Absent || o == nil || !o.known {
			continue
		}
		if o.status.Primary {
			return false
		}
		replies++
	}
	return replies >= pauseQuorum(len(v.Members), v.SyncReplicas, false)
}
