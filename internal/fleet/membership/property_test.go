package membership_test

import (
	"fmt"
	"testing"

	"pgregory.net/rapid"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab/membershipsim"
)

// splitBrainWatch detects two partitions of a simulated fleet that both have the status Majority.
type splitBrainWatch struct {
	sim        *membershipsim.Simulation
	splitSince float64
}

// check returns for how long two drivers, with no path between them in either direction, have both had the status
// Majority or Complete.
func (w *splitBrainWatch) check() float64 {
	split := false
	running := w.sim.Running()
	for i, a := range running {
		for _, b := range running[i+1:] {
			sa, _, _ := a.View.PartitionStatus()
			sb, _, _ := b.View.PartitionStatus()
			if sa >= membership.Majority && sb >= membership.Majority && w.separated(a, b) {
				split = true
			}
		}
	}
	switch {
	case !split:
		w.splitSince = 0
	case w.splitSince == 0:
		w.splitSince = w.sim.Now
	default:
		return w.sim.Now - w.splitSince
	}
	return 0
}

// separated reports whether no message can get from either driver to the other, directly or by other drivers.
func (w *splitBrainWatch) separated(a, b *membershipsim.Driver) bool {
	return !w.reaches(a, b) && !w.reaches(b, a)
}

func (w *splitBrainWatch) reaches(a, b *membershipsim.Driver) bool {
	index := map[*membershipsim.Driver]int{}
	for i, d := range w.sim.Drivers {
		index[d] = i
	}
	seen, queue := map[*membershipsim.Driver]bool{a: true}, []*membershipsim.Driver{a}
	for len(queue) > 0 {
		d := queue[0]
		queue = queue[1:]
		for _, o := range w.sim.Running() {
			if !seen[o] && (w.sim.Blocked == nil || !w.sim.Blocked(index[d], index[o])) {
				if o == b {
					return true
				}
				seen[o] = true
				queue = append(queue, o)
			}
		}
	}
	return false
}

// maxSplitBrainMillis bounds how long two partitions may both have the status Majority: the time of failure detection.
const maxSplitBrainMillis = 20000.0

// injectFault injects one fault, chosen by a number.
func injectFault(sim *membershipsim.Simulation, n, kind, first, second int, pause float64) {
	switch kind {
	case 0:
		sim.Blocked = nil
	case 1: // cut one direction between a pair
		before := sim.Blocked
		sim.Blocked = func(x, y int) bool { return x == first && y == second || before != nil && before(x, y) }
	case 2: // cut a pair
		before := sim.Blocked
		sim.Blocked = func(x, y int) bool {
			return x == first && y == second || x == second && y == first || before != nil && before(x, y)
		}
	case 3: // two partitions
		sim.Blocked = func(x, y int) bool { return (x < first) != (y < first) }
	case 4:
		sim.Pause(first, pause)
	case 5:
		sim.Kill(first)
	case 6:
		if sim.Drivers[first].View == nil {
			sim.Start(first, 0)
		}
	case 7:
		sim.Kill(first)
		sim.Start(first, 0)
	case 8:
		sim.Loss = 0.3
	case 9:
		sim.Loss = 0
	case 10:
		if sim.Drivers[first].View != nil {
			sim.Apply(first, func(v *membership.Fleet) membership.Output { return v.Leave(sim.Now) })
		}
	}
}

// TestAnyFaults checks under random faults that no two partitions both have a majority for longer than failure
// detection takes, and that all views converge after the last fault, with no live driver marked as failed.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(2, 7).Draw(t, "drivers")
		sim := membershipsim.New(membershipsim.Options{Drivers: n, Seed: rapid.Uint64().Draw(t, "seed"), Duplicate: 0.1,
			Latency: rapid.SampledFrom([]float64{1, 20, 60}).Draw(t, "latency")})
		for i := range n {
			sim.Start(i, 0)
		}
		sim.Run(10000)
		watch := &splitBrainWatch{sim: sim}
		for range rapid.IntRange(1, 12).Draw(t, "faults") {
			a := rapid.IntRange(0, n-1).Draw(t, "a")
			injectFault(sim, n, rapid.IntRange(0, 10).Draw(t, "what"), a, rapid.IntRange(0, n-1).Draw(t, "b"),
				500*float64(rapid.IntRange(1, 20).Draw(t, "frozen")))
			for end := sim.Now + 500*float64(rapid.IntRange(0, 30).Draw(t, "steps")); sim.Now < end; sim.Run(250) {
				if duration := watch.check(); duration > maxSplitBrainMillis {
					t.Fatalf("two partitions both had a majority for %.0f ms", duration)
				}
			}
		}
		sim.Blocked, sim.Loss = nil, 0
		sim.Run(12000)
		for i, d := range sim.Drivers { // restart drivers that left or were killed
			if status, reason, _ := partitionStatusOf(d); d.View == nil || reason == "leaving" {
				_ = status
				sim.Kill(i)
				sim.Start(i, 0)
			}
		}
		if _, ok := sim.RunUntilTrue(180000, func() bool { return converged(sim, n) }); !ok {
			for _, d := range sim.Drivers {
				t.Logf("%+v", d.View.Status())
			}
			t.Fatal("views do not converge")
		}
	})
}

