package failover

import (
	"slices"

	"weirwind/internal/member/wire"
)

// Controller is the failover state machine of one service. Times are milliseconds of the caller's clock.
type Controller struct {
	startedAt    float64 // when this machine became leader of the control plane
	phase        phase
	phaseStart   float64
	nextQueryAt  float64 // earliest time of the phase's next queries
	observations map[string]*observation
	highestTerm  uint64   // highest term that any member reported
	lastReason   string   // last reason logged by logOnce
	actions      []Action // of the current step

	primary        string  // current primary; "" if none is known
	noPrimarySince float64 // 0 while there is a primary

	// State of the current failover or switchover; in between, of the last one.
	mode        mode
	oldPrimary  string          // "" if not known
	oldPosition wire.Position   // at which it stepped down; only in switchoverSteppedDown
	candidate   string          // "" if not selected yet; in phaseFencing and phaseQuiescing the current primary
	rejected    map[string]bool // candidates that did not catch up

	// primaryStalled is set if the old primary replies but commits nothing. Its claim to be the primary does not end the
	// failover then.
	primaryStalled bool
	// promoteIssued is set if a promote of this failover may have been carried out or may still be. The old primary's
	// claim to be the primary no longer ends the failover then.
	promoteIssued bool
	// promoteUnresolved is set if a promote of this controller got no conclusive answer.
	promoteUnresolved bool
	// earlierPromotesVoid is set if no promote that was issued earlier can still be carried out. Paused replicas are
	// resumed only while it is set.
	earlierPromotesVoid bool

	// Stall detection: positions of the replicas, which are behind the primary and unchanged since stalledSince.
	stalledPositions map[string]wire.Position
	stalledSince     float64
	nextStallQueryAt float64

	coverages           map[string]*coverage // of departed members, by ID
	nextCoverageQueryAt float64
}

// New returns a controller for a service. It is called when this machine becomes leader of the control plane: the
// controller finds and resumes replicas that an earlier leader left paused.
func New(now float64) *Controller {
	return &Controller{observations: map[string]*observation{}, startedAt: now}
}

// Step advances the state machine and returns the actions to carry out, in order. The result is valid until the next
// call.
func (c *Controller) Step(view *View, now float64) []Action {
	c.actions = nil
	c.forgetRemovedMembers(view)
	switch c.phase {
	case phaseWatching:
		c.stepWatching(view, now)
	case phasePausing:
		c.stepPausing(view, now)
	case phaseCatchingUp:
		c.stepCatchingUp(view, now)
	case phasePromoting:
		c.stepPromoting(view, now)
	case phaseConfirming:
		c.stepConfirming(view, now)
	case phaseFencing: // HandlePromoteResult ends it
	case phaseQuiescing:
		c.stepQuiescing(now)
	}
	c.updateCoverage(view, now)
	return c.actions
}

// pastPromoteLatency reports whether this machine has been the leader for so long that any promote issued by an earlier
// leader would have been carried out. No failover or fence is started before that.
func (c *Controller) pastPromoteLatency(now float64) bool { return now-c.startedAt > promoteLatency }

// begin starts a failover or switchover. It discards all earlier statuses except the old primary's.
func (c *Controller) begin(view *View, oldPrimary string, newMode mode, reason string, now float64) {
	if oldPrimary != c.oldPrimary || c.rejected == nil {
		c.rejected = map[string]bool{}
	}
	c.mode, c.oldPrimary, c.candidate = newMode, oldPrimary, ""
	c.promoteIssued, c.primaryStalled, c.stalledPositions = false, false, nil
	for id, o := range c.observations {
		o.paused = false
		if id != oldPrimary {
			o.known = false
		}
	}
	c.addAction(Log, oldPrimary, "begins: "+reason)
	c.lastReason = ""
	c.enterPhase(phasePausing, now)
	c.stepPausing(view, now)
}

// abandon ends a failover or switchover without a new primary, and resumes replicas.
func (c *Controller) abandon(view *View, reason string, now float64) {
	c.addAction(Log, c.oldPrimary, "given up: "+reason)
	c.scheduleResumes(view, now)
	c.enterPhase(phaseWatching, now)
}

// restart returns to phasePausing, in which all replicas are queried again.
func (c *Controller) restart(now float64) {
	for _, o := range c.observations {
		o.known, o.paused = false, false
	}
	c.enterPhase(phasePausing, now)
	c.nextQueryAt = now + retryDelay
}

// abandonIfPrimaryExists abandons the failover if some member turns out to be the primary, and reports whether it did.
func (c *Controller) abandonIfPrimaryExists(view *View, now float64) bool {
	for _, m := range view.Members {
		o := c.observation(m.ID)
		switch {
		case m.Absent || !o.known || !o.status.Primary:
		case m.ID == c.oldPrimary:
			if !c.mode.planned() && !c.promoteIssued && !c.primaryStalled && o.queriedAt > c.phaseStart {
				c.abandon(view, "it answers", now)
				return true
			}
		case o.queriedAt >= c.phaseStart:
			c.abandon(view, m.ID+" leads", now)
			if c.oldPrimary != "" {
				c.addAction(EnforceDrain, c.oldPrimary, "")
			}
			return true
		}
	}
	return false
}

func (c *Controller) addAction(kind ActionKind, id, reason string) {
	c.actions = append(c.actions, Action{Kind: kind, ID: id, Term: c.highestTerm, Reason: reason})
}

// logOnce logs a reason unless it is the same as the last one.
func (c *Controller) logOnce(reason string) {
	if reason != c.lastReason {
		c.lastReason = reason
		c.addAction(Log, "", reason)
	}
}

// findMember returns the member with an ID, nil if there is none or it can't be queried.
func findMember(view *View, id string) *Member {
	i := slices.IndexFunc(view.Members, func(m Member) bool { return m.ID == id && !m.Absent })
	if i < 0 {
		return nil
	}
	return &view.Members[i]
}
