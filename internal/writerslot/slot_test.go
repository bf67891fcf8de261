package writerslot

import (
	"fmt"
	"hash/fnv"
	"math"
	"math/rand/v2"
	"testing"
)

// Evidence fills the slot only if it is newer than what the slot and the member's own record already hold.
func TestAccepts(t *testing.T) {
	never := math.Inf(-1)
	filled := func() Slot[string] {
		s := NewSlot[string]()
		s.Fill("a", 100)
		return s
	}
	emptied := func(unresponsive bool) func() Slot[string] {
		return func() Slot[string] {
			slot := filled()
			slot.Clear(200, unresponsive)
			return slot
		}
	}
	for _, c := range []struct {
		name                string
		slot                func() Slot[string]
		member              string
		when, replicaAt     float64
		draining, responded bool
		want                bool
	}{
		{"first evidence", NewSlot[string], "a", 5, never, false, true, true},
		{"a draining member", NewSlot[string], "a", 5, never, true, true, false},
		{"a member seen as replica later", NewSlot[string], "a", 5, 6, false, true, false},
		{"a member seen as replica earlier", NewSlot[string], "a", 5, 4, false, true, true},
		{"the current holder", filled, "a", 150, never, false, true, false},
		{"another member, newer evidence", filled, "b", 101, never, false, true, true},
		{"another member, older evidence", filled, "b", 99, never, false, true, false},
		{"another member, evidence of the same time", filled, "b", 100, never, false, true, false},
		{"the last holder, evidence from before the slot was emptied", emptied(false), "a", 150, never, false, true, false},
		{"the last holder, evidence from after the slot was emptied", emptied(false), "a", 201, never, false, true, true},
		{"the last holder, unresponsive, by its own response", emptied(true), "a", 150, never, false, true, true},
		{"the last holder, unresponsive, by a peer's report", emptied(true), "a", 150, never, false, false, false},
		{"another member, evidence from before the slot was emptied", emptied(false), "b", 150, never, false, true, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			s := c.slot()
			if got := s.Accepts(c.member, c.when, c.replicaAt, c.draining, c.responded); got != c.want {
				t.Errorf("Accepts returns %v, want %v", got, c.want)
			}
		})
	}
}

// The slot states over seeded random histories match a recorded digest.
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
				if s.Accepts(m, when, now-90*rng.Float64(), rng.IntN(9) == 0, rng.IntN(2) == 0) {
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
