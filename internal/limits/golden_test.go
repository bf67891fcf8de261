package limits

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// Pauses and waits, over many seeded histories, are what they were when the digest was recorded.
func TestRecordedDecisions(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(50) {
		draw, now := rand.New(rand.NewPCG(seed, 1)), 0.0
		p := Backoff{Base: 10 + 100*draw.Float64(), Max: 5000 * draw.Float64()}
		b := RetryBudget{Rate: 0.1 + 3*draw.Float64(), Burst: float64(draw.IntN(6))}
		for range 200 {
			now += 800 * (draw.Float64() - 0.1)
			switch draw.IntN(9) {
			case 0:
				p.Reset()
			case 1, 2, 3:
				fmt.Fprintln(digest, p.RecordFailure(draw))
			default:
				fmt.Fprintln(digest, b.Reserve(now))
			}
			fmt.Fprintln(digest, p.Failures())
		}
	}
	const recorded = 0x1a0ad3b7bb9df7ff
	if got := digest.Sum64(); got != recorded {
		t.Errorf("digest %#x, recorded %#x", got, uint64(recorded))
	}
}
