package failover

import (
	"cmp"
	"fmt"
)

// phase is the state of the state machine. The package documentation lists the transitions.
type phase uint8

const (
	phaseWatching   phase = iota // there is a primary, or none is known
	phasePausing                 // replicas are paused and queried, and the old primary steps down
	phaseRecording               // the promote is replicated before it is issued
	phasePromoting               // the platform was called to promote the candidate
	phaseConfirming              // the promote was accepted, but has not taken effect yet
)

// phaseNames has the phases' names as operators see them.
var phaseNames = [...]string{"watching", "freezing", "recording", "calling", "proving"}

// String returns the name of the phase as operators see it.
func (p phase) String() string { return phaseNames[p] }

// mode is the method that ensures that the candidate has every acknowledged commit. It is meaningful only during a
// failover or switchover.
type mode uint8

const (
	// failover: the old primary has failed, has stepped down or is not known. A quorum of replicas is paused.
	failover mode = iota
	// switchover: the old primary continues to serve. All replicas but the candidate are paused.
	switchover
	// switchoverDraining: a replica can't be paused or is not known, so the old primary's drain is enforced before it
	// steps down.
	switchoverDraining
)

// planned reports whether the old primary cooperates.
func (m mode) planned() bool { return m != failover }

// State describes the state machine in one line for operators.
func (c *Controller) State() string {
	if c.phase == phaseWatching {
		return "watching " + cmp.Or(c.primary, "for a primary")
	}
	return fmt.Sprintf("%s: %s after %s", c.phase, cmp.Or(c.candidate, "?"), cmp.Or(c.oldPrimary, "?"))
}

// Phase returns the name of the current phase.
func (c *Controller) Phase() string { return c.phase.String() }

// enterPhase changes the phase. Its queries may start at once.
func (c *Controller) enterPhase(next phase, now float64) {
	c.phase, c.phaseStart, c.nextQueryAt = next, now, now
}
