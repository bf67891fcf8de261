package zones

// This file implements the leader's state machine of one zone. It must never recover a zone immediately after a loss,
// or eject one for a short-lived cause.

import "math"

// Timing determines how fast zones are ejected and recover, in milliseconds.
type Timing struct {
	SuspectFor   float64 // how long an ejecting cause must last before the zone is ejected
	DegradedFor  float64 // how long a degradation, or its end, must last before capacity is reduced or restored
	BaseEjection float64 // minimum time of an ejection; doubled with each failed recovery
	MaxEjection  float64 // upper bound of the doubled time
	SlowStart    float64 // duration of a recovery, from no capacity to full capacity
	ForgiveAfter float64 // time of service after which one failed recovery is forgiven
}

// degradedCapacity is the capacity of a zone that is slow or whose replicas lag.
const degradedCapacity = 0.5

const (
	drainStep = 0.25 // capacity that a draining zone loses in each step of the leader
	maxFlaps  = 8    // maximum count of failed recoveries
)

// tracker is one zone's state machine.
type tracker struct {
	Zone                  // as in plans, but Capacity is not rounded
	since         float64 // when State was entered, or, while serving, when a flap was last forgiven
	healthySince  float64 // since when there has been no ejecting cause; +Inf: there is one
	degradedSince float64 // when degraded last changed
	degraded      bool    // whether the last cause degrades
}

// newTracker returns a tracker in the state that the plan gives the zone, with its timers restarted.
func newTracker(now float64, zone Zone) *tracker {
	return &tracker{Zone: zone, since: now, healthySince: now}
}

// step advances the state machine. mayRecover is set if no other zone is recovering.
func (t *tracker) step(now float64, timing Timing, cause Cause, evacuated, mayRecover bool) {
	if evacuated {
		cause = Evacuated
	}
	switch {
	case cause.ejects():
		t.healthySince = math.Inf(1)
	case math.IsInf(t.healthySince, 1):
		t.healthySince = now
	}
	switch t.State {
	case Serving:
		t.stepServing(now, timing, cause, evacuated)
	case Suspected:
		t.stepSuspected(now, timing, cause, evacuated)
	case Draining:
		t.stepDraining(now, cause)
	case Ejected:
		t.stepEjected(now, timing, cause, mayRecover)
	case Recovering:
		t.stepRecovering(now, timing, cause)
	}
}

func (t *tracker) stepServing(now float64, timing Timing, cause Cause, evacuated bool) {
	switch {
	case !cause.ejects():
		t.adjustCapacity(now, timing, cause)
	case evacuated:
		t.eject(now, cause)
	default:
		t.transition(now, Suspected, cause)
	}
}

func (t *tracker) stepSuspected(now float64, timing Timing, cause Cause, evacuated bool) {
	t.Cause = cause
	switch {
	case !cause.ejects():
		t.transition(now, Serving, cause)
	case evacuated || now-t.since >= timing.SuspectFor:
		t.eject(now, cause)
	}
}

// stepDraining reduces capacity by one step. Planned flows follow at their own rate.
func (t *tracker) stepDraining(now float64, cause Cause) {
	if cause.isHard() {
		t.eject(now, cause)
		return
	}
	t.Capacity = max(0, t.Capacity-drainStep)
	if t.Capacity == 0 {
		t.transition(now, Ejected, t.Cause)
	}
}

// stepEjected starts a recovery once the zone has been ejected for long enough, and healthy for as long or for twice
// the base time, whichever is less.
func (t *tracker) stepEjected(now float64, timing Timing, cause Cause, mayRecover bool) {
	if cause.ejects() {
		t.Cause = cause
		return
	}
	ejectionTime := min(timing.BaseEjection*math.Exp2(float64(t.Flaps)), timing.MaxEjection)
	if mayRecover && now-t.since >= ejectionTime && now-t.healthySince >= min(ejectionTime, timing.BaseEjection*2) {
		t.transition(now, Recovering, t.Cause)
	}
}

func (t *tracker) stepRecovering(now float64, timing Timing, cause Cause) {
	if cause.ejects() {
		t.eject(now, cause)
		return
	}
	t.Capacity = min(1, max(0, now-t.since)/timing.SlowStart)
	if t.Capacity == 1 {
		t.transition(now, Serving, cause)
	}
}

// transition enters a state, unless the zone is already in it, and sets the cause.
func (t *tracker) transition(now float64, state State, cause Cause) {
	if t.State != state {
		t.State, t.since = state, now
	}
	t.Cause = cause
}

// eject takes the zone out of service, immediately or by draining. An ejection during recovery counts as a flap.
func (t *tracker) eject(now float64, cause Cause) {
	if t.State == Recovering {
		t.Flaps = min(t.Flaps+1, maxFlaps)
	}
	if cause.isHard() {
		t.Capacity = 0
		t.transition(now, Ejected, cause)
	} else {
		t.transition(now, Draining, cause)
	}
}

// adjustCapacity updates a serving zone: a lasting degradation reduces its capacity, and a long time of service
// forgives failed recoveries, one at a time.
func (t *tracker) adjustCapacity(now float64, timing Timing, cause Cause) {
	if t.degraded != cause.degrades() {
		t.degraded, t.degradedSince = !t.degraded, now
	}
	t.Cause = cause
	if now-t.degradedSince >= timing.DegradedFor {
		t.Capacity = 1
		if t.degraded {
			t.Capacity = degradedCapacity
		}
	}
	if t.Flaps > 0 && now-t.since > timing.ForgiveAfter {
		t.Flaps, t.since = t.Flaps-1, now
	}
}
