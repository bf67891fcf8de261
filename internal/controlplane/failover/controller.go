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
	newestTerm   uint64   // the same without the terms of pauses
	lastReason   string   // last reason logged by logOnce
	actions      []Action // of the current step

	primary        string  // current primary; "" if none is known
	noPrimarySince float64 // 0 while there is a primary

	// State of the current failover or switchover; in between, of the last one.
	mode       mode
	oldPrimary string          // "" if not known
	candidate  string          // "" if not selected yet
	rejected   map[string]bool // candidates that did not catch up
	beganAt    float64
	// steppedDownAt is when the old primary was found not to lead any more, 0 if it was not. oldPosition is the end of its
	// log then, which has every acknowledged commit if oldPrimaryLed is set: it replied before that it was the primary.
	steppedDownAt float64
	oldPosition   wire.Position
	oldPrimaryLed bool
	// stoppedAt is since when no acknowledgement of the old primary reaches a client any more, 0 if it may. See
	// steppingdown.go.
	stoppedAt float64

	writer        string // ID in the newest AssignWriter, valid if writerChosen is set
	writerChosen  bool
	fencingWanted bool // the old primary may serve though it does not reply: no proxy is to write to it

	// primaryStalled is set if the old primary replies but commits nothing. Its claim to be the primary does not end the
	// failover then.
	primaryStalled bool

	record   PromoteRecord // of the latest promote
	issued   bool          // the promote of record may have been issued, and is not resolved
	calledAt float64       // when the platform was last called for it, or when it was adopted
	// calledWhilePaused is set if the candidate was paused when the platform was last called.
	calledWhilePaused bool
	resolved          uint64 // number of the latest record that is resolved
	// repeatUntil is the time until which a call that was repeated may still take effect. No failover begins before.
	repeatUntil float64

	relayPending bool // a RelayStepDown is under way
	relayFailed  bool // one has failed in this failover
	nextRelayAt  float64

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
	c.adoptRecord(view, now)
	switch c.phase {
	case phaseWatching:
		c.stepWatching(view, now)
	case phasePausing:
		c.stepPausing(view, now)
	case phaseRecording:
		c.stepRecording(view, now)
	case phasePromoting:
		c.stepPromoting(view, now)
	case phaseConfirming:
		c.stepConfirming(view, now)
	}
	c.stepDownClaimants(view, now)
	c.updateCoverage(view, now)
	return c.actions
}

// mayBegin reports whether a failover or switchover may begin.
func (c *Controller) mayBegin(view *View, now float64) bool {
	return c.pastTakeover(now) && now >= c.repeatUntil && !view.DirectoryIncomplete
}

// pastTakeover reports whether this machine has been the leader for so long that no statement of the former leader can
// be executed any more. No failover is started and no replica resumed before that.
func (c *Controller) pastTakeover(now float64) bool { return now-c.startedAt > takeoverDelay }

// begin starts a failover or switchover. It discards all earlier statuses except the old primary's.
func (c *Controller) begin(view *View, oldPrimary string, newMode mode, reason string, now float64) {
	if oldPrimary != c.oldPrimary || c.rejected == nil {
		c.rejected = map[string]bool{}
	}
	c.mode, c.oldPrimary, c.candidate = newMode, oldPrimary, ""
	c.resetOldPrimary(now)
	c.stalledPositions = nil
	old := c.observations[oldPrimary]
	c.oldPrimaryLed = old != nil && old.known && old.status.Primary
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

// resetOldPrimary discards what is known of the old primary, at the beginning of a failover from it.
func (c *Controller) resetOldPrimary(now float64) {
	c.beganAt, c.steppedDownAt, c.stoppedAt = now, 0, 0
	c.relayFailed, c.nextRelayAt = false, now
	c.fencingWanted, c.primaryStalled = false, false
}

// abandon ends a failover or switchover without a new primary, and resumes replicas.
func (c *Controller) abandon(view *View, reason string, now float64) {
	c.resolveRecord()
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
// It does not while a promote may take effect, as that would end the lead of that member.
func (c *Controller) abandonIfPrimaryExists(view *View, now float64) bool {
	if c.issued {
		return false
	}
	for _, m := range view.Members {
		o := c.observation(m.ID)
		switch {
		case m.Absent || !o.known || !o.status.Primary:
		case m.ID == c.oldPrimary:
			if !c.mode.planned() && !c.primaryStalled && o.queriedAt > c.phaseStart {
				c.abandon(view, "it answers", now)
				c.assignWriter(m.ID)
				return true
			}
		case o.queriedAt >= c.phaseStart:
			c.abandon(view, m.ID+" leads", now)
			c.assignWriter(m.ID)
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

// isListed reports whether the view has a member with an ID.
func isListed(view *View, id string) bool {
	return slices.ContainsFunc(view.Members, func(m Member) bool { return m.ID == id })
}

// findMember returns the member with an ID, nil if there is none or it can't be queried.
func findMember(view *View, id string) *Member {
	i := slices.IndexFunc(view.Members, func(m Member) bool { return m.ID == id && !m.Absent })
	if i < 0 {
		return nil
	}
	return &view.Members[i]
}
