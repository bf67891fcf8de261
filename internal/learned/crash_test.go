package learned

import (
	"fmt"
	"testing"

	"weirwind/internal/durable"
	"weirwind/internal/standin/disk"
)

// A crash in each operation of the file system while a table is saved: what is recovered is the state after one of its
// steps, never an earlier one than was saved.
func TestCrashInEveryOperation(t *testing.T) {
	o := durable.Options{Folder: "d", Tag: Tag}
	for point := 1; ; point++ {
		for fate := range disk.Outcomes {
			d := disk.New()
			d.CrashAt = point
			var states []string
			safe := saveSteps(d, o, &states)
			if d.Operations() < point {
				if point < 25 {
					t.Fatalf("only %d operations", point)
				}
				return
			}
			found, err := durable.Recover(d.AfterCrash(fate, uint64(point)), o)
			if err != nil {
				t.Fatal(err)
			}
			if found.Snapshot == nil {
				if safe >= 0 {
					t.Fatalf("killed at %d: nothing is found", point)
				}
				continue
			}
			s, err := Load(found.Snapshot, found.Records)
			if err != nil {
				t.Fatalf("killed at %d: %v", point, err)
			}
			at := -1
			for i, h := range states {
				if h == string(s.Snapshot()) {
					at = i
				}
			}
			if at < safe {
				t.Fatalf("killed at %d: what is found is step %d, saved was %d", point, at, safe)
			}
		}
	}
}

// saveSteps saves a table for some steps and returns the last step that was saved; states are its snapshots after each.
func saveSteps(d *disk.Disk, o durable.Options, states *[]string) (safe int) {
	safe = -1
	store, _, err := durable.Open(d, o)
	if err != nil {
		return safe
	}
	b := NewTable(testConfig(), nil, at(0))
	b.StartRun(at(0))
	for i := range 8 {
		ms := float64(i) * 1000
		records := b.UpdateMembership(at(ms), int64(40+i), true, entriesUp("1", "2", fmt.Sprint(i)))
		if len(records) > 1 {
			panic("one step in several records")
		}
		*states = append(*states, string(b.Snapshot()))
		if i%3 == 0 {
			err = store.Compact(b.Snapshot())
		} else {
			err = store.Append(records...)
		}
		if err != nil {
			return safe
		}
		safe = i
	}
	return safe
}
