package switchover

import "cmp"

// change is the state of one group's change at this driver.
type change struct {
	latest    Notification // the highest of the group, with From and To filled in from earlier ones of its epoch
	heldSince float64      // when the hold began, at the driver where it began
	expiresAt float64      // when the lease expires, or the release times out
	expired   bool         // the hold's lease has expired at this driver; it can't be renewed

	draining      string  // the member that is marked as draining; "": none
	newPrimary    string  // a member other than the old primary that is observed as primary; "": none
	roleQueriedAt float64 // when the old primary was last queried for its role after a new one appeared; 0: not yet
	claimsPrimary bool    // the old primary replied to that query that it is primary
	twoPrimaries  bool    // such a reply has been received and logged

	finishedAt float64 // when the change was finished; 0: it isn't
}

// isOpen reports whether a hook without an epoch refers to this change.
func (c *change) isOpen() bool { return c.latest.Stage < StageReleased && !c.expired }

// update applies a notification that is newer than the latest one.
func (c *change) update(n Notification, out *Outcome) {
	if n.Epoch > c.latest.Epoch { // an older change ends
		if c.draining != n.From || n.Stage != StageHeld {
			c.unmark(out)
		}
		*c = change{draining: c.draining}
	}
	n.From, n.To = cmp.Or(n.From, c.latest.From), cmp.Or(n.To, c.latest.To)
	c.latest, c.finishedAt = n, 0
}

func (c *change) announce(now float64, out *Outcome) {
	c.finishedAt = now // an announcement holds no writes
	out.queryRole(c.latest.To)
}

// hold begins or renews a hold.
func (c *change) hold(now, maxHold float64, renewal bool, out *Outcome) {
	if !renewal {
		c.heldSince, c.newPrimary = now-c.latest.HoldAge, ""
	}
	c.expiresAt = min(now+c.latest.Lease, c.heldSince+maxHold)
	switch {
	case c.expired || c.expiresAt <= now: // expired in transit, or here before the renewal
		c.expire(now, out)
	case c.draining == "" && c.newPrimary == "":
		c.draining = c.latest.From
		out.Marks = append(out.Marks, DrainMark{Member: c.draining, Draining: true})
	}
}

// release keeps the old primary marked until another member is primary and the old one is not, or until the timeout.
func (c *change) release(now, timeout float64, out *Outcome) {
	c.expiresAt = now + timeout
	if c.draining == "" {
		c.finishedAt = now
	} else if c.newPrimary != "" {
		c.queryOldPrimary(now, out)
	}
	out.queryRole(c.latest.To)
}

func (c *change) abort(now float64, out *Outcome) {
	c.finish(now, out)
	out.queryRole(c.latest.From)
}

// expire ends a hold whose lease has expired.
func (c *change) expire(now float64, out *Outcome) {
	c.finish(now, out)
	c.expired = true
	out.queryRole(c.latest.From)
}

func (c *change) finish(now float64, out *Outcome) {
	c.unmark(out)
	c.finishedAt = now
}

func (c *change) unmark(out *Outcome) {
	if c.draining != "" {
		out.Marks = append(out.Marks, DrainMark{Member: c.draining, Draining: false})
		c.draining = ""
	}
}

func (c *change) queryOldPrimary(now float64, out *Outcome) {
	c.roleQueriedAt, c.claimsPrimary = now, false
	out.queryRole(c.draining)
}
