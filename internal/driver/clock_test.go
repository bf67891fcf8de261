package driver

import (
	"math"
	"testing"
	"time"
)

func TestClockRunsOnFromItsStart(t *testing.T) {
	at := time.Now()
	c := newClock(func() time.Time { return at })
	began := c.now()
	if math.Abs(began-float64(at.UnixMicro())/1000) > 0.001 {
		t.Errorf("starts at %f", began)
	}
	at = at.Add(1500 * time.Microsecond)
	if got := c.now() - began; math.Abs(got-1.5) > 0.001 {
		t.Errorf("1.5 ms later it is %g ms later", got)
	}
}
