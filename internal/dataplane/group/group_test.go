package group

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
)

func logPosition(term, number uint64) wire.Position { return wire.Position{Term: term, Number: number} }

func allAvailable(*Member) bool { return true }

func avoidNone(string) bool { return false }

func newTestGroup() *Group {
	g := NewGroup("s", func(zone string) Distance { return map[string]Distance{"here": 0, "near": 1}[zone] })
	g.UpdateMember(directory.Member{ID: "a", Zone: "near", Role: directory.RolePrimary, Incarnation: 1, Seq: 1}, 0)
	g.UpdateMember(directory.Member{ID: "b", Zone: "here", Role: directory.RoleReplica, Incarnation: 1, Seq: 1}, 0)
	g.UpdateMember(directory.Member{ID: "c", Zone: "near", Role: directory.RoleReplica, Incarnation: 1, Seq: 1}, 0)
	return g
}

// targetID returns the ID of the target's member, "" for none.
func targetID(target Target) string {
	if target.Member == nil {
		return ""
	}
	return target.Member.ID
}

func TestRouting(t *testing.T) {
	Convey("A group whose primary sends heartbeats", t, func() {
		g := newTestGroup()
		a, b := g.Members["a"], g.Members["b"]
		write, fresh := &Requirement{Write: true}, &Requirement{Linearizable: true}
		Convey("routes writes and linearizable reads to it, and reads verify that it is the primary", func() {
			So(targetID(g.Route(write, 10, allAvailable, avoidNone)), ShouldEqual, "a")
			c := g.Route(fresh, 10, allAvailable, avoidNone)
			So(targetID(c), ShouldEqual, "a")
			So(c.VerifyPrimary, ShouldBeTrue)
		})
		Convey("routes a read with an age bound to the primary, with verification, while no position covers the bound", func() {
			c := g.Route(&Requirement{AckedBefore: 100}, 200, allAvailable, avoidNone)
			So(targetID(c), ShouldEqual, "a")
			So(c.VerifyPrimary, ShouldBeTrue)
			Convey("and to the nearest replica, with that position, once one does", func() {
				g.RecordSend(a, 150, true)
				g.RecordOutcome(a, 150, 190, AnsweredAsPrimary, logPosition(1, 7))
				c := g.Route(&Requirement{AckedBefore: 100}, 200, allAvailable, avoidNone)
				So(targetID(c), ShouldEqual, "b")
				So(c.MinPosition, ShouldResemble, logPosition(1, 7))
				Convey("but not if it has just refused a read for its lag", func() {
					g.RecordSend(b, 200, false)
					g.RecordOutcome(b, 200, 210, RefusedLagging, logPosition(1, 5))
					So(targetID(g.Route(&Requirement{AckedBefore: 100}, 220, allAvailable, avoidNone)), ShouldEqual, "c")
				})
				Convey("nor if it has more requests in flight", func() {
					b.InFlight = 3
					So(targetID(g.Route(&Requirement{AckedBefore: 100}, 220, allAvailable, avoidNone)), ShouldEqual, "c")
				})
				Convey("and to the primary if the session's commit is recent, unless a replica is known to have it", func() {
					n := &Requirement{AckedBefore: 100, SessionCommit: logPosition(1, 9), SessionCommitAt: 210}
					So(targetID(g.Route(n, 220, allAvailable, avoidNone)), ShouldEqual, "a")
					g.RecordSend(b, 215, false)
					g.RecordOutcome(b, 215, 219, Answered, logPosition(1, 9))
					c := g.Route(n, 220, allAvailable, avoidNone)
					So(targetID(c), ShouldEqual, "b")
					So(c.MinPosition, ShouldResemble, logPosition(1, 9))
				})
				Convey("and positions of a former primary cover no reads any more", func() {
					g.UpdateMember(directory.Member{ID: "c", Zone: "near", Role: directory.RolePrimary, Incarnation: 1, Seq: 2}, 230)
					c := g.Route(&Requirement{AckedBefore: 100}, 240, allAvailable, avoidNone)
					So(targetID(c), ShouldEqual, "c")
					So(c.VerifyPrimary, ShouldBeTrue)
				})
			})
		})
		Convey("queues writes after a miss until another member answers as primary", func() {
			g.RecordSend(a, 100, true)
			g.RecordOutcome(a, 100, 140, RefusedReadOnly, logPosition(1, 7))
			So(targetID(g.Route(write, 150, allAvailable, avoidNone)), ShouldEqual, "")
			probed := g.ProbesToSend(150)
			So(len(probed), ShouldEqual, 3)
			So(g.ProbesToSend(160), ShouldBeEmpty)
			g.RecordProbe(g.Members["c"], 150, 190, wire.MemberStatus{Primary: true, Term: 2, Received: logPosition(2, 7)})
			So(targetID(g.Route(write, 200, allAvailable, avoidNone)), ShouldEqual, "c")
			Convey("and an older answer of the former primary does not restore it", func() {
				g.RecordOutcome(a, 90, 210, AnsweredAsPrimary, logPosition(1, 7))
				So(targetID(g.Route(write, 220, allAvailable, avoidNone)), ShouldEqual, "c")
			})
		})
		Convey("queues writes while its primary drains, although the member still answers as primary", func() {
			g.UpdateMember(directory.Member{ID: "a", Role: directory.RolePrimary, Leaving: true, Draining: true, Incarnation: 1, Seq: 2}, 100)
			So(targetID(g.Route(write, 150, allAvailable, avoidNone)), ShouldEqual, "")
			g.RecordProbe(a, 150, 190, wire.MemberStatus{Primary: true, Term: 1})
			So(targetID(g.Route(write, 200, allAvailable, avoidNone)), ShouldEqual, "")
		})
		Convey("suspects a primary that leaves requests unanswered, until it answers", func() {
			g.RecordSend(a, 100, false)
			So(g.SuspectPrimary(200), ShouldBeFalse)
			So(g.SuspectPrimary(500), ShouldBeTrue)
			So(targetID(g.Route(write, 510, allAvailable, avoidNone)), ShouldEqual, "")
			So(len(g.ProbesToSend(510)), ShouldEqual, 1)
			g.RecordProbe(a, 510, 540, wire.MemberStatus{Primary: true, Term: 1, Received: logPosition(1, 7)})
			So(targetID(g.Route(write, 550, allAvailable, avoidNone)), ShouldEqual, "a")
		})
		Convey("queues writes, not reads, while the primary answers requests but no commit", func() {
			g.RecordSend(a, 100, true)
			g.RecordSend(a, 300, false)
			g.RecordOutcome(a, 300, 400, Answered, logPosition(1, 7))
			So(g.CommitsStalled(600), ShouldBeTrue)
			So(targetID(g.Route(write, 600, allAvailable, avoidNone)), ShouldEqual, "")
			So(targetID(g.Route(fresh, 600, allAvailable, avoidNone)), ShouldEqual, "a")
			g.RecordOutcome(a, 100, 650, NoAnswer, wire.Position{})
			So(targetID(g.Route(write, 660, allAvailable, avoidNone)), ShouldEqual, "a")
		})
		Convey("empties its slot if the primary accepts no connection, but not if it answers on other connections", func() {
			g.RecordOutcome(a, 0, 100, Answered, logPosition(1, 7))
			g.RecordOutcome(a, 50, 150, ConnectFailed, wire.Position{})
			So(targetID(g.Route(write, 160, allAvailable, avoidNone)), ShouldEqual, "a")
			g.RecordOutcome(a, 600, 900, ConnectFailed, wire.Position{})
			So(targetID(g.Route(write, 910, allAvailable, avoidNone)), ShouldEqual, "")
			Convey("and restores it once it answers a probe as primary", func() {
				g.RecordProbe(a, 920, 950, wire.MemberStatus{Primary: true, Term: 1, Received: logPosition(1, 7)})
				So(targetID(g.Route(write, 960, allAvailable, avoidNone)), ShouldEqual, "a")
			})
		})
	})
}

