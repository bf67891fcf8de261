package emulator

import (
	"testing"
	"time"
)

// BenchmarkRun runs drivers at ten ops a second each; it fails where a core gets through fewer events a second than
// leastEvents, a fifth of what was measured when it was written.
func BenchmarkRun(b *testing.B) {
	const leastEvents = 60000
	for _, drivers := range []int{10, 100, 400} {
		b.Run(map[int]string{10: "10", 100: "100", 400: "400"}[drivers], func(b *testing.B) {
			events, begin := 0.0, time.Now()
			for b.Loop() {
				s := Setup{
					Drivers:        drivers,
					Groups:         4,
					Members:        10,
					Cores:          4,
					ServiceTime:    20,
					ReplicationLag: 20,
					Duration:       2000,
					Retries:        2,
					Policy:         "module",
					Seed:           1,
				}
				s.Load = float64(drivers) * 10 / 8000
				r, err := Run(s, 1, nil)
				if err != nil || len(r.Violations) > 0 {
					b.Fatal(err, r.Violations)
				}
				events += float64(r.Events)
			}
			rate := events / time.Since(begin).Seconds()
			b.ReportMetric(rate, "events/s")
			if rate < leastEvents {
				b.Errorf("%.0f events a second, at least %d wanted", rate, leastEvents)
			}
		})
	}
}
