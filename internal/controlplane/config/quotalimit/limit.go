package quotalimit

// minTokenDepth is the minimum depth of a bucket in tokens, unless the limit's burst is lower. The depth is divided
// among the holders of tokens.
const minTokenDepth = 10.0

// Limit holds the parameters of a token bucket.
type Limit struct {
	Rate  float64 // operations per second
	Burst float64 // depth of the bucket, in operations
}

// ForTokenLifetime returns the bucket from which tokens are issued if each may be used up to lifetimeMs after it was
// issued: within any window of windowMs, no more operations are made with its tokens than l allows. To compensate for
// late use, the depth is reduced, or where it would become too small, the rate.
func (l Limit) ForTokenLifetime(lifetimeMs, windowMs float64) Limit {
	lateTokens := l.Rate * lifetimeMs / 1000
	depth := l.Burst - lateTokens
	if minDepth := min(l.Burst, minTokenDepth); depth < minDepth {
		windowAllowance := l.Rate*windowMs/1000 + l.Burst
		return Limit{Rate: (windowAllowance - minDepth) * 1000 / (windowMs + lifetimeMs), Burst: minDepth}
	}
	return Limit{Rate: l.Rate, Burst: depth}
}
