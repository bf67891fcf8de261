package ledger

import (
	"bytes"
	"fmt"
	"testing"

	"pgregory.net/rapid"
)

var testLimits = Limits{Retention: 1000, Keys: 100, TotalBytes: 1 << 20, AnswerBytes: 50}

// An op with a key is executed once; a retry gets the result of the first execution.
func TestVerdicts(t *testing.T) {
	table := New(testLimits)
	begin := func(now float64, key, statement string, want Verdict) []byte {
		t.Helper()
		v, answer, rec := table.Begin(now, key, Fingerprint([]byte(statement)))
		if v != want || (rec != nil) != (v == Execute) {
			t.Errorf("%s: verdict %d, want %d", key, v, want)
		}
		return answer
	}
	begin(1, "a", "x", Execute)
	begin(2, "a", "x", InProgress)
	begin(2, "a", "y", Conflict)
	table.Finish(3, "a", StateAcked, []byte("rows"))
	if string(begin(4, "a", "x", Replay)) != "rows" {
		t.Error("the stored answer is not replayed")
	}
	if table.Finish(5, "a", StateFree, nil) != nil {
		t.Error("a finished key was finished again")
	}
	begin(5, "b", "x", Execute)
	table.Finish(6, "b", StateFree, nil)
	begin(7, "b", "x", Execute)
	table.Finish(8, "b", StateUnknown, nil)
	begin(9, "b", "x", InDoubt)
	begin(9, "c", "x", Execute)
	table.Finish(9, "c", StateAcked, make([]byte, 51))
	begin(10, "c", "x", AnswerLost)
	begin(1002, "a", "x", Replay)
	begin(1003, "a", "x", Execute) // its retention is over
	begin(1008, "b", "x", Execute)
	if open, acked, unknown, _ := table.Counts(); open != 2 || acked != 1 || unknown != 0 {
		t.Error(open, acked, unknown)
	}
}

// A full table rejects new keys instead of dropping a key that may be retried.
func TestCapacity(t *testing.T) {
	limits := testLimits
	limits.Keys = 3
	table := New(limits)
	for i := range 3 {
		if v, _, _ := table.Begin(1, fmt.Sprint(i), 1); v != Execute {
			t.Fatal(v)
		}
		table.Finish(2, fmt.Sprint(i), StateAcked, nil)
	}
	if v, _, _ := table.Begin(3, "more", 1); v != TableFull {
		t.Error(v)
	}
	if v, _, _ := table.Begin(1002, "more", 1); v != Execute {
		t.Error("no room after a key's retention:", v)
	}
	limits = testLimits
	limits.TotalBytes = 2000
	table = New(limits)
	n := 0
	for ; ; n++ {
		if v, _, _ := table.Begin(1, fmt.Sprint(n), 1); v != Execute {
			break
		}
		table.Finish(1, fmt.Sprint(n), StateAcked, bytes.Repeat([]byte("x"), 50))
	}
	if _, _, _, size := table.Counts(); n < 5 || n > 20 || size > 2000 {
		t.Error(n, size)
	}
	for _, bad := range []Limits{{}, {Retention: 1, Keys: 1, TotalBytes: 10}, {Retention: -1, Keys: 1, TotalBytes: 1000}} {
		if bad.Check() == nil {
			t.Errorf("%+v is accepted", bad)
		}
	}
	if testLimits.Check() != nil {
		t.Error(testLimits.Check())
	}
}

