package writerslot

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
)

// Which evidence fills the slot.
func TestTakes(t *testing.T) {
	never := math.Inf(-1)
	held := func() Slot[string] {
		s := NewSlot[string]()
		s.Fill("a", 100)
		return s
	}
	emptied := func(silent bool) func() Slot[string] {
		return func() Slot[string] {
			s := held()
			s.Clear(200, silent)
			return s
		}
	}
	for _, c := range []struct {
		name            string
		slot            func() Slot[string]
		member          string
		when, replicaAt float64
		draining, spoke bool
		want            bool
	}{
		{"first evidence", NewSlot[string], "a", 5, never, false, true, true},
		{"a draining member", NewSlot[string], "a", 5, never, true, true, false},
		{"a member that was a replica later", NewSlot[string], "a", 5, 6, false, true, false},
		{"a member that was a replica before", NewSlot[string], "a", 5, 4, false, true, true},
		{"the holder already", held, "a", 150, never, false, true, false},
		{"another, later", held, "b", 101, never, false, true, true},
		{"another, earlier", held, "b", 99, never, false, true, false},
		{"another, at the same time", held, "b", 100, never, false, true, false},
		{"the last holder, from before it was emptied", emptied(false), "a", 150, never, false, true, false},
		{"the last holder, from after it was emptied", emptied(false), "a", 201, never, false, true, true},
		{"the last holder, silent, by its own answer", emptied(true), "a", 150, never, false, true, true},
		{"the last holder, silent, by a peer's word", emptied(true), "a", 150, never, false, false, false},
		{"another, from before it was emptied", emptied(false), "b", 150, never, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := c.slot()
			if got := s.Takes(c.member, c.when, c.replicaAt, c.draining, c.spoke); got != c.want {
				t.Errorf("takes %v, want %v", got, c.want)
			}
		})
	}
}

// The slot's states over seeded histories.
func TestDigestOfHistories(t *testing.T) {
	const want = uint64(0x19d4631b431245ed)
	sum := fnv.New64a()
	rng := rand.New(rand.NewPCG(1, 2))
	for range 200 {
		s := NewSlot[int]()
		for now := 0.0; now < 1000; now += 20 * rng.Float64() {
			m, when := 1+rng.IntN(3), now-60*rng.Float64()
			switch rng.IntN(4) {
			case 0:
				s.Clear(now, rng.IntN(2) == 0)
			default:
				if s.Takes(m, when, now-90*rng.Float64(), rng.IntN(9) == 0, rng.IntN(2) == 0) {
					s.Fill(m, when)
				}
			}
			fmt.Fprintln(sum, s)
		}
	}
	if got := sum.Sum64(); got != want {
		t.Errorf("digest %#x, want %#x", got, want)
	}
}
