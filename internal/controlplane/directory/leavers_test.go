package directory

import (
	"math/rand/v2"
	"testing"
)

// lateHeartbeat is one on its way to a table.
type lateHeartbeat struct {
	at     float64
	table  int
	record Member
}

// Members that leave by their own word, with or without a drain before it, never come back into a table that knows of it,
// nor into any after the tables have exchanged their records: heartbeats come up to ten seconds late, out of order and
// twice, at any table, also those that the process goes on sending; tables exchange records in any order. A next process
// of the same id, after a while, comes back. It fails where records go by the heartbeats' numbers alone (supersedes), and
// where a lower number or a later one revives a member that left (incarnationOf).
func TestWhoLeftStaysGone(t *testing.T) {
	const timeout, beat, lateMax = 3600.0, 1200.0, 10_000.0
	revivedByNext := 0
	for seed := range uint64(2000) {
		random := rand.New(rand.NewPCG(seed, 17))
		tables := []*Members{NewMembers(), NewMembers(), NewMembers()}
		var onTheWay []lateHeartbeat
		now, seq := 0.0, uint64(0)
		send := func(state bool) {
			seq++
			m := Member{ID: "m", Service: "s", Addr: "x", Role: RoleReplica, Seq: seq, Leaving: state}
			for range 1 + random.IntN(5)/4 { // some twice
				late := 30 * random.Float64()
				if random.IntN(4) == 0 {
					late = lateMax * random.Float64()
				}
				onTheWay = append(onTheWay, lateHeartbeat{now + late, random.IntN(3), m})
			}
		}
		deliver := func() {
			kept := onTheWay[:0]
			for _, h := range onTheWay {
				if h.at > now {
					kept = append(kept, h)
					continue
				}
				tables[h.table].Heartbeat(h.record, now, timeout)
			}
			onTheWay = kept
		}
		exchange := func() {
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
		run := func(duration float64, beats bool, leaving bool) {
			next := now
			for end := now + duration; now < end; now += 100 {
				if beats && now >= next {
					send(leaving)
					next += beat
				}
				deliver()
				exchange()
			}
		}
		run(5000+5000*random.Float64(), true, false)
		if random.IntN(2) == 0 {
			run(2000, true, true) // it says that it drains
		}
		exchangeAll()
		leftAt := random.IntN(3)
		if _, ok := tables[leftAt].Leave("m", now); !ok {
			t.Fatalf("seed %d: the member is not known", seed)
		}
		goesOn := random.IntN(2) == 0
		for range 80 {
			run(250, goesOn && random.IntN(3) > 0, false)
			if m, _ := tables[leftAt].Get("m"); !m.Tombstone {
				t.Fatalf("seed %d: %.0f ms: it is back where it said that it leaves: %+v", seed, now, m)
			}
		}
		exchangeAll()
		for i, table := range tables {
			if m, _ := table.Get("m"); !m.Tombstone {
				t.Fatalf("seed %d: it is back in table %d: %+v", seed, i, m)
			}
		}
		onTheWay, seq = nil, 0
		now += returnAfter + 1
		send(false)
		onTheWay[0].at = now
		deliver()
		if m, _ := tables[newestTable(tables)].Get("m"); !m.Tombstone {
			revivedByNext++
		}
	}
	if revivedByNext < 1900 {
		t.Errorf("the next process came back in %d of 2,000 histories only", revivedByNext)
	}
}

// newestTable is the table that has the highest incarnation.
func newestTable(tables []*Members) (best int) {
	for i, table := range tables {
		m, _ := table.Get("m")
		if other, _ := tables[best].Get("m"); m.Incarnation > other.Incarnation {
			best = i
		}
	}
	return best
}
