package membership_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab/membershipsim"
)

// watch notes, while a flock runs, since when two parts that can't reach each other both take themselves for the
// larger.
type watch struct {
	f     *membershipsim.Simulation
	since float64
}

// look gives for how long two drivers that are cut from each other both ways, and from each other's peers, have both
// been with the larger part.
func (w *watch) look() float64 {
	both := false
	run := w.f.Running()
	for i, a := range run {
		for _, b := range run[i+1:] {
			sa, _, _ := a.View.PartitionStatus()
			sb, _, _ := b.View.PartitionStatus()
			if sa >= membership.Majority && sb >= membership.Majority && w.apart(a, b) {
				both = true
			}
		}
	}
	switch {
	case !both:
		w.since = 0
	case w.since == 0:
		w.since = w.f.Now
	default:
		return w.f.Now - w.since
	}
	return 0
}

// apart says that no word goes from either to the other, by whatever way.
func (w *watch) apart(a, b *membershipsim.Driver) bool {
	return !w.reaches(a, b) && !w.reaches(b, a)
}

func (w *watch) reaches(a, b *membershipsim.Driver) bool {
	index := map[*membershipsim.Driver]int{}
	for i, d := range w.f.Drivers {
		index[d] = i
	}
	seen, todo := map[*membershipsim.Driver]bool{a: true}, []*membershipsim.Driver{a}
	for len(todo) > 0 {
		d := todo[0]
		todo = todo[1:]
		for _, o := range w.f.Running() {
			if !seen[o] && (w.f.Blocked == nil || !w.f.Blocked(index[d], index[o])) {
				if o == b {
					return true
				}
				seen[o] = true
				todo = append(todo, o)
			}
		}
	}
	return false
}

// settleBy is how long two parts may both think to be the larger one: as long as it takes to find out, and no longer.
const settleBy = 20000.0

// play carries out one fault by a number.
func play(f *membershipsim.Simulation, n, what, a, b int, frozen float64) {
	switch what {
	case 0:
		f.Blocked = nil
	case 1: // one direction of one pair
		before := f.Blocked
		f.Blocked = func(x, y int) bool { return x == a && y == b || before != nil && before(x, y) }
	case 2: // a pair
		before := f.Blocked
		f.Blocked = func(x, y int) bool { return x == a && y == b || x == b && y == a || before != nil && before(x, y) }
	case 3: // two parts
		f.Blocked = func(x, y int) bool { return (x < a) != (y < a) }
	case 4:
		f.Pause(a, frozen)
	case 5:
		f.Kill(a)
	case 6:
		if f.Drivers[a].View == nil {
			f.Start(a, 0)
		}
	case 7:
		f.Kill(a)
		f.Start(a, 0)
	case 8:
		f.Loss = 0.3
	case 9:
		f.Loss = 0
	case 10:
		if f.Drivers[a].View != nil {
			f.Apply(a, func(v *membership.Fleet) membership.Output { return v.Leave(f.Now) })
		}
	}
}

// Whatever happens, views converge after the last fault, nobody that lives is failed for good, and no two parts both
// act as the larger one for longer than it takes to find out.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "drivers")
		f := membershipsim.New(membershipsim.Options{Drivers: n, Seed: rapid.Uint64().Draw(t, "seed"), Duplicate: 0.1,
			Latency: rapid.SampledFrom([]float64{1, 20, 60}).Draw(t, "latency")})
		for i := range n {
			f.Start(i, 0)
		}
		f.Run(10000)
		w := &watch{f: f}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			a := rapid.IntRange(0, n-1).Draw(t, "a")
			play(f, n, rapid.IntRange(0, 10).Draw(t, "what"), a, rapid.IntRange(0, n-1).Draw(t, "b"),
				500*float64(rapid.IntRange(1, 20).Draw(t, "frozen")))
			for end := f.Now + 500*float64(rapid.IntRange(0, 30).Draw(t, "steps")); f.Now < end; f.Run(250) {
				if both := w.look(); both > settleBy {
					t.Fatalf("two parts both the larger one for %.0f ms", both)
				}
			}
		}
		f.Blocked, f.Loss = nil, 0
		f.Run(12000)
		for i, d := range f.Drivers { // who left starts anew, who was killed too
			if s, why, _ := standing(d); d.View == nil || why == "leaving" {
				_ = s
				f.Kill(i)
				f.Start(i, 0)
			}
		}
		if _, ok := f.RunUntilTrue(180000, func() bool { return agreed(f, n) }); !ok {
			for _, d := range f.Drivers {
				t.Logf("%+v", d.View.Status())
			}
			t.Fatal("views do not converge")
		}
	})
}

