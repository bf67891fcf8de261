package failover

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"weirwind/internal/dataplane/wire"
	"weirwind/internal/standin/replicaset"
)

// pass plays successions over a group in virtual time: questions and calls take their time or come to nothing, members fall and
// come back, leaders of the core follow one another with nothing handed on.
type pass struct {
	r      *rand.Rand
	now    float64
	g      *replicaset.Group
	s      *Controller
	later  []event
	n      int
	seen   uint64 // fence that the platform has seen
	beats  map[string]float64
	said   map[string]bool
	bound  map[string]bool // drains that drivers hold to
	lossy  float64
	log    []string
	stuck  float64
	core   *core
	joined int

	refuses bool          // members that are down refuse connections, in place of silence
	alter   func(v *View) // what a history adds to the view; nil: nothing
	record  func(...any)  // takes each thing that is done, in order
}

type event struct {
	at float64
	do func()
}

func newPass(seed uint64) *pass { return newPassOf(seed, 1, "a", "b", "c") }

func newPassOf(seed uint64, syncN int, ids ...string) *pass {
	p := &pass{r: rand.New(rand.NewPCG(seed, 3)), g: replicaset.New(syncN, ids...), beats: map[string]float64{}, said: map[string]bool{"a": true}, bound: map[string]bool{},
		core: newCore(ids...), record: func(...any) {}}
	p.s = New(0)
	return p
}

func (p *pass) in(ms float64, do func()) { p.later = append(p.later, event{p.now + ms, do}) }

func (p *pass) view() *View {
	v := &View{Service: "s", SyncReplicas: p.g.SyncN, Drivers: 6}
	for _, m := range p.g.Members {
		if p.core.knows[m.ID] {
			v.Members = append(v.Members, Member{ID: m.ID, Generation: "v1", Primary: p.said[m.ID], Replica: !p.said[m.ID], Draining: m.Drains,
				SinceHeartbeat: p.now - p.beats[m.ID], Unlisted: !p.core.roster[m.ID]})
		}
	}
	v.Members = append(v.Members, p.core.absent()...)
	if p.now-p.stuck < 300 {
		v.StallReports = 2
	}
	if p.alter != nil {
		p.alter(v)
	}
	return v
}

func (p *pass) step() {
	p.now += 25
	due := p.later
	p.later = nil
	for _, e := range due {
		if e.at <= p.now {
			e.do()
		} else {
			p.later = append(p.later, e)
		}
	}
	for _, m := range p.g.Members {
		if m.Up && (p.now-p.beats[m.ID] > 1200 || p.said[m.ID] != m.Primary) {
			p.beats[m.ID], p.said[m.ID] = p.now, m.Primary
			p.core.heard(m.ID, p.now)
		}
	}
	for _, m := range p.g.Members { // clients write at whoever takes it
		if m.Up && m.Primary && !p.bound[m.ID] && p.r.IntN(3) == 0 {
			p.n++
			p.g.Write(m, fmt.Sprint("w", p.n))
		}
		if m.Up && m.Primary && m.Cut {
			p.stuck = p.now
		}
	}
	p.g.Replicate(func(*replicaset.Member) bool { return p.r.IntN(3) > 0 })
	s := p.s
	acts := s.Step(p.view(), p.now)
	p.record("step", p.now, s.State())
	for _, a := range inOrder(acts) {
		p.record(a.Kind, a.ID, a.Term, a.Reason)
		p.carry(s, a)
	}
	p.core.agree(p.now)
}

