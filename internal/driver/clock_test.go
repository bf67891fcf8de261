package driver

import (
	"math"
	"testing"
	"time"
)

func TestClockAdvancesWithTimeSource(t *testing.T) {
	current := time.Now()
	c := newClock(func() time.Time { return current })
	startedAt := c.now()
	if math.Abs(startedAt-float64(current.UnixMicro())/1000) > 0.001 {
		t.Errorf("starts at %f", startedAt)
	}
	current = current.Add(1500 * time.Microsecond)
	if got := c.now() - startedAt; math.Abs(got-1.5) > 0.001 {
		t.Errorf("advanced by %g ms, want 1.5 ms", got)
	}
}
