package limits

// RetryBudget is a token bucket for attempts: each takes a token, and the bucket is refilled at Rate tokens per second,
// up to Burst.
type RetryBudget struct {
	Rate, Burst float64
	tokens      float64 // negative if tokens were reserved in advance
	refilledAt  float64 // milliseconds; never goes back
	started     bool    // the bucket was full at the first use
}

// Reserve takes a token at time now, in milliseconds, and returns how many milliseconds to wait before using it, 0 if
// it can be used at once. Tokens may be reserved in advance: each such reservation makes the next one wait longer.
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
