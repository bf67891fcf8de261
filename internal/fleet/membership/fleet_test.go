package membership_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/lab/membershipsim"
)

var allFive = []int{0, 1, 2, 3, 4}

// newFleet returns a simulated fleet, by default of five drivers, that has bootstrapped its roster.
func newFleet(t *testing.T, options membershipsim.Options) *membershipsim.Simulation {
	t.Helper()
	if options.Drivers == 0 {
		options.Drivers = 5
	}
	sim := membershipsim.New(options)
	var log []string
	sim.OnEvent = func(at float64, driver string, event membership.Event) {
		log = append(log, fmt.Sprintf("%.0f %s: %s %s %s", at, driver, event.Reason, event.Name, event.Text))
	}
	t.Cleanup(func() {
		if t.Failed() {
			for _, l := range log[max(0, len(log)-120):] {
				t.Log(l)
			}
		}
	})
	var indices []int
	for i := range options.Drivers {
		sim.Start(i, 0)
		indices = append(indices, i)
	}
	waitUntil(t, sim, "bootstrap", func() bool { return sim.HavePartitionStatus(membership.Complete, indices...) })
	return sim
}

func waitUntil(t *testing.T, sim *membershipsim.Simulation, what string, condition func() bool) {
	t.Helper()
	if _, ok := sim.RunUntilTrue(60000, condition); !ok {
		for _, d := range sim.Drivers {
			if d.View != nil {
				t.Logf("%s: %+v", d.Name, d.View.Status())
			}
		}
		t.Fatalf("%s: condition not reached within a minute", what)
	}
}

// partitionedInto returns a Blocked function that separates the drivers of different parts.
func partitionedInto(partOf ...int) func(a, b int) bool {
	return func(a, b int) bool { return partOf[a] != partOf[b] }
}

func viewOf(sim *membershipsim.Simulation, observer int, name string) membership.View {
	for _, v := range sim.Drivers[observer].View.Status().Drivers {
		if v.Name == name {
			return v
		}
	}
	return membership.View{Name: "unknown", State: membership.Left}
}

// TestPartitionStatusOfParts checks the status of drivers in partitions of different sizes, during the partition and
// while it heals.
func TestPartitionStatusOfParts(t *testing.T) {
	for _, test := range []struct {
		parts []int
		want  [2]membership.PartitionStatus
	}{
		{[]int{0, 0, 1, 1, 1}, [2]membership.PartitionStatus{membership.Minority, membership.Majority}},
		{[]int{0, 1, 1, 1, 1}, [2]membership.PartitionStatus{membership.Isolated, membership.Majority}},
		{[]int{0, 0, 1, 1}, [2]membership.PartitionStatus{membership.Undetermined, membership.Undetermined}},
	} {
		sim := newFleet(t, membershipsim.Options{Drivers: len(test.parts), Seed: 7})
		sim.Blocked = partitionedInto(test.parts...)
		for part, want := range test.want {
			for i, p := range test.parts {
				if p == part {
					waitUntil(t, sim, fmt.Sprint(test.parts, want), func() bool { return sim.HavePartitionStatus(want, i) })
				}
			}
		}
		sim.Run(60000) // the status is stable
		for i, p := range test.parts {
			if !sim.HavePartitionStatus(test.want[p], i) {
				status, reason, _ := sim.Drivers[i].View.PartitionStatus()
				t.Errorf("%v: n%d is %s (%s) after a minute", test.parts, i, status, reason)
			}
		}
		if r := sim.Drivers[0].View.Status().Roster; len(r.Names) != len(test.parts) || r.Version != 1 {
			t.Errorf("a partition changed the roster: %+v", r)
		}
		sim.Blocked = nil
		lostMajority := "" // failures reported by the other side must not override direct contact
		logEvent := sim.OnEvent
		sim.OnEvent = func(at float64, driver string, event membership.Event) {
			if logEvent(at, driver, event); event.Reason == "standing" &&
				(strings.HasPrefix(event.Text, "smaller") || strings.HasPrefix(event.Text, "alone")) {
				lostMajority = driver + " " + event.Text
			}
		}
		waitUntil(t, sim, "heal", func() bool {
			return sim.HavePartitionStatus(membership.Complete, allFive[:len(test.parts)]...)
		})
		if lostMajority != "" {
			t.Errorf("%v: status fell during the heal: %s", test.parts, lostMajority)
		}
	}
}

