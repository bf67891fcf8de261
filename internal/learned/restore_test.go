package learned

import (
	"fmt"
	"math"
	"testing"

	"weirwind/logic"
)

func (r *Restored) member(id string) logic.MemberMemory {
	for _, m := range r.Memory.Members {
		if m.Member == id {
			return m
		}
	}
	return logic.MemberMemory{}
}

// Evidence keeps its date, hints decay with age, and announcements hold.
func TestRestoreByAge(t *testing.T) {
	for _, c := range []struct {
		age               float64 // milliseconds between the last save and the start
		position, ejected bool    // whether they are still valid
		window, readTime  float64
	}{
		{100, true, true, 15.9, 80},
		{1900, true, true, 14, 82},
		{2500, false, true, 13.4, 83},
		{8000, false, false, 9.2, 88.5},
		{3600e3, false, false, 0, 0},
	} {
		t.Run(fmt.Sprint(c.age, " ms"), func(t *testing.T) {
			r := Restore(savedState(t, 0), testConfig(), at(c.age), Membership{Revision: 30, Entries: entriesUp("1")})
			one, two, three := r.member("1"), r.member("2"), r.member("3")
			if r.Verdict != VerdictTrusted || r.Memory.TrustWindow != 2000 || r.Age != c.age {
				t.Errorf("%+v", r)
			}
			if !r.FromSaved || len(r.Membership.Entries) != 3 {
				t.Errorf("membership %+v", r.Membership)
			}
			if g := r.Memory.Groups[0]; g.Primary != "1" || !g.InSlot || g.SeenAt != baseTime-20 {
				t.Errorf("slot %+v: the evidence has a wrong date", g)
			}
			if (one.Position > 0) != c.position || (two.EjectedAt > 0) != c.ejected || two.Disconnected != c.ejected {
				t.Errorf("%+v %+v", one, two)
			}
			if three.Position > 0 || (three.StartedAt > 0) != (c.age+4020 < 10000) {
				t.Errorf("%+v: position or start is too old", three)
			}
			if math.Abs(one.Window-c.window) > 0.1 || math.Abs(r.Memory.OpTypes[0].Typical-c.readTime) > 1 {
				t.Errorf("window %g, usual time %g", one.Window, r.Memory.OpTypes[0].Typical)
			}
			if r.Memory.Ceiling != baseTime+c.age+100 && r.Memory.Ceiling != baseTime+2100 {
				t.Errorf("ceiling is %g", r.Memory.Ceiling-baseTime)
			}
		})
	}
}

// Clock steps between two runs must not make evidence younger.
func TestSteppedClocks(t *testing.T) {
	for name, c := range map[string]struct {
		wall, uptime float64 // wall after baseTime; uptime absolute
		boot         string
		verdict      Verdict
		trust        float64
		age          float64
	}{
		"back by hours":               {1000, 5e6 + 7200e3, "one", VerdictTrusted, 2000, 7200e3},
		"ahead":                       {9e9, 5e6 + 1000, "one", VerdictTrusted, 2000, 1000},
		"back before the save":        {-5000, 5e6 + 1000, "one", VerdictTrusted, 2000, 1000},
		"another boot":                {1000, 100, "two", VerdictUncertain, 0, 1000},
		"unknown boot":                {1000, 100, "", VerdictUncertain, 0, 1000},
		"in the future, another boot": {-5000, 100, "two", VerdictFuture, 0, 0},
		"uptime went back":            {1000, 100, "one", VerdictUncertain, 0, 1000},
	} {
		t.Run(name, func(t *testing.T) {
			now := Timestamp{Wall: baseTime + c.wall, Uptime: c.uptime, BootID: c.boot}
			r := Restore(savedState(t, 0), testConfig(), now, Membership{Revision: 30})
			if r.Verdict != c.verdict || r.Memory.TrustWindow != c.trust || r.Age != c.age || !r.FromSaved {
				t.Errorf("%s, trust %g, age %g", r.Verdict, r.Memory.TrustWindow, r.Age)
			}
			if r.Memory.Ceiling < now.Wall+100 {
				t.Errorf("ceiling lies %g ms before the start", now.Wall-r.Memory.Ceiling)
			}
			if c.verdict == VerdictFuture {
				if len(r.Memory.Groups)+len(r.Memory.Members) > 0 {
					t.Errorf("evidence is restored: %+v", r.Memory)
				}
				return
			}
			if g := r.Memory.Groups[0]; math.Abs(now.Wall-g.SeenAt-c.age-20) > 0.001 {
				t.Errorf("the slot's evidence is %g ms old, want %g", now.Wall-g.SeenAt, c.age+20)
			}
			if one := r.member("1"); one.Position > 0 {
				t.Error("a position dated by another clock is restored")
			}
		})
	}
}

