package limits

import (
	"math"
	"math/rand/v2"
)

// maxDoublings keeps the limit's exponent within what a float holds, long after Max is reached.
const maxDoublings = 40

// Backoff is the pause after a failed attempt, drawn evenly from nothing up to a limit that doubles with every failure
// in a row (full jitter). Times are milliseconds.
type Backoff struct {
	Base, Max float64 // the limit of the first pause, and of all
	failures  int     // in a row
}

// RecordFailure returns the pause before the next attempt.
func (b *Backoff) RecordFailure(rng *rand.Rand) float64 {
	limit := min(b.Base*math.Pow(2, float64(min(b.failures, maxDoublings))), b.Max)
	b.failures++
	return rng.Float64() * limit
}

// Reset ends a row of failures.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures is how many there have been in a row.
func (b *Backoff) Failures() int { return b.failures }
