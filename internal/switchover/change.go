package switchover

import "cmp"

// change is the state of one group's change at this driver.
type change struct {
	latest    Notification // the highest of the group, with From and To filled in from earlier ones of its epoch
	heldSince float64      // of the hold, at the driver where it began
	expiresAt float64      // of the lease, or of the wait behind a release
	expired   bool         // the hold's lease has ended here; it can't be renewed

	draining      string  // the member that is marked as draining; "": none
	newPrimary    string  // a member other than the old primary that is seen as primary; "": none
	roleQueriedAt float64 // when the old primary was last queried for its role, beside a new one; 0: not yet
	claimsPrimary bool    // it replied to that query that it is primary
	twoPrimaries  bool    // it did so once, which was logged

	finishedAt float64 // since when nothing is left to be done; 0: something is
}

// open is whether a hook without an epoch means this change.
func (c *change) open() bool { return c.latest.Stage < StageReleased && !c.expired }

// update takes a notification that is newer than the latest.
func (c *change) update(n Notification, out *Outcome) {
	if n.Epoch > c.latest.Epoch { // what was open of an older change is finished
		if c.draining != n.From || n.Stage != StageHeld {
			c.unmark(out)
		}
		*c = change{draining: c.draining}
	}
	n.From, n.To = cmp.Or(n.From, c.latest.From), cmp.Or(n.To, c.latest.To)
	c.latest, c.finishedAt = n, 0
}

func (c *change) announce(now float64, out *Outcome) {
	c.finishedAt = now // nothing is held
	out.queryRole(c.latest.To)
}

// hold begins a hold, or renews it.
func (c *change) hold(now, maxHold float64, renewal bool, out *Outcome) {
	if !renewal {
		c.heldSince, c.newPrimary = now-c.latest.HoldAge, ""
	}
	c.expiresAt = min(now+c.latest.Lease, c.heldSince+maxHold)
	switch {
	case c.expired || c.expiresAt <= now: // it ended on its way here, or here before it was renewed
		c.expire(now, out)
	case c.draining == "" && c.newPrimary == "":
		c.draining = c.latest.From
		out.Marks = append(out.Marks, DrainMark{Member: c.draining, Draining: true})
	}
}

// release leaves the old primary marked until another is primary and the old one is none, or the timeout.
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

// expire ends a hold whose lease has ended.
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
