package fleet

// Several processes of the built program that decide on zones in common, with members in three zones and faults of
// both.

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

// startZonedFleet starts six drivers in three zones in front of six members in them, and waits for a first plan.
func startZonedFleet(t *testing.T, o Options) *Fleet {
	t.Helper()
	t.Parallel()
	c, err := lab.Start(lab.Options{ElectionTime: 300 * time.Millisecond, Members: 6, Zones: zoneNames})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	o.Cluster, o.Drivers = c, 6
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

// followPlan says whether all of these drivers, all six without, have one plan in force that fulfils a condition.
func (f *Fleet) followPlan(condition func(p *zones.Plan) bool, of ...int) bool {
	if len(of) == 0 {
		of = []int{0, 1, 2, 3, 4, 5}
	}
	epoch := uint64(0)
	for _, i := range of {
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

// membersOf injects a fault into all members of a zone.
func (f *Fleet) membersOf(zone, what string) {
	for i, id := range []string{"g1m1", "g1m2", "g1m3", "g1m4", "g1m5", "g1m6"} {
		if zoneNames[i%3] == zone {
			f.options.Cluster.Inject(what, id)
		}
	}
}

// A zone with its drivers is lost, and the others decide that and serve; it returns. Each op has one answer, and no
// write runs twice.
func TestZoneLost(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 31, KeepVotes: true})
	f.under(t, func() {
		f.membersOf("b", "kill")
		f.Drivers[1].Kill()
		f.Drivers[4].Kill()
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("b", zones.Ejected, zones.ZoneLost), 0, 2, 3, 5) })
		f.membersOf("b", "heal")
		if err := f.StartDrivers(1, 4); err != nil {
			t.Error(err)
		}
		f.eventually(t, "all serve again", func() bool { return f.followPlan(allServe) })
	}, 0, 2, 3, 5)
}

// A zone's members are lost while its drivers live, and the reverse.
func TestMembersOrDriversOfAZoneLost(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 32})
	f.under(t, func() {
		f.membersOf("c", "kill")
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("c", zones.Ejected, zones.MembersLost)) })
		f.membersOf("c", "heal")
		f.eventually(t, "all serve again", func() bool { return f.followPlan(allServe) })
	}, 0, 1, 2, 3, 4, 5)
	f.Drivers[2].Kill()
	f.Drivers[5].Kill()
	f.eventually(t, "its members serve on", func() bool {
		return f.followPlan(zoneIs("c", zones.Serving, zones.DriversLost), 0, 1, 3, 4)
	})
}

// Operators evacuate a zone at any driver while another zone fails, freeze decisions, and undo both.
func TestEvacuateWhileAnotherFails(t *testing.T) {
	asked := make(chan string, 64)
	manager := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		text, _ := io.ReadAll(r.Body)
		select {
		case asked <- string(text):
		default:
		}
	}))
	t.Cleanup(manager.Close)
	f := startZonedFleet(t, Options{Seed: 33, Webhook: manager.URL})
	order := func(at int, s zones.Command) {
		t.Helper()
		f.eventually(
			t,
			"an order taken",
			func() bool { return f.Drivers[at].Control.SubmitZoneCommand(context.Background(), s) == nil },
		)
	}
	f.under(t, func() {
		order(4, zones.Command{Zone: "a", Evacuate: true})
		f.eventually(t, "evacuated", func() bool { return f.followPlan(zoneIs("a", zones.Ejected, zones.Evacuated)) })
		f.eventually(t, "a primary is asked for elsewhere", func() bool {
			return f.followPlan(func(p *zones.Plan) bool { return len(p.Moves) == 1 && p.Moves[0].From == "a" })
		})
		select {
		case text := <-asked: // who leads has asked the topology manager; it does not promote by itself
			if !strings.Contains(text, `"group":1,"from":"a"`) || !strings.Contains(text, `"epoch":`) {
				t.Errorf("asked for %s", text)
			}
		case <-time.After(timeout):
			t.Error("nobody asked for the primary")
		}
		f.membersOf("c", "kill")
		f.eventually(t, "both away", func() bool {
			return f.followPlan(func(p *zones.Plan) bool {
				return zoneIs("a", zones.Ejected)(p) && zoneIs("c", zones.Ejected, zones.MembersLost)(p)
			})
		})
		f.membersOf("c", "heal")
		order(2, zones.Command{Zone: "a"})
		f.eventually(t, "all serve again", func() bool { return f.followPlan(allServe) })
	}, 0, 1, 2, 3, 4, 5)
	on := true
	order(0, zones.Command{Freeze: &on})
	f.eventually(t, "frozen", func() bool { return f.followPlan(func(p *zones.Plan) bool { return p.Frozen }) })
	if err := f.Drivers[5].Control.SubmitZoneCommand(context.Background(),
		zones.Command{Zone: "nowhere", Evacuate: true}); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("an unknown zone: %v", err)
	}
}

