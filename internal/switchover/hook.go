package switchover

import "cmp"

// maxOrigins is the number of drivers that can begin changes in the same millisecond without creating the same epoch.
const maxOrigins = 1024

// HandleHook applies a notification from a hook of this driver. It fills in omitted fields and returns the complete
// notification to be passed on to peers. primary is the group's primary as this driver observes it, "" for none.
func (t *Tracker) HandleHook(now float64, n Notification, primary string) (Notification, Outcome, error) {
	if n.Stage == StageNone || n.Stage > StageAborted || n.Lease < 0 {
		return n, Outcome{}, ErrInvalid
	}
	c := t.changes[n.Group]
	epoch, err := t.hookEpoch(now, n, c)
	if err != nil {
		return n, Outcome{}, err
	}
	n.Epoch = epoch
	if c != nil && c.latest.Epoch != epoch {
		c = nil // it begins another change
	}
	if c != nil {
		n.From, n.To = cmp.Or(c.latest.From, n.From), cmp.Or(n.To, c.latest.To)
	}
	n.From = cmp.Or(n.From, primary)
	if err := checkHook(n, c); err != nil {
		return n, Outcome{}, err
	}
	t.completeHold(now, &n, c)
	out, err := t.HandleNotification(now, n)
	return n, out, err
}

// hookEpoch returns the epoch that a hook refers to. c is the group's latest change, nil for none.
func (t *Tracker) hookEpoch(now float64, n Notification, c *change) (uint64, error) {
	switch {
	case n.Epoch != 0 && c != nil && n.Epoch < c.latest.Epoch:
		return 0, ErrStale
	case n.Epoch != 0:
		return n.Epoch, nil
	case c != nil && c.isOpen():
		return c.latest.Epoch, nil
	case n.Stage <= StageHeld:
		return t.newEpoch(now, c), nil
	case c == nil:
		return 0, ErrNoChange
	case c.latest.Stage == n.Stage || c.expired: // a duplicate, or too late: no change is open
		return c.latest.Epoch, nil
	}
	return 0, ErrChangeFinished
}

// newEpoch returns a higher epoch than that of the group's latest change. It includes the clock, so that epochs
// increase even if earlier changes have been forgotten, and the driver's origin, so that no two drivers create the same
// one.
func (t *Tracker) newEpoch(now float64, c *change) uint64 {
	epoch := uint64(max(now, 1))
	if c != nil {
		epoch = max(epoch, c.latest.Epoch/maxOrigins+1)
	}
	return epoch*maxOrigins + t.config.Origin%maxOrigins
}

// checkHook validates a hook against the change that it refers to, nil for a new one.
func checkHook(n Notification, c *change) error {
	switch {
	case c != nil && n.Stage == StageHeld && c.expired:
		return ErrLeaseExpired
	case c != nil && n.Stage <= StageHeld && c.latest.Stage >= StageReleased:
		return ErrChangeFinished
	case n.Stage == StageHeld && n.From == "":
		return ErrUnknownPrimary
	case n.From != "" && n.From == n.To:
		return ErrInvalid
	}
	return nil
}

// completeHold sets the lease, age and renewals of a hold, and clears them for other stages. c is the change that the
// hold renews or begins, nil for a new one.
func (t *Tracker) completeHold(now float64, n *Notification, c *change) {
	if n.Stage != StageHeld {
		n.Lease, n.HoldAge, n.Renewals = 0, 0, 0
		return
	}
	n.Renewals, n.HoldAge = 1, 0
	if c != nil {
		n.Renewals = c.latest.Renewals + 1
		if c.latest.Stage == StageHeld {
			n.HoldAge = now - c.heldSince
		}
	}
	n.Lease = min(cmp.Or(n.Lease, t.config.DefaultLease), t.config.MaxHold-n.HoldAge)
}
