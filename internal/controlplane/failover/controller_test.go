package failover

import (
	"fmt"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/member/wire"
)

// A transcript of the paths that matter, step by step.
func TestSteps(t *testing.T) {
	status := func(lead bool, term, n uint64) wire.MemberStatus {
		return wire.MemberStatus{Primary: lead, Term: term, PromisedTerm: map[bool]uint64{true: term}[lead], Received: wire.Position{Term: term, Number: n}}
	}
	paused := func(term, n uint64) wire.MemberStatus { // a paused replica answers the term of its pause as the one that it holds
		st := status(false, term, n)
		st.PromisedTerm = term + 1
		return st
	}
	view := func() *View {
		return &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{{ID: "a", Primary: true}, {ID: "b", Replica: true}, {ID: "c", Replica: true}}}
	}
	kinds := func(acts []Action) string {
		var b strings.Builder
		for _, a := range acts {
			if a.Kind != Log {
				fmt.Fprintf(&b, "%s:%s ", [...]string{"stat", "pause", "cont", "failover", "handed", "note", "stepdown"}[a.Kind], a.ID)
			}
		}
		return strings.TrimSpace(b.String())
	}
	Convey("A primary that takes no connection", t, func() {
		s, v := New(-5000), view()
		s.Step(v, 0)
		s.HandleStatus("a", QueryStatus, 0, status(true, 1, 9))
		for _, id := range []string{"b", "c"} {
			s.HandleStatus(id, ResumeReplication, 0, status(false, 1, 9))
		}
		v.Members[0].SinceHeartbeat = 800
		s.HandleStatusFailure("a", true, 900)
		s.HandleStatusFailure("a", true, 900)
		So(kinds(s.Step(v, 900)), ShouldEqual, "stat:a pause:b pause:c")
		Convey("is not succeeded while a replica that may alone hold a commit is not heard", func() {
			s.HandleStatus("b", PauseReplication, 900, paused(1, 9))
			So(kinds(s.Step(v, 950)), ShouldEqual, "")
			So(s.State(), ShouldEqual, "freezing: ? after a")
			Convey("and then by the longer log", func() {
				s.HandleStatus("c", PauseReplication, 900, paused(1, 10))
				So(kinds(s.Step(v, 970)), ShouldEqual, "failover:c")
			})
			Convey("and keeps its lead if it speaks again; who was paused is let go", func() {
				s.HandleStatus("a", QueryStatus, 960, status(true, 1, 9))
				s.Step(v, 980)
				So(s.State(), ShouldStartWith, "watching")
				So(kinds(s.Step(v, 1000)), ShouldStartWith, "cont:b")
			})
		})
		Convey("after the platform's answer is lost is not let back in", func() {
			s.HandleStatus("b", PauseReplication, 900, paused(1, 9))
			s.HandleStatus("c", PauseReplication, 900, paused(1, 9))
			So(kinds(s.Step(v, 950)), ShouldStartWith, "failover:")
			s.HandlePromoteResult("b", 0, 2950)
			s.HandleStatus("a", QueryStatus, 2960, status(true, 1, 9))
			s.Step(v, 2980)
			So(s.State(), ShouldNotStartWith, "watching")
		})
	})
	Convey("A primary that is to be replaced while a replica is dead for good", t, func() {
		s, v := New(-5000), view()
		v.Members[0].Draining = true
		s.Step(v, 0)
		for _, id := range []string{"a", "b"} {
			s.HandleStatus(id, QueryStatus, 0, status(id == "a", 1, 9))
		}
		s.HandleStatusFailure("c", false, 0)
		for now := 200.0; now < 700; now += 100 {
			s.Step(v, now)
			s.HandleStatus("a", QueryStatus, now, status(true, 1, 9))
			s.HandleStatus("b", QueryStatus, now, status(false, 1, 9))
			s.HandleStatusFailure("c", false, now)
		}
		So(kinds(s.Step(v, 1000)), ShouldContainSubstring, "handed:a") // nothing new comes to it
		s.HandleStatus("a", QueryStatus, 1000, status(true, 1, 11))
		s.HandleStatus("b", QueryStatus, 1000, status(false, 1, 10))
		So(kinds(s.Step(v, 1020)), ShouldNotContainSubstring, "stepdown") // what is under way has not come to the successor
		s.Step(v, 1200)
		s.HandleStatus("a", QueryStatus, 1200, status(true, 1, 11))
		s.HandleStatus("b", QueryStatus, 1200, status(false, 1, 11))
		So(kinds(s.Step(v, 1220)), ShouldContainSubstring, "stepdown:a")
		s.HandleStatus("a", StepDown, 1220, status(false, 1, 11))
		So(kinds(s.Step(v, 1240)), ShouldContainSubstring, "failover:b")
	})
	Convey("A new leader of the core begins nothing at once", t, func() {
		s, v := New(0), view()
		v.Members[0].Draining = true
		So(kinds(s.Step(v, 100)), ShouldEqual, "stat:a")
		Convey("then hands over from a primary that drains, with the other replica paused", func() {
			s.HandleStatus("b", ResumeReplication, 950, status(false, 1, 18))
			s.HandleStatus("c", ResumeReplication, 950, status(false, 1, 18))
			So(kinds(s.Step(v, 1000)), ShouldContainSubstring, "stat:b")
			s.HandleStatus("a", QueryStatus, 1000, status(true, 1, 20))
			s.HandleStatus("b", QueryStatus, 1000, status(false, 1, 18))
			s.Step(v, 1200)
			s.HandleStatus("c", PauseReplication, 1200, paused(1, 19))
			So(kinds(s.Step(v, 1220)), ShouldNotContainSubstring, "failover")
			s.HandleStatus("b", QueryStatus, 1220, status(false, 1, 19))
			So(kinds(s.Step(v, 1400)), ShouldContainSubstring, "failover:b")
		})
	})
}

// Replicas that stand still behind the primary are timed anew once no driver reports a stall.
func TestAStallIsTimedFromTheReports(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
		{ID: "a", Primary: true}, {ID: "b", Replica: true}, {ID: "c", Replica: true}}}
	begins := func(from, until float64) float64 {
		for now := from; now < until; now += 25 {
			for _, a := range c.Step(v, now) {
				if a.Kind == Log && strings.HasPrefix(a.Reason, "begins") {
					return now
				}
			}
			for id, end := range map[string]uint64{"a": 9, "b": 8, "c": 8} {
				c.HandleStatus(id, QueryStatus, now, answer(id == "a", end))
			}
		}
		return 0
	}
	v.StallReports = 2
	if at := begins(0, 300); at != 0 {
		t.Fatalf("began at %.0f", at)
	}
	v.StallReports = 0
	if at := begins(300, 350); at != 0 {
		t.Fatalf("began at %.0f, without a report", at)
	}
	v.StallReports = 2
	if at := begins(350, 1000); at != 750 {
		t.Fatalf("began at %.0f, not %.0f after the reports", at, stallTimeout)
	}
}
