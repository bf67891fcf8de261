package learned

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"weirwind/logic"
)

// What was saved and restored over drawn histories, as the build that these sums come from had it: a change of a stored
// form, or of what is worth a write, changes them.
func TestRecordedHistories(t *testing.T) {
	for seed, want := range map[uint64]uint64{1: 0x8d5bb80f564c8132, 2: 0x125957c11f5568d, 3: 0xb0fc57968f8003b9} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := historyDigest(t, seed); got != want {
				t.Errorf("%#x, recorded as %#x", got, want)
			}
		})
	}
}

// historyDigest sums up every record of 400 steps, the snapshot behind them, and what starts at several ages restore.
func historyDigest(t *testing.T, seed uint64) uint64 {
	t.Helper()
	draw := rand.New(rand.NewPCG(seed, 1))
	sum := fnv.New64a()
	b := NewTable(testConfig(), nil, at(0))
	b.StartRun(at(0))
	var k logic.Memory
	now := 0.0
	for step := range 400 {
		now += draw.Float64() * 700
		switch draw.IntN(6) {
		case 0:
			entries := drawEntries(draw)
			hashAll(sum.Write, b.UpdateMembership(at(now), int64(step/(1+draw.IntN(2))), draw.IntN(2) == 0, entries))
		default:
			k = drawMemory(draw, now)
			hashAll(sum.Write, b.Update(at(now), &k, draw.IntN(50) == 0))
		}
	}
	hashAll(sum.Write, [][]byte{b.Snapshot()})
	for _, age := range []float64{10, 1500, 60000, 4e6} {
		s, err := Load(b.Snapshot(), nil)
		if err != nil {
			t.Fatal(err)
		}
		restored := Restore(s, testConfig(), at(now+age), Membership{Revision: 3, Entries: drawEntries(draw)})
		fmt.Fprintf(sum, "%v %v %v %v\n", restored.Verdict, restored.Age, restored.Memory, restored.Membership)
	}
	return sum.Sum64()
}

func hashAll(write func([]byte) (int, error), records [][]byte) {
	for _, r := range records {
		write(r)
	}
	write([]byte{0xff, byte(len(records))})
}

func drawEntries(draw *rand.Rand) (all []Entry) {
	for id := range 8 {
		if draw.IntN(3) == 0 {
			continue
		}
		all = append(all, Entry{ID: fmt.Sprint(id), Address: fmt.Sprint("127.0.0.", draw.IntN(2), ":", id), Zone: "a",
			Group: int64(id / 3), Phase: []string{PhaseUp, PhaseUp, PhaseRemoved}[draw.IntN(3)],
			StartedAt: float64(draw.IntN(2)) * (day + 5000)})
	}
	return all
}

func drawMemory(draw *rand.Rand, now float64) logic.Memory {
	k := logic.Memory{OpTypes: []logic.TypeMemory{{Typical: 80 + float64(draw.IntN(60)), Best: 40}, {Typical: 120, Best: 100}}}
	for g := range int64(3) {
		if draw.IntN(8) > 0 {
			k.Groups = append(k.Groups, logic.GroupMemory{Group: g, Primary: fmt.Sprint(3*int(g) + draw.IntN(2)),
				InSlot: draw.IntN(5) == 0, SeenAt: day + now - float64(draw.IntN(300)), WorkRate: float64(draw.IntN(20)),
				LastCommit: day + now - float64(draw.IntN(900))})
		}
	}
	for id := range 8 {
		if draw.IntN(8) > 0 {
			k.Members = append(k.Members, logic.MemberMemory{Member: fmt.Sprint(id), Group: int64(id / 3),
				Position: day + now - float64(draw.IntN(500)), StartedAt: float64(draw.IntN(2)) * (day + 5000),
				EjectedAt: float64(draw.IntN(2)) * (day + now - 900), Disconnected: draw.IntN(9) == 0, Window: float64(1 + draw.IntN(30))})
		}
	}
	return k
}
