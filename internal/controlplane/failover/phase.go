package failover

import (
	"cmp"
	"fmt"
)

// phase is the state of the state machine; doc.go has the transitions.
type phase uint8

const (
	phaseWatching   phase = iota // the primary leads, or none is known
	phasePausing                 // replicas are paused and queried
	phaseCatchingUp              // the candidate catches up with those that are paused
	phasePromoting               // a promote of the candidate is with the platform
	phaseConfirming              // the promote was accepted; the candidate does not lead yet
	phaseFencing                 // a promote of the present primary, which voids earlier ones, is with the platform
	phaseQuiescing               // what the platform accepted before it is given time to show
)

// phaseNames are the names that operators see.
var phaseNames = [...]string{"watching", "freezing", "catching", "calling", "proving", "fencing", "settling"}

// String returns the name that operators see.
func (p phase) String() string { return phaseNames[p] }

// mode is the way by which the candidate is ensured to have every acknowledged commit. It is one of a failover or
// switchover, and has no meaning between them.
type mode uint8

const (
	// failover: the old primary has failed, or nobody knows who it was. A quorum of replicas is paused.
	failover mode = iota
	// switchover: the old primary serves on. All replicas but the candidate are paused.
	switchover
	// switchoverDraining: a replica can't be paused or isn't known, so the old primary's drain is enforced and it is to
	// step down.
	switchoverDraining
	// switchoverSteppedDown: the old primary has stepped down. Its log has all that was ever acknowledged.
	switchoverSteppedDown
)

// planned is whether the old primary cooperates.
func (m mode) planned() bool { return m != failover }

// State describes the state machine in one line for operators.
func (c *Controller) State() string {
	if c.phase == phaseWatching {
		return "watching " + cmp.Or(c.primary, "for a primary")
	}
	return fmt.Sprintf("%s: %s after %s", c.phase, cmp.Or(c.candidate, "?"), cmp.Or(c.oldPrimary, "?"))
}

// Phase is the phase's name, as State has it.
func (c *Controller) Phase() string { return c.phase.String() }

func (c *Controller) enterPhase(next phase, now float64) {
	c.phase, c.phaseStart, c.nextQueryAt = next, now, now
}
