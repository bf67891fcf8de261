package directory

import (
	"cmp"
	"fmt"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMembers(t *testing.T) {
	Convey("A table of members", t, func() {
		a := NewMembers()
		rec := Member{ID: "m", Service: "s", Addr: "x", Role: RolePrimary, Seq: 5}
		_, fresh, changed := a.Heartbeat(rec, 0, 3000)
		So(fresh && changed, ShouldBeTrue)
		Convey("takes a late beat for late", func() {
			rec.Seq, rec.Role = 4, RoleReplica
			_, fresh, _ := a.Heartbeat(rec, 100, 3000)
			So(fresh, ShouldBeFalse)
		})
		Convey("takes a count that begins anew after silence for another life, and no late word of the old one", func() {
			rec.Seq, rec.Role = 1, RoleReplica
			m, fresh, changed := a.Heartbeat(rec, 5000, 3000)
			So(fresh && changed, ShouldBeTrue)
			So(m.Incarnation, ShouldEqual, 2)
			So(a.Merge([]Member{{ID: "m", Service: "s", Addr: "x", Role: RolePrimary, Incarnation: 1, Seq: 9}}, 5100), ShouldBeEmpty)
		})
		Convey("says nothing new where only the count rose", func() {
			rec.Seq = 6
			_, fresh, changed := a.Heartbeat(rec, 100, 3000)
			So(fresh && !changed, ShouldBeTrue)
		})
		Convey("lets a drain bind when it is told to, and keeps it over further beats", func() {
			rec.Seq, rec.Leaving = 6, true
			m, _, changed := a.Heartbeat(rec, 100, 3000)
			So(changed && !m.Draining, ShouldBeTrue)
			_, ok := a.StartDraining("m")
			So(ok, ShouldBeTrue)
			rec.Seq = 7
			m, _, changed = a.Heartbeat(rec, 200, 3000)
			So(m.Draining && !changed, ShouldBeTrue)
			Convey("and tells it to another table, which then has the same digest", func() {
				b := NewMembers()
				b.Merge([]Member{{ID: "m", Service: "s", Addr: "x", Role: RolePrimary, Incarnation: 1, Seq: 5}}, 0)
				So(b.Digest(), ShouldNotEqual, a.Digest())
				So(len(b.Merge(a.Snapshot(), 300)), ShouldEqual, 1)
				So(b.Digest(), ShouldEqual, a.Digest())
				So(b.Merge(a.Snapshot(), 400), ShouldBeEmpty)
			})
		})
		Convey("does not bring one back that left, but takes its next life", func() {
			a.Leave("m", 100)
			rec.Seq = 6
			_, fresh, _ := a.Heartbeat(rec, 150, 3000)
			So(fresh, ShouldBeFalse)
			rec.Seq = 1
			m, fresh, _ := a.Heartbeat(rec, 200, 3000)
			So(fresh, ShouldBeTrue)
			So(m.Tombstone, ShouldBeFalse)
		})
		Convey("takes one back that was only silent", func() {
			a.Expire(70000, 60000)
			m, _ := a.Get("m")
			So(m.Tombstone, ShouldBeTrue)
			rec.Seq = 6
			_, fresh, _ := a.Heartbeat(rec, 71000, 3000)
			So(fresh, ShouldBeFalse) // it may have been on the way when the member left
			rec.Seq = 8
			m, fresh, _ = a.Heartbeat(rec, 74000, 3000)
			So(fresh && !m.Tombstone, ShouldBeTrue)
		})
		Convey("that is lost is told again by who was told, with the lives that it had counted", func() {
			rec.Seq = 1
			a.Heartbeat(rec, 5000, 3000) // its second life
			told := NewMembers()
			told.Merge(a.Snapshot(), 5000)
			b := NewMembers() // a core that begins anew counts it as the first
			rec.Seq, rec.Role = 9, RoleReplica
			b.Heartbeat(rec, 0, 3000)
			So(told.Merge(b.Snapshot(), 5100), ShouldBeEmpty)
			b.Merge(told.Snapshot(), 100)
			rec.Seq = 10
			m, fresh, changed := b.Heartbeat(rec, 1200, 3000)
			So(fresh && changed && m.Incarnation == 2, ShouldBeTrue)
			So(len(told.Merge(b.Snapshot(), 5200)), ShouldEqual, 1)
		})
		Convey("keeps the silent where they were only told of", func() {
			a.PurgeTombstones(500000, 5000)
			So(len(a.Snapshot()), ShouldEqual, 1)
		})
		Convey("lets go of the silent", func() {
			So(a.Expire(1000, 5000), ShouldBeEmpty)
			So(len(a.Expire(6000, 5000)), ShouldEqual, 1)
			a.Expire(20000, 5000)
			So(a.Snapshot(), ShouldBeEmpty)
		})
	})
}

func TestLeases(t *testing.T) {
	Convey("A driver is one while it renews", t, func() {
		l := NewLeases()
		So(l.Renew(Driver{Name: "d", Incarnation: 2}, 4000), ShouldBeTrue)
		So(l.Renew(Driver{Name: "d", Incarnation: 2}, 5000), ShouldBeFalse)
		So(l.Renew(Driver{Name: "d", Incarnation: 1}, 9000), ShouldBeFalse)
		So(l.Expire(4500), ShouldBeEmpty)
		So(len(l.Expire(5000)), ShouldEqual, 1)
		So(l.Drivers(), ShouldBeEmpty)
	})
}

// Word that goes from each driver to its fellows only reaches all, in few steps.
func TestPeersReachAll(t *testing.T) {
	for _, n := range []int{1, 2, 3, 6, 10, 82, 300} {
		var all []Driver
		for i := range n {
			all = append(all, Driver{Name: fmt.Sprintf("d%04d", i)})
		}
		told := map[string]bool{all[0].Name: true}
		steps := 0
		for ; len(told) < n && steps < n; steps++ {
			next := map[string]bool{}
			for name := range told {
				next[name] = true
				for _, f := range GossipPeers(all, name, 2) {
					next[f.Name] = true
				}
			}
			told = next
		}
		if len(told) < n {
			t.Errorf("%d drivers: %d are reached", n, len(told))
		}
		if t.Logf("%d drivers: all in %d steps", n, steps); steps > 14 {
			t.Errorf("%d steps", steps)
		}
	}
}

// What agents are told of drivers is what came and went, and makes of any list the next one.
func TestDriversAreToldByChanges(t *testing.T) {
	d := func(name string, life uint64) Driver { return Driver{Name: name, Addr: name, Incarnation: life} }
	before, now := []Driver{d("a", 1), d("b", 1), d("c", 1)}, []Driver{d("a", 1), d("b", 2), d("d", 1)}
	joined, left := Diff(before, now)
	if len(joined) != 2 || len(left) != 1 || left[0] != "c" {
		t.Error(joined, left)
	}
	if got := ApplyDiff(before, joined, left); !slices.Equal(got, now) {
		t.Error(got)
	}
	if got := ApplyDiff(nil, joined, left); len(got) != 2 {
		t.Error(got)
	}
}

func TestLeasesKeepTheirListUntilItChanges(t *testing.T) {
	Convey("Leases under renewals, returns, ends and lapses", t, func() {
		l := NewLeases()
		want := map[string]Driver{}
		same := func() {
			var all []Driver
			for _, d := range want {
				all = append(all, d)
			}
			slices.SortFunc(all, func(a, b Driver) int { return cmp.Compare(a.Name, b.Name) })
			So(len(l.Drivers()), ShouldEqual, len(all))
			So(slices.Equal(l.Drivers(), all), ShouldBeTrue)
			So(l.Digest(), ShouldEqual, DriversDigest(all))
		}
		same()
		a, b, again := Driver{Name: "a", Addr: "1", Incarnation: 1}, Driver{Name: "b", Addr: "2", Incarnation: 1}, Driver{Name: "a", Addr: "3", Incarnation: 2}
		l.Renew(a, 10)
		want["a"] = a
		same()
		l.Renew(b, 20)
		want["b"] = b
		same()
		shown := l.Drivers()
		l.Renew(again, 10)
		want["a"] = again
		same()
		So(shown[0], ShouldResemble, a) // what was given out stays as it was
		So(l.Release("b", 9), ShouldBeFalse)
		same()
		l.Expire(15)
		delete(want, "a")
		same()
		l.Release("b", 1)
		delete(want, "b")
		same()
	})
}
