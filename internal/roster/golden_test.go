package roster

import (
	"fmt"
	"hash/fnv"
	"io"
	"math/rand/v2"
	"testing"
)

// Digests recorded before a refactoring. Any change of a decision, of its order or of a note's text changes them.
const (
	wantRoster    uint64 = 0xe3238b3740cfd2ab
	wantEviction  uint64 = 0x2eeeafb63d860a97
	wantScheduler uint64 = 0x8c04bb05174cda47
	wantPresence  uint64 = 0x51d32e5bfd0cda00
	wantPeers     uint64 = 0x841b5a16a0fb4677
	memberCount          = 7
	recordedSeeds        = 150
)

func check(t *testing.T, got, want uint64) {
	t.Helper()
	if got != want {
		t.Errorf("%#x, recorded %#x", got, want)
	}
}

// Sources connect, disconnect, lag, lose members, begin epochs, and send fragments and invalid entries.
func TestRosterAsRecorded(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(recordedSeeds) {
		r := rand.New(rand.NewPCG(seed, 11))
		rules := Options{Preferred: Source(1 + r.IntN(2)), FailoverAfter: 4000, ConfirmAfter: float64(2000 * r.IntN(2))}
		roster := New(rules)
		now := 0.0
		var heads [sourceCount]int64
		for range 200 {
			now += 700 * r.Float64()
			s := Source(r.IntN(int(sourceCount)))
			switch r.IntN(14) {
			case 0:
				roster.SetDisconnected(s)
			case 1:
				roster.SetConnected(now, s)
			case 2:
				out := roster.Tick(now)
				record(h, roster, now, out)
			default:
				out := roster.Apply(now, someUpdate(r, s, now, &heads[s]))
				record(h, roster, now, out)
			}
		}
	}
	check(t, h.Sum64(), wantRoster)
}

func record(h io.Writer, roster *Roster, now float64, out Outcome) {
	fmt.Fprintln(h, out.Verdict, out.Changes, out.Notes, roster.Members())
	lead, revision, age, epochs := roster.Leader(now)
	fmt.Fprintln(h, lead, revision, age, epochs)
	for s := range sourceCount {
		epoch, revision, told := roster.Revision(s)
		fmt.Fprintln(h, s, epoch, revision, told)
	}
}

func someUpdate(r *rand.Rand, s Source, now float64, head *int64) Update {
	u := Update{Source: s, Snapshot: r.IntN(3) == 0, Linearizable: r.IntN(2) == 0, Fragment: r.IntN(10) == 0}
	u.PreviousRevision = *head
	switch r.IntN(10) {
	case 0:
		u.PreviousRevision, *head = *head+2, *head+4
	case 1:
		u.Revision = max(*head-int64(r.IntN(5)), 0)
	default:
		*head++
	}
	if u.Revision == 0 {
		u.Revision = *head
	}
	if s == SourceRegistry {
		u.Epoch = "e"
		if r.IntN(20) == 0 {
			u.Epoch = "f"
		}
	}
	entries := r.IntN(3)
	if u.Snapshot {
		entries = r.IntN(2 * memberCount)
	}
	for range entries {
		e := Entry{ID: fmt.Sprint("m", r.IntN(memberCount)), Address: fmt.Sprint("a:", r.IntN(2)), Group: int64(r.IntN(2))}
		if r.IntN(3) == 0 {
			e.Phase = Phase(r.IntN(3))
		}
		if r.IntN(6) == 0 {
			e.StartedAt = now - 500 + 600*r.Float64()
		}
		if s == SourceRegistry {
			e.ModRevision = max(u.Revision-int64(r.IntN(4)), 1)
		}
		u.Entries = append(u.Entries, e)
	}
	if r.IntN(8) == 0 {
		id := fmt.Sprint("m", r.IntN(memberCount))
		u.Invalid = append(u.Invalid, InvalidEntry{ID: id, Reason: "no address", Phase: Phase(r.IntN(3))})
	}
	return u
}

