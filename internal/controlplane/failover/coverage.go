package failover

import "weirwind/internal/member/wire"

// This file decides when a departed member may be removed from the roster.
//
// The member may have been the only replica with some acknowledged commits, and it may come back with its log. It
// counts as a replica that does not answer until it is covered: the primary, queried after the departure was known,
// reported a position, and SyncReplicas replicas on the roster reported the same or a later position. From then on
// every commit up to that position is on SyncReplicas other replicas, and later commits can't be on a member that
// receives nothing.

// coverage tracks whether a departed member's log is covered by other replicas.
type coverage struct {
	departedAt float64       // when the departure became known
	primary    string        // member that reported the position; "" if none did yet
	term       uint64        // of that primary
	position   wire.Position // end of that primary's log, at departedAt or later
}

// updateCoverage queries members while a departed member is not covered, and allows the removal of covered ones.
func (c *Controller) updateCoverage(view *View, now float64) {
	c.trackDeparted(view, now)
	if len(c.coverages) == 0 || view.SyncReplicas == 0 {
		return
	}
	if primary := findMember(view, c.currentPrimary()); primary != nil && !primary.Unlisted {
		if now >= c.nextCoverageQueryAt {
			c.nextCoverageQueryAt = now + c.coverageQueryInterval(now)
			c.queryAll(view, now)
		}
		c.recordPosition(primary.ID)
	}
	for id, cov := range c.coverages {
		if c.covered(view, cov) {
			c.addAction(AllowRemoval, id, "")
		}
	}
}

// trackDeparted maintains one coverage for each departed member.
func (c *Controller) trackDeparted(view *View, now float64) {
	previous := c.coverages
	c.coverages = map[string]*coverage{}
	for _, m := range view.Members {
		if !m.Departed {
			continue
		}
		cov := previous[m.ID]
		if cov == nil {
			cov = &coverage{departedAt: now}
			c.nextCoverageQueryAt = now
		}
		c.coverages[m.ID] = cov
	}
}

// currentPrimary returns the primary in phaseWatching and while a switchover is prepared, and "" at other times, when
// it is not certain which member is the primary.
func (c *Controller) currentPrimary() string {
	preparing := c.phase == phasePausing
	switch {
	case c.phase == phaseWatching:
		return c.primary
	case preparing && c.mode.planned():
		return c.oldPrimary
	}
	return ""
}

func (c *Controller) coverageQueryInterval(now float64) float64 {
	for _, cov := range c.coverages {
		if now-cov.departedAt < coverageFastPeriod {
			return coverageInterval
		}
	}
	return coverageSlowInterval
}

// recordPosition records, for each departed member, the first position that the primary reported in its term after the
// departure.
func (c *Controller) recordPosition(primary string) {
	o := c.observation(primary)
	if !o.known || !o.status.Primary {
		return
	}
	for _, cov := range c.coverages {
		if o.queriedAt >= cov.departedAt && (cov.primary != primary || cov.term != o.status.Term) {
			cov.primary, cov.term, cov.position = primary, o.status.Term, o.status.Received
		}
	}
}

// covered reports whether enough replicas have the log up to the position that the primary reported after the
// departure. It does not matter whether the primary has failed since.
func (c *Controller) covered(view *View, cov *coverage) bool {
	if cov.primary == "" {
		return false
	}
	holders := 0
	for _, m := range view.Members {
		o := c.observation(m.ID)
		if m.Absent || m.Unlisted || m.ID == cov.primary || !o.known || o.status.Primary {
			continue
		}
		if o.status.Received.Term > cov.term {
			return false // there has been another primary since
		}
		if !o.status.Received.Less(cov.position) {
			holders++
		}
	}
	return holders >= view.SyncReplicas
}
