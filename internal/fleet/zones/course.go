package zones

// This file owns how a zone goes from serving to away and back: what must last for how long, and one return at a time.
// It must never bring back a zone that was just lost, or take one out for what did not last.

import "math"

// Timing says how fast zones are taken out and come back.
type Timing struct {
	SuspectFor   float64 // a loss lasts so long before it counts
	DegradedFor  float64 // and slowness, or replicas behind
	BaseEjection float64 // least stay; doubled with each return that failed
	MaxEjection  float64
	SlowStart    float64 // of a return, from nothing to all
	ForgiveAfter float64 // serving for so long forgets the failed returns
}

// course is where one zone stands, at who leads.
type tracker struct {
	Zone
	since float64 // in its state
	healthySince  float64 // since when nothing was wrong; +Inf: something is
	degradedSince float64 // since when it was slow or not, as it is now
	degraded  bool
}

// stops says whether a cause takes a zone out. A slow zone, or one whose replicas lag, still carries some: to shut it
// costs more than it saves (docs/zones.md), so that it keeps a part.
func (c Cause) ejects() bool { return c != NoCause && c != DriversLost && !c.degrades() }

// eases says whether a cause leaves a zone a part of its room.
func (c Cause) degrades() bool { return c == Slow || c == Lagging }

const degradedCapacity = 0.5

// Of a zone that leaves or returns.
const (
	drainStep = 0.25 // of its part, each step of the leader
	maxFlaps = 8    // failed returns that are counted
)

// isHard says whether a cause leaves nothing to be carried: the zone is away at once.
func (c Cause) isHard() bool {
	return c == ZoneLost || c == MembersLost || c == RegionLost || c == Isolated
}

// step lets one zone go on. may says that no other one returns now.
func (c *tracker) step(now float64, p Timing, cause Cause, ordered, may bool) {
	if ordered {
		cause = Evacuated
	}
	stops := cause.ejects()
	switch {
	case stops:
		c.healthySince = math.Inf(1)
	case math.IsInf(c.healthySince, 1):
		c.healthySince = now
	}
	switch c.State {
	case Serving:
		switch {
		case !stops:
			c.serve(now, p, cause)
		case ordered:
			c.eject(now, cause)
		default:
			c.transition(now, Suspected, cause)
		}
	case Suspected:
		c.Cause = cause
		switch {
		case !stops:
			c.transition(now, Serving, cause)
		case ordered || now-c.since >= p.SuspectFor:
			c.eject(now, cause)
		}
	case Draining: // shares follow by their own pace; it is away when none is left
		if cause.isHard() {
			c.eject(now, cause)
		} else if c.Capacity = max(0, c.Capacity-drainStep); c.Capacity == 0 {
			c.transition(now, Ejected, c.Cause)
		}
	case Ejected:
		stay := min(p.BaseEjection*math.Exp2(float64(c.Flaps)), p.MaxEjection)
		if stops {
			c.Cause = cause
		} else if may && now-c.since >= stay && now-c.healthySince >= min(stay, p.BaseEjection*2) {
			c.transition(now, Recovering, c.Cause)
		}
	case Recovering:
		if stops {
			c.eject(now, cause)
		} else if c.Capacity = min(1, max(0, now-c.since)/p.SlowStart); c.Capacity == 1 {
			c.transition(now, Serving, cause)
		}
	}
}

// enter makes a state the zone's, from now on where it is another one.
func (c *tracker) transition(now float64, s State, cause Cause) {
	if c.State != s {
		c.State, c.since = s, now
	}
	c.Cause = cause
}

// takeOut ends serving, at once or step by step.
func (c *tracker) eject(now float64, cause Cause) {
	if c.State == Recovering {
		c.Flaps = min(c.Flaps+1, maxFlaps)
	}
	if cause.isHard() {
		c.Capacity = 0
		c.transition(now, Ejected, cause)
	} else {
		c.transition(now, Draining, cause)
	}
}

// serve goes on serving: slowness that lasts leaves a part, and a long calm forgets failed returns.
func (c *tracker) serve(now float64, p Timing, cause Cause) {
	if c.degraded != cause.degrades() {
		c.degraded, c.degradedSince = !c.degraded, now
	}
	if c.Cause = cause; now-c.degradedSince >= p.DegradedFor {
		c.Capacity = 1
		if c.degraded {
			c.Capacity = degradedCapacity
		}
	}
	if c.Flaps > 0 && now-c.since > p.ForgiveAfter {
		c.Flaps, c.since = c.Flaps-1, now
	}
}
