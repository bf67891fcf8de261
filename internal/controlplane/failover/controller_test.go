package failover

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/member/wire"
)

// actionNames are the names of actions in the tests' transcripts, by kind.
var actionNames = [...]string{"status", "pause", "resume", "promote", "drain", "log", "stepdown", "removal", "record",
	"clear", "relayedstatus", "relayedstepdown", "writer"}

// Steps the controller through a failover, two switchovers and lost answers, and checks the actions of each step.
func TestControllerTranscript(t *testing.T) {
	newStatus := func(primary bool, term, n uint64) wire.MemberStatus {
		return wire.MemberStatus{Primary: primary, Term: term, PromisedTerm: map[bool]uint64{true: term}[primary],
			Received: wire.Position{Term: term, Number: n}}
	}
	newPausedStatus := func(term, n uint64) wire.MemberStatus { // PromisedTerm is the term of the pause
		st := newStatus(false, term, n)
		st.PromisedTerm = term + 1
		return st
	}
	newView := func() *View {
		return &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
			{ID: "a", Primary: true}, {ID: "b"}, {ID: "c"}}}
	}
	describe := func(actions []Action) string {
		var b strings.Builder
		for _, a := range actions {
			if a.Kind != Log {
				fmt.Fprintf(&b, "%s:%s ", actionNames[a.Kind], a.ID)
			}
		}
		return strings.TrimSpace(b.String())
	}
	// step steps the controller and returns the actions. All proxies confirm an assignment of the writer at once.
	step := func(c *Controller, v *View, now float64) string {
		actions := c.Step(v, now)
		for _, a := range actions {
			if a.Kind == AssignWriter {
				applyToView(v, a)
			}
		}
		return describe(actions)
	}
	Convey("A primary that refuses connections", t, func() {
		c, v := New(-5000), newView()
		step(c, v, 0)
		c.HandleStatus("a", QueryStatus, 0, newStatus(true, 1, 9))
		for _, id := range []string{"b", "c"} {
			c.HandleStatus(id, ResumeReplication, 0, newStatus(false, 1, 9))
		}
		So(step(c, v, 100), ShouldEqual, "writer:a status:a") // it has replied that it is the primary
		v.Members[0].SinceHeartbeat = 800
		c.HandleStatusFailure("a", true, 900)
		c.HandleStatusFailure("a", true, 900)
		So(step(c, v, 900), ShouldEqual, "status:a writer: pause:b pause:c relayedstepdown:a")
		Convey("is not replaced while a replica that may be the only one with a commit has not replied", func() {
			c.HandleStatus("b", PauseReplication, 900, newPausedStatus(1, 9))
			So(step(c, v, 950), ShouldEqual, "pause:b") // again, as no proxy writes to a from now on
			c.HandleStatus("b", PauseReplication, 950, newPausedStatus(1, 9))
			So(step(c, v, 960), ShouldEqual, "")
			So(c.State(), ShouldEqual, "freezing: ? after a")
			Convey("and is then replaced by the replica with the longer log", func() {
				c.HandleStatus("c", PauseReplication, 900, newPausedStatus(1, 9))
				So(step(c, v, 970), ShouldEqual, "") // the reply is to a query from before
				So(step(c, v, 1100), ShouldEqual, "pause:c")
				c.HandleStatus("c", PauseReplication, 1100, newPausedStatus(1, 10))
				So(step(c, v, 1120), ShouldEqual, "writer:c record:c")
				So(step(c, v, 1125), ShouldEqual, "record:c") // again, until it is replicated
				v.PendingPromote = &c.record
				So(step(c, v, 1130), ShouldEqual, "promote:c")
			})
			Convey("and stays the primary if it replies again; the paused replica is resumed", func() {
				c.HandleStatus("a", QueryStatus, 960, newStatus(true, 1, 9))
				So(step(c, v, 980), ShouldContainSubstring, "writer:a")
				So(c.State(), ShouldStartWith, "watching")
				So(step(c, v, 1000), ShouldStartWith, "resume:b")
			})
		})
		Convey("is not replaced while a proxy may still write to it", func() {
			v.Writer.Confirmed, v.Writer.Unconfirmed = false, 1
			for _, id := range []string{"b", "c"} {
				c.HandleStatus(id, PauseReplication, 900, newPausedStatus(1, 9))
			}
			So(step(c, v, 950), ShouldEqual, "")
			Convey("though no agent has a reply", func() {
				c.HandleRelayFailure("a")
				So(step(c, v, 960), ShouldEqual, "")
			})
			Convey("though its heartbeats have ceased for so long that it has left", func() {
				v.Members = v.Members[1:]
				So(step(c, v, 960), ShouldEqual, "")
			})
		})
		Convey("does not stay the primary once the platform's answer to a promote was lost", func() {
			step(c, v, 950)
			for _, id := range []string{"b", "c"} {
				c.HandleStatus(id, PauseReplication, 950, newPausedStatus(1, 9))
			}
			So(step(c, v, 960), ShouldStartWith, "writer:b record:b")
			v.PendingPromote = &c.record
			So(step(c, v, 970), ShouldStartWith, "promote:b")
			c.HandlePromoteResult("b", 0, 2950)
			c.HandleStatus("a", QueryStatus, 2960, newStatus(true, 1, 9))
			step(c, v, 2980)
			So(c.State(), ShouldNotStartWith, "watching")
		})
	})
	Convey("A draining primary with one replica permanently dead", t, func() {
		c, v := New(-5000), newView()
		v.Members[0].Draining = true
		step(c, v, 0)
		for _, id := range []string{"a", "b"} {
			c.HandleStatus(id, QueryStatus, 0, newStatus(id == "a", 1, 9))
		}
		c.HandleStatusFailure("c", false, 0)
		for now := 200.0; now < 700; now += 100 {
			step(c, v, now)
			c.HandleStatus("a", QueryStatus, now, newStatus(true, 1, 9))
			c.HandleStatus("b", QueryStatus, now, newStatus(false, 1, 9))
			c.HandleStatusFailure("c", false, now)
		}
		So(step(c, v, 1000), ShouldContainSubstring, "drain:a") // drivers send no new work to the primary
		c.HandleStatus("a", QueryStatus, 1000, newStatus(true, 1, 11))
		c.HandleStatus("b", QueryStatus, 1000, newStatus(false, 1, 10))
		// The candidate has not received everything yet.
		So(step(c, v, 1020), ShouldNotContainSubstring, "stepdown")
		step(c, v, 1200)
		c.HandleStatus("a", QueryStatus, 1200, newStatus(true, 1, 11))
		c.HandleStatus("b", QueryStatus, 1200, newStatus(false, 1, 11))
		So(step(c, v, 1220), ShouldContainSubstring, "stepdown:a")
		c.HandleStatus("a", StepDown, 1220, newStatus(false, 1, 11))
		So(step(c, v, 1240), ShouldNotContainSubstring, "record")
		c.HandleStatus("b", PauseReplication, 1240, newPausedStatus(1, 11))
		So(step(c, v, 1260), ShouldContainSubstring, "record:b")
		v.PendingPromote = &c.record
		So(step(c, v, 1280), ShouldContainSubstring, "promote:b")
	})
	Convey("A new leader of the control plane starts no failover at first", t, func() {
		c, v := New(0), newView()
		v.Members[0].Draining = true
		So(step(c, v, 100), ShouldEqual, "status:a")
		Convey("and later replaces a draining primary, with the other replica paused", func() {
			c.HandleStatus("a", QueryStatus, 100, newStatus(true, 1, 20))
			c.HandleStatus("b", ResumeReplication, 950, newStatus(false, 1, 18))
			c.HandleStatus("c", ResumeReplication, 950, newStatus(false, 1, 18))
			So(step(c, v, 1000), ShouldContainSubstring, "status:b")
			c.HandleStatus("a", QueryStatus, 1000, newStatus(true, 1, 20))
			c.HandleStatus("b", QueryStatus, 1000, newStatus(false, 1, 18))
			step(c, v, 1200)
			c.HandleStatus("c", PauseReplication, 1200, newPausedStatus(1, 19))
			So(step(c, v, 1220), ShouldNotContainSubstring, "stepdown")
			c.HandleStatus("b", QueryStatus, 1220, newStatus(false, 1, 20))
			So(step(c, v, 1400), ShouldNotContainSubstring, "stepdown") // a's reply is on its way
			c.HandleStatus("a", QueryStatus, 1200, newStatus(true, 1, 20))
			So(step(c, v, 1420), ShouldContainSubstring, "stepdown:a")
			c.HandleStatus("a", StepDown, 1420, newStatus(false, 1, 20))
			So(step(c, v, 1440), ShouldNotContainSubstring, "record")
			for _, id := range []string{"b", "c"} {
				c.HandleStatus(id, PauseReplication, 1550, newPausedStatus(2, 20))
			}
			So(step(c, v, 1600), ShouldContainSubstring, "record:b")
			v.PendingPromote = &c.record
			So(step(c, v, 1620), ShouldContainSubstring, "promote:b")
		})
	})
}

