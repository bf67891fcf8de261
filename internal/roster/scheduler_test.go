package roster

import "testing"

// The calls to a source that answers, breaks, compacts, lags, rejects, and is down for an hour.
func TestScheduler(t *testing.T) {
	c := NewScheduler(SchedulerOptions{Endpoints: 3, Drivers: 500, Seed: 7})
	if call := c.Next(0, false); call.Kind != CallRead || call.Delay != 0 {
		t.Fatalf("begins with %+v", call)
	}
	c.CallEnded(0, CallRead, CallSucceeded, true)
	if call := c.Next(41, true); call.Kind != CallWatch || call.Revision != 42 || call.Delay != 0 {
		t.Fatalf("goes on with %+v", call)
	}
	c.CallEnded(100, CallWatch, CallBroken, true) // a blip: the watch resumes, elsewhere, soon
	call := c.Next(50, true)
	first := NewScheduler(SchedulerOptions{Endpoints: 3, Seed: 7}).endpoint
	if call.Kind != CallWatch || call.Revision != 51 || call.Delay > minBackoff || call.Endpoint == first {
		t.Fatalf("resumes with %+v", call)
	}
	c.CallEnded(200, CallWatch, CallCompacted, true)
	if call = c.Next(50, true); call.Kind != CallRead || call.Delay > 500/fleetReadRate*1000 {
		t.Fatalf("after a compaction: %+v", call)
	}
	c.CallEnded(300, CallRead, CallStale, true)
	if call = c.Next(50, true); call.Kind != CallRead || !call.Linearizable {
		t.Fatalf("after a stale read: %+v", call)
	}
	c.CallEnded(400, CallRead, CallRejected, false)
	if call = c.Next(50, true); call.Delay < rejectedDelay/2 {
		t.Fatalf("rejected: %+v", call)
	}
	at, calls := 1000.0, 0 // down for an hour: few calls, and never a storm
	for at < 3600e3 {
		call = c.Next(50, true)
		at += call.Delay + 1
		c.CallEnded(at, call.Kind, CallBroken, false)
		calls++
	}
	if calls > 3600 || calls < 300 {
		t.Errorf("%d calls in an hour without an answer", calls)
	}
}

// 1000 drivers lose the registry at once, and it comes back without its history: their reads are spread out.
func TestThousandDriversComeBack(t *testing.T) {
	perSecond := map[int]int{}
	for seed := range uint64(1000) {
		c := NewScheduler(SchedulerOptions{Endpoints: 3, Drivers: 1000, Seed: seed})
		c.Next(0, false)
		c.CallEnded(0, CallRead, CallSucceeded, true)
		at, kind := 0.0, CallWatch
		c.CallEnded(0, CallWatch, CallBroken, true)
		for {
			call := c.Next(41, true)
			at, kind = at+call.Delay, call.Kind
			if at < 20000 { // still down
				c.CallEnded(at, kind, CallBroken, false)
				continue
			}
			if kind == CallWatch {
				c.CallEnded(at, kind, CallCompacted, false)
				continue
			}
			perSecond[int(at/1000)]++
			break
		}
	}
	peak := 0
	for _, n := range perSecond {
		peak = max(peak, n)
	}
	t.Logf("reads a second at the peak: %d, in %d seconds", peak, len(perSecond))
	if peak > 150 {
		t.Errorf("%d reads in a second", peak)
	}
}
