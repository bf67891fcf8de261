package membershipsim

import (
	"testing"

	"weirwind/internal/fleet/membership"
)

// What a second of virtual time costs a driver among a thousand that are well.
func BenchmarkCalmSecond(b *testing.B) {
	f := New(Options{Drivers: 1000, Seed: 1})
	if _, ok := f.startAll(); !ok {
		b.Fatal("no roster")
	}
	f.Run(10000)
	for b.Loop() {
		f.Run(1000)
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N)/1000, "us/driver")
	if !f.allHaveStatus(membership.Complete, nil) {
		b.Error("not whole")
	}
}
