package zones

import (
	"math"
	"strings"
	"testing"

	"weirwind/internal/fleet/membership"
)

func allReachable(string, string) bool { return true }

func shareOf(all []Flow, from, to string) float64 { return (&Plan{Flows: all}).share(from, to) }

// TestSolveFlows checks that reads stay local while there is capacity, spill in proportion, never go to a zone that is
// unreachable or without capacity, and that binding limits are reported.
func TestSolveFlows(t *testing.T) {
	threeZones := func(a, b, c, capacity float64) []ZoneLoad {
		return []ZoneLoad{{"a", "r", a, capacity}, {"b", "r", b, capacity}, {"c", "s", c, capacity}}
	}
	if flows, binding := solveFlows(threeZones(60, 60, 60, 100), Limits{0.2, 1}, allReachable); len(flows) != 0 || len(binding) != 0 {
		t.Errorf("flows although all zones have capacity: %v %v", flows, binding)
	}
	// reads beyond the capacity without headroom cross gradually, into the own region first
	for demand := 80.0; demand <= 140; demand += 5 {
		flows, _ := solveFlows(threeZones(demand, 20, 20, 100), Limits{0.2, 1}, allReachable)
		want := max(0, demand-80) / demand
		if got := shareOf(flows, "a", "b"); math.Abs(got-min(want, 60/demand)) > 0.011 {
			t.Errorf("demand %.0f: %v, want %.2f", demand, flows, want)
		}
	}
	loads := threeZones(60, 60, 60, 100)
	loads[1].Capacity = 0
	flows, binding := solveFlows(loads, Limits{0, 1}, allReachable)
	if got := shareOf(flows, "b", "a"); got < 0.66 || shareOf(flows, "b", "b") > 0.01 ||
		shareOf(flows, "b", "a")+shareOf(flows, "b", "c") < 0.99 {
		t.Errorf("a zone without capacity: %v %v", flows, binding)
	}
	flows, _ = solveFlows(loads, Limits{0, 1}, func(from, to string) bool { return !(from == "b" && to == "a") })
	if shareOf(flows, "b", "a") > 0 || shareOf(flows, "b", "c") < 0.6 {
		t.Errorf("an unreachable zone: %v", flows)
	}
	loads[0].Capacity, loads[2].Capacity = 70, 70
	if _, binding := solveFlows(loads, Limits{0, 1}, allReachable); !strings.Contains(strings.Join(binding, ";"), "room: ") {
		t.Errorf("too little capacity in total: %v", binding)
	}
	loads[0].Capacity, loads[2].Capacity = 200, 200
	if _, binding := solveFlows(loads, Limits{0, 0.1}, allReachable); !strings.Contains(strings.Join(binding, ";"), "budget: 33%") {
		t.Errorf("a budget that cannot be kept: %v", binding)
	}
}

// TestTracker checks that a flapping zone stays ejected longer each time, that only one zone recovers at a time, and
// that a short-lived cause ejects no zone.
func TestTracker(t *testing.T) {
	timing := Timing{SuspectFor: 1000, DegradedFor: 5000, BaseEjection: 5000, MaxEjection: 100000, SlowStart: 2000,
		ForgiveAfter: 60000}
	zone := &tracker{Zone: Zone{Name: "a", Capacity: 1}, healthySince: 0}
	ejections, previous, now := 0, zone.State, 0.0
	var recoveries []float64
	for ; now < 600000; now += 200 {
		cause := NoCause
		if int(now/3000)%2 == 1 && now < 120000 { // every 3 s
			cause = MembersLost
		}
		if zone.step(now, timing, cause, false, true); zone.State == Ejected && previous != Ejected {
			ejections++
		}
		if previous == Ejected && zone.State == Recovering {
			recoveries = append(recoveries, now)
		}
		previous = zone.State
	}
	if ejections > 6 || zone.State != Serving || zone.Flaps != 0 {
		t.Errorf("%d ejections, recoveries at %v, final state %+v", ejections, recoveries, zone.Zone)
	}
	zone = &tracker{Zone: Zone{Name: "a", Capacity: 1}}
	for now = 0; now < 10000; now += 200 {
		cause := NoCause
		if int(now)%1000 < 800 {
			cause = ZoneLost
		}
		if zone.step(now, timing, cause, false, true); zone.State == Ejected {
			t.Fatal("a cause of 0.8 s ejected the zone")
		}
	}
	zone = &tracker{Zone: Zone{Name: "a", State: Ejected}, healthySince: 0}
	if zone.step(50000, timing, NoCause, false, false); zone.State != Ejected {
		t.Error("it recovers while another zone does")
	}
}

