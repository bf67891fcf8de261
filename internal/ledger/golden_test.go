package ledger

import (
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"reflect"
	"testing"

	"weirwind/internal/standin/golden"
)

func TestRecordedForms(t *testing.T) {
	open := record{Key: "k", entry: entry{State: StateOpen, Fingerprint: 7, ChangedAt: 1.5}}
	acked := record{Key: "k", entry: entry{State: StateAcked, Fingerprint: 1 << 63, ChangedAt: 2, Answer: []byte("rows")}}
	long := record{Key: "long", entry: entry{State: StateAcked, Fingerprint: 1, ChangedAt: 3, TooLong: true}}
	unknown := record{Key: "u", entry: entry{State: StateUnknown, Fingerprint: 1, ChangedAt: 4}}
	free := record{Key: "f", entry: entry{State: StateFree, Fingerprint: 1, ChangedAt: 5}}
	golden.CBOR(t, "testdata/records.golden", []golden.Case[record]{golden.Of("open", open), golden.Of("acked", acked),
		golden.Of("long", long), golden.Of("unknown", unknown), golden.Of("free", free)})
	golden.CBOR(t, "testdata/snapshots.golden", []golden.Case[snapshot]{
		golden.Of("entries", snapshot{Version: version, Entries: []record{acked, long, unknown}}),
		golden.Of("empty", snapshot{Version: version})})
}

// Error texts that operators read, and fingerprints, which are stored.
func TestRecordedTexts(t *testing.T) {
	golden.Text(t, "testdata/texts.golden", []golden.Case[string]{
		golden.Of("rules", Limits{Retention: -1.5, Keys: 2, TotalBytes: 3, AnswerBytes: 4}.Check().Error()),
		golden.Of("form", ErrFormat.Error()),
		golden.Of("print", fmt.Sprint(Fingerprint([]byte("insert into t")))),
	})
}

// The states of keys over many seeded histories with restarts must match the recorded digest.
func TestRecordedDecisions(t *testing.T) {
	digest := fnv.New64a()
	for seed := range uint64(80) {
		random, now := rand.New(rand.NewPCG(seed, 1)), 0.0
		limits := Limits{Retention: 500, Keys: 5 + random.IntN(4), TotalBytes: 1500, AnswerBytes: 20}
		table := New(limits)
		var snap []byte
		var log [][]byte
		for range 400 {
			now += 40 * random.Float64()
			key := fmt.Sprint("k", random.IntN(9))
			switch n := random.IntN(20); {
			case n < 9:
				verdict, answer, record := table.Begin(now, key, uint64(random.IntN(8)/7))
				fmt.Fprintf(digest, "%d %x %x\n", verdict, answer, record)
				if record != nil {
					log = append(log, record)
				}
			case n < 16:
				record := table.Finish(now, key, State(random.IntN(4)), make([]byte, random.IntN(30)))
				fmt.Fprintf(digest, "%x\n", record)
				if record != nil {
					log = append(log, record)
				}
			case n < 18:
				table.Expire(now)
			case n < 19:
				snap, log = table.Snapshot(), nil
			default:
				var err error
				if table, err = Load(limits, now, snap, log[:len(log)-random.IntN(1+len(log)/4)]); err != nil {
					t.Fatal(err)
				}
				snap, log = table.Snapshot(), nil
			}
			open, acked, unknown, bytes := table.Counts()
			fmt.Fprintf(digest, "%d %d %d %d %x\n", open, acked, unknown, bytes, snap)
		}
		if again, err := Load(limits, 0, table.Snapshot(), nil); err != nil || reflect.DeepEqual(again, New(limits)) != (len(table.entries) == 0) {
			t.Fatal(err, again)
		}
	}
	const recorded = 0x5d222485ada65cd3
	if got := digest.Sum64(); got != recorded {
		t.Errorf("digest %#x, recorded %#x", got, uint64(recorded))
	}
}