// Guards against answers from before a member was promoted that empty the slot it was put into since: writes then waited
// for the next evidence, although the primary was known.
func TestEarlierReplicaAnswerKeepsSlot(t *testing.T) {
	Convey("A group whose slot is filled while a request to the new primary is pending", t, func() {
		g := newTestGroup()
		a, b := g.Members["a"], g.Members["b"]
		g.RecordOutcome(a, 50, 100, RefusedReadOnly, wire.Position{})
		So(g.Slot.Holder, ShouldBeEmpty)
		promoted := directory.Member{ID: "b", Zone: "here", Role: directory.RolePrimary, Incarnation: 1, Seq: 2}
		g.UpdateMember(promoted, 150)
		So(g.Slot.Holder, ShouldEqual, "b")
		Convey("keeps it after a health check that was sent before", func() {
			g.RecordProbe(b, 110, 155, wire.MemberStatus{Received: logPosition(1, 7)})
			So(g.Slot.Holder, ShouldEqual, "b")
		})
		Convey("keeps it after the refusal of a request that was sent before", func() {
			g.RecordOutcome(b, 110, 155, RefusedReadOnly, wire.Position{})
			So(g.Slot.Holder, ShouldEqual, "b")
		})
		Convey("empties it after a health check that was sent since", func() {
			g.RecordProbe(b, 150, 180, wire.MemberStatus{Received: logPosition(1, 7)})
			So(g.Slot.Holder, ShouldBeEmpty)
		})
		Convey("empties it after the refusal of a request that was sent since, though others were answered meanwhile", func() {
			g.RecordOutcome(b, 170, 180, AnsweredAsPrimary, logPosition(2, 8))
			g.RecordOutcome(b, 160, 190, RefusedReadOnly, wire.Position{})
			So(g.Slot.Holder, ShouldBeEmpty)
		})
	})
}

// Guards against a late answer of a member that was removed: it filled the slot with a member that is not in the group.
func TestRemovedMemberFillsNoSlot(t *testing.T) {
	Convey("A group whose primary is removed while a request to it is pending", t, func() {
		g := newTestGroup()
		a := g.Members["a"]
		g.UpdateMember(directory.Member{ID: "a", Zone: "near", Tombstone: true, Incarnation: 1, Seq: 2}, 100)
		So(g.Slot.Holder, ShouldBeEmpty)
		for _, sentAt := range []float64{50, 110} {
			g.RecordOutcome(a, sentAt, 150, AnsweredAsPrimary, logPosition(1, 7))
			So(g.Slot.Holder, ShouldBeEmpty)
		}
		So(g.ProbesToSend(160), ShouldNotBeEmpty)
	})
}
