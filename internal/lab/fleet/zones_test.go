package fleet

// Several processes of the built program that decide on zones in common, with three zones of members and faults among
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

var abc = []string{"a", "b", "c"}

// zoned runs six drivers in three zones before six members in them, and waits for a first plan.
func zoned(t *testing.T, o Options) *Fleet {
	t.Helper()
	t.Parallel()
	c, err := lab.Start(lab.Options{ElectionTime: 300 * time.Millisecond, Members: 6, Zones: abc})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(c.Stop)
	o.Cluster, o.Drivers = c, 6
	if o.Zones == nil {
		o.Zones = abc
	}
	f := places(t, o)
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "a first plan", func() bool { return f.follow(func(p *zones.Plan) bool { return true }) })
	return f
}

func (d *Driver) zones() (zones.Status, bool) {
	ctx, stop := context.WithTimeout(context.Background(), 2*time.Second)
	defer stop()
	s, err := d.Control.Zones(ctx)
	return s, err == nil
}

// follow says whether all of these drivers, all six without, go by one plan in force, for which something holds.
func (f *Fleet) follow(so func(p *zones.Plan) bool, of ...int) bool {
	if len(of) == 0 {
		of = []int{0, 1, 2, 3, 4, 5}
	}
	epoch := uint64(0)
	for _, i := range of {
		s, ok := f.Drivers[i].zones()
		if !ok || !s.InForce || s.Plan == nil || epoch != 0 && s.Plan.Epoch != epoch || !so(s.Plan) {
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
	return !slices.ContainsFunc(p.Zones, func(z zones.Zone) bool { return z.State != zones.Serving }) && len(p.Partitions) == 0
}

// members does something to all members of a zone.
func (f *Fleet) membersOf(zone, what string) {
	for i, id := range []string{"g1m1", "g1m2", "g1m3", "g1m4", "g1m5", "g1m6"} {
		if abc[i%3] == zone {
			f.options.Cluster.Inject(what, id)
		}
	}
}

// A zone with its drivers is lost, the rest decide so and serve; it returns. Each op has one answer, no write runs
// twice.
func TestZoneLost(t *testing.T) {
	f := zoned(t, Options{Seed: 31, KeepVotes: true})
	f.under(t, func() {
		f.membersOf("b", "kill")
		f.Drivers[1].Kill()
		f.Drivers[4].Kill()
		f.await(t, "away", func() bool { return f.follow(zoneIs("b", zones.Ejected, zones.ZoneLost), 0, 2, 3, 5) })
		f.membersOf("b", "heal")
		if err := f.StartDrivers(1, 4); err != nil {
			t.Error(err)
		}
		f.await(t, "all serve again", func() bool { return f.follow(allServe) })
	}, 0, 2, 3, 5)
}

// A zone's members are lost while its drivers live, and the reverse.
func TestMembersOrDriversOfAZoneLost(t *testing.T) {
	f := zoned(t, Options{Seed: 32})
	f.under(t, func() {
		f.membersOf("c", "kill")
		f.await(t, "away", func() bool { return f.follow(zoneIs("c", zones.Ejected, zones.MembersLost)) })
		f.membersOf("c", "heal")
		f.await(t, "all serve again", func() bool { return f.follow(allServe) })
	}, 0, 1, 2, 3, 4, 5)
	f.Drivers[2].Kill()
	f.Drivers[5].Kill()
	f.await(t, "its members serve on", func() bool {
		return f.follow(zoneIs("c", zones.Serving, zones.DriversLost), 0, 1, 3, 4)
	})
}

// Operators empty a zone by any driver while another zone fails, freeze, and take both back.
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
	f := zoned(t, Options{Seed: 33, Webhook: manager.URL})
	order := func(at int, s zones.Command) {
		t.Helper()
		f.await(t, "an order taken", func() bool { return f.Drivers[at].Control.SubmitZoneCommand(context.Background(), s) == nil })
	}
	f.under(t, func() {
		order(4, zones.Command{Zone: "a", Evacuate: true})
		f.await(t, "evacuated", func() bool { return f.follow(zoneIs("a", zones.Ejected, zones.Evacuated)) })
		f.await(t, "a primary is asked for elsewhere", func() bool {
			return f.follow(func(p *zones.Plan) bool { return len(p.Moves) == 1 && p.Moves[0].From == "a" })
		})
		select {
		case text := <-asked: // who leads has asked the topology manager; it does not promote by itself
			if !strings.Contains(text, `"group":1,"from":"a"`) || !strings.Contains(text, `"epoch":`) {
				t.Errorf("asked for %s", text)
			}
		case <-time.After(patience):
			t.Error("nobody asked for the primary")
		}
		f.membersOf("c", "kill")
		f.await(t, "both away", func() bool {
			return f.follow(func(p *zones.Plan) bool {
				return zoneIs("a", zones.Ejected)(p) && zoneIs("c", zones.Ejected, zones.MembersLost)(p)
			})
		})
		f.membersOf("c", "heal")
		order(2, zones.Command{Zone: "a"})
		f.await(t, "all serve again", func() bool { return f.follow(allServe) })
	}, 0, 1, 2, 3, 4, 5)
	on := true
	order(0, zones.Command{Freeze: &on})
	f.await(t, "frozen", func() bool { return f.follow(func(p *zones.Plan) bool { return p.Frozen }) })
	if err := f.Drivers[5].Control.SubmitZoneCommand(context.Background(),
		zones.Command{Zone: "nowhere", Evacuate: true}); err == nil || !strings.Contains(err.Error(), "404") {
		t.Errorf("an unknown zone: %v", err)
	}
}

// Who leads is frozen and thawed with its old plan, while the rest go on: it never goes by the old one beside a newer,
// and follows in the end. A cut that outlasts the lease leaves the smaller part without a plan in force, and it changes
// nothing.
func TestLeaderFrozenAndLeasesEnd(t *testing.T) {
	f := zoned(t, Options{Seed: 34, KeepVotes: true})
	f.await(t, "the first voter leads", func() bool { s, ok := f.Drivers[0].zones(); return ok && s.Leader })
	f.Drivers[0].Freeze()
	f.await(t, "another one leads", func() bool {
		return slices.ContainsFunc(f.Drivers[1:], func(d *Driver) bool {
			s, ok := d.zones()
			return ok && s.Leader && s.InForce
		})
	})
	f.under(t, func() {
		f.membersOf("b", "kill")
		f.await(t, "away", func() bool { return f.follow(zoneIs("b", zones.Ejected), 1, 2, 3, 4, 5) })
		f.Drivers[0].Thaw()
		f.await(t, "the thawed one follows", func() bool { return f.follow(zoneIs("b", zones.Ejected)) })
		before, _ := f.Drivers[0].zones()
		f.Links.Partition(0, 0, 1, 1, 1, 1)
		f.await(t, "the lease of the smaller part ends", func() bool {
			a, ok := f.Drivers[0].zones()
			b, too := f.Drivers[1].zones()
			return ok && too && !a.InForce && !b.InForce
		})
		if err := f.Drivers[1].Control.SubmitZoneCommand(context.Background(), zones.Command{Zone: "c", Evacuate: true}); err == nil ||
			!strings.Contains(err.Error(), "503") {
			t.Errorf("an order without a plan in force: %v", err)
		}
		f.membersOf("b", "heal")
		f.await(t, "the larger part goes on", func() bool { return f.follow(allServe, 2, 3, 4, 5) })
		if s, ok := f.Drivers[0].zones(); !ok || s.Plan.Epoch < before.Plan.Epoch || s.Tolls["b"] < 1 {
			t.Errorf("cut off it forgot what was away: %+v", s)
		}
	}, 1, 2, 3, 4, 5)
	f.Links.Heal()
	f.await(t, "all follow one plan", func() bool { return f.follow(allServe) })
}

// All drivers are killed and come back with their folders: the same plan, or one behind it, and never an earlier epoch.
func TestPlansOutliveProcesses(t *testing.T) {
	f := zoned(t, Options{Seed: 35, KeepVotes: true})
	f.under(t, func() {
		f.membersOf("c", "kill")
		f.await(t, "away", func() bool { return f.follow(zoneIs("c", zones.Ejected)) })
	}, 0, 1, 2, 3, 4, 5)
	before, _ := f.Drivers[3].zones()
	for _, d := range f.Drivers {
		d.Kill()
	}
	f.membersOf("c", "heal")
	if err := f.StartAll(); err != nil {
		t.Fatal(err)
	}
	f.await(t, "all serve again", func() bool { return f.follow(allServe) })
	if s, ok := f.Drivers[3].zones(); !ok || s.Plan.Epoch <= before.Plan.Epoch {
		t.Errorf("epoch %d before, and %+v", before.Plan.Epoch, s.Plan)
	}
}

// Two zones and a witness in a third that has no members: with one zone lost the other goes on. A voter's secret is
// wrong: nothing of it is taken.
func TestWitness(t *testing.T) {
	f := zoned(t, Options{Seed: 36, Zones: []string{"a", "b", "w"}})
	f.under(t, func() {
		f.membersOf("b", "kill")
		f.Drivers[1].Kill()
		f.Drivers[4].Kill()
		f.await(t, "away", func() bool { return f.follow(zoneIs("b", zones.Ejected, zones.ZoneLost), 0, 2, 3, 5) })
	}, 0, 2, 3, 5)
	f.await(t, "standing", func() bool { return f.HavePartitionStatus(membership.Majority, 0, 2, 3, 5) })
}
