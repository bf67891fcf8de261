package learned

import (
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

// What is restored by age: evidence keeps its date, hints decay, what was announced holds.
func TestRestoreByAge(t *testing.T) {
	for _, x := range []struct {
		after            float64
		position, aside  bool
		window, tookRead float64
	}{{100, true, true, 15.9, 80}, {1900, true, true, 14, 82}, {2500, false, true, 13.4, 83}, {8000, false, false, 9.2, 88.5}, {3600e3, false, false, 0, 0}} {
		b := Restore(savedState(t, 0), testConfig(), at(x.after), Membership{Revision: 30, Entries: entriesUp("1")})
		one, two, three := b.member("1"), b.member("2"), b.member("3")
		if b.Verdict != VerdictTrusted || b.Memory.Trust != 2000 || b.Age != x.after || !b.FromSaved || len(b.Membership.Entries) != 3 {
			t.Errorf("after %g: %+v", x.after, b)
		}
		if g := b.Memory.Groups[0]; g.Slot != "1" || !g.Held || g.Seen != day-20 {
			t.Errorf("after %g: slot %+v: the date is not the evidence's", x.after, g)
		}
		if (one.Position > 0) != x.position || (two.Aside > 0) != x.aside || two.Cut != x.aside {
			t.Errorf("after %g: %+v %+v", x.after, one, two)
		}
		if three.Position > 0 || (three.Started > 0) != (x.after+4020 < 10000) {
			t.Errorf("after %g: %+v: a position or a start that is too old", x.after, three)
		}
		if math.Abs(one.Window-x.window) > 0.1 || math.Abs(b.Memory.OpTypes[0].Took-x.tookRead) > 1 {
			t.Errorf("after %g: window %g, usual time %g", x.after, one.Window, b.Memory.OpTypes[0].Took)
		}
		if b.Memory.Ceiling != day+x.after+100 && b.Memory.Ceiling != day+2100 {
			t.Errorf("after %g: ceiling %g", x.after, b.Memory.Ceiling-day)
		}
	}
}

// Clocks that are stepped between two runs make nothing younger.
func TestSteppedClocks(t *testing.T) {
	for name, x := range map[string]struct {
		now     Timestamp
		verdict Verdict
		trust   float64
		age     float64
	}{
		"back, so that hours look like a second": {Timestamp{Wall: day + 1000, Uptime: 5e6 + 7200e3, BootID: "one"}, VerdictTrusted, 2000, 7200e3},
		"ahead":                                  {Timestamp{Wall: day + 9e9, Uptime: 5e6 + 1000, BootID: "one"}, VerdictTrusted, 2000, 1000},
		"back before the save":                   {Timestamp{Wall: day - 5000, Uptime: 5e6 + 1000, BootID: "one"}, VerdictTrusted, 2000, 1000},
		"another start of the machine":           {Timestamp{Wall: day + 1000, Uptime: 100, BootID: "two"}, VerdictUncertain, 0, 1000},
		"the machine does not tell":              {Timestamp{Wall: day + 1000, Uptime: 100}, VerdictUncertain, 0, 1000},
		"of the future, another start":           {Timestamp{Wall: day - 5000, Uptime: 100, BootID: "two"}, VerdictFuture, 0, 0},
		"time since the start ran back":          {Timestamp{Wall: day + 1000, Uptime: 100, BootID: "one"}, VerdictUncertain, 0, 1000},
	} {
		b := Restore(savedState(t, 0), testConfig(), x.now, Membership{Revision: 30})
		if b.Verdict != x.verdict || b.Memory.Trust != x.trust || b.Age != x.age || !b.FromSaved {
			t.Errorf("%s: %s, trust %g, age %g", name, b.Verdict, b.Memory.Trust, b.Age)
		}
		if b.Memory.Ceiling < x.now.Wall+100 {
			t.Errorf("%s: the ceiling lies %g before the start", name, x.now.Wall-b.Memory.Ceiling)
		}
		if x.verdict == VerdictFuture {
			if len(b.Memory.Groups)+len(b.Memory.Members) > 0 {
				t.Errorf("%s: evidence of %+v", name, b.Memory)
			}
			continue
		}
		if g := b.Memory.Groups[0]; math.Abs(x.now.Wall-g.Seen-x.age-20) > 0.001 {
			t.Errorf("%s: the slot's evidence is %g ms old, want %g", name, x.now.Wall-g.Seen, x.age+20)
		}
		if one := b.member("1"); one.Position > 0 {
			t.Errorf("%s: a position by a clock that is not this one", name)
		}
	}
}

// States of another driver, under other settings, and beside other memberships.
func TestStatesThatDontFit(t *testing.T) {
	r := testConfig()
	r.Name = "n1"
	given := Membership{Revision: 7, Entries: entriesUp("9")}
	if b := Restore(savedState(t, 0), r, at(100), given); b.Verdict != VerdictOtherDriver || b.FromSaved || len(b.Memory.Members) > 0 ||
		b.Membership.Revision != 7 || NewTable(r, savedState(t, 0), at(100)).State().Meta.Revision != 0 {
		t.Errorf("another driver's: %+v", b)
	}
	if b := Restore(nil, r, at(100), given); b.Verdict != VerdictNone || b.Memory.Ceiling != day+200 {
		t.Errorf("none: %+v", b)
	}
	r = testConfig()
	r.OpTypes = []OpType{{"write", 500}, {"read", 900}, {"new", 100}}
	b := Restore(savedState(t, 0), r, at(0), given)
	if k := b.Memory.OpTypes; len(k) != 3 || k[0].Took != 120 || k[1].Took != 0 || k[2].Took != 0 {
		t.Errorf("other settings: %+v", k)
	}
	newer := Membership{Revision: 42, Entries: entriesUp("1", "2", "3")}
	newer.Entries[0].Address = "127.0.0.1:99" // replaced under its name
	newer.Entries[1].StartedAt = day - 100    // started since
	newer.Entries[2].Group = 4
	b = Restore(savedState(t, 0), testConfig(), at(100), newer)
	if b.FromSaved || b.member("1") != (logic.MemberMemory{}) || b.member("2").Aside > 0 || b.member("2").Position > 0 ||
		b.member("3") != (logic.MemberMemory{}) || b.Memory.Groups[0].Slot != "" {
		t.Errorf("another list: %+v", b)
	}
	newer = Membership{Revision: 42, Entries: entriesUp("2", "3", "4")}
	if b = Restore(savedState(t, 0), testConfig(), at(100), newer); b.Memory.Groups[0].Slot != "" || len(b.Memory.Members) != 2 {
		t.Errorf("the primary has left the list: %+v", b)
	}
}

// The membership that was announced last binds, whatever a start is given; drains stay announced. Where revisions went
// back, numbers of earlier epochs say nothing.
func TestWhichMembershipBinds(t *testing.T) {
	b := NewTable(testConfig(), nil, at(0))
	b.StartRun(at(0))
	b.UpdateMembership(at(0), 41, true, entriesUp("1", "2"))
	drains := entriesUp("2")
	drains[0].Phase = "draining"
	if len(b.UpdateMembership(at(1), 42, false, drains)) != 1 || b.UpdateMembership(at(2), 42, false, drains) != nil {
		t.Error("a drain is worth one write")
	}
	phase := func(given int64) string {
		restored := Restore(b.State(), testConfig(), at(100), Membership{Revision: given, Entries: entriesUp("1", "2")})
		for _, e := range restored.Membership.Entries {
			if e.ID == "2" {
				return e.Phase
			}
		}
		return "gone"
	}
	if phase(41) != "draining" || phase(42) != "draining" || phase(43) != PhaseUp {
		t.Errorf("drained at 42: given 41 %s, 42 %s, 43 %s", phase(41), phase(42), phase(43))
	}
	b.UpdateMembership(at(3), 43, false, []Entry{{ID: "2", Phase: PhaseRemoved}})
	if phase(42) != "gone" || phase(44) != PhaseUp {
		t.Errorf("removed at 43: given 42 %s, 44 %s", phase(42), phase(44))
	}
	b.UpdateMembership(at(4), 5, true, entriesUp("1", "3")) // the registry counts anew
	if b.State().Meta.Epoch != 1 || phase(43) != "gone" || phase(44) != PhaseUp {
		t.Errorf("epoch %d: given 43 %s, 44 %s", b.State().Meta.Epoch, phase(43), phase(44))
	}
}