// More members are removed than the maximum number of tombstones, so that the oldest are evicted.
func TestEvictionAsRecorded(t *testing.T) {
	h := fnv.New64a()
	roster := New(Options{Preferred: SourceRegistry})
	roster.Apply(0, Update{Source: SourceRegistry, Epoch: "e", Revision: 1, Snapshot: true})
	for i := range 60 {
		u := Update{Source: SourceRegistry, Epoch: "e", Revision: int64(i + 2), PreviousRevision: int64(i + 1)}
		for k := range 1000 {
			u.Entries = append(u.Entries, Entry{ID: fmt.Sprint(i, "-", k), Phase: PhaseRemoved})
		}
		fmt.Fprintln(h, roster.Apply(float64(i)*100000, u), len(roster.tombstones))
	}
	u := Update{Source: SourceRegistry, Epoch: "f", Revision: 100, Snapshot: true}
	for i := range 60 {
		u.Entries = append(u.Entries, Entry{ID: fmt.Sprint(i, "-", i), Address: "x", ModRevision: 1})
	}
	fmt.Fprintln(h, roster.Apply(1e8, u))
	u = Update{Source: SourceRegistry, Epoch: "f", Revision: 101, PreviousRevision: 100, Fragment: true}
	u.Entries = make([]Entry, 200001)
	fmt.Fprintln(h, roster.Apply(1e8, u)) // more than the maximum of one revision
	u.Fragment, u.Entries = false, nil
	fmt.Fprintln(h, roster.Apply(1e8, u))
	check(t, h.Sum64(), wantEviction)
}

func TestSchedulerAsRecorded(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(recordedSeeds) {
		r := rand.New(rand.NewPCG(seed, 12))
		options := SchedulerOptions{Endpoints: r.IntN(5), Drivers: r.IntN(900), Seed: seed}
		options.ResyncInterval = float64(r.IntN(2)) * 20000
		c := NewScheduler(options)
		now := 0.0
		for range 120 {
			call := c.Next(int64(r.IntN(100)), r.IntN(5) > 0)
			fmt.Fprintln(h, call.Kind, call.Endpoint, call.Delay, call.Revision, call.Linearizable, call.MaxDuration)
			now += call.Delay + 3000*r.Float64()
			c.CallEnded(now, call.Kind, CallResult(r.IntN(6)), r.IntN(2) == 0)
			switch r.IntN(15) {
			case 0:
				c.SetDrivers(r.IntN(2000))
			case 1:
				c.Resync(now)
			case 2:
				c.ResyncAfter(3000)
			}
		}
	}
	check(t, h.Sum64(), wantScheduler)
}

func TestPresenceAsRecorded(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(recordedSeeds) {
		r := rand.New(rand.NewPCG(seed, 13))
		p := NewPresence(9000, seed)
		now := 0.0
		for range 200 {
			step, wait := p.Next(now)
			stands, taken := p.Status(now)
			fmt.Fprintln(h, step, wait, stands, taken)
			if step != StepWait {
				began := now
				now += 900 * r.Float64()
				p.StepEnded(began, now, PresenceResult(r.IntN(4)), float64(r.IntN(2)*6000))
				continue
			}
			if now += wait; r.IntN(12) == 0 {
				now += 20000 * r.Float64()
			}
		}
	}
	check(t, h.Sum64(), wantPresence)
}

func TestPeersAsRecorded(t *testing.T) {
	h := fnv.New64a()
	for seed := range uint64(recordedSeeds) {
		r := rand.New(rand.NewPCG(seed, 14))
		f := Peers{Self: "m0", ShrinkAfter: 5000, MessageTimeout: 3000}
		now := 0.0
		for range 150 {
			now += 900 * r.Float64()
			var listed []Entry
			for i := range memberCount {
				if r.IntN(5) > 0 {
					listed = append(listed, Entry{ID: fmt.Sprint("m", i), Phase: Phase(r.IntN(8) / 6)})
				}
			}
			fmt.Fprintln(h, f.Count(now, listed, r.IntN(4) > 0))
			for range r.IntN(4) {
				f.Observe(now, fmt.Sprint("m", r.IntN(memberCount)))
			}
			fell, back := f.CheckTimeouts(now, listed)
			fmt.Fprintln(h, fell, back, len(f.lastMessage))
		}
	}
	check(t, h.Sum64(), wantPeers)
}
