package zones

// This file owns the latency of one zone against its baseline.

// LatencyBaseline follows the latencies of one zone by two moving averages: recent ones, and a baseline, which does not
// follow while recent ones are far off.
type LatencyBaseline struct {
	recent   float64 // milliseconds
	baseline float64 // milliseconds
	samples  int
}

const (
	minLatencySamples = 30    // before anything is said; up to there the baseline is the mean
	recentWeight      = 0.05  // of a new sample
	baselineWeight    = 0.002 // of a new sample
	baselineFollows   = 1.8   // recent latencies up to so many times the baseline move it
)

// Add takes the latency of an answer, in milliseconds.
func (b *LatencyBaseline) Add(ms float64) {
	if b.samples++; b.samples == 1 {
		b.recent, b.baseline = ms, ms
	}
	b.recent += recentWeight * (ms - b.recent)
	if b.samples <= minLatencySamples {
		b.baseline += (ms - b.baseline) / float64(b.samples)
	} else if b.recent < baselineFollows*b.baseline {
		b.baseline += baselineWeight * (ms - b.baseline)
	}
}

// Ratio is the recent latency over the baseline; 0 while there were too few answers.
func (b *LatencyBaseline) Ratio() float64 {
	if b.samples < minLatencySamples || b.baseline <= 0 {
		return 0
	}
	return b.recent / b.baseline
}
