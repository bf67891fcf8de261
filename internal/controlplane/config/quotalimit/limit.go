package quotalimit

// minTokenDepth is how many tokens a bucket holds at least, where its limit's burst does: each holder has a part.
const minTokenDepth = 10.0

// Limit is a token bucket.
type Limit struct {
	Rate  float64 // operations a second
	Burst float64 // its depth, in operations
}

// ForTokenLifetime returns the bucket that tokens are to be given out by, where each may be used up to lifetimeMs later: no
// window of windowMs has more operations by it than by l. The depth makes up for it, or where that is too small, the
// rate.
func (l Limit) ForTokenLifetime(lifetimeMs, windowMs float64) Limit {
	lateTokens := l.Rate * lifetimeMs / 1000
	depth := l.Burst - lateTokens
	if minDepth := min(l.Burst, minTokenDepth); depth < minDepth {
		windowAllowance := l.Rate*windowMs/1000 + l.Burst
		return Limit{Rate: (windowAllowance - minDepth) * 1000 / (windowMs + lifetimeMs), Burst: minDepth}
	}
	return Limit{Rate: l.Rate, Burst: depth}
}
