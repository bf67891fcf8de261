package learned

import "math"

// OpType is an op type as far as hints depend on it.
type OpType struct {
	Name          string
	LatencyTarget float64 // milliseconds
}

// Config has what decisions depend on, from the platform's settings and the operators' file. Times are milliseconds.
type Config struct {
	Name                  string   // of the driver; what another driver learned isn't restored
	OpTypes               []OpType // in the decision module's order
	SaveInterval          float64
	MinSwitchover         float64 // no group's primary changes in less; 0: unknown, so that primaries are never trusted
	WarmUp                float64 // how long a started member is slower than usual; 0: unknown
	StalenessBound        float64 // the tightest of all op types; infinite for none
	SessionsTrackPosition bool    // sessions state up to which position they wrote
}

// A wrong MaxPosition that is within maxReservedLead could only harm by a replica that lags by more than that.
const (
	maxPositionLead   = 100.0  // ms by which a position may lead the clock: members that lead by more are ignored
	reservedIntervals = 2.0    // saves that a reserved position covers: one may be late
	maxReservedLead   = 3600e3 // ms; MaxPosition further ahead came from a wrong clock
	hintInterval      = 10e3   // ms between writes of hints, at least
	minHintChange     = 0.25   // relative change from which a hint is written
	minHintWeight     = 0.05   // weight below which a hint is dropped
	defaultHalfLife   = 10e3   // ms, where the settings name no warm-up
	minWindow         = 2.0    // a window below it is what a driver starts with
	renewalIntervals  = 3.0    // saves without changes after which the timestamp alone is written
)

// trustWindow is the age below which evidence of a primary stands for the present, in milliseconds. A switchover ends
// with a new primary no sooner than MinSwitchover after the old one was last seen as such, so younger evidence can't
// have been overtaken. It applies only where the age is certain.
func (c *Config) trustWindow() float64 { return max(c.MinSwitchover, 0) }

// hintWeight is the weight of a hint of an age in milliseconds, from 1 down to 0.
func (c *Config) hintWeight(age float64) float64 {
	if w := math.Exp2(-max(age, 0) / c.halfLife()); w >= minHintWeight {
		return w
	}
	return 0
}

// halfLife is a member's warm-up: within it a member's speed can become another, by a restart or by its caches. It is
// also how long an ejection is of use: a member that is back for longer is as warm as any, and one that isn't back is
// found out by a single send.
func (c *Config) halfLife() float64 {
	if c.WarmUp > 0 {
		return c.WarmUp
	}
	return defaultHalfLife
}

// savesPositions says whether a position can be of use after a crash: it is at least as old as a save's interval then,
// and must be within the tightest staleness bound.
func (c *Config) savesPositions() bool {
	return c.StalenessBound < math.Inf(1) && c.StalenessBound > c.SaveInterval
}

// reservedPosition is the MaxPosition to reserve at a save: no commit that is acknowledged until the saves to come can
// lie beyond it.
func (c *Config) reservedPosition(now Timestamp) float64 {
	return now.Wall + reservedIntervals*c.SaveInterval + maxPositionLead
}
