package failover

import (
	"slices"

	"weirwind/internal/member/wire"
)

// Controller is the state machine for one service. Times are milliseconds of the caller's clock.
type Controller struct {
	startedAt    float64 // when this machine began to lead the control plane
	phase        phase
	phaseStart   float64
	nextQueryAt  float64 // of the phase; not before it
	observations map[string]*observation
	highestTerm  uint64   // that any member reported
	lastReason   string   // that was logged by logOnce
	actions      []Action // of the step under way

	primary         string  // who is taken to lead; "": nobody is known to
	leaderlessSince float64 // 0: somebody leads

	// Of the failover or switchover under way. Between two, they are those of the last one.
	mode        mode
	oldPrimary  string          // "": not known
	oldPosition wire.Position   // at which it stepped down; of switchoverSteppedDown only
	candidate   string          // "": not chosen yet. In phaseFencing and phaseQuiescing, the present primary
	rejected    map[string]bool // candidates that did not catch up

	// primaryStalled: the old primary replies, but commits nothing, so that its claim to lead does not end the failover.
	primaryStalled bool
	// promoteIssued: a promote of this failover may have been, or may yet be, carried out. The old primary's claim to
	// lead no longer ends the failover then.
	promoteIssued bool
	// promoteUnresolved: a promote of this controller got no answer that tells what came of it.
	promoteUnresolved bool
	// earlierPromotesVoid: no promote that was issued before can be carried out any more. Paused replicas are resumed
	// only while this holds.
	earlierPromotesVoid bool

	// Stall detection: positions of the replicas that stand still behind the primary since stalledSince.
	stalledPositions map[string]wire.Position
	stalledSince     float64
	nextStallQueryAt float64

	coverages           map[string]*coverage // of departed members, by their IDs
	nextCoverageQueryAt float64
}

// New returns a controller for a service. This machine has just begun to lead the control plane: replicas that an
// earlier leader paused will be looked for and resumed.
func New(now float64) *Controller {
	return &Controller{observations: map[string]*observation{}, startedAt: now}
}

// Step advances the state machine and returns what is to be done, in order. The result is valid until the next call.
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

// pastEarlierPromotes is whether a promote which an earlier leader issued would have been carried out by now. Nothing
// is begun before.
func (c *Controller) pastPromoteLatency(now float64) bool { return now-c.startedAt > promoteLatency }

// begin starts a failover or switchover. Statuses from before it don't count, apart from the old primary's.
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

// restart begins anew with pausing replicas: all of them are queried again.
func (c *Controller) restart(now float64) {
	for _, o := range c.observations {
		o.known, o.paused = false, false
	}
	c.enterPhase(phasePausing, now)
	c.nextQueryAt = now + retryDelay
}

// abandonIfLed abandons the failover if somebody leads after all, and tells whether it did.
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

// logOnce logs a reason unless it is the one that was logged last.
func (c *Controller) logOnce(reason string) {
	if reason != c.lastReason {
		c.lastReason = reason
		c.addAction(Log, "", reason)
	}
}

// findMember returns a member that can be queried, nil for none.
func findMember(view *View, id string) *Member {
	i := slices.IndexFunc(view.Members, func(m Member) bool { return m.ID == id && !m.Absent })
	if i < 0 {
		return nil
	}
	return &view.Members[i]
}