// TestForgetFailedDrivers checks that killed drivers stay on the roster until they leave or operators forget them.
func TestForgetFailedDrivers(t *testing.T) {
	sim := newFleet(t, membershipsim.Options{Seed: 3})
	sim.Kill(4)
	waitUntil(t, sim, "one killed", func() bool { return sim.HavePartitionStatus(membership.Majority, 0, 1, 2, 3) })
	sim.Start(4, 0)
	waitUntil(t, sim, "one restarted", func() bool { return sim.HavePartitionStatus(membership.Complete, allFive...) })
	for i := 1; i < 5; i++ {
		sim.Kill(i)
	}
	waitUntil(t, sim, "all but one killed", func() bool { return sim.HavePartitionStatus(membership.Isolated, 0) })
	if n := sim.Drivers[0].View.DriverCount(); n != 10 {
		t.Errorf("an isolated driver of five counts %d drivers; it may be partitioned and must use half of its share", n)
	}
	_, err := sim.Drivers[0].View.Forget(sim.Now, "n4", false)
	if err != membership.ErrNoMajority {
		t.Error(err)
	}
	for i := 1; i < 5; i++ {
		sim.Apply(0, func(v *membership.Fleet) membership.Output {
			out, err := v.Forget(sim.Now, fmt.Sprintf("n%d", i), true)
			if err != nil {
				t.Error(err)
			}
			return out
		})
	}
	if !sim.HavePartitionStatus(membership.Complete, 0) || sim.Drivers[0].View.DriverCount() != 1 {
		t.Errorf("all others forgotten: %+v", sim.Drivers[0].View.Status())
	}
	sim.Start(2, 0)
	waitUntil(t, sim, "a forgotten driver rejoins", func() bool {
		return sim.HavePartitionStatus(membership.Complete, 0, 2) && len(sim.Drivers[0].View.Status().Roster.Names) == 2
	})
}

// TestRosterFollowsLeaveAndJoin checks that the roster shrinks when drivers leave gracefully and grows when drivers
// join.
func TestRosterFollowsLeaveAndJoin(t *testing.T) {
	sim := newFleet(t, membershipsim.Options{Seed: 5})
	for i := 4; i > 1; i-- {
		sim.Apply(i, func(v *membership.Fleet) membership.Output { return v.Leave(sim.Now) })
		sim.Run(300)
		sim.Kill(i)
		waitUntil(t, sim, "one left", func() bool {
			return sim.HavePartitionStatus(membership.Complete, allFive[:i]...) &&
				len(sim.Drivers[0].View.Status().Roster.Names) == i
		})
		if state := viewOf(sim, 0, fmt.Sprintf("n%d", i)).State; state != membership.Left {
			t.Errorf("n%d left gracefully and has state %s", i, state)
		}
	}
	sim.Add()
	sim.Start(5, 0)
	waitUntil(t, sim, "one joined", func() bool {
		return sim.HavePartitionStatus(membership.Complete, 0, 1, 5) && len(sim.Drivers[5].View.Status().Roster.Names) == 3
	})
	sim.Apply(1, func(v *membership.Fleet) membership.Output {
		out, err := v.Forget(sim.Now, "n0", false)
		if err != membership.ErrAlive {
			t.Error(err)
		}
		return out
	})
}

