package zones

// This file compares the latency of one zone with its baseline.

// LatencyBaseline tracks the latency of one zone by two moving averages: the recent latency, and a baseline that is
// frozen while the recent latency is far above it.
type LatencyBaseline struct {
	recent   float64 // milliseconds
	baseline float64 // milliseconds
	samples  int
}

const (
	minLatencySamples = 30    // required for a ratio; until then the baseline is the mean
	recentWeight      = 0.05  // of a new sample
	baselineWeight    = 0.002 // of a new sample
	baselineFollows   = 1.8   // the baseline is updated while the recent latency is below this multiple of it
)

// Add records the latency of an answer, in milliseconds.
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

// Ratio returns the recent latency divided by the baseline, or 0 if there are too few samples.
func (b *LatencyBaseline) Ratio() float64 {
	if b.samples < minLatencySamples || b.baseline <= 0 {
		return 0
	}
	return b.recent / b.baseline
}
