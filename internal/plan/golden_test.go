package plan

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"
)

// recordedPlans is the digest of the plans and errors for the problems below, recorded before a refactoring.
const recordedPlans = "0469475fc25a8c31"

// Compares plans and errors of many seeded problems with a recorded digest. Capacities are integers, so that their sums
// don't depend on the order of addition.
func TestRecordedPlans(t *testing.T) {
	digest := fnv.New64a()
	plans, infeasible, invalid := 0, 0, 0
	for seed := range uint64(400) {
		members, steps, limits := drawProblem(rand.New(rand.NewPCG(seed, 1)))
		all, err := Solve(members, steps, limits, 6, seed)
		switch err.(type) {
		case nil:
			plans++
		case *InfeasibleError:
			infeasible++
		default:
			invalid++
		}
		fmt.Fprintf(digest, "%d %v %v\n%s", seed, all, err, Format(all))
	}
	if plans < 100 || infeasible < 100 || invalid < 10 {
		t.Errorf("%d plans, %d infeasible and %d invalid problems are too few for the digest to be meaningful",
			plans, infeasible, invalid)
	}
	if got := fmt.Sprintf("%016x", digest.Sum64()); got != recordedPlans {
		t.Errorf("digest %s, recorded %s", got, recordedPlans)
	}
}

func drawProblem(random *rand.Rand) (members []Member, steps []Step, limits Limits) {
	whole := func(n int) float64 { return float64(random.IntN(n)) }
	limits = Limits{GroupCapacity: map[int64]float64{}, ZoneCapacity: map[string]float64{},
		MaxUnavailable: 1 + random.IntN(4), ReplaceTime: whole(40), WarmupTime: whole(60),
		WarmupCapacity: float64(random.IntN(5)) / 4, WriteGap: whole(5), MaxWriteGap: whole(20), SwitchInterval: whole(30),
		Deadline: whole(2) * 400, MinCandidates: random.IntN(3)}
	if random.IntN(20) == 0 {
		limits.SwitchInterval = -1
	}
	for g := range 1 + random.IntN(4) {
		groupTotal := 0.0
		for i := range 2 + random.IntN(4) {
			m := Member{fmt.Sprintf("g%dm%d", g, i), string(rune('a' + i%2)), int64(g), 4 * (10 + whole(30)), i == 0}
			members, groupTotal = append(members, m), groupTotal+m.Capacity
			if random.IntN(2) == 0 {
				kind := Replace
				if random.IntN(40) == 0 || m.Primary && random.IntN(2) == 0 {
					kind = Switch
				}
				steps = append(steps, Step{kind, m.Name})
			}
		}
		limits.GroupCapacity[int64(g)] = float64(int(groupTotal * random.Float64() * 0.7))
		limits.ZoneCapacity["a"] += float64(int(groupTotal * random.Float64() * 0.35))
	}
	return members, steps, limits
}