// The stall timer starts again after a time in which no driver reported a stall.
func TestStallTimerRestartsWithoutReports(t *testing.T) {
	c := New(-5000)
	v := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
		{ID: "a", Primary: true}, {ID: "b"}, {ID: "c"}}}
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
	v.Members[0].Reports.Stalled = 2
	if at := firstBegin(0, 300); at != 0 {
		t.Fatalf("began at %.0f", at)
	}
	v.Members[0].Reports.Stalled = 0
	if at := firstBegin(300, 350); at != 0 {
		t.Fatalf("began at %.0f without reports", at)
	}
	v.Members[0].Reports.Stalled = 2
	if at := firstBegin(350, 1000); at != 750 {
		t.Fatalf("began at %.0f, want %.0f after the second reports began", at, stallTimeout)
	}
}

// Guards against a promote after the old primary has stepped down and leads again.
func TestStalledPrimaryThatLeadsAgainIsNotReplaced(t *testing.T) {
	for _, leadsAgain := range []bool{false, true} {
		c := New(-5000)
		v := &View{Service: "s", SyncReplicas: 1, Drivers: 6, Members: []Member{
			{ID: "a", Primary: true, Reports: DriverReports{Stalled: 2}}, {ID: "b"}, {ID: "c"}}}
		now := 0.0
		for ; c.phase == phaseWatching && now < 2*stallTimeout; now += 25 {
			c.Step(v, now)
			for id, number := range map[string]uint64{"a": 9, "b": 8, "c": 8} {
				c.HandleStatus(id, QueryStatus, now, newStatus(id == "a", number))
			}
		}
		c.HandleStatus("a", StepDown, now, newStatus(false, 8))
		c.Step(v, now+25)
		for _, id := range []string{"b", "c"} {
			paused := newStatus(false, 8)
			paused.PromisedTerm = paused.Term + 1
			c.HandleStatus(id, PauseReplication, now+50, paused)
		}
		c.Step(v, now+60)
		if c.phase != phaseRecording {
			t.Fatalf("not recording: %s", c.State())
		}
		if leadsAgain {
			c.HandleStatus("a", QueryStatus, now+65, newStatus(true, 9))
		}
		v.PendingPromote = &c.record
		v.Writer = Writer{Assigned: true, ID: c.candidate, Unconfirmed: 1}
		promoted := slices.ContainsFunc(c.Step(v, now+75), func(a Action) bool { return a.Kind == Promote })
		if promoted == leadsAgain {
			t.Errorf("the old primary leads again: %t, another was promoted: %t", leadsAgain, promoted)
		}
	}
}
