package learned

import (
	"fmt"
	"math"
	"reflect"
	"strings"
	"testing"

	"pgregory.net/rapid"

	"weirwind/internal/durable"
	"weirwind/internal/standin/disk"
	"weirwind/logic"
)

const day = 1767225600000.0

func rules() Rules {
	return Rules{Name: "n0", OpTypes: []OpType{{"read", 300}, {"write", 500}}, SaveEvery: 1000, SwitchLeast: 2000, ColdFor: 10000,
		Bound: 200, SessionsCarried: true}
}

func at(ms float64) Moment { return Moment{Wall: day + ms, Up: 5e6 + ms, Boot: "one"} }

func listed(ids ...string) (all []Entry) {
	for _, id := range ids {
		all = append(all, Entry{ID: id, Address: "127.0.0.1:" + id, Group: 3, Phase: PhaseUp})
	}
	return all
}

func memory(seen float64) *logic.Memory {
	return &logic.Memory{OpTypes: []logic.TypeMemory{{Took: 80, Best: 40}, {Took: 120, Best: 100}},
		Groups: []logic.GroupMemory{{Group: 3, Slot: "1", Held: true, Seen: day + seen, Rate: 2}},
		Members: []logic.MemberMemory{{Member: "1", Group: 3, Position: day + seen, Window: 16},
			{Member: "2", Group: 3, Position: day + seen - 50, Aside: day + seen - 3000, Cut: true, Window: 8},
			{Member: "3", Group: 3, Position: day + seen - 9000, Started: day + seen - 4000, Window: 2}}}
}

// saved is what a run that ended at that time has left.
func saved(t *testing.T, end float64) *State {
	t.Helper()
	b := NewBook(rules(), nil, at(end-5000))
	b.Begin(at(end - 5000))
	b.List(at(end-4000), 41, true, listed("1", "2", "3"))
	b.Tick(at(end), memory(end-20), true)
	s, err := Load(b.Snapshot(), nil)
	if err != nil {
		t.Fatal(err)
	}
	return s
}

func (b *Belief) member(id string) logic.MemberMemory {
	for _, m := range b.Memory.Members {
		if m.Member == id {
			return m
		}
	}
	return logic.MemberMemory{}
}