func (p *pass) carry(s *Controller, a Action) {
	switch a.Kind {
	case AllowRemoval:
		p.core.covered(a.ID)
	case Log, EnforceDrain:
		if a.Kind == EnforceDrain {
			p.bound[a.ID] = true
		}
		p.log = append(p.log, fmt.Sprintf("%.0f %s %s", p.now, a.ID, a.Reason))
	case Promote:
		p.log = append(p.log, fmt.Sprintf("%.0f failover %s", p.now, a.ID))
		fence := p.core.nextFence()
		p.record("fence", fence)
		if p.r.Float64() < p.lossy { // nobody hears of it
			p.in(2000, func() { s.HandlePromoteResult(a.ID, 0, p.now) })
			return
		}
		if p.r.Float64() < p.core.late { // it comes when it is given up
			p.in(2000, func() { s.HandlePromoteResult(a.ID, 0, p.now) })
			p.callLate(a.ID, fence)
			return
		}
		p.in(20+80*p.r.Float64(), func() {
			status := p.platform(a.ID, fence)
			if p.r.Float64() < p.lossy { // its answer is lost
				p.in(2000, func() { s.HandlePromoteResult(a.ID, 0, p.now) })
			} else {
				p.in(20, func() { s.HandlePromoteResult(a.ID, status, p.now) })
			}
		})
	default:
		sent := p.now
		m := p.g.Get(a.ID)
		p.in(10+30*p.r.Float64(), func() {
			if m == nil || !m.Up || p.r.Float64() < p.lossy {
				wait := 700.0
				if p.refuses {
					wait = 10
				}
				p.in(wait, func() { s.HandleStatusFailure(a.ID, p.refuses) })
				return
			}
			switch a.Kind {
			case PauseReplication:
				m.Pause(a.Term + 1)
			case ResumeReplication:
				m.Continue()
			case StepDown:
				m.StepDown(a.Term + 1)
			}
			st := m.Status()
			p.in(10+30*p.r.Float64(), func() { s.HandleStatus(a.ID, a.Kind, sent, st) })
		})
	}
}

// platform takes a call: 409 for an old fence or a member that isn't running; who leads already is left as it is.
func (p *pass) platform(id string, fence uint64) int {
	if fence < p.seen {
		return 409
	}
	p.seen = fence
	m := p.g.Get(id)
	if m == nil || !m.Up {
		return 409
	}
	if m != p.g.Leader() {
		p.in(300+300*p.r.Float64(), func() { p.g.Promote(id) })
	}
	return 200
}

func (p *pass) run(ms float64) {
	for end := p.now + ms; p.now < end; {
		p.step()
	}
}

// trouble brings one about; what it took is given back by heal.
func (p *pass) trouble() string {
	lead := p.g.Leader()
	any := p.g.Members[p.r.IntN(len(p.g.Members))]
	switch p.r.IntN(8) {
	case 0, 1:
		if lead != nil {
			lead.Up = false
		}
		return "primary dark"
	case 2:
		any.Up = false
		return any.ID + " dark"
	case 3:
		any.Deaf = true
		return any.ID + " deaf"
	case 4:
		if lead != nil {
			lead.Cut = true
		}
		return "primary cut from replicas"
	case 5:
		p.core.term++
		p.s = New(p.now)
		return "another leader"
	case 6:
		if lead != nil {
			lead.Drains = true
		}
		return "primary to be replaced"
	}
	p.lossy = 0.15
	return "answers lost"
}

func (p *pass) heal() {
	p.lossy = 0
	for _, m := range p.g.Members {
		m.Deaf, m.Cut, m.Drains, p.bound[m.ID] = false, false, false, false
		switch {
		case m.Up:
		case !p.core.roster[m.ID]:
			p.comesBack(m.ID)
		case p.core.hard:
			p.restart(m.ID)
		default:
			m.Restart()
		}
	}
}

func TestNoCommitIsLostByASuccession(t *testing.T) {
	for seed := range 300 {
		p := newPass(uint64(seed))
		p.run(2500)
		var told []string
		for range 4 {
			for range 1 + p.r.IntN(2) {
				told = append(told, p.trouble())
				p.run(1500 * p.r.Float64())
			}
			p.run(3000 * p.r.Float64())
			p.heal()
			p.run(500 + 3000*p.r.Float64())
		}
		p.run(8000)
		if len(p.g.Lost) > 0 {
			t.Fatalf("seed %d, %v: the promoted lacked %v\n%s", seed, told, p.g.Lost, strings.Join(p.log, "\n"))
		}
		lead := p.g.Leader()
		if lead == nil || lead.Paused {
			t.Fatalf("seed %d, %v: nobody leads\n%s", seed, told, strings.Join(p.log, "\n"))
		}
		for _, m := range p.g.Members {
			if m.Paused {
				t.Fatalf("seed %d, %v: %s was left paused\n%s", seed, told, m.ID, strings.Join(p.log, "\n"))
			}
		}
	}
}

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
		s.HandleStatusFailure("a", true)
		s.HandleStatusFailure("a", true)
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
		s.HandleStatusFailure("c", false)
		for now := 200.0; now < 700; now += 100 {
			s.Step(v, now)
			s.HandleStatus("a", QueryStatus, now, status(true, 1, 9))
			s.HandleStatus("b", QueryStatus, now, status(false, 1, 9))
			s.HandleStatusFailure("c", false)
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
