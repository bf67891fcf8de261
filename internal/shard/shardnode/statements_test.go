package shardnode

import (
	"fmt"
	"testing"
)

// The statements that the rebalancer sends, and those that FETCH has the target send to the source, move a shard: it is
// copied, closed, sealed, activated at the target and dropped at the source.
func TestMoveByStatements(t *testing.T) {
	source, target := NewStore(1<<20, 0), NewStore(1<<20, 0)
	execute := func(store *Store, format string, args ...any) ([]string, *FetchRequest) {
		t.Helper()
		text := fmt.Sprintf(format, args...)
		rows, fetch, err := store.Execute(text)
		if err != nil {
			t.Fatalf("%s: %v", text, err)
		}
		return rows, fetch
	}
	execute(source, "SHARD HOLD s 1 0")
	const writes = 3
	for i := range writes {
		if _, err := source.Write("s", 1, fmt.Sprint("id", i), []byte("value")); err != nil {
			t.Fatal(err)
		}
	}
	execute(target, "SHARD RESERVE s 1 1000")
	fetchAll := func(last uint64) []string {
		t.Helper()
		_, fetch := execute(target, "SHARD FETCH s 1 1000 %d 10.0.0.1:1 svc source", last)
		if fetch == nil || fetch.Addr != "10.0.0.1:1" || fetch.Service != "svc" || fetch.Member != "source" {
			t.Fatalf("%+v", fetch)
		}
		entries, _ := execute(source, "%s", fetch.EntriesStatement)
		rows, err := target.ApplyFetch(fetch, entries)
		if err != nil {
			t.Fatal(err)
		}
		return rows
	}
	fetchAll(0)
	if got := target.Replicas["s"].LastIndex(); got != writes {
		t.Errorf("%d of %d entries were copied", got, writes)
	}
	rows, _ := execute(source, "SHARD CLOSE s 1")
	if rows[0] != fmt.Sprint(writes, " true") {
		t.Errorf("closed with %q", rows)
	}
	fetchAll(writes)
	if state := target.Replicas["s"].State; state != StateSealed {
		t.Errorf("the replica is %v, want sealed", state)
	}
	execute(target, "SHARD HOLD s 2 %d", writes)
	execute(source, "SHARD DROP s 2")
	if target.Replicas["s"].State != StateOpen || source.Replicas["s"] != nil {
		t.Errorf("%+v %+v", target.Replicas["s"], source.Replicas["s"])
	}
}
