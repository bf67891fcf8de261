package limits

import (
	"math"
	"math/rand/v2"
)

// maxDoublings bounds the exponent, so that the limit can't overflow; Max is reached long before.
const maxDoublings = 40

// Backoff computes the pause after a failed attempt: uniformly random from 0 up to a limit that doubles with every
// consecutive failure (exponential backoff with full jitter). Times are milliseconds.
type Backoff struct {
	Base, Max float64 // the limits of the first pause and of all pauses
	failures  int     // consecutive failures
}

// RecordFailure records a failure and returns the pause before the next attempt.
func (b *Backoff) RecordFailure(rng *rand.Rand) float64 {
	limit := min(b.Base*math.Pow(2, float64(min(b.failures, maxDoublings))), b.Max)
	b.failures++
	return rng.Float64() * limit
}

// Reset records a success, which ends a sequence of failures.
func (b *Backoff) Reset() { b.failures = 0 }

// Failures returns the number of consecutive failures.
func (b *Backoff) Failures() int { return b.failures }
