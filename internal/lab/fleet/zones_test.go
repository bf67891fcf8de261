package fleet

// These tests run several processes of the built program that make zone decisions together, with members in three zones
// and faults of drivers and members.

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"slices"
	"strings"
	"testing"
	"time"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/lab"
)

var zoneNames = []string{"a", "b", "c"}

// startZonedFleet starts six drivers and six members in three zones, and waits for the first plan.
func startZonedFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	t.Parallel()
	cluster, err := lab.Start(lab.Options{ElectionTime: 300 * time.Millisecond, Members: 6, Zones: zoneNames})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(cluster.Stop)
	o.Cluster, o.Drivers = cluster, 6
	if o.Zones == nil {
		o.Zones = zoneNames
	}
	f := newFleet(t, o)
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "a first plan", func() bool { return f.followPlan(func(p *zones.Plan) bool { return true }) })
	return f
}

func (d *Driver) zonesStatus() (zones.Status, bool) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	s, err := d.Control.Zones(ctx)
	return s, err == nil
}

// followPlan reports whether the given drivers, by default all six, have the same plan in force and it fulfils a
// condition.
func (f *Fleet) followPlan(condition func(p *zones.Plan) bool, drivers ...int) bool {
	if len(drivers) == 0 {
		drivers = []int{0, 1, 2, 3, 4, 5}
	}
	epoch := uint64(0)
	for _, i := range drivers {
		s, ok := f.Drivers[i].zonesStatus()
		if !ok || !s.InForce || s.Plan == nil || epoch != 0 && s.Plan.Epoch != epoch || !condition(s.Plan) {
			return false
		}
		epoch = s.Plan.Epoch
	}
	return true
}

func zoneIs(name string, state zones.State, causes ...zones.Cause) func(p *zones.Plan) bool {
	return func(p *zones.Plan) bool {
		i := slices.IndexFunc(p.Zones, func(z zones.Zone) bool { return z.Name == name })
		return i >= 0 && p.Zones[i].State == state && (len(causes) == 0 || slices.Contains(causes, p.Zones[i].Cause))
	}
}

func allServe(p *zones.Plan) bool {
	return !slices.ContainsFunc(p.Zones, func(z zones.Zone) bool { return z.State != zones.Serving }) &&
		len(p.Partitions) == 0
}

// injectIntoZone injects a fault into each member of a zone.
func (f *Fleet) injectIntoZone(zone, fault string) {
	for i, id := range []string{"g1m1", "g1m2", "g1m3", "g1m4", "g1m5", "g1m6"} {
		if zoneNames[i%3] == zone {
			f.options.Cluster.Inject(fault, id)
		}
	}
}

// All members and drivers of a zone fail: the other drivers eject the zone and continue to serve, until it is back.
// Each op gets one answer, and no write is executed twice.
func TestZoneLost(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 31, KeepVotes: true})
	f.runUnderLoad(t, func() {
		f.injectIntoZone("b", "kill")
		f.Drivers[1].Kill()
		f.Drivers[4].Kill()
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("b", zones.Ejected, zones.ZoneLost), 0, 2, 3, 5) })
		f.injectIntoZone("b", "heal")
		if err := f.StartDrivers(1, 4); err != nil {
			t.Error(err)
		}
		f.eventually(t, "all serve again", func() bool { return f.followPlan(allServe) })
	}, 0, 2, 3, 5)
}

// First a zone's members fail while its drivers are alive, then the reverse.
func TestMembersOrDriversOfAZoneLost(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 32})
	f.runUnderLoad(t, func() {
		f.injectIntoZone("c", "kill")
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("c", zones.Ejected, zones.MembersLost)) })
		f.injectIntoZone("c", "heal")
		f.eventually(t, "all serve again", func() bool { return f.followPlan(allServe) })
	}, 0, 1, 2, 3, 4, 5)
	f.Drivers[2].Kill()
	f.Drivers[5].Kill()
	f.eventually(t, "its members continue to serve", func() bool {
		return f.followPlan(zoneIs("c", zones.Serving, zones.DriversLost), 0, 1, 3, 4)
	})
}

