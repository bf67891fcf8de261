package zones

import (
	"slices"
	"testing"

	"pgregory.net/rapid"
)

// observeWithout returns observations in which the members of zone b are unreachable from some zones.
func observeWithout(unreachableFrom ...string) func(from, of string) Observation {
	return func(from, of string) Observation {
		o := observeHealthy(from, of)
		if of == "b" && slices.Contains(unreachableFrom, from) {
			o.Unreachable = 4
		}
		return o
	}
}

func (s *simulation) stopZone(zone string) {
	for _, n := range s.nodes {
		if n.zone == zone {
			s.stop(n)
		}
	}
}

// startAll starts the nodes that do not run.
func (s *simulation) startAll() {
	for _, n := range s.nodes {
		if n.coordinator == nil {
			s.start(n)
		}
	}
}

// TestCauses checks that each kind of fault leads to its own plan, and that the plan is normal again after the fault.
func TestCauses(t *testing.T) {
	for name, test := range map[string]struct {
		fault func(s *simulation)
		want  func(p *Plan) bool
	}{
		"a zone lost": {
			fault: func(s *simulation) {
				s.observe = observeWithout("a", "c")
				s.stopZone("b")
			},
			want: zoneIs("b", Ejected, ZoneLost),
		},
		"members lost": {
			fault: func(s *simulation) { s.observe = observeWithout("a", "b", "c") },
			want:  zoneIs("b", Ejected, MembersLost),
		},
		"drivers lost": {
			fault: func(s *simulation) { s.stopZone("b") },
			want:  zoneIs("b", Serving, DriversLost),
		},
		"isolated": {
			fault: func(s *simulation) { s.observe = observeWithout("a", "c") },
			want:  zoneIs("b", Ejected, Isolated),
		},
		"cut one way": {
			fault: func(s *simulation) { s.observe = observeWithout("a") },
			want: func(p *Plan) bool {
				return p.partitioned("a", "b") && !p.partitioned("c", "b") && !p.partitioned("b", "a") &&
					p.zone("b").State == Serving
			},
		},
		"slow": {
			fault: func(s *simulation) {
				s.observe = func(from, of string) Observation {
					o := observeHealthy(from, of)
					if o.LatencyRatio = 1; of == "b" {
						o.LatencyRatio = 4
					}
					return o
				}
			},
			want: func(p *Plan) bool {
				return zoneIs("b", Serving, Slow)(p) && p.zone("b").Capacity == degradedCapacity
			},
		},
		"one driver reports all members as unreachable": {
			fault: func(s *simulation) {
				s.tamper = func(n *node, sent []Observation) {
					if n.index == 4 {
						for i := range sent {
							sent[i].Unreachable = sent[i].Members
						}
					}
				}
			},
			want: allServingLocally,
		},
	} {
		t.Run(name, func(t *testing.T) { testCause(t, test.fault, test.want) })
	}
}

// testCause runs nine drivers from a first plan through a fault to the wanted plan and back.
func testCause(t *testing.T, fault func(s *simulation), want func(p *Plan) bool) {
	t.Helper()
	s := newSimulation(1, "a", "b", "c", "a", "b", "c", "a", "b", "c")
	if s.runUntilConverged(60000, allServingLocally) < 0 {
		s.dump(t)
		t.Fatal("no first plan")
	}
	fault(s)
	elapsed := s.runUntilConverged(60000, want)
	if s.run(5000); elapsed < 0 || s.runUntilConverged(5000, want) < 0 {
		s.dump(t)
		t.Fatal("the wanted plan was not reached, or not kept")
	}
	t.Logf("%.0f ms", elapsed)
	s.observe, s.tamper = observeHealthy, nil
	s.startAll()
	if s.runUntilConverged(120000, allServingLocally) < 0 || len(s.violations) > 0 {
		s.dump(t)
		t.Fatal("not back to normal, or invariants violated")
	}
}

// TestAnyFaults checks under random faults that no two plans of one epoch are in force, that no plan is in force for
// longer than its lease alongside a later one, and that all drivers follow one plan after the last fault.
func TestAnyFaults(t *testing.T) {
	rapid.Check(t, func(r *rapid.T) {
		count := rapid.IntRange(3, 7).Draw(r, "drivers")
		var zones []string
		for i := range count {
			zones = append(zones, string(rune('a'+i%3)))
		}
		s := newSimulation(rapid.Uint64().Draw(r, "seed"), zones...)
		s.persistent = rapid.Bool().Draw(r, "persistent")
		for _, n := range s.nodes {
			s.start(n)
		}
		s.loss = rapid.SampledFrom([]float64{0, 0.05, 0.3}).Draw(r, "loss")
		if s.runUntilConverged(120000, anyPlan) < 0 {
			r.Fatal("no first plan")
		}
		unreachable := map[string]bool{} // zones, and pairs of zones
		s.observe = func(from, of string) Observation {
			o := observeHealthy(from, of)
			if unreachable[of] || unreachable[from+of] {
				o.Unreachable = 4
			}
			return o
		}
		for range rapid.IntRange(1, 6).Draw(r, "faults") {
			drawFault(r, s, unreachable)
			s.run(15000 * s.random.Float64())
		}
		s.blocked, s.loss = nil, 0
		clear(unreachable)
		s.startAll()
		if s.runUntilConverged(400000, allServing) < 0 || len(s.violations) > 0 {
			logFailure(r, s)
			r.Fatal("no common plan after the last fault, or invariants violated")
		}
	})
}

// drawFault injects one random fault, or ends one.
func drawFault(r *rapid.T, s *simulation, unreachable map[string]bool) {
	count := len(s.nodes)
	n := s.nodes[rapid.IntRange(0, count-1).Draw(r, "at")]
	switch rapid.IntRange(0, 7).Draw(r, "fault") {
	case 0:
		s.stop(n)
	case 1:
		if n.coordinator == nil {
			s.start(n)
		}
	case 2:
		n.pausedUntil = s.Now + 20000*s.random.Float64()
	case 3:
		sides := rapid.Uint64().Draw(r, "sides")
		s.blocked = func(from, to int) bool { return sides>>from&1 != sides>>to&1 }
	case 4:
		other := rapid.IntRange(0, count-1).Draw(r, "to")
		s.blocked = func(from, to int) bool { return from == n.index && to == other }
	case 5:
		s.blocked = nil
	case 6:
		unreachable[n.zone] = !unreachable[n.zone]
	case 7:
		to := s.nodes[rapid.IntRange(0, count-1).Draw(r, "to")].zone
		unreachable[n.zone+to] = !unreachable[n.zone+to]
	}
}

func logFailure(r *rapid.T, s *simulation) {
	for _, violation := range s.violations {
		r.Log(violation)
	}
	for _, n := range s.nodes {
		c := n.coordinator
		r.Logf("%s %s evacuations %v alive %v", n.name, describe(c.plan), c.evacuations, c.fleet.Alive)
	}
}
