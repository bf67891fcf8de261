package limiter

import "math"

const (
	averagingMs = 1000.0  // time constant of the average rate
	decayMs     = 5000.0  // time constant by which the peak decays
	idleAfterMs = 10000.0 // a tenant without operations for this long has no demand
	neverMs     = -1e18   // time of the last operation of a tenant that never had one
)

// demand estimates how many operations a second a tenant's clients ask for. It rises with each operation and decays
// slowly, so that a share isn't given up in a pause.
type demand struct {
	recentRate      float64 // operations a second, averaged over averagingMs
	peakRate        float64 // operations a second: the highest recentRate, decaying over decayMs
	lastOperationAt float64 // milliseconds
}

// count records an operation.
func (d *demand) count(now float64) {
	d.peakRate = d.perSecond(now)
	d.recentRate = d.recentRate*math.Exp((d.lastOperationAt-now)/averagingMs) + 1000/averagingMs
	d.peakRate = max(d.peakRate, d.recentRate)
	d.lastOperationAt = now
}

// perSecond returns the present demand in operations a second.
func (d *demand) perSecond(now float64) float64 {
	if now-d.lastOperationAt >= idleAfterMs {
		return 0
	}
	return d.peakRate * math.Exp((d.lastOperationAt-now)/decayMs)
}

// idle reports whether there has been no operation for idleAfterMs.
func (d *demand) idle(now float64) bool { return now-d.lastOperationAt >= idleAfterMs }
