package failover

// This file resumes replicas that were left paused. It runs in phaseWatching, in which no promote is under way.

// resumePaused finds replicas that were left paused, by this leader or an earlier one, and resumes them. Statements of
// the former leader may be executed at the beginning, so that nothing is resumed then.
func (c *Controller) resumePaused(view *View, now float64) {
	if !c.pastTakeover(now) {
		return
	}
	for _, m := range view.Members {
		o := c.observation(m.ID)
		if m.Absent || !o.resumeCheckDue || m.ID == c.primary || o.pending || now < o.nextResumeCheckAt {
			continue // an unreachable member may still be paused: it is queried again for as long as it is in the view
		}
		o.nextResumeCheckAt = now + resumeInterval
		if o.reportsPause {
			c.query(m.ID, ResumeReplication, now)
		} else {
			c.query(m.ID, QueryStatus, now)
		}
	}
}

// scheduleResumes marks every replica that may be paused, to be resumed in phaseWatching.
func (c *Controller) scheduleResumes(view *View, now float64) {
	for _, m := range view.Members {
		if o := c.observation(m.ID); !m.Absent && (o.paused || o.pauseSent) {
			o.resumeCheckDue, o.paused, o.nextResumeCheckAt = true, false, now
		}
	}
}
