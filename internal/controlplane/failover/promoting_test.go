package failover

import (
	"slices"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/member/wire"
)

// stepUntilConfirming takes a controller to phaseConfirming at now: primary b is silent, and the promote of the former
// primary a, whose latest heartbeat still has the role primary, was accepted.
func stepUntilConfirming(now float64) (*Controller, *View) {
	c := New(-5000)
	view := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
		{ID: "a", Primary: true, SinceHeartbeat: 1100}, {ID: "b", Primary: true, SinceHeartbeat: 1000}, {ID: "c"}}}
	c.HandleStatus("b", QueryStatus, now-1500, newStatus(true, 9))
	for _, id := range []string{"a", "c"} {
		c.HandleStatus(id, QueryStatus, now-1500, newStatus(false, 9))
	}
	c.HandleStatusFailure("b", false, now-100)
	c.Step(view, now-100)
	paused := newStatus(false, 9)
	paused.PromisedTerm = 2
	for _, id := range []string{"a", "c"} {
		c.HandleStatus(id, PauseReplication, now-100, paused)
	}
	c.HandleStatusFailure("b", false, now-75)
	c.HandleRelayFailure("b")
	stepAndApply(c, view, now-60) // no proxy is to write to b
	stepAndApply(c, view, now-50) // and none does
	for _, id := range []string{"a", "c"} {
		c.HandleStatus(id, PauseReplication, now-50, paused)
	}
	stepAndApply(c, view, now-40)
	c.Step(view, now-25)
	c.HandlePromoteResult("a", statusAccepted, now)
	return c, view
}

// stepAndApply steps a controller, and applies the actions that applyToView knows.
func stepAndApply(c *Controller, view *View, now float64) {
	for _, a := range c.Step(view, now) {
		applyToView(view, a)
	}
}

// primaryOfTerm returns the status of a primary.
func primaryOfTerm(term uint64) wire.MemberStatus {
	return wire.MemberStatus{Primary: true, Term: term, PromisedTerm: term, Received: wire.Position{Term: 1, Number: 9}}
}

func includes(actions []Action, kind ActionKind, id string) bool {
	return slices.ContainsFunc(actions, func(a Action) bool { return a.Kind == kind && a.ID == id })
}

// Guards against a promote that is confirmed by a role from before it took effect: replicas were resumed while the old
// primary still served, and the commits that these acknowledged were not in the promoted member's log.
func TestOnlyReplyToLaterQueryConfirmsPromote(t *testing.T) {
	const accepted = 10000.0
	Convey("A former primary was promoted again", t, func() {
		c, view := stepUntilConfirming(accepted)
		So(c.State(), ShouldEqual, "proving: a after b")
		Convey("A heartbeat from before the promote doesn't confirm it", func() {
			actions := c.Step(view, accepted+25)
			So(c.Phase(), ShouldEqual, "proving")
			So(includes(actions, ResumeReplication, "c"), ShouldBeFalse)
		})
		Convey("A heartbeat that arrives after it may have been sent before: the member is asked at once", func() {
			view.Members[0].SinceHeartbeat = 10
			actions := c.Step(view, accepted+25)
			So(c.Phase(), ShouldEqual, "proving")
			So(includes(actions, QueryStatus, "a"), ShouldBeTrue)
			Convey("and isn't the primary if it replies that it is a replica", func() {
				paused := newStatus(false, 9)
				paused.PromisedTerm = 2
				c.HandleStatus("a", QueryStatus, accepted+25, paused)
				c.Step(view, accepted+50)
				So(c.Phase(), ShouldEqual, "proving")
			})
			Convey("and is promoted again if it has restarted, and lost its pause", func() {
				c.HandleStatus("a", QueryStatus, accepted+25, newStatus(false, 9))
				c.Step(view, accepted+50)
				So(c.Phase(), ShouldEqual, "freezing")
			})
			Convey("and is the primary if it replies so", func() {
				c.HandleStatus("a", QueryStatus, accepted+25, primaryOfTerm(3))
				actions := c.Step(view, accepted+50)
				So(c.State(), ShouldEqual, "watching a")
				So(includes(actions, ResumeReplication, "c"), ShouldBeTrue)
			})
		})
		Convey("A reply to a query that was sent before the promote was accepted doesn't confirm it", func() {
			c.HandleStatus("a", QueryStatus, accepted-1, primaryOfTerm(3))
			c.Step(view, accepted+25)
			So(c.Phase(), ShouldEqual, "proving")
		})
		Convey("The member that lost the lead meanwhile isn't taken for the primary afterwards", func() {
			c.HandleStatus("a", QueryStatus, accepted+700, primaryOfTerm(3))
			c.Step(view, accepted+725)
			view.Members[1].SinceHeartbeat = 0 // b's heartbeat is late: it was sent while it led
			actions := c.Step(view, accepted+750)
			So(c.State(), ShouldEqual, "watching a")
			So(includes(actions, PauseReplication, "a"), ShouldBeFalse)
		})
	})
}

