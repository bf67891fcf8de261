package driver

import (
	"time"

	"weirwind/logic"
)

// maxPositionLead is how many milliseconds a position may be ahead of the clock; positions further ahead are discarded.
const maxPositionLead = 100

// clock returns Unix milliseconds: the wall time of its start plus the monotonic time since, so that it is never
// stepped. Positions on sockets are Unix times too, so the module's PositionZero is 0.
type clock struct {
	timeSource  func() time.Time
	start       time.Time
	startUnixMs float64
}

func newClock(timeSource func() time.Time) clock {
	now := timeSource()
	return clock{timeSource, now, float64(now.UnixMicro()) / 1000}
}

func (c clock) now() float64 { return c.at(c.timeSource()) }

func (c clock) at(t time.Time) float64 {
	return c.startUnixMs + float64(t.Sub(c.start).Microseconds())/1000
}

// observation converts a role and position reported by a member for the module. Implausible positions are dropped.
func (c clock) observation(role logic.Role, position float64) logic.Sight {
	if !(position > 0) || position > c.now()+maxPositionLead {
		position = 0
	}
	return logic.Sight{Role: role, Position: position}
}

// wroteAgo converts the position that a session's read must reach into the time since that write; 0 if there is none.
func (c clock) wroteAgo(position float64) float64 {
	if position <= 0 {
		return 0
	}
	return max(c.now()-position, 0.001)
}

// duration converts a time of the module.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// milliseconds converts a time for the module.
func milliseconds(interval time.Duration) float64 {
	return float64(interval) / float64(time.Millisecond)
}
