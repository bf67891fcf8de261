package shardnode

import (
	"encoding/json"
	"errors"
	"fmt"
	"hash/fnv"
	"math/rand/v2"
	"testing"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/standin/golden"
)

func goldenStore(t *testing.T) *Store {
	t.Helper()
	store := NewStore(1<<20, 100)
	for _, text := range []string{"SHARD HOLD open 1 0", "SHARD HOLD closed 2 0", "SHARD RESERVE comes 3 500",
		"SHARD RESERVE sealed 4 500"} {
		if _, _, err := store.Execute(text); err != nil {
			t.Fatal(err)
		}
	}
	store.SetExternal(77)
	if _, err := store.Write("open", 1, "c.1", []byte("value")); err != nil {
		t.Fatal(err)
	}
	if _, err := store.ResolveAttempt("open", 1, "c.2"); !errors.Is(err, ErrAborted) {
		t.Fatal(err)
	}
	for _, text := range []string{"SHARD CLOSE closed 2", "SHARD SEAL sealed 4 0"} {
		if _, _, err := store.Execute(text); err != nil {
			t.Fatal(err)
		}
	}
	return store
}

// Golden files of the stored form. Replicas are encoded one by one, since the order of a map's keys is not fixed.
func TestGoldenForms(t *testing.T) {
	store := goldenStore(t)
	var replicas []golden.Case[Replica]
	for _, shard := range []string{"open", "closed", "comes", "sealed"} {
		replica := *store.Replicas[shard]
		replica.byAttempt = nil
		replicas = append(replicas, golden.Of(shard, replica))
	}
	golden.CBOR(t, "testdata/copies.cbor", replicas)
	golden.CBOR(t, "testdata/keeper.cbor", []golden.Case[Store]{golden.Of("keeper",
		Store{Capacity: 9, External: 1, Headroom: 2, Replicas: map[string]*Replica{},
			HighestEpochs: map[string]uint64{"s": 4}})})
	golden.JSON(t, "testdata/report.json", []golden.Case[Report]{golden.Of("report", store.Report())})
	golden.JSON(t, "testdata/entry.json", []golden.Case[Entry]{golden.Of("effect", Entry{1, "c.1", 5, false,
		[]byte("value")}),
		golden.Of("void", Entry{2, "c.2", 0, true, nil})})
}

// Golden file of each statement's answers, in states in which it is executed and in states in which it is refused.
func TestGoldenStatements(t *testing.T) {
	var cases []golden.Case[string]
	for _, text := range []string{
		"SHARD LOOK", "SHARD", "PING x", "SHARD LOOKS", "SHARD DROP", "SHARD DROP open", "SHARD DROP open x",
		"SHARD DROP open 1",
		"SHARD DROP open 2", "SHARD DROP closed 3", "SHARD DROP other 3", "SHARD RESERVE new 1 5", "SHARD RESERVE new 1",
		"SHARD RESERVE new 1 x", "SHARD RESERVE new 1 9000000", "SHARD RESERVE comes 2 5", "SHARD RESERVE open 1 5",
		"SHARD SEAL comes 3 0", "SHARD SEAL comes 3 9", "SHARD SEAL comes 3", "SHARD SEAL open 1 2", "SHARD HOLD new 1 0",
		"SHARD HOLD new 1 5", "SHARD HOLD closed 3 0", "SHARD HOLD closed 1 0", "SHARD HOLD sealed 5 7",
		"SHARD HOLD comes 4 0",
		"SHARD SETTLE open 1 c.1", "SHARD SETTLE open 1 c.2", "SHARD SETTLE open 1 c.3", "SHARD SETTLE open 2 c.1",
		"SHARD SETTLE open 1", "SHARD SETTLE open 1 c 1", "SHARD ABANDON comes 3", "SHARD ABANDON comes 2",
		"SHARD ABANDON open 1",
		"SHARD CLOSE open 1", "SHARD CLOSE open 2", "SHARD CLOSE sealed 4", "SHARD CUT open 1", "SHARD CUT closed 2",
		"SHARD ENTRIES open 1 0 1000", "SHARD ENTRIES open 1 1 1000", "SHARD ENTRIES open 1 0 1", "SHARD ENTRIES open 1 9 9",
		"SHARD ENTRIES open 2 0 9", "SHARD ENTRIES open 1 0", "SHARD FETCH comes 3 100 0 10.0.0.1:1 svc id",
		"SHARD FETCH sealed 4 100 9 10.0.0.1:1 svc id", "SHARD FETCH open 1 100 0 10.0.0.1:1 svc id",
		"SHARD FETCH comes 3 100 0 x",
		"SHARD FETCH comes 3 x 0 10.0.0.1:1 svc id", "SHARD NONE open 1",
	} {
		rows, fetch, err := goldenStore(t).Execute(text)
		code := ""
		if err != nil {
			code = Code(err)
		}
		answer := fmt.Sprintf("%q %q", rows, code)
		if fetch != nil {
			answer += fmt.Sprint(fetch.Shard, fetch.Epoch, fetch.MaxBytes, fetch.SealAt, fetch.Addr, fetch.Service, fetch.Member,
				fetch.AfterIndex,
				fetch.EntriesStatement)
		}
		cases = append(cases, golden.Of(text, answer))
	}
	for _, text := range []string{"ON s 3 READ x y", "ON s x READ", "ON s 3", "READ x"} {
		shard, epoch, rest, ok := CutShardPrefix(text)
		cases = append(cases, golden.Of(text, fmt.Sprint(shard, " ", epoch, " ", rest, " ", ok)))
	}
	store := goldenStore(t)
	for _, rows := range [][]string{nil, {"x"}, {"0", "x"}, {"7", `{"N":1,"ID":"a","Bytes":3,"Body":"YWJj"}`}, {"0",
		`{"N":9}`}} {
		fetched, err := store.ApplyFetch(&FetchRequest{Shard: "comes", Epoch: 3, SealAt: 1}, rows)
		cases = append(cases, golden.Of(fmt.Sprint("fetched ", rows), fmt.Sprint(fetched, err)))
	}
	for _, err := range []error{ErrNoCapacity, ErrAborted, ErrStaleEpoch, ErrIncomplete, ErrWrongState, &MovedError{7},
		fmt.Errorf("x: %w", ErrStaleEpoch), errors.New("x")} {
		cases = append(cases, golden.Of("code "+err.Error(), Code(err)))
	}
	cases = append(cases, golden.Of("stamp", EffectPosition("s", Entry{Index: 7})))
	golden.Text(t, "testdata/statements.txt", cases)
}

