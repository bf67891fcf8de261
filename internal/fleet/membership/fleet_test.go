package membership_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab/membershipsim"
)

var all = []int{0, 1, 2, 3, 4}

// five is a fleet of five that has founded its roster.
func five(t *testing.T, o membershipsim.Options) *membershipsim.Simulation {
	t.Helper()
	if o.Drivers == 0 {
		o.Drivers = 5
	}
	f := membershipsim.New(o)
	var log []string
	f.OnEvent = func(at float64, d string, n membership.Event) {
		log = append(log, fmt.Sprintf("%.0f %s: %s %s %s", at, d, n.Reason, n.Name, n.Text))
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, l := range log[max(0, len(log)-120):] {
				t.Log(l)
			}
		}
	})
	var each []int
	for i := range o.Drivers {
		f.Start(i, 0)
		each = append(each, i)
	}
	wait(t, f, "founding", func() bool { return f.HavePartitionStatus(membership.Complete, each...) })
	return f
}

func wait(t *testing.T, f *membershipsim.Simulation, what string, so func() bool) {
	t.Helper()
	if _, ok := f.RunUntilTrue(60000, so); !ok {
		for _, d := range f.Drivers {
			if d.View != nil {
				t.Logf("%s: %+v", d.Name, d.View.Status())
			}
		}
		t.Fatalf("%s: not so after a minute", what)
	}
}

// parts cuts drivers of different parts from each other.
func parts(of ...int) func(a, b int) bool {
	return func(a, b int) bool { return of[a] != of[b] }
}

func state(f *membershipsim.Simulation, at int, of string) membership.View {
	for _, v := range f.Drivers[at].View.Status().Drivers {
		if v.Name == of {
			return v
		}
	}
	return membership.View{Name: "unknown", State: membership.Left}
}

func TestStandingsOfParts(t *testing.T) {
	for _, x := range []struct {
		parts []int
		want  [2]membership.PartitionStatus
	}{
		{[]int{0, 0, 1, 1, 1}, [2]membership.PartitionStatus{membership.Minority, membership.Majority}},
		{[]int{0, 1, 1, 1, 1}, [2]membership.PartitionStatus{membership.Isolated, membership.Majority}},
		{[]int{0, 0, 1, 1}, [2]membership.PartitionStatus{membership.Undetermined, membership.Undetermined}},
	} {
		f := five(t, membershipsim.Options{Drivers: len(x.parts), Seed: 7})
		f.Blocked = parts(x.parts...)
		for part, want := range x.want {
			for i, p := range x.parts {
				if p == part {
					wait(t, f, fmt.Sprint(x.parts, want), func() bool { return f.HavePartitionStatus(want, i) })
				}
			}
		}
		f.Run(60000) // and it stays so
		for i, p := range x.parts {
			if !f.HavePartitionStatus(x.want[p], i) {
				s, why, _ := f.Drivers[i].View.PartitionStatus()
				t.Errorf("%v: n%d is %s (%s) after a minute", x.parts, i, s, why)
			}
		}
		if r := f.Drivers[0].View.Status().Roster; len(r.Names) != len(x.parts) || r.Version != 1 {
			t.Errorf("a loss changed the roster: %+v", r)
		}
		f.Blocked = nil
		fell := "" // what the other side said of the own peers is no news to who hears them
		notes := f.OnEvent
		f.OnEvent = func(at float64, d string, n membership.Event) {
			if notes(at, d, n); n.Reason == "standing" &&
				(strings.HasPrefix(n.Text, "smaller") || strings.HasPrefix(n.Text, "alone")) {
				fell = d + " " + n.Text
			}
		}
		wait(t, f, "heal", func() bool { return f.HavePartitionStatus(membership.Complete, all[:len(x.parts)]...) })
		if fell != "" {
			t.Errorf("%v: by the heal alone: %s", x.parts, fell)
		}
	}
}

