package plan

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// recordedPlans is the digest of what the build before the refactoring gave for the problems below.
const recordedPlans = "0469475fc25a8c31"

// Plans and refusals over many seeded problems. Capacities are whole numbers: sums over members are then the same in
// any order.
func TestRecordedPlans(t *testing.T) {
	digest := fnv.New64a()
	plans, refusals, mistakes := 0, 0, 0
	for seed := range uint64(400) {
		members, steps, l := drawProblem(rand.New(rand.NewPCG(seed, 1)))
		all, err := Solve(members, steps, l, 6, seed)
		switch err.(type) {
		case nil:
			plans++
		case *InfeasibleError:
			refusals++
		default:
			mistakes++
		}
		fmt.Fprintf(digest, "%d %v %v\n%s", seed, all, err, Format(all))
	}
	if plans < 100 || refusals < 100 || mistakes < 10 {
		t.Errorf("%d plans, %d refusals, %d mistakes: the digest says little", plans, refusals, mistakes)
	}
	if got := fmt.Sprintf("%016x", digest.Sum64()); got != recordedPlans {
		t.Errorf("digest %s, recorded %s", got, recordedPlans)
	}
}

func drawProblem(r *rand.Rand) (members []Member, steps []Step, l Limits) {
	whole := func(n int) float64 { return float64(r.IntN(n)) }
	l = Limits{GroupCapacity: map[int64]float64{}, ZoneCapacity: map[string]float64{},
		MaxUnavailable: 1 + r.IntN(4), ReplaceTime: whole(40), WarmupTime: whole(60),
		WarmupCapacity: float64(r.IntN(5)) / 4, WriteGap: whole(5), MaxWriteGap: whole(20), SwitchInterval: whole(30),
		Deadline: whole(2) * 400, MinCandidates: r.IntN(3)}
	if r.IntN(20) == 0 {
		l.SwitchInterval = -1
	}
	for g := range 1 + r.IntN(4) {
		sum := 0.0
		for i := range 2 + r.IntN(4) {
			m := Member{fmt.Sprintf("g%dm%d", g, i), string(rune('a' + i%2)), int64(g), 4 * (10 + whole(30)), i == 0}
			members, sum = append(members, m), sum+m.Capacity
			if r.IntN(2) == 0 {
				kind := Replace
				if r.IntN(40) == 0 || m.Primary && r.IntN(2) == 0 {
					kind = Switch
				}
				steps = append(steps, Step{kind, m.Name})
			}
		}
		l.GroupCapacity[int64(g)] = float64(int(sum * r.Float64() * 0.7))
		l.ZoneCapacity["a"] += float64(int(sum * r.Float64() * 0.35))
	}
	return members, steps, l
}