func partitionStatusOf(d *membershipsim.Driver) (membership.PartitionStatus, string, float64) {
	if d.View == nil {
		return membership.Undetermined, "", 0
	}
	return d.View.PartitionStatus()
}

// converged reports whether all drivers run, see each other alive and have the same roster with all of them.
func converged(sim *membershipsim.Simulation, n int) bool {
	var version uint64
	for i, d := range sim.Drivers {
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

// TestEveryOrderOfFaults runs every sequence of three faults (two with -short) on three drivers: each pair cut in one
// or both directions, each driver paused, killed or restarted, message loss, and healing.
func TestEveryOrderOfFaults(t *testing.T) {
	type fault struct{ kind, a, b int }
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
	orders := 0
	run = func(order []fault) {
		if len(order) < depth {
			for _, x := range faults {
				run(append(order[:len(order):len(order)], x))
			}
			return
		}
		orders++
		sim := membershipsim.New(membershipsim.Options{Drivers: 3, Seed: uint64(orders)})
		for i := range 3 {
			sim.Start(i, 0)
		}
		sim.Run(6000)
		watch := &splitBrainWatch{sim: sim}
		for _, x := range order {
			injectFault(sim, 3, x.kind, x.a, x.b, 4000)
			for range 10 {
				sim.Run(300)
				if duration := watch.check(); duration > maxSplitBrainMillis {
					t.Fatalf("%v: two partitions both had a majority for %.0f ms", order, duration)
				}
			}
		}
		sim.Blocked, sim.Loss = nil, 0
		for i, d := range sim.Drivers {
			if d.View == nil {
				sim.Start(i, 0)
			}
		}
		if _, ok := sim.RunUntilTrue(120000, func() bool { return converged(sim, 3) }); !ok {
			for _, d := range sim.Drivers {
				t.Logf("%+v", d.View.Status())
			}
			t.Fatalf("%v: views do not converge", order)
		}
	}
	run(nil)
	t.Logf("%d orders", orders)
}

// TestOneRosterPerVersion checks that all rosters of one version are equal, with messages lost, duplicated and delayed.
func TestOneRosterPerVersion(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(3, 6).Draw(t, "drivers")
		sim := membershipsim.New(membershipsim.Options{Drivers: n, Seed: rapid.Uint64().Draw(t, "seed"), Duplicate: 0.3,
			Latency: rapid.SampledFrom([]float64{1, 100, 400}).Draw(t, "latency")})
		rosters := map[uint64]string{}
		sim.OnEvent = func(at float64, d string, event membership.Event) {
			if event.Reason != "roster" {
				return
			}
			for _, o := range sim.Drivers {
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
			sim.Start(i, 0)
		}
		sim.Run(20000)
		for range rapid.IntRange(1, 6).Draw(t, "changes") {
			switch rapid.IntRange(0, 3).Draw(t, "what") {
			case 0: // two drivers join at once
				sim.Add()
				sim.Add()
				sim.Start(len(sim.Drivers)-1, 0)
				sim.Start(len(sim.Drivers)-2, 0)
			case 1: // a driver leaves
				if d := sim.Drivers[rapid.IntRange(0, len(sim.Drivers)-1).Draw(t, "who")]; d.View != nil {
					i := sim.Index(d)
					sim.Apply(i, func(v *membership.Fleet) membership.Output { return v.Leave(sim.Now) })
					sim.Run(400)
					sim.Kill(i)
				}
			case 2:
				at := rapid.IntRange(1, n-1).Draw(t, "cut")
				sim.Blocked = func(x, y int) bool { return (x%n < at) != (y%n < at) }
			case 3:
				sim.Loss = 0.3
			}
			sim.Run(500 * float64(rapid.IntRange(0, 40).Draw(t, "wait")))
			if rapid.Bool().Draw(t, "heal") {
				sim.Blocked, sim.Loss = nil, 0
			}
		}
	})
}
