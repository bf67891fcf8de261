package learned

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"weirwind/logic"
)

// A reserved position holds if the clock is stepped back right after a write. A position too far ahead is discarded.
func TestMaxPositionIsReservedAhead(t *testing.T) {
	config := testConfig()
	config.SessionsTrackPosition = false
	table := NewTable(config, nil, at(0))
	table.StartRun(at(0))
	steppedBack := Timestamp{Wall: baseTime - 50, Uptime: 5e6 + 300, BootID: "one"}
	if r := Restore(table.State(), config, steppedBack, Membership{}); r.Memory.Ceiling != baseTime+2100 {
		t.Error("the reserved position is not restored")
	}
	if table.Update(at(400), &logic.Memory{}, false) != nil {
		t.Error("renewed too early")
	}
	last := baseTime + 2100
	for ms := 1000.0; ms < 20000; ms += 1000 { // all commits until the next save lie below the saved position
		table.Update(at(ms), &logic.Memory{}, false)
		position := table.State().Meta.MaxPosition
		if position < baseTime+ms+1000+maxPositionLead || position < last {
			t.Fatalf("at %g the reserved position is %g", ms, position-baseTime)
		}
		last = position
	}
	r := Restore(table.State(), config, Timestamp{Wall: baseTime - 7200e3, BootID: "two"}, Membership{})
	if r.Memory.Ceiling != baseTime-7200e3+100 || len(r.Discarded) == 0 {
		t.Errorf("a position two hours ahead is kept: %+v", r)
	}
}

// Unchanged knowledge isn't written; each kind of change is written at its own interval.
func TestUpdateWritesOnlyUsefulChanges(t *testing.T) {
	config := testConfig()
	config.MinSwitchover = 0
	table := NewTable(config, nil, at(0))
	table.StartRun(at(0))
	table.UpdateMembership(at(0), 41, true, entriesUp("1", "2", "3"))
	memory := memoryAt(-20)
	table.Update(at(0), memory, false)
	for _, step := range []struct {
		name           string
		at             float64
		change         func()
		minimum, bytes int
	}{
		{"changes without use after a restart", 1000, func() {
			memory.Members[0].Position += 1000
			memory.Groups[0].SeenAt += 1000
			memory.OpTypes[0].Typical++
		}, 0, 0},
		{"a member ejected", 1100, func() { memory.Members[0].EjectedAt = baseTime + 1000 }, 1, 200},
		{"a slot emptied", 1200, func() { memory.Groups[0].InSlot = false }, 1, 200},
		{"a doubled hint before its interval", 2000, func() { memory.OpTypes[0].Typical *= 2 }, 0, 0},
		{"the hint after its interval", 11000, func() {}, 1, 1 << 20},
		{"the timestamp alone", 15000, func() {}, 1, 100},
		{"a useful sighting", 16000, func() {
			table.config.MinSwitchover = 2000
			memory.Groups[0].SeenAt += 3000
		}, 1, 100},
	} {
		step.change()
		bytes := 0
		for _, r := range table.Update(at(step.at), memory, false) {
			bytes += len(r)
		}
		if bytes < step.minimum || bytes > step.bytes {
			t.Errorf("%s: %d bytes", step.name, bytes)
		}
	}
	if g := table.State().Groups[3]; g.SeenAt > memory.Groups[0].SeenAt || g.SeenAt < memory.Groups[0].SeenAt-2 {
		t.Errorf("sighting at %g is saved as %g", memory.Groups[0].SeenAt-baseTime, g.SeenAt-baseTime)
	}
}

// After any sequence of updates, the records and the snapshot must reproduce the table's state.
func TestRecordsReproduceState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		table := NewTable(testConfig(), nil, at(0))
		table.StartRun(at(0))
		first, now := table.Snapshot(), 0.0
		var records [][]byte
		ids := rapid.SliceOfNDistinct(rapid.StringMatching("[a-e]"), 0, 5, rapid.ID[string])
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += rapid.Float64Range(0, 20000).Draw(t, "later")
			if rapid.Bool().Draw(t, "list") {
				entries := entriesUp(ids.Draw(t, "listed")...)
				for i := range entries {
					entries[i].Phase = rapid.SampledFrom([]string{PhaseUp, "draining", PhaseRemoved}).Draw(t, "phase")
				}
				revision := rapid.Int64Range(0, 50).Draw(t, "revision")
				complete := rapid.Bool().Draw(t, "complete")
				records = append(records, table.UpdateMembership(at(now), revision, complete, entries)...)
				continue
			}
			var memory logic.Memory
			for _, id := range ids.Draw(t, "known") {
				memory.Members = append(memory.Members, logic.MemberMemory{
					Member:    id,
					Group:     1,
					Position:  baseTime + rapid.Float64Range(0, 1e6).Draw(t, "position"),
					EjectedAt: float64(rapid.IntRange(0, 2).Draw(t, "ejected")),
					Window:    rapid.Float64Range(1, 40).Draw(t, "window"),
				})
				inSlot := rapid.Bool().Draw(t, "in slot")
				memory.Groups = []logic.GroupMemory{{Group: 1, Primary: id, InSlot: inSlot, SeenAt: baseTime + now - 5}}
			}
			records = append(records, table.Update(at(now), &memory, rapid.Bool().Draw(t, "last"))...)
		}
		got, err := Load(first, records)
		if err != nil {
			t.Fatal(err)
		}
		if !reflect.DeepEqual(got, table.State()) {
			t.Fatalf("records give %+v\nthe table holds %+v", got, table.State())
		}
		if again, err := Load(table.Snapshot(), nil); err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%v: the snapshot gives %+v", err, again)
		}
	})
}
