package membershipsim

import "testing"

// BenchmarkCalmSecond measures the processor time per driver for a second of virtual time, among a thousand drivers
// without failures.
func BenchmarkCalmSecond(b *testing.B) {
	s := New(Options{Drivers: 1000, Seed: 1})
	if _, ok := s.startAll(); !ok {
		b.Fatal("no roster")
	}
	s.Run(10000)
	for b.Loop() {
		s.Run(1000)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1000, "us/driver")
	if !s.allComplete() {
		b.Error("not complete")
	}
}
