package limits

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

const clients = 1000

// Pauses of clients that failed at the same time are spread uniformly from 0 to the limit, which never exceeds Max.
func TestBackoffHasFullJitter(t *testing.T) {
	for failures := range 60 {
		t.Run(fmt.Sprint("failure ", failures+1), func(t *testing.T) {
			limit, sum, longest := min(100*float64(uint64(1)<<min(failures, 30)), 10000), 0.0, 0.0
			for client := range uint64(clients) {
				b, rng := Backoff{Base: 100, Max: 10000}, rand.New(rand.NewPCG(client, 1))
				pause := 0.0
				for range failures + 1 {
					pause = b.RecordFailure(rng)
				}
				sum, longest = sum+pause, max(longest, pause)
			}
			if mean := sum / clients; longest > limit || mean < limit*0.45 || mean > limit*0.55 {
				t.Errorf("mean %g, longest %g, limit %g", mean, longest, limit)
			}
		})
	}
}

func TestBackoffResets(t *testing.T) {
	b, rng := Backoff{Base: 100, Max: 10000}, rand.New(rand.NewPCG(1, 1))
	for range 9 {
		b.RecordFailure(rng)
	}
	if b.Reset(); b.Failures() != 0 || b.RecordFailure(rng) > 100 {
		t.Error("a success does not reset the backoff")
	}
}
