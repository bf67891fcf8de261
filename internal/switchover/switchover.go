// Package switchover decides what a driver makes of announced changes of the primary: words from hooks of the topology
// manager, which come late, twice, out of order, or not at all. It does no I/O and reads no clock.
//
// This file owns the state of each group. It must never let a word of an older change undo a newer one, hold a group
// longer than its lease, or let two drivers that heard the same words in another order end in different states.
//
// A change of a group's primary has an epoch, which only grows, and goes through stages in one order: announced, held,
// released or aborted. What a driver knows of a group is the highest (epoch, stage, beat) that it heard of, so that
// states merge by taking the higher one, whatever the order and however often (a join). A hold marks the old primary as
// draining, which is how the design empties a writer slot: writes wait, probing goes on, and the first member that is
// seen to be primary gets them. The mark stays behind a release until somebody else is primary, as a member list may
// name the old one for minutes, and until that one says itself that it is a replica, or nothing: a deposed primary that
// still answers as one gets no writes. Holds are leases by the own clock of each driver: one that a hook does not renew
// lapses.
package switchover

import (
	"cmp"
	"errors"
	"fmt"
	"maps"
	"slices"

	"weirwind/internal/util/enum"
)

// Stage is how far a change has come.
type Stage uint8

// The stages of a change.
const (
	StageNone Stage = iota
	StageAnnounced
	StageHeld
	StageReleased
	StageAborted
)

var stageNames = enum.Names{"none", "announced", "held", "released", "aborted"}

func (s Stage) String() string { return stageNames.Of(uint8(s)) }

// MarshalText and UnmarshalText give stages their names.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText takes a stage's name.
func (s *Stage) UnmarshalText(text []byte) error { return enum.Parse(stageNames, "stage", text, s) }

// Notification is what a hook or a fellow driver says of a group. From is the old primary, To the one to come where that is
// known.
type Notification struct {
	Group    int64   `json:"group"`
	Epoch    uint64  `json:"epoch"` // 0 from a hook: the one that goes on, or for an announcement and a first hold a new one
	Stage    Stage   `json:"stage"`
	From     string  `json:"from,omitempty"`
	To       string  `json:"to,omitempty"`
	Renewals uint64  `json:"beat,omitempty"`  // counts renewals of the hold
	Lease    float64 `json:"lease,omitempty"` // of a hold, milliseconds that are left of it
	HoldAge  float64 `json:"age,omitempty"`   // milliseconds since the hold began, at who tells it
}

// Config are what a driver goes by. Times are milliseconds. Clocks are Unix time, about: of two changes the later begun
// is to have the higher epoch.
type Config struct {
	DefaultLease      float64 // of a hold that names none
	MaxHold           float64 // of a hold with all its renewals
	ReleaseTimeout    float64 // behind a release the old primary stays marked for so long, if nobody else is seen as primary
	RoleQueryInterval float64 // an old primary that may still answer as one is asked so often; one that says nothing in it is let be
	Retention         float64 // a change that is over is remembered for so long, for drivers that missed it
	MaxGroups         int     // groups at a time that are remembered
	Origin            uint64  // of this driver, other than its fellows'; its last ten bits count
}

const origins = 1024

// Errors of words that can't be taken. A word that is merely old, or known already, is none.
var (
	ErrUnknownPrimary = errors.New("the old primary is not known here: name it")
	ErrStale          = errors.New("a newer change of this group has begun")
	ErrNoChange       = errors.New("no change of this group is under way")
	ErrChangeFinished = errors.New("this change is over")
	ErrLeaseExpired   = errors.New("the lease of this hold has lapsed")
	ErrTooManyGroups  = errors.New("too many groups have changes")
	ErrInvalid        = errors.New("the word makes no sense")
)

// DrainMark says that a member is to be treated as draining, or no longer.
type DrainMark struct {
	Member   string
	Draining bool
}

