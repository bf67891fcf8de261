package limiter

import "math"

// tokenTolerance is the fraction of a token that may be missing, as floating-point sums are not exact.
const tokenTolerance = 1e-9

// bucket is a token bucket: each operation takes a token.
type bucket struct {
	ratePerMs  float64 // tokens a millisecond
	depth      float64
	tokens     float64
	refilledAt float64 // milliseconds
}

// resize sets the bucket's rate and depth to a share of a limit. They apply from now on: tokens earned until now are
// added at the old rate.
func (b *bucket) resize(limit Limit, share, windowMs, now float64) {
	b.refill(now)
	b.ratePerMs, b.depth = share*limit.Rate/1000, share*limit.Burst
	if b.depth < 1 && share > 0 {
		b.deepenToOneToken(windowMs)
	}
	b.tokens = min(b.tokens, b.depth)
}

// deepenToOneToken gives a bucket that is too shallow for a token a depth of one, and reduces its rate so that it
// admits no more in a window than before. A bucket that admits less than one operation in a window admits none.
func (b *bucket) deepenToOneToken(windowMs float64) {
	reducedRate := b.ratePerMs - (1-b.depth)/windowMs
	if reducedRate <= 0 {
		b.ratePerMs = 0
		return
	}
	b.ratePerMs, b.depth = reducedRate, 1
}

// refill adds the tokens earned since the last refill.
func (b *bucket) refill(now float64) {
	if now > b.refilledAt {
		b.tokens = min(b.tokens+(now-b.refilledAt)*b.ratePerMs, b.depth)
		b.refilledAt = now
	}
}

// add adds tokens, up to the depth.
func (b *bucket) add(tokens, now float64) {
	b.refill(now)
	if tokens > 0 {
		b.tokens = min(b.tokens+tokens, b.depth)
	}
}

// take removes a token, and reports whether there was one.
func (b *bucket) take(now float64) bool {
	b.refill(now)
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens--
	return true
}

// delayMs returns in how many milliseconds the next waiter after some others gets its token, +Inf for never.
func (b *bucket) delayMs(ahead int) float64 {
	missing := float64(ahead+1) - b.tokens
	switch {
	case missing <= 0:
		return 0
	case b.ratePerMs <= 0 || b.depth < 1-tokenTolerance:
		return math.Inf(1)
	}
	return missing / b.ratePerMs
}
