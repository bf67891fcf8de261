package emulator

import (
	"testing"
	"time"
)

// BenchmarkRun runs drivers at ten ops per second each; it fails if a core executes fewer events per second than
// minEventRate, which leaves a factor of five for slower machines.
func BenchmarkRun(b *testing.B) {
	const minEventRate = 60000 // events per second
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
			if rate < minEventRate {
				b.Errorf("%.0f events per second, want at least %d", rate, minEventRate)
			}
		})
	}
}
