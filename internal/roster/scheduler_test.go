package roster

import "testing"

// A source responds, breaks, compacts, lags, rejects calls, and is down for an hour.
func TestScheduler(t *testing.T) {
	scheduler := NewScheduler(SchedulerOptions{Endpoints: 3, Drivers: 500, Seed: 7})
	if call := scheduler.Next(0, false); call.Kind != CallRead || call.Delay != 0 {
		t.Fatalf("first call is %+v", call)
	}
	scheduler.CallEnded(0, CallRead, CallSucceeded, true)
	if call := scheduler.Next(41, true); call.Kind != CallWatch || call.Revision != 42 || call.Delay != 0 {
		t.Fatalf("second call is %+v", call)
	}
	scheduler.CallEnded(100, CallWatch, CallBroken, true) // a short interruption: the watch resumes soon, at another endpoint
	call := scheduler.Next(50, true)
	first := NewScheduler(SchedulerOptions{Endpoints: 3, Seed: 7}).endpoint
	if call.Kind != CallWatch || call.Revision != 51 || call.Delay > minBackoff || call.Endpoint == first {
		t.Fatalf("resumes with %+v", call)
	}
	scheduler.CallEnded(200, CallWatch, CallCompacted, true)
	if call = scheduler.Next(50, true); call.Kind != CallRead || call.Delay > 500/fleetReadRate*1000 {
		t.Fatalf("after a compaction: %+v", call)
	}
	scheduler.CallEnded(300, CallRead, CallStale, true)
	if call = scheduler.Next(50, true); call.Kind != CallRead || !call.Linearizable {
		t.Fatalf("after a stale read: %+v", call)
	}
	scheduler.CallEnded(400, CallRead, CallRejected, false)
	if call = scheduler.Next(50, true); call.Delay < rejectedDelay/2 {
		t.Fatalf("rejected: %+v", call)
	}
	now, calls := 1000.0, 0 // down for an hour: few calls at any time
	for now < 3600e3 {
		call = scheduler.Next(50, true)
		now += call.Delay + 1
		scheduler.CallEnded(now, call.Kind, CallBroken, false)
		calls++
	}
	if calls > 3600 || calls < 300 {
		t.Errorf("%d calls in an hour without a response", calls)
	}
}

// 1000 drivers lose the registry at once, and it returns without its history: their reads must be spread out.
func TestReconnectingDriversSpreadReads(t *testing.T) {
	perSecond := map[int]int{}
	for seed := range uint64(1000) {
		scheduler := NewScheduler(SchedulerOptions{Endpoints: 3, Drivers: 1000, Seed: seed})
		scheduler.Next(0, false)
		scheduler.CallEnded(0, CallRead, CallSucceeded, true)
		now, kind := 0.0, CallWatch
		scheduler.CallEnded(0, CallWatch, CallBroken, true)
		for {
			call := scheduler.Next(41, true)
			now, kind = now+call.Delay, call.Kind
			if now < 20000 { // still down
				scheduler.CallEnded(now, kind, CallBroken, false)
				continue
			}
			if kind == CallWatch {
				scheduler.CallEnded(now, kind, CallCompacted, false)
				continue
			}
			perSecond[int(now/1000)]++
			break
		}
	}
	peak := 0
	for _, n := range perSecond {
		peak = max(peak, n)
	}
	t.Logf("peak reads per second: %d, in %d seconds", peak, len(perSecond))
	if peak > 150 {
		t.Errorf("%d reads in one second", peak)
	}
}