// Outcome is what is to be done: marks first, then probes.
type Outcome struct {
	Marks      []DrainMark
	QueryRoles []string // to be asked for its role at once
	LogText    string   // for the log; empty where nothing changed
}

// change is one group's.
type change struct {
	word   Notification
	until  float64 // end of the lease, or of the opening
	began  float64 // of the hold
	lapsed bool    // the hold has ended by itself, here
	marked string  // the member that is marked now
	other  string  // a member that is seen as primary, other than the old one
	asked  float64 // when the old one was asked for its role, as another is primary; 0 for not
	claims bool    // it said that it is primary, since
	twice  bool    // that was told
	over   float64 // since when nothing of it is open; 0: it is
}

// Tracker holds the changes of all groups.
type Tracker struct {
	rules  Config
	groups map[int64]*change
}

// New makes an empty book.
func New(r Config) *Tracker { return &Tracker{rules: r, groups: map[int64]*change{}} }

// higher says whether a word tells more than what is known.
func (c *change) higher(w Notification) bool {
	return cmp.Or(cmp.Compare(w.Epoch, c.word.Epoch), cmp.Compare(w.Stage, c.word.Stage),
		cmp.Compare(w.Renewals, c.word.Renewals)) > 0
}

// HandleHook takes a word of a hook at this driver, fills in what it leaves out, and gives the whole word for fellow drivers.
// primary is the member that this driver takes for the primary, "" for none.
func (b *Tracker) HandleHook(now float64, w Notification, primary string) (Notification, Outcome, error) {
	if w.Stage == StageNone || w.Stage > StageAborted || w.Lease < 0 {
		return w, Outcome{}, ErrInvalid
	}
	c := b.groups[w.Group]
	open := c != nil && c.word.Stage < StageReleased && !c.lapsed
	switch {
	case c != nil && w.Epoch != 0 && w.Epoch < c.word.Epoch:
		return w, Outcome{}, ErrStale
	case w.Epoch == 0 && open:
		w.Epoch = c.word.Epoch
	case w.Epoch == 0 && w.Stage > StageHeld && c == nil:
		return w, Outcome{}, ErrNoChange
	case w.Epoch == 0 && w.Stage > StageHeld:
		if c.word.Stage == w.Stage || c.lapsed { // repeated, or too late: nothing is open any more
			w.Epoch = c.word.Epoch
			break
		}
		return w, Outcome{}, ErrChangeFinished
	case w.Epoch == 0: // by the clock, so that it grows also where what went before is forgotten
		w.Epoch = uint64(max(now, 1))
		if c != nil {
			w.Epoch = max(w.Epoch, c.word.Epoch/origins+1)
		}
		w.Epoch = w.Epoch*origins + b.rules.Origin%origins // no two drivers begin the same one
	}
	same := c != nil && w.Epoch == c.word.Epoch
	if same {
		w.From, w.To = cmp.Or(c.word.From, w.From), cmp.Or(w.To, c.word.To)
	}
	if w.From == "" {
		w.From = primary
	}
	switch {
	case w.Stage == StageHeld && same && c.lapsed:
		return w, Outcome{}, ErrLeaseExpired
	case w.Stage <= StageHeld && same && c.word.Stage >= StageReleased:
		return w, Outcome{}, ErrChangeFinished
	case w.Stage == StageHeld && w.From == "":
		return w, Outcome{}, ErrUnknownPrimary
	case w.From != "" && w.From == w.To:
		return w, Outcome{}, ErrInvalid
	}
	if w.Stage == StageHeld {
		w.Renewals, w.HoldAge = 1, 0
		if same {
			w.Renewals = c.word.Renewals + 1
			if c.word.Stage == StageHeld {
				w.HoldAge = now - c.began
			}
		}
		w.Lease = min(cmp.Or(w.Lease, b.rules.DefaultLease), b.rules.MaxHold-w.HoldAge)
	} else {
		w.Lease, w.HoldAge, w.Renewals = 0, 0, 0
	}
	out, err := b.HandleNotification(now, w)
	return w, out, err
}

