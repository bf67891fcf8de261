package learned

// This file owns the bounds: how old knowledge may be for which use, each derived from what the settings tell and
// the operators add. It must never hold a figure without its reason.

import "math"

// OpType is what matters here of one kind of op.
type OpType struct {
	Name   string
	Target float64 // latency target, milliseconds
}

// Rules are what decisions here go by. Times are milliseconds.
type Rules struct {
	Name            string   // of the driver: what another one learned is not believed
	OpTypes         []OpType // in the module's order
	SaveEvery       float64  // between two saves
	SwitchLeast     float64  // no group's primary changes in less
	ColdFor         float64  // a member that has started is as quick as ever after so long
	Bound           float64  // the tightest bound on the age of data; infinite for none
	SessionsCarried bool     // sessions say themselves what they wrote
}

const (
	clockSlack   = 100.0  // two clocks of one machine, read one after the other, differ by less
	aheadMost    = 100.0  // a position may lead the clock by so much: the service drops those that lead by more
	reserveTimes = 2.0    // ceilings hold for so many saves: one may be late
	reserveMost  = 3600e3 // a ceiling further ahead is a clock that was wrong: only replicas that lag by more could harm
	hintEvery    = 10e3   // hints are worth a write so often at the most
	hintChange   = 0.25   // and when they have changed by such a share
	hintLeast    = 0.05   // a hint that has faded to such a weight is none
	fadeDefault  = 10e3   // where the settings tell of no cold start
	windowLeast  = 2.0    // a window under that is what a driver starts with
	pauseTimes   = 3.0    // a moment is renewed after so many saves in which nothing changed
)

// trust is how young evidence of a primary must be to stand for the present. A switch ends in a new primary no sooner
// than SwitchLeast after the old one was last seen as such, so what is younger can't have been overtaken.
// It counts only with an age that was measured by a clock that nobody steps.
func (r *Rules) trust() float64 { return max(r.SwitchLeast, 0) }

// fade is the weight of a hint so old. Its half-life is a cold member's warm-up: in that time a member can become
// another as to speed, be it by starting or by its caches.
func (r *Rules) fade(age float64) float64 {
	if w := math.Exp2(-max(age, 0) / r.warmUp()); w >= hintLeast {
		return w
	}
	return 0
}

// warmUp is how long a cold start lasts. For so long it is also of use that a member was set aside: one that is back
// after longer is as warm as any, and one that is not is found out by a single send.
func (r *Rules) warmUp() float64 {
	if r.ColdFor > 0 {
		return r.ColdFor
	}
	return fadeDefault
}

// positionsKept says whether a position can still serve after a kill: it must be younger than the tightest bound,
// and is as old as a save at the least.
func (r *Rules) positionsKept() bool { return r.Bound < math.Inf(1) && r.Bound > r.SaveEvery }

// reserve is the ceiling to be held from a moment on: the position that no commit answered for until the next
// saves can lie beyond.
func (r *Rules) reserve(now Moment) float64 {
	return now.Wall + reserveTimes*r.SaveEvery + aheadMost
}

// passage is how much time lies between two moments, and how that is known.
type passage struct {
	ms      float64
	sure    bool // measured by a clock that is not stepped
	stepped bool // the wall clock was
	future  bool // the later moment lies before the earlier one, by all that can be told
}

// between finds the time from a moment of an earlier run to one of this.
func between(then, now Moment) passage {
	wall := now.Wall - then.Wall
	if then.Boot != "" && then.Boot == now.Boot && now.Up >= then.Up {
		up := now.Up - then.Up
		return passage{ms: up, sure: true, stepped: math.Abs(wall-up) > clockSlack}
	}
	if wall < -clockSlack {
		return passage{future: true}
	}
	return passage{ms: max(wall, 0)}
}
