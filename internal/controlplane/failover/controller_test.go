package failover

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/member/wire"
)

// A transcript of the paths that matter, step by step.
func TestControllerTranscript(t *testing.T) {
	newStatus := func(primary bool, term, n uint64) wire.MemberStatus {
		return wire.MemberStatus{Primary: primary, Term: term, PromisedTerm: map[bool]uint64{true: term}[primary], Received: wire.Position{Term: term, Number: n}}
	}
	newPausedStatus := func(term, n uint64) wire.MemberStatus { // a paused replica answers the term of its pause as the one that it holds
		st := newStatus(false, term, n)
		st.PromisedTerm = term + 1
		return st
	}
	newView := func() *View {
		return &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{{ID: "a", Primary: true}, {ID: "b", Replica: true}, {ID: "c", Replica: true}}}
	}
	describe := func(actions []Action) string {
		var b strings.Builder
		for _, a := range actions {
			if a.Kind != Log {
				fmt.Fprintf(&b, "%s:%s ", [...]string{"stat", "pause", "cont", "failover", "handed", "note", "stepdown"}[a.Kind], a.ID)
			}
		}
		return strings.TrimSpace(b.String())
	}
	Convey("A primary that takes no connection", t, func() {
		c, v := New(-5000), newView()
		c.Step(v, 0)
		c.HandleStatus("a", QueryStatus, 0, newStatus(true, 1, 9))
		for _, id := range []string{"b", "c"} {
			c.HandleStatus(id, ResumeReplication, 0, newStatus(false, 1, 9))
		}
		v.Members[0].SinceHeartbeat = 800
		c.HandleStatusFailure("a", true, 900)
		c.HandleStatusFailure("a", true, 900)
		So(describe(c.Step(v, 900)), ShouldEqual, "stat:a pause:b pause:c")
		Convey("is not succeeded while a replica that may alone hold a commit is not heard", func() {
			c.HandleStatus("b", PauseReplication, 900, newPausedStatus(1, 9))
			So(describe(c.Step(v, 950)), ShouldEqual, "")
			So(c.State(), ShouldEqual, "freezing: ? after a")
			Convey("and then by the longer log", func() {
				c.HandleStatus("c", PauseReplication, 900, newPausedStatus(1, 10))
				So(describe(c.Step(v, 970)), ShouldEqual, "failover:c")
			})
			Convey("and keeps its lead if it speaks again; who was paused is let go", func() {
				c.HandleStatus("a", QueryStatus, 960, newStatus(true, 1, 9))
				c.Step(v, 980)
				So(c.State(), ShouldStartWith, "watching")
				So(describe(c.Step(v, 1000)), ShouldStartWith, "cont:b")
			})
		})
		Convey("after the platform's answer is lost is not let back in", func() {
			c.HandleStatus("b", PauseReplication, 900, newPausedStatus(1, 9))
			c.HandleStatus("c", PauseReplication, 900, newPausedStatus(1, 9))
			So(describe(c.Step(v, 950)), ShouldStartWith, "failover:")
			c.HandlePromoteResult("b", 0, 2950)
			c.HandleStatus("a", QueryStatus, 2960, newStatus(true, 1, 9))
			c.Step(v, 2980)
			So(c.State(), ShouldNotStartWith, "watching")
		})
	})
	Convey("A primary that is to be replaced while a replica is dead for good", t, func() {
		c, v := New(-5000), newView()
		v.Members[0].Draining = true
		c.Step(v, 0)
		for _, id := range []string{"a", "b"} {
			c.HandleStatus(id, QueryStatus, 0, newStatus(id == "a", 1, 9))
		}
		c.HandleStatusFailure("c", false, 0)
		for now := 200.0; now < 700; now += 100 {
			c.Step(v, now)
			c.HandleStatus("a", QueryStatus, now, newStatus(true, 1, 9))
			c.HandleStatus("b", QueryStatus, now, newStatus(false, 1, 9))
			c.HandleStatusFailure("c", false, now)
		}
		So(describe(c.Step(v, 1000)), ShouldContainSubstring, "handed:a") // nothing new comes to it
		c.HandleStatus("a", QueryStatus, 1000, newStatus(true, 1, 11))
		c.HandleStatus("b", QueryStatus, 1000, newStatus(false, 1, 10))
		So(describe(c.Step(v, 1020)), ShouldNotContainSubstring, "stepdown") // what is under way has not come to the successor
		c.Step(v, 1200)
		c.HandleStatus("a", QueryStatus, 1200, newStatus(true, 1, 11))
		c.HandleStatus("b", QueryStatus, 1200, newStatus(false, 1, 11))
		So(describe(c.Step(v, 1220)), ShouldContainSubstring, "stepdown:a")
		c.HandleStatus("a", StepDown, 1220, newStatus(false, 1, 11))
		So(describe(c.Step(v, 1240)), ShouldContainSubstring, "failover:b")
	})
	Convey("A new leader of the core begins nothing at once", t, func() {
		c, v := New(0), newView()
		v.Members[0].Draining = true
		So(describe(c.Step(v, 100)), ShouldEqual, "stat:a")
		Convey("then hands over from a primary that drains, with the other replica paused", func() {
			c.HandleStatus("b", ResumeReplication, 950, newStatus(false, 1, 18))
			c.HandleStatus("c", ResumeReplication, 950, newStatus(false, 1, 18))
			So(describe(c.Step(v, 1000)), ShouldContainSubstring, "stat:b")
			c.HandleStatus("a", QueryStatus, 1000, newStatus(true, 1, 20))
			c.HandleStatus("b", QueryStatus, 1000, newStatus(false, 1, 18))
			c.Step(v, 1200)
			c.HandleStatus("c", PauseReplication, 1200, newPausedStatus(1, 19))
			So(describe(c.Step(v, 1220)), ShouldNotContainSubstring, "failover")
			c.HandleStatus("b", QueryStatus, 1220, newStatus(false, 1, 19))
			So(describe(c.Step(v, 1400)), ShouldContainSubstring, "failover:b")
		})
	})
}

// Replicas that stand still behind the primary are timed anew once no driver reports a stall.
func TestStallTimerRestartsWithoutReports(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
		{ID: "a", Primary: true}, {ID: "b", Replica: true}, {ID: "c", Replica: true}}}
	firstBegin := func(from, until float64) float64 {
		for now := from; now < until; now += 25 {
			for _, a := range c.Step(v, now) {
				if a.Kind == Log && strings.HasPrefix(a.Reason, "begins") {
					return now
				}
			}
			for id, number := range map[string]uint64{"a": 9, "b": 8, "c": 8} {
				c.HandleStatus(id, QueryStatus, now, newStatus(id == "a", number))
			}
		}
		return 0
	}
	v.StallReports = 2
	if at := firstBegin(0, 300); at != 0 {
		t.Fatalf("began at %.0f", at)
	}
	v.StallReports = 0
	if at := firstBegin(300, 350); at != 0 {
		t.Fatalf("began at %.0f, without a report", at)
	}
	v.StallReports = 2
	if at := firstBegin(350, 1000); at != 750 {
		t.Fatalf("began at %.0f, not %.0f after the reports", at, stallTimeout)
	}
}
