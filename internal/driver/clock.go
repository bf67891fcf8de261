package driver

import (
	"time"

	"weirwind/logic"
)

// maxPositionLead is by how many milliseconds a position may lead the clock; one that leads by more is discarded.
const maxPositionLead = 100

// clock counts Unix milliseconds at the start and monotonic time from there on, so that it is never stepped. It is
// also the origin of positions, which are Unix times on sockets: the module's PositionZero is 0 here.
type clock struct {
	read   func() time.Time
	start  time.Time
	unixMs float64
}

func newClock(read func() time.Time) clock {
	now := read()
	return clock{read, now, float64(now.UnixMicro()) / 1000}
}

func (c clock) now() float64 { return c.at(c.read()) }

func (c clock) at(t time.Time) float64 { return c.unixMs + float64(t.Sub(c.start).Microseconds())/1000 }

// observation translates what a member said of itself for the module. What can't be true is left out.
func (c clock) observation(role logic.Role, position float64) logic.Sight {
	if !(position > 0) || position > c.now()+maxPositionLead {
		position = 0
	}
	return logic.Sight{Role: role, Position: position}
}

// wroteAgo translates the position that a session must read from into the time since that write; 0 for none.
func (c clock) wroteAgo(after float64) float64 {
	if after <= 0 {
		return 0
	}
	return max(c.now()-after, 0.001)
}

// duration is a time of the module.
func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }

// milliseconds is a time for the module.
func milliseconds(span time.Duration) float64 { return float64(span) / float64(time.Millisecond) }