// TestMinorityAdmitsNoDrivers checks that drivers that join in the minority partition are not added to the roster.
func TestMinorityAdmitsNoDrivers(t *testing.T) {
	sim := newFleet(t, membershipsim.Options{Seed: 9, Seeds: 5})
	sim.Blocked = partitionedInto(0, 0, 1, 1, 1, 0, 0, 0, 0)
	waitUntil(t, sim, "partition", func() bool {
		return sim.HavePartitionStatus(membership.Minority, 0, 1) && sim.HavePartitionStatus(membership.Majority, 2, 3, 4)
	})
	for i := 5; i < 9; i++ {
		sim.Add()
		sim.Start(i, 0)
	}
	waitUntil(t, sim, "drivers joined in the minority", func() bool {
		return sim.HavePartitionStatus(membership.Minority, 0, 1, 5, 6, 7, 8)
	})
	sim.Run(60000)
	minority := sim.HavePartitionStatus(membership.Minority, 0, 1, 5, 6, 7, 8)
	if !minority || !sim.HavePartitionStatus(membership.Majority, 2, 3, 4) {
		t.Error("six of nine running drivers must stay a minority: only two of them are on the roster of five")
	}
	sim.Blocked = nil
	waitUntil(t, sim, "heal", func() bool {
		complete := sim.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 4, 5, 6, 7, 8)
		return complete && len(sim.Drivers[8].View.Status().Roster.Names) == 9
	})
}

// TestPausedDriverFailsNobody checks that a paused driver marks nobody as failed, and is trusted again after the pause.
func TestPausedDriverFailsNobody(t *testing.T) {
	for _, length := range []float64{1000, 3000, 5000, 20000} {
		sim := newFleet(t, membershipsim.Options{Seed: uint64(length)})
		failed := 0
		logEvent := sim.OnEvent
		sim.OnEvent = func(at float64, driver string, event membership.Event) {
			if logEvent(at, driver, event); event.Reason == "fellow_failed" && (driver == "n2" || event.Name != "n2") {
				failed++
			}
		}
		sim.Pause(2, length)
		sim.Run(length + 100)
		if status, _, _ := sim.Drivers[2].View.PartitionStatus(); status != membership.Undetermined {
			t.Errorf("after a pause of %.0f ms its status is %s", length, status)
		}
		waitUntil(t, sim, "pause ended", func() bool { return sim.HavePartitionStatus(membership.Complete, allFive...) })
		sim.Run(20000)
		if failed > 0 || !sim.HavePartitionStatus(membership.Complete, allFive...) {
			t.Errorf("pause of %.0f ms: %d wrong failures", length, failed)
		}
	}
}

// TestOneWayLinkFailure checks that a link that fails in one direction is reported as unreachable to all drivers, and
// that nobody is marked as failed.
func TestOneWayLinkFailure(t *testing.T) {
	sim := newFleet(t, membershipsim.Options{Seed: 2})
	sim.Blocked = func(a, b int) bool { return a == 0 && b == 1 }
	waitUntil(t, sim, "unreachability gossiped", func() bool {
		return !viewOf(sim, 1, "n0").Reachable && slices.Contains(viewOf(sim, 3, "n1").Unreachable, "n0")
	})
	sim.Run(60000)
	failed := viewOf(sim, 1, "n0").State == membership.Failed
	if !viewOf(sim, 0, "n1").Reachable || failed || !sim.HavePartitionStatus(membership.Complete, allFive...) {
		t.Errorf("one link fails in one direction: %+v %+v", sim.Drivers[0].View.Status(), sim.Drivers[1].View.Status())
	}
	sim.Blocked = nil
	waitUntil(t, sim, "heal", func() bool {
		return viewOf(sim, 1, "n0").Reachable && len(viewOf(sim, 3, "n1").Unreachable) == 0
	})
}

