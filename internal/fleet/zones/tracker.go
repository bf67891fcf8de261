package zones

// This file owns the state machine of one zone, at the leader: what must last for how long, and one recovery at a time.
// It must never bring back a zone that was just lost, or eject one for what did not last.

import "math"

// Timing says how fast zones are ejected and come back, in milliseconds.
type Timing struct {
	SuspectFor   float64 // an ejecting cause lasts so long before it counts
	DegradedFor  float64 // and slowness, or lagging replicas, before capacity is reduced or restored
	BaseEjection float64 // least time ejected; doubled with each recovery that failed
	MaxEjection  float64 // bounds the doubling
	SlowStart    float64 // of a recovery, from no capacity to all of it
	ForgiveAfter float64 // serving for so long forgets one failed recovery
}

// degradedCapacity is left to a zone that is slow or whose replicas lag.
const degradedCapacity = 0.5

const (
	drainStep = 0.25 // of a zone's capacity that a draining one loses in each step of the leader
	maxFlaps  = 8    // failed recoveries that are counted
)

// tracker is one zone's state machine.
type tracker struct {
	Zone                  // as plans have it, but that Capacity is not rounded here
	since         float64 // when State was entered; while serving, when the last flap was forgiven
	healthySince  float64 // since when no ejecting cause holds; +Inf: one does
	degradedSince float64 // when degraded changed last
	degraded      bool    // the cause seen last degrades
}

// newTracker takes a zone on in the state that the plan gives it; its times begin anew.
func newTracker(now float64, zone Zone) *tracker {
	return &tracker{Zone: zone, since: now, healthySince: now}
}

// step advances the state machine. mayRecover says that no other zone recovers now.
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

// stepDraining takes capacity away step by step. Planned flows follow at their own rate.
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

// stepEjected begins a recovery once the zone has stayed out long enough and been healthy for as long, or twice the
// base time where that is less.
func (t *tracker) stepEjected(now float64, timing Timing, cause Cause, mayRecover bool) {
	if cause.ejects() {
		t.Cause = cause
		return
	}
	stay := min(timing.BaseEjection*math.Exp2(float64(t.Flaps)), timing.MaxEjection)
	if mayRecover && now-t.since >= stay && now-t.healthySince >= min(stay, timing.BaseEjection*2) {
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

// transition enters a state, if it is another one, and takes over its cause.
func (t *tracker) transition(now float64, state State, cause Cause) {
	if t.State != state {
		t.State, t.since = state, now
	}
	t.Cause = cause
}

// eject takes the zone out of service, at once or by draining it. A recovery that ends so counts as a flap.
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

// adjustCapacity keeps a zone serving: degradation that lasts reduces its capacity, and a long time of service forgives
// failed recoveries, one at a time.
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
