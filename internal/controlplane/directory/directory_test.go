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
		rec := Member{ID: "m", Svc: "s", Addr: "x", Role: RolePrimary, Seq: 5}
		_, fresh, changed := a.Beat(rec, 0, 3000)
		So(fresh && changed, ShouldBeTrue)
		Convey("takes a late beat for late", func() {
			rec.Seq, rec.Role = 4, RoleReplica
			_, fresh, _ := a.Beat(rec, 100, 3000)
			So(fresh, ShouldBeFalse)
		})
		Convey("takes a count that begins anew after silence for another life, and no late word of the old one", func() {
			rec.Seq, rec.Role = 1, RoleReplica
			m, fresh, changed := a.Beat(rec, 5000, 3000)
			So(fresh && changed, ShouldBeTrue)
			So(m.Life, ShouldEqual, 2)
			So(a.Merge([]Member{{ID: "m", Svc: "s", Addr: "x", Role: RolePrimary, Life: 1, Seq: 9}}, 5100), ShouldBeEmpty)
		})
		Convey("says nothing new where only the count rose", func() {
			rec.Seq = 6
			_, fresh, changed := a.Beat(rec, 100, 3000)
			So(fresh && !changed, ShouldBeTrue)
		})
		Convey("lets a drain bind when it is told to, and keeps it over further beats", func() {
			rec.Seq, rec.Leaving = 6, true
			m, _, changed := a.Beat(rec, 100, 3000)
			So(changed && !m.Draining, ShouldBeTrue)
			_, ok := a.Bind("m")
			So(ok, ShouldBeTrue)
			rec.Seq = 7
			m, _, changed = a.Beat(rec, 200, 3000)
			So(m.Draining && !changed, ShouldBeTrue)
			Convey("and tells it to another table, which then has the same digest", func() {
				b := NewMembers()
				b.Merge([]Member{{ID: "m", Svc: "s", Addr: "x", Role: RolePrimary, Life: 1, Seq: 5}}, 0)
				So(b.Digest(), ShouldNotEqual, a.Digest())
				So(len(b.Merge(a.List(), 300)), ShouldEqual, 1)
				So(b.Digest(), ShouldEqual, a.Digest())
				So(b.Merge(a.List(), 400), ShouldBeEmpty)
			})
		})
		Convey("does not bring one back that left, but takes its next life", func() {
			a.Leave("m", 100)
			rec.Seq = 6
			_, fresh, _ := a.Beat(rec, 150, 3000)
			So(fresh, ShouldBeFalse)
			rec.Seq = 1
			m, fresh, _ := a.Beat(rec, 200, 3000)
			So(fresh, ShouldBeTrue)
			So(m.Gone, ShouldBeFalse)
		})
		Convey("takes one back that was only silent", func() {
			a.Expire(70000, 60000)
			m, _ := a.Get("m")
			So(m.Gone, ShouldBeTrue)
			rec.Seq = 6
			_, fresh, _ := a.Beat(rec, 71000, 3000)
			So(fresh, ShouldBeFalse) // it may have been on the way when the member left
			rec.Seq = 8
			m, fresh, _ = a.Beat(rec, 74000, 3000)
			So(fresh && !m.Gone, ShouldBeTrue)
		})
		Convey("that is lost is told again by who was told, with the lives that it had counted", func() {
			rec.Seq = 1
			a.Beat(rec, 5000, 3000) // its second life
			told := NewMembers()
			told.Merge(a.List(), 5000)
			b := NewMembers() // a core that begins anew counts it as the first
			rec.Seq, rec.Role = 9, RoleReplica
			b.Beat(rec, 0, 3000)
			So(told.Merge(b.List(), 5100), ShouldBeEmpty)
			b.Merge(told.List(), 100)
			rec.Seq = 10
			m, fresh, changed := b.Beat(rec, 1200, 3000)
			So(fresh && changed && m.Life == 2, ShouldBeTrue)
			So(len(told.Merge(b.List(), 5200)), ShouldEqual, 1)
		})
		Convey("keeps the silent where they were only told of", func() {
			a.Forget(500000, 5000)
			So(len(a.List()), ShouldEqual, 1)
		})
		Convey("lets go of the silent", func() {
			So(a.Expire(1000, 5000), ShouldBeEmpty)
			So(len(a.Expire(6000, 5000)), ShouldEqual, 1)
			a.Expire(20000, 5000)
			So(a.List(), ShouldBeEmpty)
		})
	})
}

func TestLeases(t *testing.T) {
	Convey("A driver is one while it renews", t, func() {
		l := NewLeases()
		So(l.Renew(Driver{Name: "d", Life: 2}, 4000), ShouldBeTrue)
		So(l.Renew(Driver{Name: "d", Life: 2}, 5000), ShouldBeFalse)
		So(l.Renew(Driver{Name: "d", Life: 1}, 9000), ShouldBeFalse)
		So(l.Lapse(4500), ShouldBeEmpty)
		So(len(l.Lapse(5000)), ShouldEqual, 1)
		So(l.List(), ShouldBeEmpty)
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
				for _, f := range Peers(all, name, 2) {
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
	d := func(name string, life uint64) Driver { return Driver{Name: name, Addr: name, Life: life} }
	before, now := []Driver{d("a", 1), d("b", 1), d("c", 1)}, []Driver{d("a", 1), d("b", 2), d("d", 1)}
	joined, left := Came(before, now)
	if len(joined) != 2 || len(left) != 1 || left[0] != "c" {
		t.Error(joined, left)
	}
	if got := Changed(before, joined, left); !slices.Equal(got, now) {
		t.Error(got)
	}
	if got := Changed(nil, joined, left); len(got) != 2 {
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
			So(len(l.List()), ShouldEqual, len(all))
			So(slices.Equal(l.List(), all), ShouldBeTrue)
			So(l.Digest(), ShouldEqual, DriversDigest(all))
		}
		same()
		a, b, again := Driver{Name: "a", Addr: "1", Life: 1}, Driver{Name: "b", Addr: "2", Life: 1}, Driver{Name: "a", Addr: "3", Life: 2}
		l.Renew(a, 10)
		want["a"] = a
		same()
		l.Renew(b, 20)
		want["b"] = b
		same()
		shown := l.List()
		l.Renew(again, 10)
		want["a"] = again
		same()
		So(shown[0], ShouldResemble, a) // what was given out stays as it was
		So(l.Drop("b", 9), ShouldBeFalse)
		same()
		l.Lapse(15)
		delete(want, "a")
		same()
		l.Drop("b", 1)
		delete(want, "b")
		same()
	})
}
