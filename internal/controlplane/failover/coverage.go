package failover

import "weirwind/internal/member/wire"

// This file decides when a member that has departed may leave the roster.
//
// It may have been the only receiver of acknowledged commits, and it may come back with its log. It counts as a
// replica that does not answer until it is covered: the primary, queried after the member was known to have departed,
// reported a position, and SyncReplicas replicas on the roster were seen at or beyond it. From then on every commit
// up to that position is on SyncReplicas others, and later ones can't be on a member that receives nothing.

// coverage is how far a departed member is covered.
type coverage struct {
	departedAt float64       // when it was known to have departed
	primary    string        // that reported the position; "": none yet
	term       uint64        // in which that primary led
	position   wire.Position // of its log, at departedAt or later
}

// updateCoverage queries members while one that has departed isn't covered, and allows the removal of those that are.
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

// trackDeparted keeps one coverage for each member that has departed.
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

// currentPrimary returns who leads in phaseWatching, or while a switchover is prepared: at other times nobody is sure
// to.
func (c *Controller) currentPrimary() string {
	preparing := c.phase == phasePausing || c.phase == phaseCatchingUp
	switch {
	case c.phase == phaseWatching:
		return c.primary
	case preparing && (c.mode == switchover || c.mode == switchoverDraining):
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

// recordPosition keeps the primary's first reply in its term since each member departed.
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

// covered is whether enough replicas hold what the primary had after the member departed. That stays true if the
// primary has died since.
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
			return false // another primary has led since
		}
		if !o.status.Received.Less(cov.position) {
			holders++
		}
	}
	return holders >= view.SyncReplicas
}