// The digest covers two nodes that execute random statements: every answer and the complete state after it, in order.
func TestDecisionDigest(t *testing.T) {
	const recorded = 0xa4c9691abeb21fe1
	trace := fnv.New64a()
	canonical, err := cbor.CanonicalEncOptions().EncMode()
	if err != nil {
		t.Fatal(err)
	}
	for seed := range uint64(40) {
		r := rand.New(rand.NewPCG(seed, 3))
		nodes := []*Store{NewStore(3000, 200), NewStore(3000, 200)}
		epochs := map[string]uint64{"s0": 1, "s1": 1, "s2": 1}
		for step := range 400 {
			store, shard := nodes[r.IntN(2)], fmt.Sprint("s", r.IntN(3))
			if r.IntN(30) == 0 {
				epochs[shard]++
			}
			answer := executeRandomOperation(r, nodes, store, shard, epochs[shard]-uint64(r.IntN(8)/7))
			for _, store := range nodes {
				b, err := canonical.Marshal(store)
				if err != nil {
					t.Fatal(err)
				}
				_, _ = trace.Write(b)
				_, _ = fmt.Fprint(trace, store.FreeBytes(), store.UsedBytes())
			}
			_, _ = fmt.Fprint(trace, step, answer)
		}
	}
	if got := trace.Sum64(); got != recorded {
		t.Errorf("the digest is %#x, recorded: %#x", got, uint64(recorded))
	}
}

// executeRandomOperation executes a random operation on a node and returns its answer.
func executeRandomOperation(r *rand.Rand, nodes []*Store, store *Store, shard string, epoch uint64) string {
	code := func(err error) string {
		if err == nil {
			return ""
		}
		return Code(err)
	}
	lastIndex := uint64(0)
	for _, node := range nodes {
		if replica := node.Replicas[shard]; replica != nil {
			lastIndex = max(lastIndex, replica.LastIndex())
		}
	}
	id := fmt.Sprint("id", r.IntN(60))
	switch operation := r.IntN(22); operation {
	case 0, 1, 2, 3:
		e, err := store.Write(shard, epoch, id, make([]byte, r.IntN(300)))
		return fmt.Sprint(e.Index, code(err))
	case 4:
		return code(store.CheckRead(shard, epoch))
	case 5:
		return code(store.BeginTransaction(shard, epoch))
	case 6:
		e, err := store.CommitTransaction(shard, epoch, id, make([]byte, r.IntN(100)))
		return fmt.Sprint(e.Index, code(err))
	case 7:
		store.EndTransaction(shard, epoch)
	case 8:
		e, err := store.ResolveAttempt(shard, epoch, id)
		return fmt.Sprint(e.Index, code(err))
	case 9:
		store.SetExternal(int64(r.IntN(1200)))
	case 10:
		store.Recover()
	case 11, 12, 13, 14:
		_, fetch, err := store.Execute(fmt.Sprintf("SHARD FETCH %s %d %d %d a s i", shard, epoch, 100+r.IntN(500),
			lastIndex*uint64(r.IntN(2))))
		if err != nil {
			return code(err)
		}
		rows, _, err := nodes[r.IntN(2)].Execute(fetch.EntriesStatement)
		if err != nil {
			return code(err)
		}
		rows, err = store.ApplyFetch(fetch, rows)
		return fmt.Sprint(rows, code(err))
	default:
		text := []string{"RESERVE %s %d 700", "SEAL %s %d " + fmt.Sprint(lastIndex), "HOLD %s %d 0",
			"HOLD %s %d " + fmt.Sprint(lastIndex),
			"CLOSE %s %d", "CUT %s %d", "DROP %s %d", "ABANDON %s %d", "RESERVE %s %d 100"}[r.IntN(9)]
		rows, _, err := store.Execute("SHARD " + fmt.Sprintf(text, shard, epoch))
		return fmt.Sprint(rows, code(err))
	}
	return ""
}

// Other nodes decode entries by the names of their JSON fields.
func TestEntryRowsAreReadByName(t *testing.T) {
	rows, _, err := goldenStore(t).Execute("SHARD ENTRIES open 1 0 1000")
	if err != nil {
		t.Fatal(err)
	}
	var entry map[string]any
	if err := json.Unmarshal([]byte(rows[1]), &entry); err != nil || entry["N"] != 1.0 || entry["ID"] != "c.1" {
		t.Errorf("%v %v", entry, err)
	}
}