// HandleNotification takes a whole word, from this driver's hook or a fellow's.
func (b *Tracker) HandleNotification(now float64, w Notification) (Outcome, error) {
	if w.Epoch == 0 || w.Stage == StageNone || w.Stage > StageAborted || w.Stage == StageHeld && w.From == "" || !(w.Lease >= 0) ||
		!(w.HoldAge >= 0) {
		return Outcome{}, ErrInvalid
	}
	c := b.groups[w.Group]
	if c == nil {
		if len(b.groups) >= b.rules.MaxGroups {
			return Outcome{}, ErrTooManyGroups
		}
		c = &change{}
		b.groups[w.Group] = c
	}
	if !c.higher(w) {
		return Outcome{}, nil
	}
	var out Outcome
	if w.Epoch > c.word.Epoch { // what was open of an older change is over
		if c.marked != "" && (c.marked != w.From || w.Stage != StageHeld) {
			b.unmark(c, &out)
		}
		*c = change{marked: c.marked}
	}
	before := c.word
	c.word, c.over = w, 0
	c.word.From, c.word.To = cmp.Or(w.From, before.From), cmp.Or(w.To, before.To)
	switch w.Stage {
	case StageAnnounced:
		c.over = now // nothing is held
		if w.To != "" {
			out.QueryRoles = append(out.QueryRoles, w.To)
		}
	case StageHeld:
		if before.Stage != StageHeld {
			c.began, c.other = now-w.HoldAge, ""
		}
		c.until = min(now+w.Lease, c.began+b.rules.MaxHold)
		switch {
		case c.lapsed || c.until <= now: // it ended on its way here, or here before it was renewed
			b.lapse(now, c, &out)
		case c.marked == "" && c.other == "":
			c.marked = c.word.From
			out.Marks = append(out.Marks, DrainMark{c.marked, true})
		}
	case StageReleased:
		if c.until = now + b.rules.ReleaseTimeout; c.marked == "" {
			c.over = now
		} else if c.other != "" {
			b.ask(now, c, &out)
		}
		if c.word.To != "" {
			out.QueryRoles = append(out.QueryRoles, c.word.To)
		}
	case StageAborted:
		if b.unmark(c, &out); c.word.From != "" {
			out.QueryRoles = append(out.QueryRoles, c.word.From)
		}
		c.over = now
	}
	out.LogText = fmt.Sprintf("group %d: change %d is %s, from %q to %q", w.Group, w.Epoch, w.Stage, c.word.From, c.word.To)
	if c.lapsed {
		out.LogText += "; its lease has lapsed here"
	}
	return out, nil
}

func (b *Tracker) unmark(c *change, out *Outcome) {
	if c.marked != "" {
		out.Marks = append(out.Marks, DrainMark{c.marked, false})
		c.marked = ""
	}
}

func (b *Tracker) lapse(now float64, c *change, out *Outcome) {
	b.unmark(c, out)
	c.lapsed, c.over = true, now
	if c.word.From != "" {
		out.QueryRoles = append(out.QueryRoles, c.word.From)
	}
}

// ObservePrimary notes which member this driver takes for a group's primary now, "" for none. Another than the old one ends the
// waiting: the old one is a replica by then and may be read from.
func (b *Tracker) ObservePrimary(now float64, group int64, primary string) (out Outcome) {
	c := b.groups[group]
	if c == nil || primary == "" || c.marked == "" || primary == c.marked {
		return out
	}
	c.other = primary
	if c.word.Stage == StageReleased && c.asked == 0 {
		b.ask(now, c, &out)
		out.LogText = fmt.Sprintf("group %d: change %d: %s is primary", group, c.word.Epoch, primary)
	}
	return out
}

