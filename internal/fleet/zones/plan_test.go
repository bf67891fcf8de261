package zones

import (
	"math"
	"strings"
	"testing"

	"weirwind/internal/fleet/membership"
)

func open(string, string) bool { return true }

func flow(all []Flow, from, to string) float64 { return (&Plan{Flows: all}).share(from, to) }

// Reads stay near while there is room, spill in proportion, never to a zone that is not reached or has none, and the
// limit that binds is named.
func TestShares(t *testing.T) {
	three := func(a, b, c, room float64) []ZoneLoad {
		return []ZoneLoad{{"a", "r", a, room}, {"b", "r", b, room}, {"c", "s", c, room}}
	}
	if f, binds := solveFlows(three(60, 60, 60, 100), Limits{0.2, 1}, open); len(f) != 0 || len(binds) != 0 {
		t.Errorf("there is room: %v %v", f, binds)
	}
	// no cliff: what is beyond the easy room crosses, into the own region first
	for demand := 80.0; demand <= 140; demand += 5 {
		f, _ := solveFlows(three(demand, 20, 20, 100), Limits{0.2, 1}, open)
		want := max(0, demand-80) / demand
		if got := flow(f, "a", "b"); math.Abs(got-min(want, 60/demand)) > 0.011 {
			t.Errorf("demand %.0f: %v, want %.2f", demand, f, want)
		}
	}
	lost := three(60, 60, 60, 100)
	lost[1].Capacity = 0
	f, binds := solveFlows(lost, Limits{0, 1}, open)
	if got := flow(f, "b", "a"); got < 0.66 || flow(f, "b", "b") > 0.01 || flow(f, "b", "a")+flow(f, "b", "c") < 0.99 {
		t.Errorf("a zone without members: %v %v", f, binds)
	}
	f, _ = solveFlows(lost, Limits{0, 1}, func(from, to string) bool { return !(from == "b" && to == "a") })
	if flow(f, "b", "a") > 0 || flow(f, "b", "c") < 0.6 {
		t.Errorf("not reached: %v", f)
	}
	lost[0].Capacity, lost[2].Capacity = 70, 70
	if _, binds := solveFlows(lost, Limits{0, 1}, open); !strings.Contains(strings.Join(binds, ";"), "room: ") {
		t.Errorf("nobody can carry it: %v", binds)
	}
	lost[0].Capacity, lost[2].Capacity = 200, 200
	if _, binds := solveFlows(lost, Limits{0, 0.1}, open); !strings.Contains(strings.Join(binds, ";"), "budget: 33%") {
		t.Errorf("a budget that no plan keeps: %v", binds)
	}
}

// A zone that flaps stays away longer each time, one returns at a time, and what does not last takes no zone out.
func TestCourses(t *testing.T) {
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

// Of two zones without a third the one with fewer voters changes nothing while it is cut off; an order is refused
// there.
func TestTwoZonesWithoutAWitness(t *testing.T) {
	w := newTown(5, "a", "b", "a", "b", "a")
	w.sees = func(f, of string) Observation { return Observation{Zone: of, Members: 4, Reads: 100} }
	if w.until(60000, func() bool { return w.all(calm) }) < 0 {
		t.Fatal("no first plan")
	}
	w.cut = func(a, b int) bool { return a%2 != b%2 }
	before := w.ds[1].z.plan.Epoch
	w.run(20000)
	for _, i := range []int{1, 3} {
		z := w.ds[i].z
		if z.inForce(w.Now) || z.plan.Epoch != before {
			t.Errorf("%s: %+v", w.ds[i].name, z.Status(w.Now))
		}
		if _, err := z.Submit(w.Now, Command{Zone: "a", Evacuate: true}); err != ErrNotInForce {
			t.Errorf("an order: %v", err)
		}
	}
	if !w.ds[0].z.inForce(w.Now) || w.ds[0].z.plan.Epoch == before {
		t.Errorf("the other part does not go on: %+v", w.ds[0].z.Status(w.Now))
	}
	w.cut = nil
	if w.until(120000, func() bool { return w.all(serving) }) < 0 || len(w.broken) > 0 {
		w.dump(t)
		t.Error("not one plan after the heal")
	}
}

// The table: what each standing allows, with a plan in force and without.
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
	f := &tollController{zone: "a", tolls: map[string]float64{"a": 1, "b": 0, "c": 0.3}}
	p := &Plan{Zones: []Zone{{Name: "a", Capacity: 1}, {Name: "b", Capacity: 1}, {Name: "c", State: Ejected}},
		Flows: []Flow{{"a", "b", 0.5}}}
	if got := f.effective(p, []string{"a", "b", "c"}, true); got["a"] != 1 || got["b"] != 0 || got["c"] != avoidToll {
		t.Errorf("in force: %v", got)
	}
	if got := f.effective(p, []string{"a", "b", "c"}, false); got["a"] != 0 || got["b"] != defaultToll || got["c"] != avoidToll {
		t.Errorf("without: no zone is filled, and what was away is still avoided: %v", got)
	}
	if got := f.effective(&Plan{}, []string{"a", "b"}, false); got != nil {
		t.Errorf("nothing to say: %v", got)
	}
}

// Tolls bring a driver's own reads to the shares that are planned.
func TestSteering(t *testing.T) {
	f := &tollController{zone: "a"}
	p := &Plan{Flows: []Flow{{"a", "b", 0.3}}}
	share := 0.0
	for now := 0.0; now < 60000; now += 1000 {
		f.steer(now, p, []string{"a", "b"}, map[string]float64{"a": 100 * (1 - share), "b": 100 * share})
		share = 1 / (1 + math.Exp(3*(f.tolls["b"]-f.tolls["a"]+0.4))) // some monotone answer of the module
	}
	if math.Abs(share-0.3) > 0.03 {
		t.Errorf("%.2f, tolls %v", share, f.tolls)
	}
}
