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

func checkDigest(t *testing.T, got, want uint64) {
	t.Helper()
	if got != want {
		t.Errorf("%#x, recorded %#x", got, want)
	}
}

// Sources connect, disconnect, lag, lose members, begin epochs, and send fragments and invalid entries.
func TestRecordedRoster(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(recordedSeeds) {
		random := rand.New(rand.NewPCG(seed, 11))
		options := Options{Preferred: Source(1 + random.IntN(2)), FailoverAfter: 4000, ConfirmAfter: float64(2000 * random.IntN(2))}
		roster := New(options)
		now := 0.0
		var heads [sourceCount]int64
		for range 200 {
			now += 700 * random.Float64()
			source := Source(random.IntN(int(sourceCount)))
			switch random.IntN(14) {
			case 0:
				roster.SetDisconnected(source)
			case 1:
				roster.SetConnected(now, source)
			case 2:
				out := roster.Tick(now)
				hashOutcome(digest, roster, now, out)
			default:
				out := roster.Apply(now, randomUpdate(random, source, now, &heads[source]))
				hashOutcome(digest, roster, now, out)
			}
		}
	}
	checkDigest(t, digest.Sum64(), wantRoster)
}

func hashOutcome(digest io.Writer, roster *Roster, now float64, out Outcome) {
	fmt.Fprintln(digest, out.Verdict, out.Changes, out.Notes, roster.Members())
	leader, revision, age, epochs := roster.Leader(now)
	fmt.Fprintln(digest, leader, revision, age, epochs)
	for s := range sourceCount {
		epoch, revision, synced := roster.Revision(s)
		fmt.Fprintln(digest, s, epoch, revision, synced)
	}
}

func randomUpdate(random *rand.Rand, source Source, now float64, head *int64) Update {
	u := Update{Source: source, Snapshot: random.IntN(3) == 0, Linearizable: random.IntN(2) == 0, Fragment: random.IntN(10) == 0}
	u.PreviousRevision = *head
	switch random.IntN(10) {
	case 0:
		u.PreviousRevision, *head = *head+2, *head+4
	case 1:
		u.Revision = max(*head-int64(random.IntN(5)), 0)
	default:
		*head++
	}
	if u.Revision == 0 {
		u.Revision = *head
	}
	if source == SourceRegistry {
		u.Epoch = "e"
		if random.IntN(20) == 0 {
			u.Epoch = "f"
		}
	}
	entries := random.IntN(3)
	if u.Snapshot {
		entries = random.IntN(2 * memberCount)
	}
	for range entries {
		e := Entry{ID: fmt.Sprint("m", random.IntN(memberCount)), Address: fmt.Sprint("a:", random.IntN(2)), Group: int64(random.IntN(2))}
		if random.IntN(3) == 0 {
			e.Phase = Phase(random.IntN(3))
		}
		if random.IntN(6) == 0 {
			e.StartedAt = now - 500 + 600*random.Float64()
		}
		if source == SourceRegistry {
			e.ModRevision = max(u.Revision-int64(random.IntN(4)), 1)
		}
		u.Entries = append(u.Entries, e)
	}
	if random.IntN(8) == 0 {
		id := fmt.Sprint("m", random.IntN(memberCount))
		u.Invalid = append(u.Invalid, InvalidEntry{ID: id, Reason: "no address", Phase: Phase(random.IntN(3))})
	}
	return u
}

