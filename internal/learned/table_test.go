package learned

import (
	"reflect"
	"testing"

	"pgregory.net/rapid"

	"weirwind/logic"
)

// A position reserved ahead holds where the clock was stepped back right behind a write; an absurd one does not.
func TestMaxPositionIsReservedAhead(t *testing.T) {
	r := testConfig()
	r.SessionsTrackPosition = false
	b := NewTable(r, nil, at(0))
	b.StartRun(at(0))
	if Restore(b.State(), r, Timestamp{Wall: day - 50, Uptime: 5e6 + 300, BootID: "one"}, Membership{}).Memory.Ceiling != day+2100 {
		t.Error("the ceiling reserved does not hold")
	}
	if b.Update(at(400), &logic.Memory{}, false) != nil {
		t.Error("renewed too early")
	}
	last := day + 2100
	for ms := 1000.0; ms < 20000; ms += 1000 { // every commit until the next save lies under what is on disk
		if b.Update(at(ms), &logic.Memory{}, false); b.State().Meta.MaxPosition < day+ms+1000+maxPositionLead || b.State().Meta.MaxPosition < last {
			t.Fatalf("at %g the ceiling is %g", ms, b.State().Meta.MaxPosition-day)
		}
		last = b.State().Meta.MaxPosition
	}
	if got := Restore(b.State(), r, Timestamp{Wall: day - 7200e3, BootID: "two"}, Membership{}); got.Memory.Ceiling != day-7200e3+100 || len(got.Discarded) == 0 {
		t.Errorf("a ceiling two hours ahead: %+v", got)
	}
}

// Steady knowledge costs no writes; each kind of change is written as often as it is worth.
func TestWhatIsWorthAWrite(t *testing.T) {
	r := testConfig()
	r.MinSwitchover = 0
	b := NewTable(r, nil, at(0))
	b.StartRun(at(0))
	b.UpdateMembership(at(0), 41, true, entriesUp("1", "2", "3"))
	k := memoryAt(-20)
	b.Update(at(0), k, false)
	wrote := func(ms float64, change func()) int {
		change()
		n := 0
		for _, x := range b.Update(at(ms), k, false) {
			n += len(x)
		}
		return n
	}
	if n := wrote(1000, func() { k.Members[0].Position += 1000; k.Groups[0].Seen += 1000; k.OpTypes[0].Took++ }); n != 0 {
		t.Errorf("%d bytes for what is of no use after a restart", n)
	}
	if n := wrote(1100, func() { k.Members[0].Aside = day + 1000 }); n == 0 || n > 200 {
		t.Errorf("%d bytes for a member set aside", n)
	}
	if n := wrote(1200, func() { k.Groups[0].Held = false }); n == 0 || n > 200 {
		t.Errorf("%d bytes for a slot emptied", n)
	}
	if n := wrote(2000, func() { k.OpTypes[0].Took *= 2 }); n != 0 {
		t.Errorf("%d bytes for a hint, too early", n)
	}
	if n := wrote(11000, func() {}); n == 0 {
		t.Error("a hint that has doubled is worth a write by now")
	}
	if n := wrote(15000, func() {}); n == 0 || n > 100 {
		t.Errorf("%d bytes for the moment alone", n)
	}
	b.config.MinSwitchover = 2000
	if n := wrote(16000, func() { k.Groups[0].Seen += 3000 }); n == 0 || n > 100 {
		t.Errorf("%d bytes for a sighting that is of use", n)
	}
	if g := b.State().Groups[3]; g.SeenAt > k.Groups[0].Seen || g.SeenAt < k.Groups[0].Seen-2 {
		t.Errorf("seen %g is kept as %g", k.Groups[0].Seen-day, g.SeenAt-day)
	}
}

// Whatever happens in whatever order: the records give the state that the table holds, the snapshot too.
func TestRecordsGiveTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewTable(testConfig(), nil, at(0))
		b.StartRun(at(0))
		first, now := b.Snapshot(), 0.0
		var records [][]byte
		ids := rapid.SliceOfNDistinct(rapid.StringMatching("[a-e]"), 0, 5, rapid.ID[string])
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += rapid.Float64Range(0, 20000).Draw(t, "later")
			if rapid.Bool().Draw(t, "list") {
				entries := entriesUp(ids.Draw(t, "listed")...)
				for i := range entries {
					entries[i].Phase = rapid.SampledFrom([]string{PhaseUp, "draining", PhaseRemoved}).Draw(t, "phase")
				}
				records = append(records, b.UpdateMembership(at(now), rapid.Int64Range(0, 50).Draw(t, "revision"), rapid.Bool().Draw(t, "whole"), entries)...)
				continue
			}
			var k logic.Memory
			for _, id := range ids.Draw(t, "known") {
				k.Members = append(k.Members, logic.MemberMemory{Member: id, Group: 1, Position: day + rapid.Float64Range(0, 1e6).Draw(t, "position"),
					Aside: float64(rapid.IntRange(0, 2).Draw(t, "aside")), Window: rapid.Float64Range(1, 40).Draw(t, "window")})
				k.Groups = []logic.GroupMemory{{Group: 1, Slot: id, Held: rapid.Bool().Draw(t, "held"), Seen: day + now - 5}}
			}
			records = append(records, b.Update(at(now), &k, rapid.Bool().Draw(t, "last"))...)
		}
		got, err := Load(first, records)
		if err != nil {
			t.Fatal(err)
		}
		// the list may be taken as it is without a write when nothing in it changes
		if !reflect.DeepEqual(got, b.State()) {
			t.Fatalf("records give %+v\nthe table holds %+v", got, b.State())
		}
		if again, err := Load(b.Snapshot(), nil); err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%v: the snapshot gives %+v", err, again)
		}
	})
}
