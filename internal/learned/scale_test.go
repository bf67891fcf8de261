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

const manyMembers, manyGroups = 10000, 1000

// largeTable is a table of many members, and the decision module's memory of them at a time.
func largeTable() (*Table, func(ms float64) *logic.Memory) {
	b := NewTable(testConfig(), nil, at(0))
	b.StartRun(at(0))
	var entries []Entry
	for i := range manyMembers {
		entries = append(entries, Entry{ID: fmt.Sprintf("s-%08x", i*2654435761%(1<<32)), Address: fmt.Sprintf("10.%d.%d.%d:6432", i>>16, i>>8&255, i&255),
			Zone: "a", Group: int64(i % manyGroups), Phase: PhaseUp, Access: "reader"})
	}
	b.UpdateMembership(at(0), 41, true, entries)
	return b, func(ms float64) *logic.Memory {
		k := &logic.Memory{OpTypes: []logic.TypeMemory{{Typical: 80, Best: 40}, {Typical: 120, Best: 100}}}
		for i := range manyGroups {
			k.Groups = append(k.Groups, logic.GroupMemory{Group: int64(i), Primary: entries[i].ID, InSlot: true, SeenAt: day + ms - float64(i%900), WorkRate: 1.5})
		}
		for i, e := range entries {
			k.Members = append(k.Members, logic.MemberMemory{Member: e.ID, Group: e.Group, Position: day + ms - float64(i%300), Window: 4 + float64(i%17)})
		}
		return k
	}
}

// BenchmarkSave: an update of a large table, nearly all of whose primaries were seen anew, down to the disk.
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
		k := memory(ms)
		b.StartTimer()
		records := table.Update(at(ms), k, false)
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

// BenchmarkSnapshot: all of it anew, as at a start and when the log has grown long.
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

// BenchmarkRecovery: from files to what is restored.
func BenchmarkRecovery(b *testing.B) {
	table, memory := largeTable()
	o := durable.Options{Folder: b.TempDir(), Tag: Tag}
	store, _, err := durable.Open(durable.OS{}, o)
	if err != nil || store.Compact(table.Snapshot()) != nil {
		b.Fatal(err)
	}
	if err := store.Append(table.Update(at(0), memory(0), true)...); err != nil {
		b.Fatal(err)
	}
	b.ReportAllocs()
	for b.Loop() {
		found, err := durable.Recover(durable.OS{}, o)
		if err != nil {
			b.Fatal(err)
		}
		s, err := Load(found.Snapshot, found.Records)
		if err != nil {
			b.Fatal(err)
		}
		if restored := Restore(s, testConfig(), at(100), Membership{}); len(restored.Memory.Members) != manyMembers {
			b.Fatal(len(restored.Memory.Members))
		}
	}
}

// TestSteadyDay counts what an hour of a steady day writes, for a small group and for a large table.
func TestSteadyDay(t *testing.T) {
	hour := func(b *Table, memory func(float64) *logic.Memory, seconds int) (bytes int) {
		for s := range seconds {
			for _, r := range b.Update(at(float64(s)*1000), memory(float64(s)*1000), false) {
				bytes += len(r) + 16
			}
		}
		return bytes * 3600 / seconds
	}
	b := NewTable(testConfig(), nil, at(0))
	b.StartRun(at(0))
	b.UpdateMembership(at(0), 41, true, entriesUp("1", "2", "3"))
	small := hour(b, func(ms float64) *logic.Memory { return memoryAt(ms) }, 3600)
	many, memory := largeTable()
	large := hour(many, memory, 60)
	t.Logf("bytes an hour in records: 3 members %d, %d members %d", small, manyMembers, large)
	if small > 1<<20 || large > 256<<20 {
		t.Errorf("%d and %d bytes an hour", small, large)
	}
}