// TestDriverCutInOneDirection checks that a driver that only sends or only receives is never in the majority, and that
// the others stay in it.
func TestDriverCutInOneDirection(t *testing.T) {
	for name, blocked := range map[string]func(a, b int) bool{"receives only": func(a, b int) bool {
		return a == 3
	}, "sends only": func(a, b int) bool {
		return b == 3
	}} {
		sim := newFleet(t, membershipsim.Options{Seed: 4})
		sim.Blocked = blocked
		waitUntil(t, sim, name, func() bool {
			status, _, _ := sim.Drivers[3].View.PartitionStatus()
			return status < membership.Majority && sim.HavePartitionStatus(membership.Majority, 0, 1, 2, 4)
		})
		sim.Run(30000)
		status, _, _ := sim.Drivers[3].View.PartitionStatus()
		if status >= membership.Majority || !sim.HavePartitionStatus(membership.Majority, 0, 1, 2, 4) {
			t.Errorf("%s: its status is %s", name, status)
		}
		sim.Blocked = nil
		waitUntil(t, sim, "heal", func() bool { return sim.HavePartitionStatus(membership.Complete, allFive...) })
	}
}

// TestRingTopology checks that nobody is marked as failed when each driver reaches only its two neighbors, and that
// unreachable drivers are reported.
func TestRingTopology(t *testing.T) {
	sim := newFleet(t, membershipsim.Options{Seed: 6})
	sim.Blocked = func(a, b int) bool { return (a+1)%5 != b && (b+1)%5 != a }
	sim.Run(30000)
	for range 100 {
		sim.Run(300)
		for i := range 5 {
			for _, v := range sim.Drivers[i].View.Status().Drivers {
				if v.State == membership.Failed {
					t.Fatalf("n%d regards %s as failed", i, v.Name)
				}
			}
		}
	}
	if viewOf(sim, 0, "n2").Reachable || !viewOf(sim, 0, "n1").Reachable {
		t.Error("reachability does not match the ring")
	}
}

// TestDuplicateName checks that the first process with a name keeps it, and that a second one gets it after the first
// ended.
func TestDuplicateName(t *testing.T) {
	sim := newFleet(t, membershipsim.Options{Seed: 8})
	sim.Add().Name = "n4"
	sim.Start(5, 0)
	waitUntil(t, sim, "conflict detected", func() bool {
		status, reason, _ := sim.Drivers[5].View.PartitionStatus()
		return status == membership.Undetermined && reason == "name_taken"
	})
	sim.Run(30000)
	firstAddress := sim.Drivers[4].View.Status().Address
	if !sim.HavePartitionStatus(membership.Complete, allFive...) || viewOf(sim, 0, "n4").Address != firstAddress {
		t.Error("the second process took the name")
	}
	sim.Kill(4)
	waitUntil(t, sim, "name taken over", func() bool { return sim.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 5) })
	// a restart at the same address after the clock was set back
	sim.Kill(0)
	sim.Start(0, -500000)
	waitUntil(t, sim, "clock set back", func() bool { return sim.HavePartitionStatus(membership.Complete, 0, 1, 2, 3, 5) })
}

// TestRestartOfAllDrivers checks that the fleet is complete again after a rolling restart and after a restart of all
// drivers at once.
func TestRestartOfAllDrivers(t *testing.T) {
	sim := newFleet(t, membershipsim.Options{Seed: 1})
	for i := range 5 {
		sim.Kill(i)
		sim.Run(700)
		sim.Start(i, 0)
		sim.Run(700)
	}
	waitUntil(t, sim, "rolling restart", func() bool { return sim.HavePartitionStatus(membership.Complete, allFive...) })
	for i := range 5 {
		sim.Kill(i)
	}
	for i := range 5 {
		sim.Start(i, 0)
	}
	waitUntil(t, sim, "simultaneous restart", func() bool { return sim.HavePartitionStatus(membership.Complete, allFive...) })
}

// TestLossyNetwork checks that lost, duplicated and delayed datagrams mark nobody as failed permanently.
func TestLossyNetwork(t *testing.T) {
	sim := newFleet(t, membershipsim.Options{Seed: 12, Duplicate: 0.2, Latency: 40})
	sim.Loss = 0.3
	sim.Run(600000)
	sim.Loss = 0
	waitUntil(t, sim, "loss ended", func() bool { return sim.HavePartitionStatus(membership.Complete, allFive...) })
}
