package zones

import (
	"math"
	"strings"
	"testing"

	"weirwind/internal/fleet/membership"
)

func allReachable(string, string) bool { return true }

func shareOf(all []Flow, from, to string) float64 { return (&Plan{Flows: all}).share(from, to) }

// TestShares: reads stay local while there is capacity, spill in proportion, never to a zone that is not reached or has
// none, and the limit that binds is named.
func TestShares(t *testing.T) {
	three := func(a, b, c, room float64) []ZoneLoad {
		return []ZoneLoad{{"a", "r", a, room}, {"b", "r", b, room}, {"c", "s", c, room}}
	}
	if f, binds := solveFlows(three(60, 60, 60, 100), Limits{0.2, 1}, allReachable); len(f) != 0 || len(binds) != 0 {
		t.Errorf("there is room: %v %v", f, binds)
	}
	// no cliff: what is beyond the easy room crosses, into the own region first
	for demand := 80.0; demand <= 140; demand += 5 {
		f, _ := solveFlows(three(demand, 20, 20, 100), Limits{0.2, 1}, allReachable)
		want := max(0, demand-80) / demand
		if got := shareOf(f, "a", "b"); math.Abs(got-min(want, 60/demand)) > 0.011 {
			t.Errorf("demand %.0f: %v, want %.2f", demand, f, want)
		}
	}
	lost := three(60, 60, 60, 100)
	lost[1].Capacity = 0
	f, binds := solveFlows(lost, Limits{0, 1}, allReachable)
	if got := shareOf(f, "b", "a"); got < 0.66 || shareOf(f, "b", "b") > 0.01 || shareOf(f, "b", "a")+shareOf(f, "b", "c") < 0.99 {
		t.Errorf("a zone without members: %v %v", f, binds)
	}
	f, _ = solveFlows(lost, Limits{0, 1}, func(from, to string) bool { return !(from == "b" && to == "a") })
	if shareOf(f, "b", "a") > 0 || shareOf(f, "b", "c") < 0.6 {
		t.Errorf("not reached: %v", f)
	}
	lost[0].Capacity, lost[2].Capacity = 70, 70
	if _, binds := solveFlows(lost, Limits{0, 1}, allReachable); !strings.Contains(strings.Join(binds, ";"), "room: ") {
		t.Errorf("nobody can carry it: %v", binds)
	}
	lost[0].Capacity, lost[2].Capacity = 200, 200
	if _, binds := solveFlows(lost, Limits{0, 0.1}, allReachable); !strings.Contains(strings.Join(binds, ";"), "budget: 33%") {
		t.Errorf("a budget that no plan keeps: %v", binds)
	}
}

// TestTracker: a zone that flaps stays ejected longer each time, one recovers at a time, and what does not last ejects
// no zone.
func TestTracker(t *testing.T) {
	p := Timing{SuspectFor: 1000, DegradedFor: 5000, BaseEjection: 5000, MaxEjection: 100000, SlowStart: 2000, ForgiveAfter: 60000}
	c := &tracker{Zone: Zone{Name: "a", Capacity: 1}, healthySince: 0}
	leaves, last, now := 0, c.State, 0.0
	var stays []float64
	for ; now < 600000; now += 200 {
		cause := NoCause
		if int(now/3000)%2 == 1 && now < 120000 { // every 3 s
			cause = MembersLost
		}
		if c.step(now, p, cause, false, true); c.State == Ejected && last != Ejected {
			leaves++
		}
		if last == Ejected && c.State == Recovering {
			stays = append(stays, now)
		}
		last = c.State
	}
	if leaves > 6 || c.State != Serving || c.Flaps != 0 {
		t.Errorf("%d times away, returns at %v, ends %+v", leaves, stays, c.Zone)
	}
	c = &tracker{Zone: Zone{Name: "a", Capacity: 1}}
	for now = 0; now < 10000; now += 200 {
		cause := NoCause
		if int(now)%1000 < 800 {
			cause = ZoneLost
		}
		if c.step(now, p, cause, false, true); c.State == Ejected {
			t.Fatal("a cause of 0.8 s took it out")
		}
	}
	c = &tracker{Zone: Zone{Name: "a", State: Ejected}, healthySince: 0}
	if c.step(50000, p, NoCause, false, false); c.State != Ejected {
		t.Error("it returns beside another one")
	}
}

// TestTwoZonesWithoutAWitness: of two zones without a third the one with fewer voters changes nothing while it is
// partitioned; a command is rejected there.
func TestTwoZonesWithoutAWitness(t *testing.T) {
	s := newSimulation(5, "a", "b", "a", "b", "a")
	if s.runUntilConverged(60000, allWhole) < 0 {
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
			t.Errorf("an order: %v", err)
		}
	}
	if !s.nodes[0].coordinator.inForce(s.Now) || s.nodes[0].coordinator.plan.Epoch == before {
		t.Errorf("the other part does not go on: %+v", s.nodes[0].coordinator.Status(s.Now))
	}
	s.blocked = nil
	if s.runUntilConverged(120000, allServing) < 0 || len(s.violations) > 0 {
		s.dump(t)
		t.Error("not one plan after the heal")
	}
}

// TestWhatIsAllowed: what each side of a partition allows, with a plan in force and without, and what tolls follow.
func TestWhatIsAllowed(t *testing.T) {
	for s := membership.Undetermined; s <= membership.Complete; s++ {
		for _, force := range []bool{false, true} {
			most := s == membership.Majority || s == membership.Complete
			for act, want := range map[Action]bool{MovePrimary: most && force, SpillToZone: force, FollowPlan: force,
				AvoidZone: true, ConfirmPlan: true} {
				if got := Allowed(s, force, act); got != want {
					t.Errorf("%s, in force %v, act %d: %v", s, force, act, got)
				}
			}
		}
	}
	f := &penaltyController{zone: "a", penalties: map[string]float64{"a": 1, "b": 0, "c": 0.3}}
	p := &Plan{Zones: []Zone{{Name: "a", Capacity: 1}, {Name: "b", Capacity: 1}, {Name: "c", State: Ejected}},
		Flows: []Flow{{"a", "b", 0.5}}}
	if got := f.effective(p, []string{"a", "b", "c"}, true); got["a"] != 1 || got["b"] != 0 || got["c"] != avoidPenalty {
		t.Errorf("in force: %v", got)
	}
	got := f.effective(p, []string{"a", "b", "c"}, false)
	if got["a"] != 0 || got["b"] != defaultPenalty || got["c"] != avoidPenalty {
		t.Errorf("without: no zone is filled, and what was away is still avoided: %v", got)
	}
	if got := f.effective(&Plan{}, []string{"a", "b"}, false); got != nil {
		t.Errorf("nothing to say: %v", got)
	}
}

// TestSteering: tolls bring a driver's own reads to the shares that are planned.
func TestSteering(t *testing.T) {
	f := &penaltyController{zone: "a"}
	p := &Plan{Flows: []Flow{{"a", "b", 0.3}}}
	share := 0.0
	for now := 0.0; now < 60000; now += 1000 {
		f.update(now, p, []string{"a", "b"}, map[string]float64{"a": 100 * (1 - share), "b": 100 * share})
		share = 1 / (1 + math.Exp(3*(f.penalties["b"]-f.penalties["a"]+0.4))) // some monotone answer of the module
	}
	if math.Abs(share-0.3) > 0.03 {
		t.Errorf("%.2f, tolls %v", share, f.penalties)
	}
}
