package limits

// RetryBudget is a token bucket of attempts: each takes a token, and Rate tokens come back a second, up to Burst.
type RetryBudget struct {
	Rate, Burst float64
	tokens      float64 // below zero by what is reserved ahead
	refilledAt  float64 // milliseconds; never goes back
	started     bool    // the bucket was full at the first use
}

// Reserve takes a token at a time in milliseconds, and returns how many milliseconds to wait before it may be used, 0
// for none. What is reserved ahead is owed: the next attempt waits longer.
func (b *RetryBudget) Reserve(now float64) (wait float64) {
	if !b.started {
		b.tokens, b.refilledAt, b.started = b.Burst, now, true
	}
	b.tokens = min(b.tokens+max(now-b.refilledAt, 0)/1000*b.Rate, b.Burst)
	b.refilledAt = max(now, b.refilledAt)
	b.tokens--
	if b.tokens >= 0 {
		return 0
	}
	return -b.tokens / b.Rate * 1000
}