func TestStateOfAnotherDriver(t *testing.T) {
	config, given := testConfig(), Membership{Revision: 7, Entries: entriesUp("9")}
	config.Name = "n1"
	r := Restore(savedState(t, 0), config, at(100), given)
	if r.Verdict != VerdictOtherDriver || r.FromSaved || len(r.Memory.Members) > 0 || r.Membership.Revision != 7 {
		t.Errorf("%+v", r)
	}
	if m := NewTable(config, savedState(t, 0), at(100)).State().Meta; m.Revision != 0 {
		t.Errorf("a new table starts with %+v", m)
	}
}

func TestNoState(t *testing.T) {
	r := Restore(nil, testConfig(), at(100), Membership{Revision: 7})
	if r.Verdict != VerdictNone || r.Memory.Ceiling != baseTime+200 {
		t.Errorf("%+v", r)
	}
}

// Op types are identified by name; with a different latency target the hints don't apply.
func TestOtherOpTypes(t *testing.T) {
	config := testConfig()
	config.OpTypes = []OpType{{"write", 500}, {"read", 900}, {"new", 100}}
	opTypes := Restore(savedState(t, 0), config, at(0), Membership{Revision: 7}).Memory.OpTypes
	if len(opTypes) != 3 || opTypes[0].Typical != 120 || opTypes[1].Typical != 0 || opTypes[2].Typical != 0 {
		t.Errorf("%+v", opTypes)
	}
}

// A newer membership replaces the saved one, and invalidates evidence of members that it lists as moved, restarted or
// removed.
func TestNewerMembership(t *testing.T) {
	given := Membership{Revision: 42, Entries: entriesUp("1", "2", "3")}
	given.Entries[0].Address = "127.0.0.1:99"   // replaced by another instance of the same name
	given.Entries[1].StartedAt = baseTime - 100 // restarted
	given.Entries[2].Group = 4
	r := Restore(savedState(t, 0), testConfig(), at(100), given)
	if r.FromSaved || r.member("1") != (logic.MemberMemory{}) || r.member("3") != (logic.MemberMemory{}) {
		t.Errorf("moved members keep their evidence: %+v", r)
	}
	if two := r.member("2"); two.EjectedAt > 0 || two.Position > 0 {
		t.Errorf("a restarted member keeps its evidence: %+v", two)
	}
	if g := r.Memory.Groups[0]; g.Primary != "" {
		t.Errorf("the primary has moved, and is kept: %+v", g)
	}
	r = Restore(savedState(t, 0), testConfig(), at(100), Membership{Revision: 42, Entries: entriesUp("2", "3", "4")})
	if r.Memory.Groups[0].Primary != "" || len(r.Memory.Members) != 2 {
		t.Errorf("the primary was removed, and is kept: %+v", r)
	}
}

// The membership that was announced last is restored, whatever membership a start is given, and its drains stay in
// force. After revisions have gone back, revisions of earlier epochs don't count as newer.
func TestNewestMembershipIsRestored(t *testing.T) {
	table := NewTable(testConfig(), nil, at(0))
	table.StartRun(at(0))
	phase := func(given int64) string {
		r := Restore(table.State(), testConfig(), at(100), Membership{Revision: given, Entries: entriesUp("1", "2")})
		for _, e := range r.Membership.Entries {
			if e.ID == "2" {
				return e.Phase
			}
		}
		return "gone"
	}

	table.UpdateMembership(at(0), 41, true, entriesUp("1", "2"))
	drains := entriesUp("2")
	drains[0].Phase = "draining"
	if len(table.UpdateMembership(at(1), 42, false, drains)) != 1 || table.UpdateMembership(at(2), 42, false, drains) != nil {
		t.Error("want one record for a drain, and none for a duplicate")
	}
	if phase(41) != "draining" || phase(42) != "draining" || phase(43) != PhaseUp {
		t.Errorf("drained at 42: given 41 %s, 42 %s, 43 %s", phase(41), phase(42), phase(43))
	}

	table.UpdateMembership(at(3), 43, false, []Entry{{ID: "2", Phase: PhaseRemoved}})
	if phase(42) != "gone" || phase(44) != PhaseUp {
		t.Errorf("removed at 43: given 42 %s, 44 %s", phase(42), phase(44))
	}

	table.UpdateMembership(at(4), 5, true, entriesUp("1", "3")) // the registry restarts its revisions
	if table.State().Meta.Epoch != 1 || phase(43) != "gone" || phase(44) != PhaseUp {
		t.Errorf("epoch %d: given 43 %s, 44 %s", table.State().Meta.Epoch, phase(43), phase(44))
	}
}