// TestTwoZonesWithoutAWitness checks that of two partitioned zones, without a third one, the one with fewer voters
// changes nothing and rejects commands.
func TestTwoZonesWithoutAWitness(t *testing.T) {
	s := newSimulation(5, "a", "b", "a", "b", "a")
	if s.runUntilConverged(60000, allServingLocally) < 0 {
		t.Fatal("no first plan")
	}
	s.blocked = func(a, b int) bool { return a%2 != b%2 }
	before := s.nodes[1].coordinator.plan.Epoch
	s.run(20000)
	for _, i := range []int{1, 3} {
		z := s.nodes[i].coordinator
		if z.inForce(s.Now) || z.plan.Epoch != before {
			t.Errorf("%s: %+v", s.nodes[i].name, z.Status(s.Now))
		}
		if _, err := z.Submit(s.Now, Command{Zone: "a", Evacuate: true}); err != ErrNotInForce {
			t.Errorf("a command: %v", err)
		}
	}
	if !s.nodes[0].coordinator.inForce(s.Now) || s.nodes[0].coordinator.plan.Epoch == before {
		t.Errorf("the majority does not continue: %+v", s.nodes[0].coordinator.Status(s.Now))
	}
	s.blocked = nil
	if s.runUntilConverged(120000, allServing) < 0 || len(s.violations) > 0 {
		s.dump(t)
		t.Error("no common plan after the heal, or invariants violated")
	}
}

// TestAllowedActions checks which actions are allowed in each partition status, and the penalties, with and without a
// lease.
func TestAllowedActions(t *testing.T) {
	for status := membership.Undetermined; status <= membership.Complete; status++ {
		for _, inForce := range []bool{false, true} {
			withMajority := status == membership.Majority || status == membership.Complete
			for action, want := range map[Action]bool{MovePrimary: withMajority && inForce, SpillToZone: inForce, FollowPlan: inForce,
				AvoidZone: true, ConfirmPlan: true} {
				if got := Allowed(status, inForce, action); got != want {
					t.Errorf("%s, in force %v, action %d: %v", status, inForce, action, got)
				}
			}
		}
	}
	controller := &penaltyController{zone: "a", penalties: map[string]float64{"a": 1, "b": 0, "c": 0.3}}
	plan := &Plan{Zones: []Zone{{Name: "a", Capacity: 1}, {Name: "b", Capacity: 1}, {Name: "c", State: Ejected}},
		Flows: []Flow{{"a", "b", 0.5}}}
	if got := controller.effective(plan, []string{"a", "b", "c"}, true); got["a"] != 1 || got["b"] != 0 || got["c"] != avoidPenalty {
		t.Errorf("in force: %v", got)
	}
	got := controller.effective(plan, []string{"a", "b", "c"}, false)
	if got["a"] != 0 || got["b"] != defaultPenalty || got["c"] != avoidPenalty {
		t.Errorf("without a lease only ejected zones are to be avoided: %v", got)
	}
	if got := controller.effective(&Plan{}, []string{"a", "b"}, false); got != nil {
		t.Errorf("penalties without a reason: %v", got)
	}
}

// TestPenaltiesReachPlannedShares checks that penalties bring a driver's own reads to the planned shares.
func TestPenaltiesReachPlannedShares(t *testing.T) {
	controller := &penaltyController{zone: "a"}
	plan := &Plan{Flows: []Flow{{"a", "b", 0.3}}}
	share := 0.0
	for now := 0.0; now < 60000; now += 1000 {
		controller.update(now, plan, []string{"a", "b"}, map[string]float64{"a": 100 * (1 - share), "b": 100 * share})
		// some monotone response of the routing module
		share = 1 / (1 + math.Exp(3*(controller.penalties["b"]-controller.penalties["a"]+0.4)))
	}
	if math.Abs(share-0.3) > 0.03 {
		t.Errorf("%.2f, penalties %v", share, controller.penalties)
	}
}