// Guards against a replica that restarts while the promote is recorded, and acknowledges a commit that the candidate lacks.
func TestReplicaRestartedWhileRecordingPreventsPromote(t *testing.T) {
	c := New(-5000)
	view := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
		{ID: "a", Primary: true, SinceHeartbeat: 1000}, {ID: "b"}, {ID: "c"}}}
	c.HandleStatus("a", QueryStatus, -1500, newStatus(true, 9))
	c.HandleStatusFailure("a", true, 0)
	c.HandleStatusFailure("a", true, 0)
	stepAndApply(c, view, 0)
	stepAndApply(c, view, 25) // no proxy writes to a
	paused := newStatus(false, 9)
	paused.PromisedTerm = 2
	for _, id := range []string{"b", "c"} {
		c.HandleStatus(id, PauseReplication, 25, paused)
	}
	actions := c.Step(view, 50)
	if !includes(actions, RecordPromote, "b") {
		t.Fatalf("the promote of b is not recorded: %v", actions)
	}
	c.HandleStatus("c", PauseReplication, 60, statusAfter(Action{Kind: PauseReplication, Term: 2}, newStatus(false, 10)))
	view.PendingPromote = &c.record
	for now := 100.0; now < 1000; now += 50 {
		if actions := c.Step(view, now); includes(actions, Promote, "b") {
			t.Fatal("b is promoted without the commit that c has")
		}
	}
}

// Guards against a failover that waits without end for a candidate that left before its promote took effect.
func TestFailoverGoesOnWithoutCandidateThatLeft(t *testing.T) {
	const accepted = 10000.0
	c, view := stepUntilConfirming(accepted) // a is the candidate, b the old primary
	view.Members[0] = Member{ID: "a", Absent: true, Departed: true}
	view.Members[1].Primary = false
	for _, id := range []string{"b", "c"} { // queries that are in flight
		c.HandleStatusFailure(id, false, accepted)
	}
	promoted, statuses := "", map[string]wire.MemberStatus{"b": newStatus(false, 9), "c": newStatus(false, 9)}
	for now := accepted + 50; now < accepted+5000 && promoted != "c" && promoted != "b"; now += 50 {
		for _, a := range c.Step(view, now) {
			switch {
			case a.Kind == Log || a.Kind == EnforceDrain || applyToView(view, a):
			case a.Kind == Promote && a.ID == "a":
				c.HandlePromoteResult("a", statusRejected, now)
			case a.Kind == Promote:
				promoted = a.ID
			case a.Kind == RelayStepDown || a.Kind == RelayStatus:
				c.HandleRelayFailure(a.ID)
			case a.ID == "a":
				c.HandleStatusFailure("a", true, now)
			default:
				statuses[a.ID] = statusAfter(a, statuses[a.ID])
				c.HandleStatus(a.ID, a.Kind, now, statuses[a.ID])
			}
		}
	}
	if promoted == "" {
		t.Errorf("nobody is promoted: %s", c.State())
	}
}
