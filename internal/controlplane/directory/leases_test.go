package directory

import (
	"cmp"
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestLeases(t *testing.T) {
	Convey("A driver is listed while it renews its lease", t, func() {
		l := NewLeases()
		So(l.Renew(Driver{Name: "d", Incarnation: 2}, 4000), ShouldBeTrue)
		So(l.Renew(Driver{Name: "d", Incarnation: 2}, 5000), ShouldBeFalse)
		So(l.Renew(Driver{Name: "d", Incarnation: 1}, 9000), ShouldBeFalse)
		So(l.Expire(4500), ShouldBeEmpty)
		So(len(l.Expire(5000)), ShouldEqual, 1)
		So(l.Drivers(), ShouldBeEmpty)
	})
}

func TestLeasesCacheDrivers(t *testing.T) {
	Convey("The cached list of drivers and its digest follow renewals, releases and expiry", t, func() {
		l := NewLeases()
		want := map[string]Driver{}
		checkDrivers := func() {
			var all []Driver
			for _, d := range want {
				all = append(all, d)
			}
			slices.SortFunc(all, func(a, b Driver) int { return cmp.Compare(a.Name, b.Name) })
			So(len(l.Drivers()), ShouldEqual, len(all))
			So(slices.Equal(l.Drivers(), all), ShouldBeTrue)
			So(l.Digest(), ShouldEqual, DriversDigest(all))
		}
		checkDrivers()
		a, b := Driver{Name: "a", Addr: "1", Incarnation: 1}, Driver{Name: "b", Addr: "2", Incarnation: 1}
		restarted := Driver{Name: "a", Addr: "3", Incarnation: 2}
		l.Renew(a, 10)
		want["a"] = a
		checkDrivers()
		l.Renew(b, 20)
		want["b"] = b
		checkDrivers()
		returned := l.Drivers()
		l.Renew(restarted, 10)
		want["a"] = restarted
		checkDrivers()
		So(returned[0], ShouldResemble, a) // a slice that was returned earlier is not modified
		So(l.Release("b", 9), ShouldBeFalse)
		checkDrivers()
		l.Expire(15)
		delete(want, "a")
		checkDrivers()
		l.Release("b", 1)
		delete(want, "b")
		checkDrivers()
	})
}