// What is believed by age: evidence keeps its date, hints fade, what was told holds.
func TestBeliefByAge(t *testing.T) {
	for _, x := range []struct {
		after            float64
		position, aside  bool
		window, tookRead float64
	}{{100, true, true, 15.9, 80}, {1900, true, true, 14, 82}, {2500, false, true, 13.4, 83}, {8000, false, false, 9.2, 88.5}, {3600e3, false, false, 0, 0}} {
		b := Believe(saved(t, 0), rules(), at(x.after), List{Revision: 30, Entries: listed("1")})
		one, two, three := b.member("1"), b.member("2"), b.member("3")
		if b.Verdict != Believed || b.Memory.Trust != 2000 || b.Age != x.after || !b.FromKept || len(b.List.Entries) != 3 {
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
		now     Moment
		verdict Verdict
		trust   float64
		age     float64
	}{
		"back, so that hours look like a second": {Moment{Wall: day + 1000, Up: 5e6 + 7200e3, Boot: "one"}, Believed, 2000, 7200e3},
		"ahead":                                  {Moment{Wall: day + 9e9, Up: 5e6 + 1000, Boot: "one"}, Believed, 2000, 1000},
		"back before the save":                   {Moment{Wall: day - 5000, Up: 5e6 + 1000, Boot: "one"}, Believed, 2000, 1000},
		"another start of the machine":           {Moment{Wall: day + 1000, Up: 100, Boot: "two"}, Unsure, 0, 1000},
		"the machine does not tell":              {Moment{Wall: day + 1000, Up: 100}, Unsure, 0, 1000},
		"of the future, another start":           {Moment{Wall: day - 5000, Up: 100, Boot: "two"}, Future, 0, 0},
		"time since the start ran back":          {Moment{Wall: day + 1000, Up: 100, Boot: "one"}, Unsure, 0, 1000},
	} {
		b := Believe(saved(t, 0), rules(), x.now, List{Revision: 30})
		if b.Verdict != x.verdict || b.Memory.Trust != x.trust || b.Age != x.age || !b.FromKept {
			t.Errorf("%s: %s, trust %g, age %g", name, b.Verdict, b.Memory.Trust, b.Age)
		}
		if b.Memory.Ceiling < x.now.Wall+100 {
			t.Errorf("%s: the ceiling lies %g before the start", name, x.now.Wall-b.Memory.Ceiling)
		}
		if x.verdict == Future {
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

// A ceiling reserved ahead holds where the clock was stepped back right behind a write; one that is absurd does not.
func TestCeilingsReservedAhead(t *testing.T) {
	r := rules()
	r.SessionsCarried = false
	b := NewBook(r, nil, at(0))
	b.Begin(at(0))
	if Believe(b.State(), r, Moment{Wall: day - 50, Up: 5e6 + 300, Boot: "one"}, List{}).Memory.Ceiling != day+2100 {
		t.Error("the ceiling reserved does not hold")
	}
	if b.Tick(at(400), &logic.Memory{}, false) != nil {
		t.Error("renewed too early")
	}
	last := day + 2100
	for ms := 1000.0; ms < 20000; ms += 1000 { // every commit until the next save lies under what is on disk
		if b.Tick(at(ms), &logic.Memory{}, false); b.State().Meta.Reserved < day+ms+1000+aheadMost || b.State().Meta.Reserved < last {
			t.Fatalf("at %g the ceiling is %g", ms, b.State().Meta.Reserved-day)
		}
		last = b.State().Meta.Reserved
	}
	if got := Believe(b.State(), r, Moment{Wall: day - 7200e3, Boot: "two"}, List{}); got.Memory.Ceiling != day-7200e3+100 || len(got.Dropped) == 0 {
		t.Errorf("a ceiling two hours ahead: %+v", got)
	}
}

// Names, settings and lists that are not those of the state.
func TestOthersStates(t *testing.T) {
	r := rules()
	r.Name = "n1"
	given := List{Revision: 7, Entries: listed("9")}
	if b := Believe(saved(t, 0), r, at(100), given); b.Verdict != OtherName || b.FromKept || len(b.Memory.Members) > 0 ||
		b.List.Revision != 7 || NewBook(r, saved(t, 0), at(100)).State().Meta.Revision != 0 {
		t.Errorf("another driver's: %+v", b)
	}
	if b := Believe(nil, r, at(100), given); b.Verdict != Nothing || b.Memory.Ceiling != day+200 {
		t.Errorf("none: %+v", b)
	}
	r = rules()
	r.OpTypes = []OpType{{"write", 500}, {"read", 900}, {"new", 100}}
	b := Believe(saved(t, 0), r, at(0), given)
	if k := b.Memory.OpTypes; len(k) != 3 || k[0].Took != 120 || k[1].Took != 0 || k[2].Took != 0 {
		t.Errorf("other settings: %+v", k)
	}
	newer := List{Revision: 42, Entries: listed("1", "2", "3")}
	newer.Entries[0].Address = "127.0.0.1:99" // replaced under its name
	newer.Entries[1].Started = day - 100      // started since
	newer.Entries[2].Group = 4
	b = Believe(saved(t, 0), rules(), at(100), newer)
	if b.FromKept || b.member("1") != (logic.MemberMemory{}) || b.member("2").Aside > 0 || b.member("2").Position > 0 ||
		b.member("3") != (logic.MemberMemory{}) || b.Memory.Groups[0].Slot != "" {
		t.Errorf("another list: %+v", b)
	}
	newer = List{Revision: 42, Entries: listed("2", "3", "4")}
	if b = Believe(saved(t, 0), rules(), at(100), newer); b.Memory.Groups[0].Slot != "" || len(b.Memory.Members) != 2 {
		t.Errorf("the primary has left the list: %+v", b)
	}
}

// Which list binds: what was told last, whatever a start is given; drains stay told; revisions that went back make
// a number of before worth nothing.
func TestWhatWasToldBinds(t *testing.T) {
	b := NewBook(rules(), nil, at(0))
	b.Begin(at(0))
	b.List(at(0), 41, true, listed("1", "2"))
	drains := listed("2")
	drains[0].Phase = "draining"
	if len(b.List(at(1), 42, false, drains)) != 1 || b.List(at(2), 42, false, drains) != nil {
		t.Error("a drain is worth one write")
	}
	phase := func(given int64) string {
		belief := Believe(b.State(), rules(), at(100), List{Revision: given, Entries: listed("1", "2")})
		for _, e := range belief.List.Entries {
			if e.ID == "2" {
				return e.Phase
			}
		}
		return "gone"
	}
	if phase(41) != "draining" || phase(42) != "draining" || phase(43) != PhaseUp {
		t.Errorf("drained at 42: given 41 %s, 42 %s, 43 %s", phase(41), phase(42), phase(43))
	}
	b.List(at(3), 43, false, []Entry{{ID: "2", Phase: PhaseRemoved}})
	if phase(42) != "gone" || phase(44) != PhaseUp {
		t.Errorf("removed at 43: given 42 %s, 44 %s", phase(42), phase(44))
	}
	b.List(at(4), 5, true, listed("1", "3")) // the registry counts anew
	if b.State().Meta.Epoch != 1 || phase(43) != "gone" || phase(44) != PhaseUp {
		t.Errorf("epoch %d: given 43 %s, 44 %s", b.State().Meta.Epoch, phase(43), phase(44))
	}
}

// Steady knowledge costs no writes; what changes is written, each kind as often as it is worth.
func TestWhatIsWorthAWrite(t *testing.T) {
	r := rules()
	r.SwitchLeast = 0
	b := NewBook(r, nil, at(0))
	b.Begin(at(0))
	b.List(at(0), 41, true, listed("1", "2", "3"))
	k := memory(-20)
	b.Tick(at(0), k, false)
	wrote := func(ms float64, change func()) int {
		change()
		n := 0
		for _, x := range b.Tick(at(ms), k, false) {
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
	b.rules.SwitchLeast = 2000
	if n := wrote(16000, func() { k.Groups[0].Seen += 3000 }); n == 0 || n > 100 {
		t.Errorf("%d bytes for a sighting that is of use", n)
	}
	if g := b.State().Groups[3]; g.Seen > k.Groups[0].Seen || g.Seen < k.Groups[0].Seen-2 {
		t.Errorf("seen %g is kept as %g", k.Groups[0].Seen-day, g.Seen-day)
	}
}

// Whatever happens in whatever order: the records give the state that the book holds, the snapshot too.
func TestRecordsGiveTheState(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBook(rules(), nil, at(0))
		b.Begin(at(0))
		first, now := b.Snapshot(), 0.0
		var records [][]byte
		ids := rapid.SliceOfNDistinct(rapid.StringMatching("[a-e]"), 0, 5, rapid.ID[string])
		for range rapid.IntRange(1, 30).Draw(t, "steps") {
			now += rapid.Float64Range(0, 20000).Draw(t, "later")
			if rapid.Bool().Draw(t, "list") {
				entries := listed(ids.Draw(t, "listed")...)
				for i := range entries {
					entries[i].Phase = rapid.SampledFrom([]string{PhaseUp, "draining", PhaseRemoved}).Draw(t, "phase")
				}
				records = append(records, b.List(at(now), rapid.Int64Range(0, 50).Draw(t, "revision"), rapid.Bool().Draw(t, "whole"), entries)...)
				continue
			}
			var k logic.Memory
			for _, id := range ids.Draw(t, "known") {
				k.Members = append(k.Members, logic.MemberMemory{Member: id, Group: 1, Position: day + rapid.Float64Range(0, 1e6).Draw(t, "position"),
					Aside: float64(rapid.IntRange(0, 2).Draw(t, "aside")), Window: rapid.Float64Range(1, 40).Draw(t, "window")})
				k.Groups = []logic.GroupMemory{{Group: 1, Slot: id, Held: rapid.Bool().Draw(t, "held"), Seen: day + now - 5}}
			}
			records = append(records, b.Tick(at(now), &k, rapid.Bool().Draw(t, "last"))...)
		}
		got, err := Load(first, records)
		if err != nil {
			t.Fatal(err)
		}
		// the list may be taken as it is without a write when nothing in it changes
		if !reflect.DeepEqual(got, b.State()) {
			t.Fatalf("records give %+v\nthe book holds %+v", got, b.State())
		}
		if again, err := Load(b.Snapshot(), nil); err != nil || !reflect.DeepEqual(again, got) {
			t.Fatalf("%v: the snapshot gives %+v", err, again)
		}
	})
}

// A kill in any operation of the file system while a book is saved: what is found is what the book held after one
// of its steps, never less than what was saved.
func TestKilledInAnyOperation(t *testing.T) {
	o := durable.Options{Folder: "d", Tag: Tag}
	for point := 1; ; point++ {
		for fate := range disk.Fates {
			d := disk.New()
			d.CrashAt = point
			var held []string
			safe := run(d, o, &held)
			if d.Ops() < point {
				if point < 25 {
					t.Fatalf("only %d operations", point)
				}
				return
			}
			found, err := durable.Recover(d.After(fate, uint64(point)), o)
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
			for i, h := range held {
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

// run saves a book for some steps and gives the last step that was saved; held is what the book was after each.
func run(d *disk.Disk, o durable.Options, held *[]string) (safe int) {
	safe = -1
	store, _, err := durable.Open(d, o)
	if err != nil {
		return safe
	}
	b := NewBook(rules(), nil, at(0))
	b.Begin(at(0))
	for i := range 8 {
		ms := float64(i) * 1000
		records := b.List(at(ms), int64(40+i), true, listed("1", "2", fmt.Sprint(i)))
		if len(records) > 1 {
			panic("one step in several records")
		}
		*held = append(*held, string(b.Snapshot()))
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

// Records that no run writes are refused, whatever the checksums say.
func TestRecordsThatMakeNoSense(t *testing.T) {
	good := saved(t, 0)
	for name, change := range map[string]func(*State){
		"schema":       func(s *State) { s.Meta.Schema = 2 },
		"revision":     func(s *State) { s.Meta.Revision = -1 },
		"time":         func(s *State) { s.Meta.At.Wall = 1e300 },
		"not a number": func(s *State) { s.Groups[3] = Group{ID: 3, Seen: math.NaN()} },
		"infinite":     func(s *State) { s.Members["1"] = Member{ID: "1", Window: math.Inf(1)} },
		"no id":        func(s *State) { s.List[""] = Entry{} },
		"long id":      func(s *State) { s.List["x"] = Entry{ID: strings.Repeat("x", 2000)} },
	} {
		s, _ := Load(good.Snapshot(), nil)
		change(s)
		if got, err := Load(s.Snapshot(), nil); err == nil {
			t.Errorf("%s: taken as %+v", name, got)
		}
	}
	if _, err := Load([]byte{0xa0}, nil); err == nil {
		t.Error("a state without its schema is taken")
	}
}

func FuzzLoad(f *testing.F) {
	b := NewBook(rules(), nil, at(0))
	b.List(at(0), 41, true, listed("1", "2", "3"))
	f.Add(b.Snapshot())
	f.Fuzz(func(t *testing.T, text []byte) {
		s, err := Load(text, nil)
		if err != nil {
			return
		}
		belief := Believe(s, rules(), at(0), List{})
		for _, g := range belief.Memory.Groups {
			if math.IsNaN(g.Seen) || g.Seen > day+0.001 {
				t.Fatalf("evidence from the future: %+v", g)
			}
		}
		if again, err := Load(s.Snapshot(), nil); err != nil || len(again.List) != len(s.List) {
			t.Fatal(err)
		}
	})
}

func TestForget(t *testing.T) {
	s := saved(t, 0)
	if n := s.Forget([]string{"1"}, nil); n != 3 || s.List["1"].ID != "" || len(s.Groups) != 0 {
		t.Errorf("%d entries of member 1 forgotten: %+v", n, s)
	}
	s = saved(t, 0)
	if n := s.Forget(nil, []int64{3}); n != 4 || len(s.List) != 3 {
		t.Errorf("%d entries of group 3 forgotten: %+v", n, s)
	}
	s = saved(t, 0)
	if s.Forget(nil, nil); len(s.List) != 3 || len(s.Members)+len(s.Groups)+len(s.Types) > 0 || s.Meta.Reserved == 0 {
		t.Errorf("not all but what was told: %+v", s)
	}
}

func TestRetry(t *testing.T) {
	var r Retry
	if !r.Due(at(0)) || r.Done() {
		t.Error("at the start")
	}
	total := 0.0
	for range 10 {
		total += r.Failed(at(0))
	}
	if total != 1e3+2e3+4e3+8e3+16e3+5*30e3 || r.Due(at(29e3)) || !r.Due(at(30e3)) || !r.Done() || !r.Due(at(0)) {
		t.Errorf("%g ms in all, then %+v", total, r)
	}
}
