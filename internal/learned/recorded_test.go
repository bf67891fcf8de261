package learned

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"weirwind/logic"
)

// The records, snapshots and restored state of seeded histories must match the recorded digests. A change of the stored
// format, or of the decision what to save, changes them.
func TestRecordedHistories(t *testing.T) {
	for seed, want := range map[uint64]uint64{1: 0x8d5bb80f564c8132, 2: 0x125957c11f5568d, 3: 0xb0fc57968f8003b9} {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			if got := historyDigest(t, seed); got != want {
				t.Errorf("%#x, recorded %#x", got, want)
			}
		})
	}
}

// historyDigest hashes the records of 400 steps, the final snapshot, and the state restored from it at several ages.
func historyDigest(t *testing.T, seed uint64) uint64 {
	t.Helper()
	random := rand.New(rand.NewPCG(seed, 1))
	digest := fnv.New64a()
	table := NewTable(testConfig(), nil, at(0))
	table.StartRun(at(0))
	var memory logic.Memory
	now := 0.0
	for step := range 400 {
		now += random.Float64() * 700
		switch random.IntN(6) {
		case 0:
			entries := randomEntries(random)
			hashAll(digest.Write, table.UpdateMembership(at(now), int64(step/(1+random.IntN(2))), random.IntN(2) == 0, entries))
		default:
			memory = randomMemory(random, now)
			hashAll(digest.Write, table.Update(at(now), &memory, random.IntN(50) == 0))
		}
	}
	hashAll(digest.Write, [][]byte{table.Snapshot()})
	for _, age := range []float64{10, 1500, 60000, 4e6} {
		state, err := Load(table.Snapshot(), nil)
		if err != nil {
			t.Fatal(err)
		}
		restored := Restore(state, testConfig(), at(now+age), Membership{Revision: 3, Entries: randomEntries(random)})
		fmt.Fprintf(digest, "%v %v %v %v\n", restored.Verdict, restored.Age, restored.Memory, restored.Membership)
	}
	return digest.Sum64()
}

func hashAll(write func([]byte) (int, error), records [][]byte) {
	for _, r := range records {
		write(r)
	}
	write([]byte{0xff, byte(len(records))})
}

func randomEntries(random *rand.Rand) (all []Entry) {
	for id := range 8 {
		if random.IntN(3) == 0 {
			continue
		}
		all = append(all, Entry{ID: fmt.Sprint(id), Address: fmt.Sprint("127.0.0.", random.IntN(2), ":", id), Zone: "a",
			Group: int64(id / 3), Phase: []string{PhaseUp, PhaseUp, PhaseRemoved}[random.IntN(3)],
			StartedAt: float64(random.IntN(2)) * (baseTime + 5000)})
	}
	return all
}

func randomMemory(random *rand.Rand, now float64) logic.Memory {
	memory := logic.Memory{OpTypes: []logic.TypeMemory{{Typical: 80 + float64(random.IntN(60)), Best: 40}, {Typical: 120, Best: 100}}}
	for g := range int64(3) {
		if random.IntN(8) > 0 {
			memory.Groups = append(memory.Groups, logic.GroupMemory{Group: g, Primary: fmt.Sprint(3*int(g) + random.IntN(2)),
				InSlot: random.IntN(5) == 0, SeenAt: baseTime + now - float64(random.IntN(300)), WorkRate: float64(random.IntN(20)),
				LastCommit: baseTime + now - float64(random.IntN(900))})
		}
	}
	for id := range 8 {
		if random.IntN(8) > 0 {
			memory.Members = append(memory.Members, logic.MemberMemory{Member: fmt.Sprint(id), Group: int64(id / 3),
				Position: baseTime + now - float64(random.IntN(500)), StartedAt: float64(random.IntN(2)) * (baseTime + 5000),
				EjectedAt: float64(random.IntN(2)) * (baseTime + now - 900), Disconnected: random.IntN(9) == 0, Window: float64(1 + random.IntN(30))})
		}
	}
	return memory
}
