package soak

import (
	"testing"
	"time"

	"weirwind/internal/member/wire"
	"weirwind/internal/standin/replicaset"
)

var longShape = Shape{Cores: 3, Fronts: 4, Clients: 8, Horizon: 5 * time.Minute, MeanGap: time.Second}

// A schedule is determined by its seed, differs from that of another seed, and has no faults if it is planned only.
func TestScheduleIsDeterminedBySeed(t *testing.T) {
	kinds, planned := map[Kind]int{}, 0
	for seed := range uint64(20) {
		s := Generate(seed, longShape)
		if again := Generate(seed, longShape).String(); again != s.String() || Generate(seed+1, longShape).String() == again {
			t.Errorf("seed %d: the schedule differs between calls, or equals that of the next seed\n%s\n%s", seed, s, again)
		}
		for _, e := range s.Events {
			kinds[e.Kind]++
			if s.PlannedOnly && e.Kind.IsFault() {
				t.Errorf("seed %d: planned work only, but has %v", seed, e)
			}
		}
		if s.PlannedOnly {
			planned++
		}
	}
	if len(kinds) != 10 || planned < 4 || planned > 16 {
		t.Errorf("%v, %d of 20 planned", kinds, planned)
	}
}

// Only one core machine at a time is disturbed, unless all are killed, and it counts as lost for a while afterwards.
// Only one member at a time is disturbed.
func TestScheduleKeepsQuorums(t *testing.T) {
	for seed := range uint64(50) {
		coreFreeAt, memberFreeAt := time.Duration(0), time.Duration(0)
		for _, e := range Generate(seed, longShape).Events {
			switch {
			case e.Kind == KindCrash || e.Kind == KindRelease || e.Kind == KindPartition:
				if e.At < memberFreeAt {
					t.Errorf("seed %d: %v, and another member until %v", seed, e, memberFreeAt)
				}
				memberFreeAt = e.At + e.Duration
			case e.Kind != KindHangup && len(e.Targets) > 0 && e.Kind != KindLag && machine(e.Targets[0])[:4] == prefixCore:
				if e.At < coreFreeAt {
					t.Errorf("seed %d: %v, and another core machine until %v", seed, e, coreFreeAt)
				}
				coreFreeAt = e.At + e.Duration + catchupTime + time.Duration(len(e.Targets)-1)*e.Interval
			}
		}
	}
}

// The ledger detects violations of the invariants of reads and writes.
func TestLedgerFindsFaults(t *testing.T) {
	log := []replicaset.Entry{{Term: 1, Number: 1, ID: "w1"}, {Term: 1, Number: 2, ID: "w2"}}
	for name, c := range map[string]struct {
		record    func(*ledger)
		violation string
	}{
		"no violation":       {func(*ledger) {}, ""},
		"a read sees it":     {func(l *ledger) { l.beginRead("r", "prim", l.newestBefore(time.Now())); l.Read("r", log) }, ""},
		"a stale read":       {func(l *ledger) { l.beginRead("r", "prim", l.newestBefore(time.Now())); l.Read("r", log[:1]) }, "stale"},
		"another's log":      {func(l *ledger) { l.beginRead("r", "prim", l.newestBefore(time.Now())); l.Read("r", log[1:]) }, "stale"},
		"a write is lost":    {func(l *ledger) { l.recordSent("w3"); l.resolve("w3", outcomeAcked) }, "lost write"},
		"a refused one kept": {func(l *ledger) { l.resolve("w2", outcomeRefused) }, "refused"},
		"rolled back, kept":  {func(l *ledger) { l.resolve("w2", outcomeRollback) }, "unasked"},
		"nobody's write":     {func(l *ledger) { delete(l.outcomes, "w1") }, "unasked"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			for _, e := range log {
				l.recordSent(e.ID)
				l.Committed(e.ID, wire.Position{Term: e.Term, Number: e.Number})
				l.resolve(e.ID, outcomeAcked)
			}
			c.record(l)
			l.auditLog(log, nil)
			if found := len(l.violations[c.violation]) > 0; found != (c.violation != "") || len(l.violations) > 1 {
				t.Errorf("%v", l.violations)
			}
		})
	}
	l := newLedger()
	l.recordSent("w1")
	l.auditLog([]replicaset.Entry{log[0], log[0]}, nil)
	if len(l.violations["twice"]) != 1 || len(l.violations) != 1 {
		t.Errorf("%v", l.violations)
	}
}

