package limiter

import "math"

const (
	recentMs     = 1000.0  // over which operations are averaged
	fallMs       = 5000.0  // over which demand falls when fewer come
	idleAfterMs  = 10000.0 // a tenant without operations for so long has no demand
	neverAskedMs = -1e18
)

// demand estimates how many operations a second a tenant's clients ask for. It rises with each operation and falls
// slowly, so that a share isn't given up in a pause.
type demand struct {
	recent float64 // operations a second, averaged over recentMs
	held   float64 // the highest of late, falling
	at     float64 // milliseconds, of the last operation
}

// count notes an operation.
func (d *demand) count(now float64) {
	d.held = d.perSecond(now)
	d.recent = d.recent*math.Exp((d.at-now)/recentMs) + 1000/recentMs
	d.held = max(d.held, d.recent)
	d.at = now
}

// perSecond is the demand now.
func (d *demand) perSecond(now float64) float64 {
	if now-d.at >= idleAfterMs {
		return 0
	}
	return d.held * math.Exp((d.at-now)/fallMs)
}

// idle reports whether there is no demand any more.
func (d *demand) idle(now float64) bool { return now-d.at >= idleAfterMs }