// More members are removed than the maximum number of tombstones, so that the oldest are evicted.
func TestRecordedEviction(t *testing.T) {
	digest := fnv.New64a()
	roster := New(Options{Preferred: SourceRegistry})
	roster.Apply(0, Update{Source: SourceRegistry, Epoch: "e", Revision: 1, Snapshot: true})
	for i := range 60 {
		u := Update{Source: SourceRegistry, Epoch: "e", Revision: int64(i + 2), PreviousRevision: int64(i + 1)}
		for k := range 1000 {
			u.Entries = append(u.Entries, Entry{ID: fmt.Sprint(i, "-", k), Phase: PhaseRemoved})
		}
		fmt.Fprintln(digest, roster.Apply(float64(i)*100000, u), len(roster.tombstones))
	}
	u := Update{Source: SourceRegistry, Epoch: "f", Revision: 100, Snapshot: true}
	for i := range 60 {
		u.Entries = append(u.Entries, Entry{ID: fmt.Sprint(i, "-", i), Address: "x", ModRevision: 1})
	}
	fmt.Fprintln(digest, roster.Apply(1e8, u))
	u = Update{Source: SourceRegistry, Epoch: "f", Revision: 101, PreviousRevision: 100, Fragment: true}
	u.Entries = make([]Entry, 200001)
	fmt.Fprintln(digest, roster.Apply(1e8, u)) // more than the maximum of one revision
	u.Fragment, u.Entries = false, nil
	fmt.Fprintln(digest, roster.Apply(1e8, u))
	checkDigest(t, digest.Sum64(), wantEviction)
}

func TestRecordedScheduler(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(recordedSeeds) {
		random := rand.New(rand.NewPCG(seed, 12))
		options := SchedulerOptions{Endpoints: random.IntN(5), Drivers: random.IntN(900), Seed: seed}
		options.ResyncInterval = float64(random.IntN(2)) * 20000
		scheduler := NewScheduler(options)
		now := 0.0
		for range 120 {
			call := scheduler.Next(int64(random.IntN(100)), random.IntN(5) > 0)
			fmt.Fprintln(digest, call.Kind, call.Endpoint, call.Delay, call.Revision, call.Linearizable, call.MaxDuration)
			now += call.Delay + 3000*random.Float64()
			scheduler.CallEnded(now, call.Kind, CallResult(random.IntN(6)), random.IntN(2) == 0)
			switch random.IntN(15) {
			case 0:
				scheduler.SetDrivers(random.IntN(2000))
			case 1:
				scheduler.Resync(now)
			case 2:
				scheduler.ResyncAfter(3000)
			}
		}
	}
	checkDigest(t, digest.Sum64(), wantScheduler)
}

func TestRecordedPresence(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(recordedSeeds) {
		random := rand.New(rand.NewPCG(seed, 13))
		presence := NewPresence(9000, seed)
		now := 0.0
		for range 200 {
			step, wait := presence.Next(now)
			valid, nameTaken := presence.Status(now)
			fmt.Fprintln(digest, step, wait, valid, nameTaken)
			if step != StepWait {
				startedAt := now
				now += 900 * random.Float64()
				presence.StepEnded(startedAt, now, PresenceResult(random.IntN(4)), float64(random.IntN(2)*6000))
				continue
			}
			if now += wait; random.IntN(12) == 0 {
				now += 20000 * random.Float64()
			}
		}
	}
	checkDigest(t, digest.Sum64(), wantPresence)
}

func TestRecordedPeers(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(recordedSeeds) {
		random := rand.New(rand.NewPCG(seed, 14))
		peers := Peers{Self: "m0", ShrinkAfter: 5000, MessageTimeout: 3000}
		now := 0.0
		for range 150 {
			now += 900 * random.Float64()
			var listed []Entry
			for i := range memberCount {
				if random.IntN(5) > 0 {
					listed = append(listed, Entry{ID: fmt.Sprint("m", i), Phase: Phase(random.IntN(8) / 6)})
				}
			}
			fmt.Fprintln(digest, peers.Count(now, listed, random.IntN(4) > 0))
			for range random.IntN(4) {
				peers.Observe(now, fmt.Sprint("m", random.IntN(memberCount)))
			}
			silent, recovered := peers.CheckTimeouts(now, listed)
			fmt.Fprintln(digest, silent, recovered, len(peers.lastMessage))
		}
	}
	checkDigest(t, digest.Sum64(), wantPeers)
}
