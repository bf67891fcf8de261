package soak

import (
	"testing"
	"time"

	"weirwind/internal/member/wire"
	"weirwind/internal/standin/replicaset"
)

var long = Shape{Cores: 3, Fronts: 4, Clients: 8, Horizon: 5 * time.Minute, MeanGap: time.Second}

// A seed's schedule is the same each time, another seed's is another one, and planned ones have no faults.
func TestScheduleIsItsSeeds(t *testing.T) {
	kinds, planned := map[Kind]int{}, 0
	for seed := range uint64(20) {
		s := Draw(seed, long)
		if again := Draw(seed, long).String(); again != s.String() || Draw(seed+1, long).String() == again {
			t.Errorf("seed %d: two schedules, or the next seed's\n%s\n%s", seed, s, again)
		}
		for _, e := range s.Events {
			kinds[e.Kind]++
			if s.Planned && e.Kind.IsFault() {
				t.Errorf("seed %d: planned work alone, and %v", seed, e)
			}
		}
		if s.Planned {
			planned++
		}
	}
	if len(kinds) != 9 || planned < 4 || planned > 16 {
		t.Errorf("%v, %d of 20 planned", kinds, planned)
	}
}

// One core machine at a time is disturbed, or all are killed, and counts as lost for a while after; so is one member.
func TestScheduleSparesQuorums(t *testing.T) {
	for seed := range uint64(50) {
		coreFree, memberFree := time.Duration(0), time.Duration(0)
		for _, e := range Draw(seed, long).Events {
			switch {
			case e.Kind == KindCrash || e.Kind == KindRelease:
				if e.At < memberFree {
					t.Errorf("seed %d: %v, and another member until %v", seed, e, memberFree)
				}
				memberFree = e.At + e.Lasts
			case e.Kind != KindHangup && len(e.Targets) > 0 && e.Kind != KindLag && machine(e.Targets[0])[:4] == prefixCore:
				if e.At < coreFree {
					t.Errorf("seed %d: %v, and another core machine until %v", seed, e, coreFree)
				}
				coreFree = e.At + e.Lasts + catchupTime + time.Duration(len(e.Targets)-1)*e.Apart
			}
		}
	}
}

// What breaks an invariant of reads and writes is found.
func TestLedgerFindsFaults(t *testing.T) {
	log := []replicaset.Entry{{Term: 1, Number: 1, ID: "w1"}, {Term: 1, Number: 2, ID: "w2"}}
	for name, c := range map[string]struct {
		play  func(*ledger)
		fault string
	}{
		"all is well":        {func(*ledger) {}, ""},
		"a read sees it":     {func(l *ledger) { l.reading("r", "prim", l.newest(time.Now())); l.Read("r", log) }, ""},
		"a stale read":       {func(l *ledger) { l.reading("r", "prim", l.newest(time.Now())); l.Read("r", log[:1]) }, "stale"},
		"another's log":      {func(l *ledger) { l.reading("r", "prim", l.newest(time.Now())); l.Read("r", log[1:]) }, "stale"},
		"a write is lost":    {func(l *ledger) { l.sending("w3"); l.resolve("w3", outcomeAcked) }, "lost write"},
		"a refused one kept": {func(l *ledger) { l.resolve("w2", outcomeRefused) }, "refused"},
		"rolled back, kept":  {func(l *ledger) { l.resolve("w2", outcomeRollback) }, "unasked"},
		"nobody's write":     {func(l *ledger) { delete(l.outcomes, "w1") }, "unasked"},
	} {
		t.Run(name, func(t *testing.T) {
			l := newLedger()
			for _, e := range log {
				l.sending(e.ID)
				l.Committed(e.ID, wire.Position{Term: e.Term, Number: e.Number})
				l.resolve(e.ID, outcomeAcked)
			}
			c.play(l)
			l.auditLog(log, nil)
			if found := len(l.violations[c.fault]) > 0; found != (c.fault != "") || len(l.violations) > 1 {
				t.Errorf("%v", l.violations)
			}
		})
	}
	l := newLedger()
	l.sending("w1")
	l.auditLog([]replicaset.Entry{log[0], log[0]}, []string{"w0"})
	if len(l.violations["twice"]) != 1 || len(l.violations["lost write"]) != 1 {
		t.Errorf("%v", l.violations)
	}
}

// A thread that was ready and didn't run was starved, whether its wait is over or not; one that slept was not.
func TestStarvationIsSeen(t *testing.T) {
	const second, half = time.Second, time.Second / 2
	for name, c := range map[string]struct {
		before, after thread
		want          time.Duration
	}{
		"it slept":      {thread{ran: 1, turns: 1}, thread{ran: 1, turns: 1}, 0},
		"it ran":        {thread{ran: 1, turns: 1, ready: true}, thread{ran: second, turns: 1, ready: true}, 0},
		"it waits":      {thread{ran: 1, turns: 1, ready: true}, thread{ran: 1, turns: 1, ready: true}, second},
		"it has waited": {thread{waited: 1, turns: 1}, thread{waited: 1 + half, turns: 2}, half},
	} {
		if got := longestWait(map[string]thread{"1": c.before}, map[string]thread{"1": c.after}, second); got != c.want {
			t.Errorf("%s: %v, want %v", name, got, c.want)
		}
	}
}
