package group

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
)

func at(term, number uint64) wire.Position { return wire.Position{Term: term, Number: number} }

func yes(*Member) bool { return true }

func none(string) bool { return false }

func group() *Group {
	g := NewGroup("s", func(zone string) Distance { return map[string]Distance{"here": 0, "near": 1}[zone] })
	g.UpdateMember(directory.Member{ID: "a", Zone: "near", Role: directory.RolePrimary, Incarnation: 1, Seq: 1}, 0)
	g.UpdateMember(directory.Member{ID: "b", Zone: "here", Role: directory.RoleReplica, Incarnation: 1, Seq: 1}, 0)
	g.UpdateMember(directory.Member{ID: "c", Zone: "near", Role: directory.RoleReplica, Incarnation: 1, Seq: 1}, 0)
	return g
}

// to names the target's member, "" for none.
func to(target Target) string {
	if target.Member == nil {
		return ""
	}
	return target.Member.ID
}

func TestRouting(t *testing.T) {
	Convey("A group whose primary sends heartbeats", t, func() {
		g := group()
		a, b := g.Members["a"], g.Members["b"]
		write, fresh := &Requirement{Write: true}, &Requirement{Linearizable: true}
		Convey("takes writes and fresh reads there, which prove that it leads", func() {
			So(to(g.Route(write, 10, yes, none)), ShouldEqual, "a")
			c := g.Route(fresh, 10, yes, none)
			So(to(c), ShouldEqual, "a")
			So(c.VerifyPrimary, ShouldBeTrue)
		})
		Convey("sends a bounded read to the primary while no position covers its bound, and proves it", func() {
			c := g.Route(&Requirement{AckedBefore: 100}, 200, yes, none)
			So(to(c), ShouldEqual, "a")
			So(c.VerifyPrimary, ShouldBeTrue)
			Convey("and to the replica near by once one does, which is asked for that position", func() {
				g.RecordSend(a, 150, true)
				g.RecordOutcome(a, 150, 190, AnsweredAsPrimary, at(1, 7))
				c := g.Route(&Requirement{AckedBefore: 100}, 200, yes, none)
				So(to(c), ShouldEqual, "b")
				So(c.MinPosition, ShouldResemble, at(1, 7))
				Convey("but not where it just refused for its lag", func() {
					g.RecordSend(b, 200, false)
					g.RecordOutcome(b, 200, 210, RefusedLagging, at(1, 5))
					So(to(g.Route(&Requirement{AckedBefore: 100}, 220, yes, none)), ShouldEqual, "c")
				})
				Convey("nor to one with more in flight", func() {
					b.InFlight = 3
					So(to(g.Route(&Requirement{AckedBefore: 100}, 220, yes, none)), ShouldEqual, "c")
				})
				Convey("and a session's young commit is looked for at the primary, unless a replica is known to have it", func() {
					n := &Requirement{AckedBefore: 100, SessionCommit: at(1, 9), SessionCommitAt: 210}
					So(to(g.Route(n, 220, yes, none)), ShouldEqual, "a")
					g.RecordSend(b, 215, false)
					g.RecordOutcome(b, 215, 219, Answered, at(1, 9))
					c := g.Route(n, 220, yes, none)
					So(to(c), ShouldEqual, "b")
					So(c.MinPosition, ShouldResemble, at(1, 9))
				})
				Convey("and another primary's positions cover nothing any more", func() {
					g.UpdateMember(directory.Member{ID: "c", Zone: "near", Role: directory.RolePrimary, Incarnation: 1, Seq: 2}, 230)
					c := g.Route(&Requirement{AckedBefore: 100}, 240, yes, none)
					So(to(c), ShouldEqual, "c")
					So(c.VerifyPrimary, ShouldBeTrue)
				})
			})
		})
		Convey("queues writes from a miss until another member answers as primary", func() {
			g.RecordSend(a, 100, true)
			g.RecordOutcome(a, 100, 140, RefusedReadOnly, at(1, 7))
			So(to(g.Route(write, 150, yes, none)), ShouldEqual, "")
			probed := g.ProbesToSend(150)
			So(len(probed), ShouldEqual, 3)
			So(g.ProbesToSend(160), ShouldBeEmpty)
			g.RecordProbe(g.Members["c"], 150, 190, wire.MemberStatus{Primary: true, Term: 2, Received: at(2, 7)})
			So(to(g.Route(write, 200, yes, none)), ShouldEqual, "c")
			Convey("and an older answer of the old one does not bring it back", func() {
				g.RecordOutcome(a, 90, 210, AnsweredAsPrimary, at(1, 7))
				So(to(g.Route(write, 220, yes, none)), ShouldEqual, "c")
			})
		})
		Convey("queues them while its primary drains, though it still answers as primary", func() {
			g.UpdateMember(directory.Member{ID: "a", Role: directory.RolePrimary, Leaving: true, Draining: true, Incarnation: 1, Seq: 2}, 100)
			So(to(g.Route(write, 150, yes, none)), ShouldEqual, "")
			g.RecordProbe(a, 150, 190, wire.MemberStatus{Primary: true, Term: 1})
			So(to(g.Route(write, 200, yes, none)), ShouldEqual, "")
		})
		Convey("suspects one that owes answers in silence, until it answers", func() {
			g.RecordSend(a, 100, false)
			So(g.SuspectPrimary(200), ShouldBeFalse)
			So(g.SuspectPrimary(500), ShouldBeTrue)
			So(to(g.Route(write, 510, yes, none)), ShouldEqual, "")
			So(len(g.ProbesToSend(510)), ShouldEqual, 1)
			g.RecordProbe(a, 510, 540, wire.MemberStatus{Primary: true, Term: 1, Received: at(1, 7)})
			So(to(g.Route(write, 550, yes, none)), ShouldEqual, "a")
		})
		Convey("queues writes, not reads, while it answers requests but no commit", func() {
			g.RecordSend(a, 100, true)
			g.RecordSend(a, 300, false)
			g.RecordOutcome(a, 300, 400, Answered, at(1, 7))
			So(g.CommitsStalled(600), ShouldBeTrue)
			So(to(g.Route(write, 600, yes, none)), ShouldEqual, "")
			So(to(g.Route(fresh, 600, yes, none)), ShouldEqual, "a")
			g.RecordOutcome(a, 100, 650, NoAnswer, wire.Position{})
			So(to(g.Route(write, 660, yes, none)), ShouldEqual, "a")
		})
		Convey("empties its slot where no connection is to be had, but not of one that answers on others", func() {
			g.RecordOutcome(a, 0, 100, Answered, at(1, 7))
			g.RecordOutcome(a, 50, 150, ConnectFailed, wire.Position{})
			So(to(g.Route(write, 160, yes, none)), ShouldEqual, "a")
			g.RecordOutcome(a, 600, 900, ConnectFailed, wire.Position{})
			So(to(g.Route(write, 910, yes, none)), ShouldEqual, "")
			Convey("and takes it back once it answers a probe as primary", func() {
				g.RecordProbe(a, 920, 950, wire.MemberStatus{Primary: true, Term: 1, Received: at(1, 7)})
				So(to(g.Route(write, 960, yes, none)), ShouldEqual, "a")
			})
		})
	})
}