func (b *Tracker) ask(now float64, c *change, out *Outcome) {
	c.asked, c.claims = now, false
	out.QueryRoles = append(out.QueryRoles, c.marked)
}

// ObserveRole notes what a member said of itself when it was asked. An old primary that is a replica now may be read from; one
// that goes on as a primary beside another stays marked.
func (b *Tracker) ObserveRole(now float64, member string, primary bool) (out Outcome) {
	for _, g := range slices.Sorted(maps.Keys(b.groups)) {
		c := b.groups[g]
		switch {
		case c.marked != member || c.asked == 0:
		case primary:
			if c.claims = true; !c.twice {
				c.twice = true
				out.LogText = fmt.Sprintf("group %d: two primaries: %s is one, and %s still answers as one and gets nothing", g,
					c.other, member)
			}
		default:
			b.unmark(c, &out)
			c.over = now
			out.LogText = fmt.Sprintf("group %d: change %d is done, %s is a replica", g, c.word.Epoch, member)
		}
	}
	return out
}

// Tick lets leases and openings end, and forgets changes that are long over.
func (b *Tracker) Tick(now float64) (out Outcome) {
	for _, g := range slices.Sorted(maps.Keys(b.groups)) {
		c := b.groups[g]
		switch {
		case c.over > 0:
			if now-c.over > b.rules.Retention {
				delete(b.groups, g)
			}
		case c.word.Stage == StageHeld && now >= c.until:
			b.lapse(now, c, &out)
			out.LogText = fmt.Sprintf("group %d: the hold of change %d has lapsed", g, c.word.Epoch)
		case c.asked > 0 && now-c.asked < b.rules.RoleQueryInterval:
		case c.asked > 0 && c.claims:
			b.ask(now, c, &out)
		case c.asked > 0:
			b.unmark(c, &out)
			c.over = now
			out.LogText = fmt.Sprintf("group %d: change %d is done, the old primary says nothing", g, c.word.Epoch)
		case c.word.Stage == StageReleased && now >= c.until:
			b.unmark(c, &out)
			c.over = now
			out.LogText = fmt.Sprintf("group %d: change %d: nobody else was seen as primary in time", g, c.word.Epoch)
		}
	}
	return out
}

// Draining are the members that are to be treated as draining now, sorted.
func (b *Tracker) Draining() (all []string) {
	for _, c := range b.groups {
		if c.marked != "" {
			all = append(all, c.marked)
		}
	}
	slices.Sort(all)
	return all
}

// ChangeStatus is what is known of one change.
type ChangeStatus struct {
	Notification
	Draining     string  `json:"marked,omitempty"`
	Primary      string  `json:"primary,omitempty"`       // seen, other than the old one
	TwoPrimaries bool    `json:"two_primaries,omitempty"` // the old one answered as primary beside it
	Remaining    float64 `json:"left,omitempty"`          // of the lease or the opening, milliseconds
	Expired      bool    `json:"lapsed,omitempty"`
	Finished     bool    `json:"over,omitempty"`
}

// Status gives all changes by group, their words as a fellow driver may be told them now.
func (b *Tracker) Status(now float64) (all []ChangeStatus) {
	for _, g := range slices.Sorted(maps.Keys(b.groups)) {
		c := b.groups[g]
		s := ChangeStatus{Notification: c.word, Draining: c.marked, Primary: c.other, TwoPrimaries: c.twice, Expired: c.lapsed, Finished: c.over > 0}
		if c.over == 0 {
			s.Remaining = max(0, c.until-now)
		}
		if c.word.Stage == StageHeld {
			if s.Notification.Lease, s.Notification.HoldAge = 0, now-c.began; c.over == 0 {
				s.Notification.Lease = s.Remaining
			}
		}
		all = append(all, s)
	}
	return all
}

// Active says whether any change still wants ticks and looks at primaries.
func (b *Tracker) Active() bool {
	for _, c := range b.groups {
		if c.over == 0 {
			return true
		}
	}
	return false
}
