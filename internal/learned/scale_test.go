package learned

// Cost at large size: go test -run '^$' -bench . ./internal/learned

import (
	"fmt"
	"os"
	"path/filepath"
	"testing"

	"weirwind/internal/durable"
	"weirwind/logic"
)

const largeMembers, largeGroups = 10000, 1000

// largeTable returns a table of largeMembers members, and a function that returns the memory of them at a time.
func largeTable() (*Table, func(ms float64) *logic.Memory) {
	table := NewTable(testConfig(), nil, at(0))
	table.StartRun(at(0))
	var entries []Entry
	for i := range largeMembers {
		entries = append(entries, Entry{ID: fmt.Sprintf("s-%08x", i*2654435761%(1<<32)), Address: fmt.Sprintf("10.%d.%d.%d:6432", i>>16, i>>8&255, i&255),
			Zone: "a", Group: int64(i % largeGroups), Phase: PhaseUp, Access: "reader"})
	}
	table.UpdateMembership(at(0), 41, true, entries)
	return table, func(ms float64) *logic.Memory {
		memory := &logic.Memory{OpTypes: []logic.TypeMemory{{Typical: 80, Best: 40}, {Typical: 120, Best: 100}}}
		for i := range largeGroups {
			memory.Groups = append(memory.Groups, logic.GroupMemory{Group: int64(i), Primary: entries[i].ID, InSlot: true, SeenAt: baseTime + ms - float64(i%900), WorkRate: 1.5})
		}
		for i, e := range entries {
			memory.Members = append(memory.Members, logic.MemberMemory{Member: e.ID, Group: e.Group, Position: baseTime + ms - float64(i%300), Window: 4 + float64(i%17)})
		}
		return memory
	}
}

// BenchmarkSave measures an update of a large table, with new sightings of nearly all primaries, written to disk.
func BenchmarkSave(b *testing.B) {
	table, memory := largeTable()
	store, _, err := durable.Open(durable.OS{}, durable.Options{Folder: b.TempDir(), Tag: Tag})
	if err != nil || store.Compact(table.Snapshot()) != nil {
		b.Fatal(err)
	}
	table.Update(at(0), memory(0), true)
	ms := 0.0
	b.ReportAllocs()
	for b.Loop() {
		ms += 1000
		b.StopTimer()
		current := memory(ms)
		b.StartTimer()
		records := table.Update(at(ms), current, false)
		if store.NeedsCompaction() {
			err = store.Compact(table.Snapshot())
		} else {
			err = store.Append(records...)
		}
		if err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(store.BytesWritten())/float64(b.N), "B-written/op")
}

// BenchmarkSnapshot measures a complete snapshot, as written at a start and when the log has grown too long.
func BenchmarkSnapshot(b *testing.B) {
	table, memory := largeTable()
	table.Update(at(0), memory(0), true)
	folder := b.TempDir()
	store, _, err := durable.Open(durable.OS{}, durable.Options{Folder: folder, Tag: Tag})
	if err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		if err := store.Compact(table.Snapshot()); err != nil {
			b.Fatal(err)
		}
	}
	names, _ := filepath.Glob(folder + "/*.snapshot")
	info, err := os.Stat(names[0])
	if err != nil {
		b.Fatal(err)
	}
	b.ReportMetric(float64(info.Size()), "B-file")
}

// BenchmarkRecovery measures recovery from the files to the restored state.
func BenchmarkRecovery(b *testing.B) {
	table, memory := largeTable()
	options := durable.Options{Folder: b.TempDir(), Tag: Tag}
	store, _, err := durable.Open(durable.OS{}, options)
	if err != nil || store.Compact(table.Snapshot()) != nil {
		b.Fatal(err)
	}
	if err := store.Append(table.Update(at(0), memory(0), true)...); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		recovered, err := durable.Recover(durable.OS{}, options)
		if err != nil {
			b.Fatal(err)
		}
		state, err := Load(recovered.Snapshot, recovered.Records)
		if err != nil {
			b.Fatal(err)
		}
		if restored := Restore(state, testConfig(), at(100), Membership{}); len(restored.Memory.Members) != largeMembers {
			b.Fatal(len(restored.Memory.Members))
		}
	}
}

// TestBytesWrittenInSteadyState bounds the bytes that are written per hour without changes, for a small group and for a
// large table.
func TestBytesWrittenInSteadyState(t *testing.T) {
	bytesPerHour := func(table *Table, memory func(float64) *logic.Memory, seconds int) (bytes int) {
		for s := range seconds {
			for _, r := range table.Update(at(float64(s)*1000), memory(float64(s)*1000), false) {
				bytes += len(r) + 16
			}
		}
		return bytes * 3600 / seconds
	}
	smallTable := NewTable(testConfig(), nil, at(0))
	smallTable.StartRun(at(0))
	smallTable.UpdateMembership(at(0), 41, true, entriesUp("1", "2", "3"))
	smallBytes := bytesPerHour(smallTable, func(ms float64) *logic.Memory { return memoryAt(ms) }, 3600)
	large, memory := largeTable()
	largeBytes := bytesPerHour(large, memory, 60)
	t.Logf("bytes per hour in records: 3 members %d, %d members %d", smallBytes, largeMembers, largeBytes)
	if smallBytes > 1<<20 || largeBytes > 256<<20 {
		t.Errorf("%d and %d bytes per hour", smallBytes, largeBytes)
	}
}
