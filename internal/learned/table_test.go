package learned

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"weirwind/logic"
)

// A position reserved ahead holds where the clock was stepped back right behind a write; an absurd one does not.
func TestMaxPositionIsReservedAhead(t *testing.T) {
	config := testConfig()
	config.SessionsTrackPosition = false
	table := NewTable(config, nil, at(0))
	table.StartRun(at(0))
	steppedBack := Timestamp{Wall: day - 50, Uptime: 5e6 + 300, BootID: "one"}
	if r := Restore(table.State(), config, steppedBack, Membership{}); r.Memory.Ceiling != day+2100 {
		t.Error("the position reserved does not hold")
	}
	if table.Update(at(400), &logic.Memory{}, false) != nil {
		t.Error("renewed too early")
	}
	last := day + 2100
	for ms := 1000.0; ms < 20000; ms += 1000 { // every commit until the next save lies below what is on disk
		table.Update(at(ms), &logic.Memory{}, false)
		position := table.State().Meta.MaxPosition
		if position < day+ms+1000+maxPositionLead || position < last {
			t.Fatalf("at %g up to %g is reserved", ms, position-day)
		}
		last = position
	}
	r := Restore(table.State(), config, Timestamp{Wall: day - 7200e3, BootID: "two"}, Membership{})
	if r.Memory.Ceiling != day-7200e3+100 || len(r.Discarded) == 0 {
		t.Errorf("a position two hours ahead: %+v", r)
	}
}

// Steady knowledge costs no writes; each kind of change is written as often as it is worth.
func TestWhatIsWorthAWrite(t *testing.T) {
	config := testConfig()
	config.MinSwitchover = 0
	table := NewTable(config, nil, at(0))
	table.StartRun(at(0))
	table.UpdateMembership(at(0), 41, true, entriesUp("1", "2", "3"))
	k := memoryAt(-20)
	table.Update(at(0), k, false)
	for _, step := range []struct {
		name           string
		at             float64
		change         func()
		minimum, bytes int
	}{
		{"what is of no use after a restart", 1000, func() {
			k.Members[0].Position += 1000
			k.Groups[0].SeenAt += 1000
			k.OpTypes[0].Typical++
		}, 0, 0},
		{"a member ejected", 1100, func() { k.Members[0].EjectedAt = day + 1000 }, 1, 200},
		{"a slot emptied", 1200, func() { k.Groups[0].InSlot = false }, 1, 200},
		{"a hint that has doubled, too early", 2000, func() { k.OpTypes[0].Typical *= 2 }, 0, 0},
		{"that hint in its time", 11000, func() {}, 1, 1 << 20},
		{"the timestamp alone", 15000, func() {}, 1, 100},
		{"a sighting that is of use", 16000, func() {
			table.config.MinSwitchover = 2000
			k.Groups[0].SeenAt += 3000
		}, 1, 100},
	} {
		step.change()
		bytes := 0
		for _, r := range table.Update(at(step.at), k, false) {
			bytes += len(r)
		}
		if bytes < step.minimum || bytes > step.bytes {
			t.Errorf("%s: %d bytes", step.name, bytes)
		}
	}
	if g := table.State().Groups[3]; g.SeenAt > k.Groups[0].SeenAt || g.SeenAt < k.Groups[0].SeenAt-2 {
		t.Errorf("seen at %g is saved as %g", k.Groups[0].SeenAt-day, g.SeenAt-day)
	}
}

// Whatever happens in whatever order: the records give the state that the table holds, the snapshot too.
func TestRecordsGiveTheState(t *testing.T) {
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
				complete := rapid.Bool().Draw(t, "whole")
				records = append(records, table.UpdateMembership(at(now), revision, complete, entries)...)
				continue
			}
			var k logic.Memory
			for _, id := range ids.Draw(t, "known") {
				k.Members = append(k.Members, logic.MemberMemory{
					Member:    id,
					Group:     1,
					Position:  day + rapid.Float64Range(0, 1e6).Draw(t, "position"),
					EjectedAt: float64(rapid.IntRange(0, 2).Draw(t, "aside")),
					Window:    rapid.Float64Range(1, 40).Draw(t, "window"),
				})
				held := rapid.Bool().Draw(t, "held")
				k.Groups = []logic.GroupMemory{{Group: 1, Primary: id, InSlot: held, SeenAt: day + now - 5}}
			}
			records = append(records, table.Update(at(now), &k, rapid.Bool().Draw(t, "last"))...)
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
