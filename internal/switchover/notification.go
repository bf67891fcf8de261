package switchover

import (
	"cmp"
	"errors"

	"weirwind/internal/util/enum"
)

// Stage is the stage of a change.
type Stage uint8

// Stages of a change, in order.
const (
	StageNone Stage = iota
	StageAnnounced
	StageHeld
	StageReleased
	StageAborted
)

var stageNames = enum.Names{"none", "announced", "held", "released", "aborted"}

// String returns the stage's name.
func (s Stage) String() string { return stageNames.Of(uint8(s)) }

// MarshalText returns the stage's name.
func (s Stage) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a stage's name.
func (s *Stage) UnmarshalText(text []byte) error { return enum.Parse(stageNames, "stage", text, s) }

// Notification is a message of a hook or a peer about a group's change.
type Notification struct {
	Group    int64   `json:"group"`
	Epoch    uint64  `json:"epoch"` // 0 from a hook: the open change or, for an announcement or first hold, a new one
	Stage    Stage   `json:"stage"`
	From     string  `json:"from,omitempty"`  // the old primary; required for a hold
	To       string  `json:"to,omitempty"`    // the new primary, if known
	Renewals uint64  `json:"beat,omitempty"`  // number of notifications of the hold, including the first
	Lease    float64 `json:"lease,omitempty"` // remaining milliseconds of the hold
	HoldAge  float64 `json:"age,omitempty"`   // milliseconds since the hold began, at the sender
}

// Errors of rejected notifications. A peer's notification that is old or already known is ignored without an error.
var (
	ErrUnknownPrimary = errors.New("the old primary is not known here: name it")
	ErrStale          = errors.New("a newer change of this group has begun")
	ErrNoChange       = errors.New("no change of this group is under way")
	ErrChangeFinished = errors.New("this change is over")
	ErrLeaseExpired   = errors.New("the lease of this hold has lapsed")
	ErrTooManyGroups  = errors.New("too many groups have changes")
	ErrInvalid        = errors.New("the word makes no sense")
)

// valid reports whether a complete notification is valid.
func (n *Notification) valid() bool {
	switch {
	case n.Epoch == 0, n.Stage == StageNone, n.Stage > StageAborted:
		return false
	case n.Stage == StageHeld && n.From == "":
		return false
	}
	return n.Lease >= 0 && n.HoldAge >= 0 // false for NaN, too
}

// newerThan reports whether a notification supersedes another one of the same group.
func (n *Notification) newerThan(other *Notification) bool {
	return cmp.Or(cmp.Compare(n.Epoch, other.Epoch), cmp.Compare(n.Stage, other.Stage),
		cmp.Compare(n.Renewals, other.Renewals)) > 0
}
