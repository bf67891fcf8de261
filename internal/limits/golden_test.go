package limits

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// Pauses and waits in many seeded random sequences are the same as when the digest was recorded.
func TestRecordedDecisions(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(50) {
		rng, now := rand.New(rand.NewPCG(seed, 1)), 0.0
		backoff := Backoff{Base: 10 + 100*rng.Float64(), Max: 5000 * rng.Float64()}
		budget := RetryBudget{Rate: 0.1 + 3*rng.Float64(), Burst: float64(rng.IntN(6))}
		for range 200 {
			now += 800 * (rng.Float64() - 0.1)
			switch rng.IntN(9) {
			case 0:
				backoff.Reset()
			case 1, 2, 3:
				fmt.Fprintln(digest, backoff.RecordFailure(rng))
			default:
				fmt.Fprintln(digest, budget.Reserve(now))
			}
			fmt.Fprintln(digest, backoff.Failures())
		}
	}
	const recorded = 0x1a0ad3b7bb9df7ff
	if got := digest.Sum64(); got != recorded {
		t.Errorf("digest %#x, recorded %#x", got, uint64(recorded))
	}
}