func standing(d *membershipsim.Driver) (membership.PartitionStatus, string, float64) {
	if d.View == nil {
		return membership.Undetermined, "", 0
	}
	return d.View.PartitionStatus()
}

// agreed says that all drivers run, see each other alive and hold one roster of all.
func agreed(f *membershipsim.Simulation, n int) bool {
	var version uint64
	for i, d := range f.Drivers {
		if d.View == nil {
			return false
		}
		s := d.View.Status()
		if s.Partition != membership.Complete || len(s.Roster.Names) != n {
			return false
		}
		if i > 0 && s.Roster.Version != version {
			return false
		}
		version = s.Roster.Version
	}
	return true
}

// Three drivers, and every order of three faults between them: each pair cut one way or both, each driver frozen,
// killed or restarted, word lost, healed.
func TestEveryOrderOfFaults(t *testing.T) {
	type fault struct{ what, a, b int }
	var faults []fault
	for a := range 3 {
		faults = append(faults, fault{4, a, 0}, fault{5, a, 0}, fault{7, a, 0})
		for b := range 3 {
			if a != b {
				faults = append(faults, fault{1, a, b})
			}
			if a < b {
				faults = append(faults, fault{2, a, b})
			}
		}
	}
	faults = append(faults, fault{0, 0, 0}, fault{8, 0, 0})
	depth := 2
	if !testing.Short() {
		depth = 3
	}
	var run func(order []fault)
	played := 0
	run = func(order []fault) {
		if len(order) < depth {
			for _, x := range faults {
				run(append(order[:len(order):len(order)], x))
			}
			return
		}
		played++
		f := membershipsim.New(membershipsim.Options{Drivers: 3, Seed: uint64(played)})
		for i := range 3 {
			f.Start(i, 0)
		}
		f.Run(6000)
		w := &watch{f: f}
		for _, x := range order {
			play(f, 3, x.what, x.a, x.b, 4000)
			for range 10 {
				f.Run(300)
				if both := w.look(); both > settleBy {
					t.Fatalf("%v: two parts both the larger one for %.0f ms", order, both)
				}
			}
		}
		f.Blocked, f.Loss = nil, 0
		for i, d := range f.Drivers {
			if d.View == nil {
				f.Start(i, 0)
			}
		}
		if _, ok := f.RunUntilTrue(120000, func() bool { return agreed(f, 3) }); !ok {
			for _, d := range f.Drivers {
				t.Logf("%+v", d.View.Status())
			}
			t.Fatalf("%v: views do not converge", order)
		}
	}
	run(nil)
	t.Logf("%d orders", played)
}

// Votes: whatever is lost, doubled or late, one version has one roster.
func TestOneRosterAVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "drivers")
		f := membershipsim.New(membershipsim.Options{Drivers: n, Seed: rapid.Uint64().Draw(t, "seed"), Duplicate: 0.3,
			Latency: rapid.SampledFrom([]float64{1, 100, 400}).Draw(t, "latency")})
		rosters := map[uint64]string{}
		f.OnEvent = func(at float64, d string, note membership.Event) {
			if note.Reason != "roster" {
				return
			}
			for _, o := range f.Drivers {
				if o.Name == d && o.View != nil {
					r := o.View.Status().Roster
					names := fmt.Sprint(r.Lineage, r.Names)
					if before, known := rosters[r.Version]; known && before != names {
						t.Fatalf("version %d is %s and %s", r.Version, before, names)
					}
					rosters[r.Version] = names
				}
			}
		}
		for i := range n {
			f.Start(i, 0)
		}
		f.Run(20000)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // two come at once
				f.Add()
				f.Add()
				f.Start(len(f.Drivers)-1, 0)
				f.Start(len(f.Drivers)-2, 0)
			case 1: // one leaves
				if d := f.Drivers[rapid.IntRange(0, len(f.Drivers)-1).Draw(t, "who")]; d.View != nil {
					i := f.Index(d)
					f.Apply(i, func(v *membership.Fleet) membership.Output { return v.Leave(f.Now) })
					f.Run(400)
					f.Kill(i)
				}
			case 2:
				at := rapid.IntRange(1, n-1).Draw(t, "cut")
				f.Blocked = func(x, y int) bool { return (x%n < at) != (y%n < at) }
			case 3:
				f.Loss = 0.3
			}
			f.Run(500 * float64(rapid.IntRange(0, 40).Draw(t, "wait")))
			if rapid.Bool().Draw(t, "heal") {
				f.Blocked, f.Loss = nil, 0
			}
		}
	})
}
