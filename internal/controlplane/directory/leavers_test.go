package directory

import (
	"math/rand/v2"
	"testing"
)

// delayedHeartbeat is a heartbeat that arrives at a table at a later time.
type delayedHeartbeat struct {
	at     float64
	table  int
	record Member
}

// A member that announced its departure, with or without draining first, is not revived in a table that has recorded
// the departure, nor in any table after the tables have exchanged their records. Heartbeats, also those that the
// process keeps sending, arrive at random tables up to ten seconds late, out of order and twice; tables exchange
// records in random order. A later process of the same ID is accepted after a while. The test fails if records are
// ordered by heartbeat numbers alone (supersedes), or if a lower or a later number revives a member that left
// (incarnationOf).
func TestDepartedMemberIsNotRevived(t *testing.T) {
	const timeout, heartbeatInterval, maxDelay = 3600.0, 1200.0, 10_000.0
	rejoined := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 17))
		tables := []*Members{NewMembers(), NewMembers(), NewMembers()}
		var inFlight []delayedHeartbeat
		now, seq := 0.0, uint64(0)
		send := func(leaving bool) {
			seq++
			m := Member{ID: "m", Service: "s", Addr: "x", Role: RoleReplica, Seq: seq, Leaving: leaving}
			for range 1 + random.IntN(5)/4 { // one in five is duplicated
				delay := 30 * random.Float64()
				if random.IntN(4) == 0 {
					delay = maxDelay * random.Float64()
				}
				inFlight = append(inFlight, delayedHeartbeat{now + delay, random.IntN(3), m})
			}
		}
		deliver := func() {
			undelivered := inFlight[:0]
			for _, h := range inFlight {
				if h.at > now {
					undelivered = append(undelivered, h)
					continue
				}
				tables[h.table].Heartbeat(h.record, now, timeout)
			}
			inFlight = undelivered
		}
		exchangeTwo := func() {
			from, to := random.IntN(3), random.IntN(3)
			tables[to].Merge(tables[from].Snapshot(), now)
		}
		exchangeAll := func() {
			for range 2 {
				for from := range tables {
					for to := range tables {
						tables[to].Merge(tables[from].Snapshot(), now)
					}
				}
			}
		}
		advance := func(duration float64, sendHeartbeats bool, leaving bool) {
			next := now
			for end := now + duration; now < end; now += 100 {
				if sendHeartbeats && now >= next {
					send(leaving)
					next += heartbeatInterval
				}
				deliver()
				exchangeTwo()
			}
		}
		advance(5000+5000*random.Float64(), true, false)
		if random.IntN(2) == 0 {
			advance(2000, true, true) // the member reports that it is leaving
		}
		exchangeAll()
		leftAt := random.IntN(3)
		if _, ok := tables[leftAt].Leave("m", now); !ok {
			t.Fatalf("seed %d: the member is unknown", seed)
		}
		keepsRunning := random.IntN(2) == 0
		for range 80 {
			advance(250, keepsRunning && random.IntN(3) > 0, false)
			if m, _ := tables[leftAt].Get("m"); !m.Tombstone {
				t.Fatalf("seed %d: %.0f ms: revived in the table that recorded the departure: %+v", seed, now, m)
			}
		}
		exchangeAll()
		for i, table := range tables {
			if m, _ := table.Get("m"); !m.Tombstone {
				t.Fatalf("seed %d: revived in table %d: %+v", seed, i, m)
			}
		}
		inFlight, seq = nil, 0
		now += rejoinDelayMs + 1
		send(false)
		inFlight[0].at = now
		deliver()
		if m, _ := tables[newestTable(tables)].Get("m"); !m.Tombstone {
			rejoined++
		}
	}
	if rejoined < 1900 {
		t.Errorf("the next process was accepted in only %d of 2,000 histories", rejoined)
	}
}

// newestTable returns the index of the table that has the highest incarnation.
func newestTable(tables []*Members) (best int) {
	for i, table := range tables {
		m, _ := table.Get("m")
		if other, _ := tables[best].Get("m"); m.Incarnation > other.Incarnation {
			best = i
		}
	}
	return best
}
