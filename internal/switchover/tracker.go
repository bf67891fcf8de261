package switchover

import (
	"fmt"
	"maps"
	"slices"
)

// Config has a driver's limits. Times are in milliseconds. The clock should be close to Unix time, so that of two
// changes the later one has the higher epoch.
type Config struct {
	DefaultLease      float64 // of a hold without a lease
	MaxHold           float64 // maximum duration of a hold, including all renewals
	ReleaseTimeout    float64 // how long the old primary stays marked after a release if no other is observed as primary
	RoleQueryInterval float64 // between queries to an old primary that claims the role; without a reply it is unmarked
	Retention         float64 // how long a finished change is kept, for drivers that missed it
	MaxGroups         int     // maximum number of groups with changes at a time
	Origin            uint64  // number of this driver, unique among its peers; only its low ten bits are used
}

// DrainMark tells the driver to start or stop treating a member as draining.
type DrainMark struct {
	Member   string
	Draining bool
}

// Outcome is what the driver must do: first apply the marks, then send the queries.
type Outcome struct {
	Marks      []DrainMark
	QueryRoles []string // members to be queried for their role at once
	LogText    string   // to be logged; "": nothing
}

// logf appends to the log text: more than one group may change at once.
func (o *Outcome) logf(format string, args ...any) {
	if o.LogText != "" {
		o.LogText += "; "
	}
	o.LogText += fmt.Sprintf(format, args...)
}

func (o *Outcome) queryRole(member string) {
	if member != "" {
		o.QueryRoles = append(o.QueryRoles, member)
	}
}

// Tracker tracks the changes of all groups at one driver.
type Tracker struct {
	config  Config
	changes map[int64]*change // by group; at most MaxGroups
}

// New returns a Tracker without changes.
func New(config Config) *Tracker { return &Tracker{config: config, changes: map[int64]*change{}} }

// HandleNotification applies a complete notification from this driver's hook or from a peer. It ignores one that is old
// or already known.
func (t *Tracker) HandleNotification(now float64, n Notification) (Outcome, error) {
	if !n.valid() {
		return Outcome{}, ErrInvalid
	}
	c := t.changes[n.Group]
	if c == nil {
		if len(t.changes) >= t.config.MaxGroups {
			return Outcome{}, ErrTooManyGroups
		}
		c = &change{}
		t.changes[n.Group] = c
	}
	if !n.newerThan(&c.latest) {
		return Outcome{}, nil
	}
	var out Outcome
	renewal := n.Epoch == c.latest.Epoch && c.latest.Stage == StageHeld
	c.update(n, &out)
	switch n.Stage {
	case StageAnnounced:
		c.announce(now, &out)
	case StageHeld:
		c.hold(now, t.config.MaxHold, renewal, &out)
	case StageReleased:
		c.release(now, t.config.ReleaseTimeout, &out)
	case StageAborted:
		c.abort(now, &out)
	}
	out.LogText = fmt.Sprintf("group %d: change %d is %s, from %q to %q", n.Group, n.Epoch, n.Stage,
		c.latest.From, c.latest.To)
	if c.expired {
		out.LogText += "; its lease has lapsed here"
	}
	return out, nil
}

// ObservePrimary applies an observation of a group's primary, "" for none. After a release, a primary other than the
// old one ends the wait for a new primary, and the old one is queried until it is a replica.
func (t *Tracker) ObservePrimary(now float64, group int64, primary string) (out Outcome) {
	c := t.changes[group]
	if c == nil || primary == "" || c.draining == "" || primary == c.draining {
		return out
	}
	c.newPrimary = primary
	if c.latest.Stage == StageReleased && c.roleQueriedAt == 0 {
		c.queryOldPrimary(now, &out)
		out.LogText = fmt.Sprintf("group %d: change %d: %s is primary", group, c.latest.Epoch, primary)
	}
	return out
}

// ObserveRole applies a member's reply to the query for its role. The mark of an old primary is removed once it is a
// replica, so that it may serve reads; as long as it claims to be primary beside another one it stays marked.
func (t *Tracker) ObserveRole(now float64, member string, primary bool) (out Outcome) {
	for _, group := range t.groups() {
		c := t.changes[group]
		switch {
		case c.draining != member || c.roleQueriedAt == 0:
		case !primary:
			c.finish(now, &out)
			out.LogText = fmt.Sprintf("group %d: change %d is done, %s is a replica", group, c.latest.Epoch, member)
		default:
			c.claimsPrimary = true
			if !c.twoPrimaries {
				c.twoPrimaries = true
				out.LogText = fmt.Sprintf("group %d: two primaries: %s is one, and %s still answers as one and gets nothing",
					group, c.newPrimary, member)
			}
		}
	}
	return out
}

// Tick expires leases and timeouts, and removes changes that were finished longer than Retention ago.
func (t *Tracker) Tick(now float64) (out Outcome) {
	for _, group := range t.groups() {
		c := t.changes[group]
		switch {
		case c.finishedAt > 0:
			if now-c.finishedAt > t.config.Retention {
				delete(t.changes, group)
			}
		case c.latest.Stage == StageHeld && now >= c.expiresAt:
			c.expire(now, &out)
			out.logf("group %d: the hold of change %d has lapsed", group, c.latest.Epoch)
		case c.roleQueriedAt > 0 && now-c.roleQueriedAt < t.config.RoleQueryInterval:
		case c.roleQueriedAt > 0 && c.claimsPrimary:
			c.queryOldPrimary(now, &out)
		case c.roleQueriedAt > 0:
			c.finish(now, &out)
			out.logf("group %d: change %d is done, the old primary says nothing", group, c.latest.Epoch)
		case c.latest.Stage == StageReleased && now >= c.expiresAt:
			c.finish(now, &out)
			out.logf("group %d: change %d: nobody else was seen as primary in time", group, c.latest.Epoch)
		}
	}
	return out
}

// groups returns the groups with changes, in order.
func (t *Tracker) groups() []int64 { return slices.Sorted(maps.Keys(t.changes)) }
