package learned

import (
	"fmt"
	"testing"

	"weirwind/internal/durable"
	"weirwind/internal/standin/disk"
)

// The machine crashes in each file system operation while a table is saved. The recovered state must be the state after
// one of the steps, and not older than the last saved one.
func TestCrashInEveryOperation(t *testing.T) {
	options := durable.Options{Folder: "d", Tag: Tag}
	for crashPoint := 1; ; crashPoint++ {
		for outcome := range disk.Outcomes {
			d := disk.New()
			d.CrashAt = crashPoint
			var states []string
			lastSaved := saveSteps(d, options, &states)
			if d.Operations() < crashPoint {
				if crashPoint < 25 {
					t.Fatalf("only %d operations", crashPoint)
				}
				return
			}
			found, err := durable.Recover(d.AfterCrash(outcome, uint64(crashPoint)), options)
			if err != nil {
				t.Fatal(err)
			}
			if found.Snapshot == nil {
				if lastSaved >= 0 {
					t.Fatalf("crash at operation %d: no state is recovered", crashPoint)
				}
				continue
			}
			state, err := Load(found.Snapshot, found.Records)
			if err != nil {
				t.Fatalf("crash at operation %d: %v", crashPoint, err)
			}
			recoveredStep := -1
			for i, saved := range states {
				if saved == string(state.Snapshot()) {
					recoveredStep = i
				}
			}
			if recoveredStep < lastSaved {
				t.Fatalf("crash at operation %d: recovered step %d, saved step %d", crashPoint, recoveredStep, lastSaved)
			}
		}
	}
}

// saveSteps saves a table for some steps and returns the last saved step. states receives its snapshot after each step.
func saveSteps(d *disk.Disk, options durable.Options, states *[]string) (lastSaved int) {
	lastSaved = -1
	store, _, err := durable.Open(d, options)
	if err != nil {
		return lastSaved
	}
	table := NewTable(testConfig(), nil, at(0))
	table.StartRun(at(0))
	for i := range 8 {
		ms := float64(i) * 1000
		records := table.UpdateMembership(at(ms), int64(40+i), true, entriesUp("1", "2", fmt.Sprint(i)))
		if len(records) > 1 {
			panic("one step returned several records")
		}
		*states = append(*states, string(table.Snapshot()))
		if i%3 == 0 {
			err = store.Compact(table.Snapshot())
		} else {
			err = store.Append(records...)
		}
		if err != nil {
			return lastSaved
		}
		lastSaved = i
	}
	return lastSaved
}