// The leader is paused and resumed with its old plan, while the others go on: it never applies the old one beside a
// newer one, and follows in the end. A partition that outlasts the lease leaves the smaller side without a plan in
// force, and it changes nothing.
func TestLeaderFrozenAndLeasesEnd(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 34, KeepVotes: true})
	f.eventually(t, "the first voter leads", func() bool { s, ok := f.Drivers[0].zonesStatus(); return ok && s.Leader })
	f.Drivers[0].Freeze()
	f.eventually(t, "another one leads", func() bool {
		return slices.ContainsFunc(f.Drivers[1:], func(d *Driver) bool {
			s, ok := d.zonesStatus()
			return ok && s.Leader && s.InForce
		})
	})
	f.under(t, func() {
		f.membersOf("b", "kill")
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("b", zones.Ejected), 1, 2, 3, 4, 5) })
		f.Drivers[0].Thaw()
		f.eventually(t, "the thawed one follows", func() bool { return f.followPlan(zoneIs("b", zones.Ejected)) })
		before, _ := f.Drivers[0].zonesStatus()
		f.Links.Partition(0, 0, 1, 1, 1, 1)
		f.eventually(t, "the lease of the smaller part ends", func() bool {
			a, ok := f.Drivers[0].zonesStatus()
			b, too := f.Drivers[1].zonesStatus()
			return ok && too && !a.InForce && !b.InForce
		})
		if err := f.Drivers[1].Control.SubmitZoneCommand(
			context.Background(),
			zones.Command{Zone: "c", Evacuate: true},
		); err == nil ||
			!strings.Contains(err.Error(), "503") {
			t.Errorf("an order without a plan in force: %v", err)
		}
		f.membersOf("b", "heal")
		f.eventually(t, "the larger part goes on", func() bool { return f.followPlan(allServe, 2, 3, 4, 5) })
		if s, ok := f.Drivers[0].zonesStatus(); !ok || s.Plan.Epoch < before.Plan.Epoch || s.ZonePenalties["b"] < 1 {
			t.Errorf("cut off it forgot what was away: %+v", s)
		}
	}, 1, 2, 3, 4, 5)
	f.Links.Heal()
	f.eventually(t, "all follow one plan", func() bool { return f.followPlan(allServe) })
}

// All drivers are killed and come back with their folders: with the same plan or a later one, and never an earlier
// epoch.
func TestPlansOutliveProcesses(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 35, KeepVotes: true})
	f.under(t, func() {
		f.membersOf("c", "kill")
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("c", zones.Ejected)) })
	}, 0, 1, 2, 3, 4, 5)
	before, _ := f.Drivers[3].zonesStatus()
	for _, d := range f.Drivers {
		d.Kill()
	}
	f.membersOf("c", "heal")
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.eventually(t, "all serve again", func() bool { return f.followPlan(allServe) })
	if s, ok := f.Drivers[3].zonesStatus(); !ok || s.Plan.Epoch <= before.Plan.Epoch {
		t.Errorf("epoch %d before, and %+v", before.Plan.Epoch, s.Plan)
	}
}

// Two zones and a witness in a third one without members: with one zone lost the other goes on. Nothing is accepted
// of a voter with a wrong secret.
func TestWitness(t *testing.T) {
	f := startZonedFleet(t, Options{Seed: 36, Zones: []string{"a", "b", "w"}})
	f.under(t, func() {
		f.membersOf("b", "kill")
		f.Drivers[1].Kill()
		f.Drivers[4].Kill()
		f.eventually(t, "away", func() bool { return f.followPlan(zoneIs("b", zones.Ejected, zones.ZoneLost), 0, 2, 3, 5) })
	}, 0, 2, 3, 5)
	f.eventually(t, "standing", func() bool { return f.HavePartitionStatus(membership.Majority, 0, 2, 3, 5) })
}
