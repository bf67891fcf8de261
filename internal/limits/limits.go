// Package limits decides how often something may be tried again: pauses with full jitter, and a budget that many
// tries share. It does no I/O and reads no clock. It must never let two users with different seeds act as one,
// and never allow more than its budget, whatever is asked of it.
package limits

import (
	"math"
	"math/rand/v2"
)

// Pauses are the pauses between tries that failed: drawn evenly from nothing up to a limit that doubles with every
// failure in a row (full jitter), so that many users that failed together spread out. Times are milliseconds.
type Pauses struct {
	Least, Most float64 // the limit of the first pause, and of all
	row         int
}

// Failed gives the pause before the next try.
func (p *Pauses) Failed(draw *rand.Rand) float64 {
	limit := min(p.Least*math.Pow(2, float64(min(p.row, 40))), p.Most)
	p.row++
	return draw.Float64() * limit
}

// Done ends a row of failures.
func (p *Pauses) Done() { p.row = 0 }

// Row is how many failures there have been in a row.
func (p *Pauses) Row() int { return p.row }

// Budget is a bucket of tries: each costs one, and Rate come back a second, up to Most.
type Budget struct {
	Rate, Most float64
	left, at   float64
	begun      bool
}

// Take takes one try, now being in milliseconds, and gives how long to wait for it, 0 for not at all. What is
// taken ahead is owed: the next one waits longer.
func (b *Budget) Take(now float64) (wait float64) {
	if !b.begun {
		b.left, b.at, b.begun = b.Most, now, true
	}
	b.left = min(b.left+max(now-b.at, 0)/1000*b.Rate, b.Most)
	b.at = max(now, b.at)
	b.left--
	if b.left >= 0 {
		return 0
	}
	return -b.left / b.Rate * 1000
}
