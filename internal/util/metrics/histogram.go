package metrics

// bucketBounds are the upper bounds of a histogram's buckets, in seconds.
var bucketBounds = [...]float64{0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5}

// Histogram counts observations by bucket. It is not safe for concurrent use; a copy may be passed to other goroutines.
type Histogram struct {
	counts [len(bucketBounds)]uint64 // observations beyond the last bound count in total only
	total  uint64
	sum    float64 // seconds
}

// Observe counts a duration in seconds.
func (h *Histogram) Observe(seconds float64) {
	h.total++
	h.sum += seconds
	for i, bound := range bucketBounds {
		if seconds <= bound {
			h.counts[i]++
			return
		}
	}
}
