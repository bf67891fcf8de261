package switchover

import "slices"

// ChangeStatus is the status of one group's change. Its Notification is complete and may be passed on to peers.
type ChangeStatus struct {
	Notification
	Draining     string  `json:"marked,omitempty"`        // the member that is marked as draining
	Primary      string  `json:"primary,omitempty"`       // a member other than the old one that is observed as primary
	TwoPrimaries bool    `json:"two_primaries,omitempty"` // the old primary replied that it is still primary
	Remaining    float64 `json:"left,omitempty"`          // milliseconds until the lease expires or the release times out
	Expired      bool    `json:"lapsed,omitempty"`
	Finished     bool    `json:"over,omitempty"`
}

// Status returns the changes of all groups, in order of the groups.
func (t *Tracker) Status(now float64) (all []ChangeStatus) {
	for _, group := range t.groups() {
		all = append(all, t.changes[group].status(now))
	}
	return all
}

func (c *change) status(now float64) ChangeStatus {
	s := ChangeStatus{Notification: c.latest, Draining: c.draining, Primary: c.newPrimary,
		TwoPrimaries: c.twoPrimaries, Expired: c.expired, Finished: c.finishedAt > 0}
	if c.finishedAt == 0 {
		s.Remaining = max(0, c.expiresAt-now)
	}
	if c.latest.Stage == StageHeld {
		s.Lease, s.HoldAge = s.Remaining, now-c.heldSince
	}
	return s
}

// Draining returns the members that are marked as draining, sorted.
func (t *Tracker) Draining() (all []string) {
	for _, c := range t.changes {
		if c.draining != "" {
			all = append(all, c.draining)
		}
	}
	slices.Sort(all)
	return all
}

// Active reports whether any change still needs ticks and observations of the primary.
func (t *Tracker) Active() bool {
	for _, c := range t.changes {
		if c.finishedAt == 0 {
			return true
		}
	}
	return false
}
