package ledger

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// Verdicts, records and snapshots over drawn histories, as the build that these sums come from had them.
func TestRecordedHistories(t *testing.T) {
	for seed, want := range map[uint64]uint64{1: 0x456f49645d514de7, 2: 0x54b0551b28b9f775} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := historyDigest(t, seed); got != want {
				t.Errorf("%#x, recorded as %#x", got, want)
			}
		})
	}
}

func historyDigest(t *testing.T, seed uint64) uint64 {
	t.Helper()
	draw := rand.New(rand.NewPCG(seed, 1))
	sum := fnv.New64a()
	rules := Limits{Retention: 5000, Keys: 12, TotalBytes: 4000, AnswerBytes: 100}
	b := New(rules)
	now := 0.0
	for range 2000 {
		now += draw.Float64() * 200
		key := fmt.Sprint("key", draw.IntN(30))
		switch draw.IntN(8) {
		case 0, 1, 2, 3:
			v, answer, rec := b.Begin(now, key, Fingerprint([]byte{byte(draw.IntN(12) / 11)}))
			fmt.Fprintf(sum, "%d %q %x\n", v, answer, rec)
		case 4, 5, 6:
			if e := b.entries[key]; e != nil && e.State == StateOpen {
				state := []State{StateFree, StateAcked, StateUnknown}[draw.IntN(3)]
				fmt.Fprintf(sum, "%x\n", b.Finish(now, key, state, make([]byte, draw.IntN(150))))
			}
		default:
			b.Expire(now)
			snapshot := b.Snapshot()
			if draw.IntN(10) == 0 {
				var err error
				if b, err = Load(rules, now, snapshot, nil); err != nil {
					t.Fatal(err)
				}
			}
			open, acked, unknown, size := b.Counts()
			fmt.Fprintf(sum, "%x %d %d %d %d\n", snapshot, open, acked, unknown, size)
		}
	}
	return sum.Sum64()
}