// A commit that a promoted member lacked is lost, also if the log has it in the end, once its client was told of success.
// A member's acknowledgement that no proxy passed on is an unclear end.
func TestLedgerFindsCommitsMissingAtPromote(t *testing.T) {
	log := []replicaset.Entry{{Term: 1, Number: 1, ID: "w1"}}
	for _, c := range []struct {
		outcome    outcome
		violations int
	}{{outcomeAcked, 1}, {outcomeUnknown, 0}} {
		l := newLedger()
		l.recordSent("w1")
		l.resolve("w1", c.outcome)
		l.auditLog(log, []string{"w1"})
		if len(l.violations["lost write"]) != c.violations || len(l.violations) != c.violations {
			t.Errorf("outcome %d: %v", c.outcome, l.violations)
		}
	}
}

// The last state of a process that was late has its last events and its main goroutine.
func TestLastState(t *testing.T) {
	log := "1 proxy E101\n2 proxy E102\nSIGQUIT: quit\nPC=0x1\n\ngoroutine 0 [idle]:\nx()\n\ngoroutine 1 [sleep]:\nmain()\n\ngoroutine 2:\n"
	for text, want := range map[string]string{
		log:      "1 proxy E101\n2 proxy E102\ngoroutine 1 [sleep]:\nmain()",
		log[:25]: "1 proxy E101\n2 proxy E102\ngoroutine 1 ",
	} {
		if got := lastState(text); got != want {
			t.Errorf("%q, not %q", got, want)
		}
	}
}

// A thread that was ready and didn't run was starved, whether its wait has ended or not; one that slept was not.
func TestStarvationIsDetected(t *testing.T) {
	const second, half = time.Second, time.Second / 2
	for name, c := range map[string]struct {
		before, after thread
		want          time.Duration
	}{
		"it slept":      {thread{ran: 1, timeslices: 1}, thread{ran: 1, timeslices: 1}, 0},
		"it ran":        {thread{ran: 1, timeslices: 1, ready: true}, thread{ran: second, timeslices: 1, ready: true}, 0},
		"it waits":      {thread{ran: 1, timeslices: 1, ready: true}, thread{ran: 1, timeslices: 1, ready: true}, second},
		"it has waited": {thread{waited: 1, timeslices: 1}, thread{waited: 1 + half, timeslices: 2}, half},
	} {
		if got := longestWait(map[string]thread{"1": c.before}, map[string]thread{"1": c.after}, second); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}

// Schedules with core cuts have pairs of cuts that begin within maxCoreCutGap, some with a kill of the core's leader or a
// restarting replica between them; only one pair at a time is under way.
func TestScheduleOfCoreCuts(t *testing.T) {
	shape := longShape
	shape.CoreCuts, shape.Restarts = true, true
	kinds := map[Kind]int{}
	for seed := range uint64(20) {
		freeAt := time.Duration(0)
		for _, e := range Generate(seed, shape).Events {
			kinds[e.Kind]++
			if e.Kind != KindCoreCut {
				continue
			}
			if e.At < freeAt || e.Interval > maxCoreCutGap {
				t.Errorf("seed %d: %v, and another pair until %v", seed, e, freeAt)
			}
			freeAt = e.At + e.Interval + e.Duration
		}
	}
	if kinds[KindCoreCut] < 300 || kinds[KindKill] < 50 || kinds[KindCrash] < 100 || kinds[KindRestart] < 300 {
		t.Errorf("%v", kinds)
	}
}
