package ledger

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// The verdicts, records and snapshots of seeded histories must match the recorded digests.
func TestRecordedHistories(t *testing.T) {
	for seed, want := range map[uint64]uint64{1: 0x456f49645d514de7, 2: 0x54b0551b28b9f775} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := historyDigest(t, seed); got != want {
				t.Errorf("%#x, recorded %#x", got, want)
			}
		})
	}
}

func historyDigest(t *testing.T, seed uint64) uint64 {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	digest := fnv.New64a()
	limits := Limits{Retention: 5000, Keys: 12, TotalBytes: 4000, AnswerBytes: 100}
	table := New(limits)
	now := 0.0
	for range 2000 {
		now += random.Float64() * 200
		key := fmt.Sprint("key", random.IntN(30))
		switch random.IntN(8) {
		case 0, 1, 2, 3:
			v, answer, rec := table.Begin(now, key, Fingerprint([]byte{byte(random.IntN(12) / 11)}))
			fmt.Fprintf(digest, "%d %q %x\n", v, answer, rec)
		case 4, 5, 6:
			if e := table.entries[key]; e != nil && e.State == StateOpen {
				state := []State{StateFree, StateAcked, StateUnknown}[random.IntN(3)]
				fmt.Fprintf(digest, "%x\n", table.Finish(now, key, state, make([]byte, random.IntN(150))))
			}
		default:
			table.Expire(now)
			snapshot := table.Snapshot()
			if random.IntN(10) == 0 {
				var err error
				if table, err = Load(limits, now, snapshot, nil); err != nil {
					t.Fatal(err)
				}
			}
			open, acked, unknown, size := table.Counts()
			fmt.Fprintf(digest, "%x %d %d %d %d\n", snapshot, open, acked, unknown, size)
		}
	}
	return digest.Sum64()
}