// For any sequence of ops, crashes and losses of unsynced log records, a key runs at most once within its retention,
// and a retry of an acked key never runs.
func TestKeysRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{Retention: 500, Keys: 6, TotalBytes: 4000, AnswerBytes: 20}
		table := New(limits)
		var snap []byte
		var log [][]byte
		synced := 0 // records of the log that are certainly on disk
		now := 0.0
		effects := map[string][]float64{} // by key: when it was executed
		open := map[string]bool{}
		acked := map[string]float64{}
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += float64(rapid.IntRange(0, 60).Draw(t, "pause"))
			key := rapid.SampledFrom([]string{"a", "b", "c", "d"}).Draw(t, "key")
			switch rapid.IntRange(0, 5).Draw(t, "what") {
			case 0, 1, 2:
				v, answer, rec := table.Begin(now, key, 1)
				if at, is := acked[key]; is && now-at < limits.Retention && v != Replay && v != TableFull {
					t.Fatalf("%s was acked at %v and gets %d at %v", key, at, v, now)
				}
				if v == Replay && string(answer) != key {
					t.Fatalf("%s gets %q", key, answer)
				}
				if v != Execute {
					break
				}
				log = append(log, rec)
				synced = len(log) // written before execution
				if open[key] {
					t.Fatalf("%s is executed twice at a time", key)
				}
				open[key] = true
				if rapid.Bool().Draw(t, "runs") {
					for _, at := range effects[key] {
						if now-at < limits.Retention {
							t.Fatalf("%s ran at %v and again at %v", key, at, now)
						}
					}
					effects[key] = append(effects[key], now)
				}
			case 3, 4:
				if !open[key] {
					break
				}
				ran := len(effects[key]) > 0 && now-effects[key][len(effects[key])-1] < limits.Retention
				var rec []byte
				switch {
				case ran && rapid.Bool().Draw(t, "answered"):
					rec = table.Finish(now, key, StateAcked, []byte(key))
					acked[key] = now
				case ran:
					rec = table.Finish(now, key, StateUnknown, nil)
				default:
					rec = table.Finish(now, key, StateFree, nil)
				}
				if rec != nil {
					log = append(log, rec)
				}
				delete(open, key)
			case 5:
				if rapid.Bool().Draw(t, "compacts") {
					snap, log, synced = table.Snapshot(), nil, 0
					break
				}
				log = log[:rapid.IntRange(synced, len(log)).Draw(t, "kept")]
				var err error
				if table, err = Load(limits, now, snap, log); err != nil {
					t.Fatal(err)
				}
				open = map[string]bool{}
				clear(acked) // a lost ack leaves its key in doubt, which permits no second execution; executions are still checked
				synced = len(log)
			}
		}
	})
}

func TestTablesThatCannotBeRead(t *testing.T) {
	table := New(testLimits)
	_, _, rec := table.Begin(1, "a", 7)
	for i, c := range []struct {
		snap    []byte
		records [][]byte
	}{{[]byte("no"), nil}, {nil, [][]byte{[]byte("no")}}, {nil, [][]byte{rec[:len(rec)-1]}}, {nil, [][]byte{encode(record{})}}} {
		if _, err := Load(testLimits, 1, c.snap, c.records); err == nil {
			t.Errorf("case %d is accepted", i)
		}
	}
	again, err := Load(testLimits, 5, table.Snapshot(), [][]byte{rec})
	if err != nil {
		t.Fatal(err)
	}
	if v, _, _ := again.Begin(6, "a", 7); v != InDoubt {
		t.Error("a key that was open at a crash is not in doubt:", v)
	}
}

func BenchmarkBeginAndFinish(b *testing.B) {
	table := New(Limits{Retention: 1e9, Keys: 1 << 30, TotalBytes: 1 << 40, AnswerBytes: 100})
	b.ReportAllocs()
	for i := range b.N {
		key := fmt.Sprint(i)
		table.Begin(float64(i), key, 1)
		table.Finish(float64(i), key, StateAcked, []byte("rows"))
	}
}

func BenchmarkLoadMillion(b *testing.B) {
	limits := Limits{Retention: 1e9, Keys: 1 << 30, TotalBytes: 1 << 40, AnswerBytes: 100}
	table := New(limits)
	for i := range 1000000 {
		key := fmt.Sprintf("key-%08d", i)
		table.Begin(float64(i), key, 1)
		table.Finish(float64(i), key, StateAcked, []byte("rows of an answer"))
	}
	snap := table.Snapshot()
	b.ReportMetric(float64(len(snap))/(1<<20), "MB")
	for b.Loop() {
		if _, err := Load(limits, 1e6, snap, nil); err != nil {
			b.Fatal(err)
		}
	}
}
