package group

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/wire"
)

func at(term, n uint64) wire.Position { return wire.Position{Term: term, Number: n} }

func yes(*Member) bool { return true }

func none(string) bool { return false }

func group() *Group {
	g := NewGroup("s", func(zone string) float64 { return map[string]float64{"here": 0, "near": 1}[zone] })
	g.Learn(directory.Member{ID: "a", Zone: "near", Role: directory.RolePrimary, Incarnation: 1, Seq: 1}, 0)
	g.Learn(directory.Member{ID: "b", Zone: "here", Role: directory.RoleReplica, Incarnation: 1, Seq: 1}, 0)
	g.Learn(directory.Member{ID: "c", Zone: "near", Role: directory.RoleReplica, Incarnation: 1, Seq: 1}, 0)
	return g
}

func to(c Choice) string {
	if c.Member == nil {
		return ""
	}
	return c.Member.ID
}

func TestWhereStatementsGo(t *testing.T) {
	Convey("A group whose primary beats", t, func() {
		g := group()
		a, b := g.Members["a"], g.Members["b"]
		write, fresh := &Need{Write: true}, &Need{Fresh: true}
		Convey("takes writes and fresh reads there, which prove that it leads", func() {
			So(to(g.Choose(write, 10, yes, none)), ShouldEqual, "a")
			c := g.Choose(fresh, 10, yes, none)
			So(to(c), ShouldEqual, "a")
			So(c.Prove, ShouldBeTrue)
		})
		Convey("sends a bounded read to the primary while no position covers its bound, and proves it", func() {
			c := g.Choose(&Need{Since: 100}, 200, yes, none)
			So(to(c), ShouldEqual, "a")
			So(c.Prove, ShouldBeTrue)
			Convey("and to the replica near by once one does, which is asked for that position", func() {
				g.Sent(a, 150, true)
				g.Heard(a, 150, 190, Led, at(1, 7))
				c := g.Choose(&Need{Since: 100}, 200, yes, none)
				So(to(c), ShouldEqual, "b")
				So(c.After, ShouldResemble, at(1, 7))
				Convey("but not where it just said that it lacks it", func() {
					g.Sent(b, 200, false)
					g.Heard(b, 200, 210, Lagged, at(1, 5))
					So(to(g.Choose(&Need{Since: 100}, 220, yes, none)), ShouldEqual, "c")
				})
				Convey("nor to one with more in flight", func() {
					b.InFlight = 3
					So(to(g.Choose(&Need{Since: 100}, 220, yes, none)), ShouldEqual, "c")
				})
				Convey("and a session's young commit is looked for at the primary, unless a replica is known to have it", func() {
					n := &Need{Since: 100, Commit: at(1, 9), CommitAt: 210}
					So(to(g.Choose(n, 220, yes, none)), ShouldEqual, "a")
					g.Sent(b, 215, false)
					g.Heard(b, 215, 219, Answered, at(1, 9))
					c := g.Choose(n, 220, yes, none)
					So(to(c), ShouldEqual, "b")
					So(c.After, ShouldResemble, at(1, 9))
				})
				Convey("and another primary's positions cover nothing any more", func() {
					g.Learn(directory.Member{ID: "c", Zone: "near", Role: directory.RolePrimary, Incarnation: 1, Seq: 2}, 230)
					c := g.Choose(&Need{Since: 100}, 240, yes, none)
					So(to(c), ShouldEqual, "c")
					So(c.Prove, ShouldBeTrue)
				})
			})
		})
		Convey("holds writes from a miss until another member says that it leads", func() {
			g.Sent(a, 100, true)
			g.Heard(a, 100, 140, NotLeader, at(1, 7))
			So(to(g.Choose(write, 150, yes, none)), ShouldEqual, "")
			probed := g.Probes(150)
			So(len(probed), ShouldEqual, 3)
			So(g.Probes(160), ShouldBeEmpty)
			g.Probed(g.Members["c"], 150, 190, wire.MemberStatus{Primary: true, Term: 2, Received: at(2, 7)})
			So(to(g.Choose(write, 200, yes, none)), ShouldEqual, "c")
			Convey("and what the old one said before does not bring it back", func() {
				g.Heard(a, 90, 210, Led, at(1, 7))
				So(to(g.Choose(write, 220, yes, none)), ShouldEqual, "c")
			})
		})
		Convey("holds them while its primary drains, though it still says that it leads", func() {
			g.Learn(directory.Member{ID: "a", Role: directory.RolePrimary, Leaving: true, Draining: true, Incarnation: 1, Seq: 2}, 100)
			So(to(g.Choose(write, 150, yes, none)), ShouldEqual, "")
			g.Probed(a, 150, 190, wire.MemberStatus{Primary: true, Term: 1})
			So(to(g.Choose(write, 200, yes, none)), ShouldEqual, "")
		})
		Convey("doubts one that owes answers in silence, until it speaks", func() {
			g.Sent(a, 100, false)
			So(g.Doubt(200), ShouldBeFalse)
			So(g.Doubt(500), ShouldBeTrue)
			So(to(g.Choose(write, 510, yes, none)), ShouldEqual, "")
			So(len(g.Probes(510)), ShouldEqual, 1)
			g.Probed(a, 510, 540, wire.MemberStatus{Primary: true, Term: 1, Received: at(1, 7)})
			So(to(g.Choose(write, 550, yes, none)), ShouldEqual, "a")
		})
		Convey("holds writes, not reads, while it speaks but answers no commit", func() {
			g.Sent(a, 100, true)
			g.Sent(a, 300, false)
			g.Heard(a, 300, 400, Answered, at(1, 7))
			So(g.Stuck(600), ShouldBeTrue)
			So(to(g.Choose(write, 600, yes, none)), ShouldEqual, "")
			So(to(g.Choose(fresh, 600, yes, none)), ShouldEqual, "a")
			g.Heard(a, 100, 650, NoAnswer, wire.Position{})
			So(to(g.Choose(write, 660, yes, none)), ShouldEqual, "a")
		})
		Convey("empties its slot where no connection is to be had, but not of one that speaks on others", func() {
			g.Heard(a, 0, 100, Answered, at(1, 7))
			g.Heard(a, 50, 150, CutOff, wire.Position{})
			So(to(g.Choose(write, 160, yes, none)), ShouldEqual, "a")
			g.Heard(a, 600, 900, CutOff, wire.Position{})
			So(to(g.Choose(write, 910, yes, none)), ShouldEqual, "")
			Convey("and takes it back on its own word", func() {
				g.Probed(a, 920, 950, wire.MemberStatus{Primary: true, Term: 1, Received: at(1, 7)})
				So(to(g.Choose(write, 960, yes, none)), ShouldEqual, "a")
			})
		})
	})
}