// Operators evacuate a zone through any driver while another zone fails, undo it, and freeze zone decisions.
func TestEvacuateWhileAnotherFails(t *testing.T) {
	webhookBodies := make(chan string, 64)
	manager := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		select {
		case webhookBodies <- string(text):
		default:
		}
	}))
	t.Cleanup(manager.Close)
	f := startZonedFleet(t, Options{Seed: 33, Webhook: manager.URL})
	submit := func(at int, command zones.Command) {
		t.Helper()
		f.eventually(
			t,
			"a command is accepted",
			func() bool { return f.Drivers[at].Control.SubmitZoneCommand(context.Background(), command) == nil },
		)
	}
	f.runUnderLoad(t, func() {
		submit(4, zones.Command{Zone: "a", Evacuate: true})
		f.eventually(t, "evacuated", func() bool { return f.followPlan(zoneIs("a", zones.Ejected, zones.Evacuated)) })
		f.eventually(t, "a move of the primary is planned", func() bool {
			return f.followPlan(func(p *zones.Plan) bool { return len(p.Moves) == 1 && p.Moves[0].From == "a" })
		})
		select {
		case text := <-webhookBodies: // the leader requests it from the topology manager and does not promote by itself
			if !strings.Contains(text, `"group":1,"from":"a"`) || !strings.Contains(text, `"epoch":`) {
				t.Errorf("the webhook got %s", text)
			}
		case <-time.After(timeout):
			t.Error("the webhook was not called")
		}
		f.injectIntoZone("c", "kill")
		f.eventually(t, "both zones ejected", func() bool {
			return f.followPlan(func(p *zones.Plan) bool {
				return zoneIs("a", zones.Ejected)(p) && zoneIs("c", zones.Ejected, zones.MembersLost)(p)
			})
		})
		f.injectIntoZone("c", "heal")
		submit(2, zones.Command{Zone: "a"})
		f.eventually(t, "all serve again", func() bool { return f.followPlan(allServe) })
	}, 0, 1, 2, 3, 4, 5)
	freeze := true
	submit(0, zones.Command{Freeze: &freeze})
	f.eventually(t, "frozen", func() bool { return f.followPlan(func(p *zones.Plan) bool { return p.Frozen }) })
	if err := f.Drivers[5].Control.SubmitZoneCommand(context.Background(),
		zones.Command{Zone: "nowhere", Evacuate: true}); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("an unknown zone: %v", err)
	}
}

// The leader is suspended and resumed with its old plan while the others continue: it does not use the old plan when
// there is a newer one, and follows the newer one eventually. In a partition that outlasts the lease, the minority has
// no plan in force and changes nothing.
func TestFrozenLeaderAndExpiredLease(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 34, KeepVotes: true})
	f.eventually(t, "the first voter leads", func() bool { s, ok := f.Drivers[0].zonesStatus(); return ok && s.Leader })
	f.Drivers[0].Freeze()
	f.eventually(t, "another driver leads", func() bool {
		return slices.ContainsFunc(f.Drivers[1:], func(d *Driver) bool {
			s, ok := d.zonesStatus()
			return ok && s.Leader && s.InForce
		})
	})
	f.runUnderLoad(t, func() {
		f.injectIntoZone("b", "kill")
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("b", zones.Ejected), 1, 2, 3, 4, 5) })
		f.Drivers[0].Thaw()
		f.eventually(t, "the thawed driver follows the plan", func() bool { return f.followPlan(zoneIs("b", zones.Ejected)) })
		before, _ := f.Drivers[0].zonesStatus()
		f.Links.Partition(0, 0, 1, 1, 1, 1)
		f.eventually(t, "the minority's lease expires", func() bool {
			a, firstOK := f.Drivers[0].zonesStatus()
			b, secondOK := f.Drivers[1].zonesStatus()
			return firstOK && secondOK && !a.InForce && !b.InForce
		})
		if err := f.Drivers[1].Control.SubmitZoneCommand(
			context.Background(),
			zones.Command{Zone: "c", Evacuate: true},
		); err == nil ||
			!strings.Contains(err.Error(), "503") {
			t.Errorf("a command without a plan in force: %v", err)
		}
		f.injectIntoZone("b", "heal")
		f.eventually(t, "the majority continues", func() bool { return f.followPlan(allServe, 2, 3, 4, 5) })
		if s, ok := f.Drivers[0].zonesStatus(); !ok || s.Plan.Epoch < before.Plan.Epoch || s.ZonePenalties["b"] < 1 {
			t.Errorf("the partitioned driver lost the state of the ejected zone: %+v", s)
		}
	}, 1, 2, 3, 4, 5)
	f.Links.Heal()
	f.eventually(t, "all follow one plan", func() bool { return f.followPlan(allServe) })
}

// All drivers are killed and restarted with their folders: their next plan has a higher epoch than the one before.
func TestPlansSurviveRestarts(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 35, KeepVotes: true})
	f.runUnderLoad(t, func() {
		f.injectIntoZone("c", "kill")
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("c", zones.Ejected)) })
	}, 0, 1, 2, 3, 4, 5)
	before, _ := f.Drivers[3].zonesStatus()
	for _, d := range f.Drivers {
		d.Kill()
	}
	f.injectIntoZone("c", "heal")
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "all serve again", func() bool { return f.followPlan(allServe) })
	if s, ok := f.Drivers[3].zonesStatus(); !ok || s.Plan.Epoch <= before.Plan.Epoch {
		t.Errorf("epoch %d before, and %+v", before.Plan.Epoch, s.Plan)
	}
}

// The drivers' third zone has no members and only adds voters (witnesses): when one of the two other zones fails, the
// drivers of the remaining two zones eject it.
func TestWitness(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 36, Zones: []string{"a", "b", "w"}})
	f.runUnderLoad(t, func() {
		f.injectIntoZone("b", "kill")
		f.Drivers[1].Kill()
		f.Drivers[4].Kill()
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("b", zones.Ejected, zones.ZoneLost), 0, 2, 3, 5) })
	}, 0, 2, 3, 5)
	f.eventually(t, "a majority", func() bool { return f.HavePartitionStatus(membership.Majority, 0, 2, 3, 5) })
}