// Killed ones stay on the roster until they come again, leave, or operators forget them.
func TestKilledForgottenAndBack(t *testing.T) {
	f := five(t, membershipsim.Options{Seed: 3})
	f.Kill(4)
	wait(t, f, "one lost", func() bool { return f.HavePartitionStatus(membership.Majority, 0, 1, 2, 3) })
	f.Start(4, 0)
	wait(t, f, "one back", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	for i := 1; i < 5; i++ {
		f.Kill(i)
	}
	wait(t, f, "all but one lost", func() bool { return f.HavePartitionStatus(membership.Isolated, 0) })
	if n := f.Drivers[0].View.DriverCount(); n != 10 {
		t.Errorf("alone of five it counts %d drivers: it may be cut off, and takes half of its share", n)
	}
	_, err := f.Drivers[0].View.Forget(f.Now, "n4", false)
	if err != membership.ErrNoMajority {
		t.Error(err)
	}
	for i := 1; i < 5; i++ {
		f.Apply(0, func(v *membership.Fleet) membership.Output {
			out, err := v.Forget(f.Now, fmt.Sprintf("n%d", i), true)
			if err != nil {
				t.Error(err)
			}
			return out
		})
	}
	if !f.HavePartitionStatus(membership.Complete, 0) || f.Drivers[0].View.DriverCount() != 1 {
		t.Errorf("all others forgotten: %+v", f.Drivers[0].View.Status())
	}
	f.Start(2, 0)
	wait(t, f, "a forgotten one comes anew", func() bool {
		return f.HavePartitionStatus(membership.Complete, 0, 2) && len(f.Drivers[0].View.Status().Roster.Names) == 2
	})
}

// Leaving on purpose shrinks what majorities are counted in; starting more grows it.
func TestShrinkAndGrowOnPurpose(t *testing.T) {
	f := five(t, membershipsim.Options{Seed: 5})
	for i := 4; i > 1; i-- {
		f.Apply(i, func(v *membership.Fleet) membership.Output { return v.Leave(f.Now) })
		f.Run(300)
		f.Kill(i)
		wait(t, f, "one left", func() bool {
			return f.HavePartitionStatus(membership.Complete, all[:i]...) && len(f.Drivers[0].View.Status().Roster.Names) == i
		})
		if s := state(f, 0, fmt.Sprintf("n%d", i)).State; s != membership.Left {
			t.Errorf("n%d left on purpose and is taken for %s", i, s)
		}
	}
	f.Add()
	f.Start(5, 0)
	wait(t, f, "one more", func() bool {
		return f.HavePartitionStatus(membership.Complete, 0, 1, 5) && len(f.Drivers[5].View.Status().Roster.Names) == 3
	})
	f.Apply(1, func(v *membership.Fleet) membership.Output {
		out, err := v.Forget(f.Now, "n0", false)
		if err != membership.ErrAlive {
			t.Error(err)
		}
		return out
	})
}

// A new driver that only the smaller part hears is not admitted: majorities are not made by who happens to be there.
func TestNewcomersOfTheSmallerPart(t *testing.T) {
	f := five(t, membershipsim.Options{Seed: 9, Seeds: 5})
	f.Blocked = parts(0, 0, 1, 1, 1, 0, 0, 0, 0)
	wait(t, f, "cut", func() bool {
		return f.HavePartitionStatus(membership.Minority, 0, 1) && f.HavePartitionStatus(membership.Majority, 2, 3, 4)
	})
	for i := 5; i < 9; i++ {
		f.Add()
		f.Start(i, 0)
	}
	wait(t, f, "newcomers", func() bool { return f.HavePartitionStatus(membership.Minority, 0, 1, 5, 6, 7, 8) })
	f.Run(60000)
	minority := f.HavePartitionStatus(membership.Minority, 0, 1, 5, 6, 7, 8)
	if !minority || !f.HavePartitionStatus(membership.Majority, 2, 3, 4) {
		t.Error("six of nine that are there, two of five that count")
	}
	f.Blocked = nil
	wait(t, f, "heal", func() bool {
		complete := f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		return complete && len(f.Drivers[8].View.Status().Roster.Names) == 9
	})
}

// One that stood still blames itself: it fails nobody, and is believed again once it says so.
func TestStoodStill(t *testing.T) {
	for _, length := range []float64{1000, 3000, 5000, 20000} {
		f := five(t, membershipsim.Options{Seed: uint64(length)})
		failed := 0
		notes := f.OnEvent
		f.OnEvent = func(at float64, d string, n membership.Event) {
			if notes(at, d, n); n.Reason == "fellow_failed" && (d == "n2" || n.Name != "n2") {
				failed++
			}
		}
		f.Pause(2, length)
		f.Run(length + 100)
		if s, _, _ := f.Drivers[2].View.PartitionStatus(); s != membership.Undetermined {
			t.Errorf("thawed after %.0f ms it is %s", length, s)
		}
		wait(t, f, "thawed", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
		f.Run(20000)
		if failed > 0 || !f.HavePartitionStatus(membership.Complete, all...) {
			t.Errorf("%.0f ms: %d failed wrongly", length, failed)
		}
	}
}

func TestOneDirectionOfOnePair(t *testing.T) {
	f := five(t, membershipsim.Options{Seed: 2})
	f.Blocked = func(a, b int) bool { return a == 0 && b == 1 }
	wait(t, f, "told", func() bool {
		return !state(f, 1, "n0").Reachable && slices.Contains(state(f, 3, "n1").Unreachable, "n0")
	})
	f.Run(60000)
	failed := state(f, 1, "n0").State == membership.Failed
	if !state(f, 0, "n1").Reachable || failed || !f.HavePartitionStatus(membership.Complete, all...) {
		t.Errorf("cut from one alone: %+v %+v", f.Drivers[0].View.Status(), f.Drivers[1].View.Status())
	}
	f.Blocked = nil
	wait(t, f, "heal", func() bool { return state(f, 1, "n0").Reachable && len(state(f, 3, "n1").Unreachable) == 0 })
}

// One that is heard and does not hear, or is not heard at all, fails nobody else and does not count itself in.
func TestMuteAndDeaf(t *testing.T) {
	for name, cut := range map[string]func(a, b int) bool{"mute": func(a, b int) bool {
		return a == 3
	}, "deaf": func(a, b int) bool {
		return b == 3
	}} {
		f := five(t, membershipsim.Options{Seed: 4})
		f.Blocked = cut
		wait(t, f, name, func() bool {
			s, _, _ := f.Drivers[3].View.PartitionStatus()
			return s < membership.Majority && f.HavePartitionStatus(membership.Majority, 0, 1, 2, 4)
		})
		f.Run(30000)
		s, _, _ := f.Drivers[3].View.PartitionStatus()
		if s >= membership.Majority || !f.HavePartitionStatus(membership.Majority, 0, 1, 2, 4) {
			t.Errorf("%s: it is %s", name, s)
		}
		f.Blocked = nil
		wait(t, f, "heal", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	}
}

func TestRing(t *testing.T) {
	f := five(t, membershipsim.Options{Seed: 6})
	f.Blocked = func(a, b int) bool { return (a+1)%5 != b && (b+1)%5 != a }
	f.Run(30000)
	for range 100 {
		f.Run(300)
		for i := range 5 {
			for _, v := range f.Drivers[i].View.Status().Drivers {
				if v.State == membership.Failed {
					t.Fatalf("n%d takes %s for failed", i, v.Name)
				}
			}
		}
	}
	if state(f, 0, "n2").Reachable || !state(f, 0, "n1").Reachable {
		t.Error("who hears whom is not told")
	}
}

// The first one under a name keeps it; the second gets it when the first has ended.
func TestNameTwice(t *testing.T) {
	f := five(t, membershipsim.Options{Seed: 8})
	f.Add().Name = "n4"
	f.Start(5, 0)
	wait(t, f, "told", func() bool {
		s, why, _ := f.Drivers[5].View.PartitionStatus()
		return s == membership.Undetermined && why == "name_taken"
	})
	f.Run(30000)
	first := f.Drivers[4].View.Status().Address
	if !f.HavePartitionStatus(membership.Complete, all...) || state(f, 0, "n4").Address != first {
		t.Error("the second one took the name")
	}
	f.Kill(4)
	wait(t, f, "taken over", func() bool { return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 5) })
	// a clock that went back, at the same address
	f.Kill(0)
	f.Start(0, -500000)
	wait(t, f, "back in time", func() bool { return f.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 5) })
}

func TestAllRestarted(t *testing.T) {
	f := five(t, membershipsim.Options{Seed: 1})
	for i := range 5 {
		f.Kill(i)
		f.Run(700)
		f.Start(i, 0)
		f.Run(700)
	}
	wait(t, f, "one by one", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
	for i := range 5 {
		f.Kill(i)
	}
	for i := range 5 {
		f.Start(i, 0)
	}
	wait(t, f, "at once", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
}

// Datagrams lost, doubled and late fail nobody for good.
func TestLossyNetwork(t *testing.T) {
	f := five(t, membershipsim.Options{Seed: 12, Duplicate: 0.2, Latency: 40})
	f.Loss = 0.3
	f.Run(600000)
	f.Loss = 0
	wait(t, f, "calm again", func() bool { return f.HavePartitionStatus(membership.Complete, all...) })
}
