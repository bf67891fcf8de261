package zones

// This file owns how a zone goes from serving to away and back: what must last for how long, and one return at a time.
// It must never bring back a zone that was just lost, or take one out for what did not last.

import "math"

// Pace says how fast zones are taken out and come back.
type Pace struct {
	Doubt    float64 // a loss lasts so long before it counts
	SlowFor  float64 // and slowness, or replicas behind
	Away     float64 // least stay; doubled with each return that failed
	AwayMost float64
	Ramp     float64 // of a return, from nothing to all
	Calm     float64 // serving for so long forgets the failed returns
}

// course is where one zone stands, at who leads.
type course struct {
	Zone
	since float64 // in its state
	well  float64 // since when nothing was wrong; +Inf: something is
	eased float64 // since when it was slow or not, as it is now
	slow  bool
}

// stops says whether a cause takes a zone out. A slow zone, or one whose replicas lag, still carries some: to shut it
// costs more than it saves (docs/zones.md), so that it keeps a part.
func (c Cause) stops() bool { return c != None && c != DriversLost && !c.eases() }

// eases says whether a cause leaves a zone a part of its room.
func (c Cause) eases() bool { return c == Slow || c == Behind }

const easedPart = 0.5

// Of a zone that leaves or returns.
const (
	leaveStep = 0.25 // of its part, each step of the leader
	mostFlaps = 8    // failed returns that are counted
)

// isHard says whether a cause leaves nothing to be carried: the zone is away at once.
func (c Cause) isHard() bool {
	return c == Lost || c == MembersLost || c == RegionLost || c == Isolated
}

// step lets one zone go on. may says that no other one returns now.
func (c *course) step(now float64, p Pace, cause Cause, ordered, may bool) {
	if ordered {
		cause = Evacuated
	}
	stops := cause.stops()
	switch {
	case stops:
		c.well = math.Inf(1)
	case math.IsInf(c.well, 1):
		c.well = now
	}
	switch c.State {
	case Serving:
		switch {
		case !stops:
			c.serve(now, p, cause)
		case ordered:
			c.takeOut(now, cause)
		default:
			c.enter(now, Doubted, cause)
		}
	case Doubted:
		c.Cause = cause
		switch {
		case !stops:
			c.enter(now, Serving, cause)
		case ordered || now-c.since >= p.Doubt:
			c.takeOut(now, cause)
		}
	case Leaving: // shares follow by their own pace; it is away when none is left
		if cause.isHard() {
			c.takeOut(now, cause)
		} else if c.Part = max(0, c.Part-leaveStep); c.Part == 0 {
			c.enter(now, Away, c.Cause)
		}
	case Away:
		stay := min(p.Away*math.Exp2(float64(c.Flaps)), p.AwayMost)
		if stops {
			c.Cause = cause
		} else if may && now-c.since >= stay && now-c.well >= min(stay, p.Away*2) {
			c.enter(now, Returning, c.Cause)
		}
	case Returning:
		if stops {
			c.takeOut(now, cause)
		} else if c.Part = min(1, max(0, now-c.since)/p.Ramp); c.Part == 1 {
			c.enter(now, Serving, cause)
		}
	}
}

// enter makes a state the zone's, from now on where it is another one.
func (c *course) enter(now float64, s State, cause Cause) {
	if c.State != s {
		c.State, c.since = s, now
	}
	c.Cause = cause
}

// takeOut ends serving, at once or step by step.
func (c *course) takeOut(now float64, cause Cause) {
	if c.State == Returning {
		c.Flaps = min(c.Flaps+1, mostFlaps)
	}
	if cause.isHard() {
		c.Part = 0
		c.enter(now, Away, cause)
	} else {
		c.enter(now, Leaving, cause)
	}
}

// serve goes on serving: slowness that lasts leaves a part, and a long calm forgets failed returns.
func (c *course) serve(now float64, p Pace, cause Cause) {
	if c.slow != cause.eases() {
		c.slow, c.eased = !c.slow, now
	}
	if c.Cause = cause; now-c.eased >= p.SlowFor {
		c.Part = 1
		if c.slow {
			c.Part = easedPart
		}
	}
	if c.Flaps > 0 && now-c.since > p.Calm {
		c.Flaps, c.since = c.Flaps-1, now
	}
}
