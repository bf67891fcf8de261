package limiter

import "math"

// tokenTolerance is the part of a token that may be missing, as floating-point sums are not exact.
const tokenTolerance = 1e-9

// bucket is a token bucket: each operation takes a token.
type bucket struct {
	perMs  float64 // tokens a millisecond
	depth  float64
	tokens float64
	at     float64 // milliseconds, when tokens was computed
}

// resize gives the bucket the rate and the depth of a share of a limit. It begins to count with them now: what came in
// until then came by the old ones.
func (b *bucket) resize(limit Limit, share, windowMs, now float64) {
	b.refill(now)
	b.perMs, b.depth = share*limit.Rate/1000, share*limit.Burst
	if b.depth < 1 && share > 0 {
		b.hoardOne(windowMs)
	}
	b.tokens = min(b.tokens, b.depth)
}

// hoardOne lets a bucket that is too shallow for a token hold one, at the cost of its rate: it admits no more in a
// window than before. A bucket that admits less than one operation in a window admits none.
func (b *bucket) hoardOne(windowMs float64) {
	slower := b.perMs - (1-b.depth)/windowMs
	if slower <= 0 {
		b.perMs = 0
		return
	}
	b.perMs, b.depth = slower, 1
}

// refill adds the tokens that came in until now.
func (b *bucket) refill(now float64) {
	if now > b.at {
		b.tokens = min(b.tokens+(now-b.at)*b.perMs, b.depth)
		b.at = now
	}
}

// add puts tokens in, as far as there is room.
func (b *bucket) add(tokens, now float64) {
	b.refill(now)
	if tokens > 0 {
		b.tokens = min(b.tokens+tokens, b.depth)
	}
}

// take takes a token. false: there is none.
func (b *bucket) take(now float64) bool {
	b.refill(now)
	if b.tokens < 1-tokenTolerance {
		return false
	}
	b.tokens--
	return true
}

// due is in how many milliseconds one that waits behind others gets its token; infinite if none ever comes.
func (b *bucket) due(ahead int) float64 {
	missing := float64(ahead+1) - b.tokens
	switch {
	case missing <= 0:
		return 0
	case b.perMs <= 0 || b.depth < 1-tokenTolerance:
		return math.Inf(1)
	}
	return missing / b.perMs
}
