package directory

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestMembers(t *testing.T) {
	Convey("A table of members", t, func() {
		a := NewMembers()
		rec := Member{ID: "m", Service: "s", Addr: "x", Role: RolePrimary, Seq: 5}
		_, fresh, changed := a.Heartbeat(rec, 0, 3000)
		So(fresh && changed, ShouldBeTrue)
		Convey("ignores a late heartbeat", func() {
			rec.Seq, rec.Role = 4, RoleReplica
			_, fresh, _ := a.Heartbeat(rec, 100, 3000)
			So(fresh, ShouldBeFalse)
		})
		Convey("starts an incarnation if the sequence restarts after a silence, and ignores late records of the old one", func() {
			rec.Seq, rec.Role = 1, RoleReplica
			m, fresh, changed := a.Heartbeat(rec, 5000, 3000)
			So(fresh && changed, ShouldBeTrue)
			So(m.Incarnation, ShouldEqual, 2)
			late := Member{ID: "m", Service: "s", Addr: "x", Role: RolePrimary, Incarnation: 1, Seq: 9}
			So(a.Merge([]Member{late}, 5100), ShouldBeEmpty)
		})
		Convey("reports no change if only the sequence number rose", func() {
			rec.Seq = 6
			_, fresh, changed := a.Heartbeat(rec, 100, 3000)
			So(fresh && !changed, ShouldBeTrue)
		})
		Convey("starts draining on request, and keeps draining across further heartbeats", func() {
			rec.Seq, rec.Leaving = 6, true
			m, _, changed := a.Heartbeat(rec, 100, 3000)
			So(changed && !m.Draining, ShouldBeTrue)
			_, ok := a.StartDraining("m")
			So(ok, ShouldBeTrue)
			rec.Seq = 7
			m, _, changed = a.Heartbeat(rec, 200, 3000)
			So(m.Draining && !changed, ShouldBeTrue)
			Convey("and merges into another table, which then has the same digest", func() {
				b := NewMembers()
				b.Merge([]Member{{ID: "m", Service: "s", Addr: "x", Role: RolePrimary, Incarnation: 1, Seq: 5}}, 0)
				So(b.Digest(), ShouldNotEqual, a.Digest())
				So(len(b.Merge(a.Snapshot(), 300)), ShouldEqual, 1)
				So(b.Digest(), ShouldEqual, a.Digest())
				So(b.Merge(a.Snapshot(), 400), ShouldBeEmpty)
			})
		})
		Convey("does not revive a member that left, but accepts its next incarnation", func() {
			a.Leave("m", 100)
			rec.Seq = 6
			_, fresh, _ := a.Heartbeat(rec, 150, 3000)
			So(fresh, ShouldBeFalse)
			rec.Seq = 1
			_, fresh, _ = a.Heartbeat(rec, 200, 3000)
			So(fresh, ShouldBeFalse) // it may have been delayed since the member's start
			_, fresh, _ = a.Heartbeat(rec, 150+rejoinDelayMs, 3000)
			So(fresh, ShouldBeFalse)
			m, fresh, _ := a.Heartbeat(rec, 151+rejoinDelayMs, 3000)
			So(fresh, ShouldBeTrue)
			So(m.Tombstone, ShouldBeFalse)
		})
		Convey("accepts a member again after it was only silent", func() {
			a.Expire(70000, 60000)
			m, _ := a.Get("m")
			So(m.Tombstone, ShouldBeTrue)
			rec.Seq = 6
			_, fresh, _ := a.Heartbeat(rec, 71000, 3000)
			So(fresh, ShouldBeFalse) // it may have been delayed since before the expiry
			rec.Seq = 8
			m, fresh, _ = a.Heartbeat(rec, 74000, 3000)
			So(fresh && !m.Tombstone, ShouldBeTrue)
		})
		Convey("is restored from other tables after a loss, with the incarnations that it had assigned", func() {
			rec.Seq = 1
			a.Heartbeat(rec, 5000, 3000) // its second incarnation
			other := NewMembers()
			other.Merge(a.Snapshot(), 5000)
			b := NewMembers() // a new table assigns the first incarnation
			rec.Seq, rec.Role = 9, RoleReplica
			b.Heartbeat(rec, 0, 3000)
			So(other.Merge(b.Snapshot(), 5100), ShouldBeEmpty)
			b.Merge(other.Snapshot(), 100)
			rec.Seq = 10
			m, fresh, changed := b.Heartbeat(rec, 1200, 3000)
			So(fresh && changed && m.Incarnation == 2, ShouldBeTrue)
			So(len(other.Merge(b.Snapshot(), 5200)), ShouldEqual, 1)
		})
		Convey("keeps silent members when only tombstones are purged", func() {
			a.PurgeTombstones(500000, 5000)
			So(len(a.Snapshot()), ShouldEqual, 1)
		})
		Convey("expires silent members", func() {
			So(a.Expire(1000, 5000), ShouldBeEmpty)
			So(len(a.Expire(6000, 5000)), ShouldEqual, 1)
			a.Expire(20000, 5000)
			So(a.Snapshot(), ShouldBeEmpty)
		})
	})
}
