package learned

import "math"

// OpType describes an op type for the restoring of its hints.
type OpType struct {
	Name          string
	LatencyTarget float64 // milliseconds
}

// Config holds the parameters of saving and restoring, from the platform's settings and the operators' file. Times are
// in milliseconds.
type Config struct {
	Name                  string   // of the driver; the state of another driver isn't restored
	OpTypes               []OpType // in the decision module's order
	SaveInterval          float64
	MinSwitchover         float64 // minimum duration of a primary switchover; 0: unknown, primaries are never trusted
	WarmUp                float64 // how long a member is slow after its start; 0: unknown
	StalenessBound        float64 // the tightest of all op types; infinite if there is none
	SessionsTrackPosition bool    // sessions carry the position of their last write
}

// Limits of positions, hints and saves.
const (
	maxPositionLead   = 100.0 // ms by which a position may lead the clock; members that lead by more are ignored
	reservedIntervals = 2.0   // saves that a reserved position covers, as one may be late
	// maxReservedLead is in milliseconds. A MaxPosition further ahead came from a wrong clock. One within it that is
	// wrong is harmful only if a replica lags by more than that.
	maxReservedLead  = 3600e3
	hintInterval     = 10e3 // ms between writes of hints, at least
	minHintChange    = 0.25 // minimum relative change of a hint that is written
	minHintWeight    = 0.05 // minimum weight of a hint that is used
	defaultHalfLife  = 10e3 // ms, where the settings have no warm-up time
	minWindow        = 2.0  // a smaller window is no better than a driver's initial one
	renewalIntervals = 3.0  // saves without changes after which the timestamp alone is written
)

// trustWindow returns the age, in milliseconds, below which evidence of a primary is taken as current. A switchover
// ends with a new primary no sooner than MinSwitchover after the old one was last seen, so younger evidence can't be
// outdated. It applies only where the age is certain.
func (c *Config) trustWindow() float64 { return max(c.MinSwitchover, 0) }

// hintWeight returns the weight of a hint by its age in milliseconds, from 1 down to 0.
func (c *Config) hintWeight(age float64) float64 {
	if w := math.Exp2(-max(age, 0) / c.halfLife()); w >= minHintWeight {
		return w
	}
	return 0
}

// halfLife returns the warm-up time of a member: a restart, or the filling of caches, changes a member's speed within
// it. It also bounds the use of a saved ejection: a member that has been back for longer is warm again, and a single
// send detects one that isn't back.
func (c *Config) halfLife() float64 {
	if c.WarmUp > 0 {
		return c.WarmUp
	}
	return defaultHalfLife
}

// savesPositions reports whether positions are useful after a crash: they are then at least one save interval old,
// and must be within the tightest staleness bound.
func (c *Config) savesPositions() bool {
	return c.StalenessBound < math.Inf(1) && c.StalenessBound > c.SaveInterval
}

// reservedPosition returns the MaxPosition to reserve at a save: no commit that is acknowledged before the next saves
// lies beyond it.
func (c *Config) reservedPosition(now Timestamp) float64 {
	return now.Wall + reservedIntervals*c.SaveInterval + maxPositionLead
}
