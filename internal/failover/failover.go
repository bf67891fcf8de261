// Package failover decides how a service gets another primary.
//
// This file owns the steps of a succession at the machine that leads the core. It does no I/O and reads no clock. It must never
// name a member whose log may lack an acknowledged commit: where that can't be known, it waits and says so.
//
// A commit that was answered is on the primary and on syncN replicas. So a set of members holds all of them if it meets every
// set of syncN replicas: of n replicas, any n-syncN+1. Each of them is asked under PAUSE, so that nothing is answered on its
// receipt any more, and the one whose log goes furthest takes the lead. Where the old primary still leads (a planned end), all
// replicas but the successor are paused instead: what is answered from then on the successor has received, and what was answered
// before lies at or before the positions that the paused ones gave.
package failover

import (
	"cmp"
	"fmt"
	"maps"
	"slices"

	"weirwind/internal/wire"
)

// Tuned values, in milliseconds.
const (
	watchEvery  = 500.0
	pressEvery  = 150.0 // questions while something is wrong
	darkAfter   = 1000.0
	refusedMost = 2      // connections refused in a row: it is dead
	headless    = 700.0  // nobody leads for so long
	againAfter  = 300.0  // a step that failed is taken again
	provesMost  = 3500.0 // a call that was answered shows within that
	stepAfter   = 700.0
	silentLong  = 4000.0 // a member whose beats stopped is named last
	swapAfter   = 1500.0 // a successor that does not catch up gives its place to another
	nearReplica = 250.0
	accusedWait = 160.0 // a question unanswered for so long, with drivers that wait in vain
	accusedDark = 400.0
	stuckRounds = 400.0 // replicas stand still behind a primary that goes on
	contEvery   = 2000.0
	settle      = 900.0 // a new leader begins nothing: a call of the one before may still be carried out
	pauseHolds  = 900.0 // a replica that restarts forgets its pause: it is asked again so often
)

// Member is what is known of one.
type Member struct {
	ID       string
	Gen      string
	Primary  bool // by its own last word
	Replica  bool
	Leaving  bool
	Silent   float64 // milliseconds since its last beat
	Distance float64 // from the old primary's zone, to choose among equals
}

// View is a service at a moment.
type View struct {
	Svc     string
	SyncN   int
	Members []Member // without those that are gone
	Drivers int
	Accused int // drivers that wait for the primary in vain
	Stuck   int // drivers that it answers, but no commit
	Cleared int // drivers that hear it
}

// Act is a thing to be done.
type Act struct {
	Kind ActKind
	ID   string
	Term uint64 // PAUSE
	Why  string
}

// ActKind of it.
type ActKind uint8

const (
	Stat     ActKind = iota // ask its state
	Pause                   // keep it from receiving
	Cont                    // let it receive again
	Failover                // the platform is asked to make it the primary
	Handed                  // the old primary (ID) leads no longer: its drain may bind
	Note                    // for the log
	StepDown                // it leads no longer, by its own word
)

type phase uint8

const (
	watching phase = iota
	freezing       // replicas are paused and read
	catching       // the successor catches up with those paused
	calling
	proving
)

var phaseNames = [...]string{"watching", "freezing", "catching", "calling", "proving"}

type fact struct {
	status  wire.Status
	at      float64 // when it was asked
	ok      bool
	refused int
	failed  int
	asked   float64 // an answer is awaited since
	waiting bool
	paused  bool    // by its own answer
	touched bool    // a pause was sent to it: whether it came or not
	cont    bool    // to be let go
	contAt  float64 // not before
}

// Service is the state for one.
type Service struct {
	phase   phase
	since   float64 // of the phase
	primary string  // who is taken to lead
	old     string  // whom the succession is from
	planned bool
	next    string // whom it names
	facts   map[string]*fact
	askAt   float64
	term    uint64
	noLead  float64 // since when nobody leads; 0: somebody does
	said    string
	start   float64 // of this lead
	called  bool    // the platform may carry out a call still
	stepped bool    // the old primary has stepped down: it holds all that was ever answered
	oldPos  wire.Position
	bound   bool // its drain was let bind
	stuck   bool // the old primary speaks, but commits nothing: its word does not end the succession
	behind  map[string]wire.Position
	pressAt float64
	standAt float64 // since when they stand
	tried   map[string]bool
	out     []Act
}

// New starts a watch. The machine has just begun to lead: replicas that another leader paused are let go.
func New(now float64) *Service { return &Service{facts: map[string]*fact{}, start: now} }

// State is a line for operators.
func (s *Service) State() string {
	if s.phase == watching {
		return "watching " + cmp.Or(s.primary, "for a primary")
	}
	return fmt.Sprintf("%s: %s after %s", phaseNames[s.phase], cmp.Or(s.next, "?"), cmp.Or(s.old, "?"))
}

func (s *Service) fact(id string) *fact {
	f := s.facts[id]
	if f == nil {
		f = &fact{cont: true}
		s.facts[id] = f
	}
	return f
}

func (s *Service) act(k ActKind, id, why string) {
	s.out = append(s.out, Act{Kind: k, ID: id, Term: s.term, Why: why})
}

func (s *Service) say(why string) {
	if why != s.said {
		s.said = why
		s.act(Note, "", why)
	}
}

func (s *Service) enter(p phase, now float64) { s.phase, s.since, s.askAt = p, now, now }

// Answered takes a member's answer to STAT, PAUSE or CONT.
func (s *Service) Answered(id string, k ActKind, sent, now float64, st wire.Status) {
	f := s.fact(id)
	f.waiting, f.ok, f.status, f.at, f.refused, f.failed = false, true, st, sent, 0, 0
	s.term = max(s.term, st.Term, st.Held)
	switch k {
	case Pause:
		f.paused = true
	case Cont:
		f.paused, f.cont, f.touched = false, false, false
	}
}

// Unanswered takes a question that came to nothing; refused: the member takes no connection.
func (s *Service) Unanswered(id string, refused bool) {
	f := s.fact(id)
	f.waiting = false
	f.failed++
	if refused {
		f.refused++
	} else {
		f.refused = 0
	}
}

// Called takes the platform's answer: its status, 0 for none.
func (s *Service) Called(id string, status int, now float64) {
	if s.phase != calling || s.next != id {
		return
	}
	switch {
	case status == 200:
		s.enter(proving, now)
	case status == 409:
		s.called = false
		s.say("the platform refuses " + id)
		s.restart(now)
	default:
		s.enter(catching, now) // asked again from the last step that checks
		s.askAt = now + againAfter
	}
}

func (s *Service) restart(now float64) {
	for _, f := range s.facts { // all is asked anew
		f.ok, f.paused = false, false
	}
	s.enter(freezing, now)
	s.askAt = now + againAfter
}

// Step takes the view and gives what is to be done.
func (s *Service) Step(v *View, now float64) []Act {
	s.out = nil
	for id := range s.facts {
		if !slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID == id }) {
			delete(s.facts, id)
		}
	}
	switch s.phase {
	case watching:
		s.watch(v, now)
	case freezing:
		s.freeze(v, now)
	case catching:
		s.catch(v, now)
	case proving:
		s.prove(v, now)
	}
	return s.out
}

// ask puts a question if none is out.
func (s *Service) ask(id string, k ActKind, now float64) {
	if f := s.fact(id); !f.waiting {
		f.waiting, f.asked, f.touched = true, now, f.touched || k == Pause
		s.act(k, id, "")
	}
}

func (s *Service) find(v *View, id string) *Member {
	if i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id }); i >= 0 {
		return &v.Members[i]
	}
	return nil
}

// leader is the member that most lately said that it leads, by answers before beats.
func (s *Service) leader(v *View, now float64) *Member {
	var best *Member
	rank := func(m *Member) (uint64, float64) {
		if f := s.facts[m.ID]; f != nil && f.ok {
			if f.status.Primary {
				return max(f.status.Held, 1), f.at
			}
		}
		return 0, now - m.Silent
	}
	for i := range v.Members {
		m := &v.Members[i]
		f := s.facts[m.ID]
		if f != nil && f.ok && !f.status.Primary && m.Silent > now-f.at || !m.Primary && !(f != nil && f.ok && f.status.Primary) {
			continue
		}
		if best == nil {
			best = m
			continue
		}
		t1, a1 := rank(m)
		t2, a2 := rank(best)
		if t1 > t2 || t1 == t2 && a1 > a2 {
			best = m
		}
	}
	return best
}

func (s *Service) watch(v *View, now float64) {
	for _, m := range v.Members {
		if f := s.fact(m.ID); f.cont && m.ID != s.primary && !f.waiting && now-s.start > settle {
			if now >= f.contAt { // it may be cut off and still paused: it is asked for as long as it is there
				f.contAt = now + contEvery
				s.ask(m.ID, Cont, now)
			}
		}
	}
	p := s.leader(v, now)
	if p == nil {
		if s.noLead == 0 {
			s.noLead = now
		}
		s.primary = ""
		if now >= s.askAt {
			s.askAt = now + pressEvery
			for _, m := range v.Members {
				s.ask(m.ID, Stat, now)
			}
		}
		if now-s.start > settle && now-s.noLead > headless && len(v.Members) > 0 && s.allAnswered(v) {
			s.begin(v, "", false, "nobody leads", now)
		}
		return
	}
	s.noLead = 0
	s.primary = p.ID
	settled := now-s.start > settle
	f := s.fact(p.ID)
	if p.Leaving && settled {
		if s.successors(v, p.ID) {
			s.begin(v, p.ID, true, "it is to be replaced", now)
			return
		}
		s.say("nobody could take over from " + p.ID)
	}
	if now >= s.askAt && !f.waiting {
		s.askAt = now + watchEvery
		if f.failed > 0 || p.Silent > 2*watchEvery {
			s.askAt = now + pressEvery
		}
		s.ask(p.ID, Stat, now)
	}
	heard := min(p.Silent, now-f.at)
	if f.waiting && v.Accused >= max(2, v.Drivers/3) && now-f.asked > accusedWait && heard >= accusedDark && v.Cleared == 0 && settled {
		s.begin(v, p.ID, false, "drivers wait for it in vain", now)
		return
	}
	if v.Accused > 0 && !f.waiting && now-f.at > accusedWait {
		s.ask(p.ID, Stat, now)
	}
	if v.Stuck+v.Accused > 0 && settled {
		if s.cutFromReplicas(v, p.ID, now) {
			s.begin(v, p.ID, false, "its commits reach no replica", now)
			s.stuck = true
			return
		}
	} else {
		s.behind = nil
	}
	switch {
	case !settled:
	case f.refused >= refusedMost:
		s.begin(v, p.ID, false, "it takes no connection", now)
	case f.failed > 0 && heard >= darkAfter && v.Cleared == 0:
		s.begin(v, p.ID, false, "it is silent", now)
	}
}

// cutFromReplicas asks all, and says whether every replica has stood still behind the primary for a while.
func (s *Service) cutFromReplicas(v *View, primary string, now float64) bool {
	p := s.fact(primary)
	here := map[string]wire.Position{}
	for _, m := range v.Members {
		f := s.fact(m.ID)
		if m.ID != primary {
			if !f.ok || now-f.at > 3*pressEvery || !f.status.Received.Less(p.status.Received) {
				here = nil
			} else if here != nil {
				here[m.ID] = f.status.Received
			}
		}
	}
	if now >= s.pressAt {
		s.pressAt = now + pressEvery
		for _, m := range v.Members {
			s.ask(m.ID, Stat, now)
		}
	}
	if here == nil || len(here) == 0 || s.behind == nil || !maps.Equal(here, s.behind) {
		s.behind, s.standAt = here, now
		if s.behind == nil {
			s.behind = map[string]wire.Position{}
		}
		return false
	}
	return now-s.standAt >= stuckRounds
}

func (s *Service) allAnswered(v *View) bool {
	return !slices.ContainsFunc(v.Members, func(m Member) bool { f := s.facts[m.ID]; return f == nil || !f.ok || f.status.Primary })
}

func (s *Service) successors(v *View, old string) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID != old && !m.Leaving })
}

func (s *Service) begin(v *View, old string, planned bool, why string, now float64) {
	s.old, s.planned, s.next, s.tried, s.called, s.stuck, s.behind = old, planned, "", map[string]bool{}, false, false, nil
	s.stepped, s.bound = false, false
	for id, f := range s.facts {
		if f.paused = false; id != old {
			f.ok = false
		}
	}
	s.act(Note, old, "begins: "+why)
	s.said = ""
	s.enter(freezing, now)
	s.freeze(v, now)
}

// giveUp lets the paused go.
func (s *Service) giveUp(v *View, why string, now float64) {
	s.act(Note, s.old, "given up: "+why)
	s.letGo(v, now)
	s.enter(watching, now)
}

func (s *Service) letGo(v *View, now float64) {
	for _, m := range v.Members {
		if f := s.fact(m.ID); f.paused || f.touched {
			f.cont, f.paused, f.contAt = true, false, now
		}
	}
}

// replicas are all that a commit may have been received by, apart from the old primary.
func (s *Service) replicas(v *View) []Member {
	return slices.DeleteFunc(slices.Clone(v.Members), func(m Member) bool { return m.ID == s.old })
}

func (s *Service) freeze(v *View, now float64) {
	rs := s.replicas(v)
	if len(rs) == 0 {
		s.giveUp(v, "there is no replica", now)
		return
	}
	if s.other(v, now) {
		return
	}
	if s.planned && s.next == "" {
		s.next = s.choose(rs)
	}
	if now >= s.askAt {
		s.askAt = now + pressEvery
		for _, m := range rs {
			f := s.fact(m.ID)
			switch {
			case s.planned && m.ID == s.next:
				s.ask(m.ID, Stat, now)
			case !f.paused || now-f.at > pauseHolds:
				if s.term == 0 {
					s.ask(m.ID, Stat, now) // the newest term must be known first
				} else {
					s.ask(m.ID, Pause, now)
				}
			}
		}
		if s.old != "" {
			s.ask(s.old, Stat, now)
		}
	}
	if s.planned {
		if s.stepped {
			if s.next != "" {
				s.enter(catching, now)
				s.catch(v, now)
			}
			return
		}
		if s.find(v, s.old) == nil {
			s.planned, s.next = false, ""
			s.say("the old primary has left")
			return
		}
		old := s.fact(s.old)
		if old.refused >= refusedMost || old.failed > 1 && now-old.at > darkAfter {
			s.planned, s.next = false, "" // it died on the way: its successor is held to the stricter terms
			s.say("the old primary is silent")
			return
		}
		if len(rs) == 1 || !slices.ContainsFunc(rs, func(m Member) bool { return m.ID != s.next && !s.fact(m.ID).paused }) {
			s.enter(catching, now)
			s.catch(v, now)
		} else if now-s.since > stepAfter {
			// A replica can't be paused, and might receive what the successor lacks: the old primary itself is the one that
			// surely has all. Its drain binds, so that nothing new comes; once the successor has what it has, it steps down.
			if !s.bound {
				s.bound = true
				s.act(Handed, s.old, "")
			}
			n := s.fact(s.next)
			switch {
			case old.ok && !old.status.Primary && old.at >= s.since:
				s.stepped, s.oldPos = true, old.status.Received
				s.say("the old primary has stepped down, as a replica can't be paused")
				s.enter(catching, now)
				s.catch(v, now)
			case !old.waiting && old.ok && n.ok && n.at >= s.since && !n.status.Received.Less(old.status.Received):
				s.ask(s.old, StepDown, now)
			case now-s.since > 2*swapAfter:
				s.swap(v, now)
			}
		}
		return
	}
	paused := 0
	for _, m := range rs {
		if s.fact(m.ID).paused {
			paused++
		}
	}
	need := len(rs)
	if v.SyncN > 0 {
		need = max(len(rs)-v.SyncN+1, 1)
		if s.old == "" { // who led is among them
			need = max(len(rs)-v.SyncN, 1)
		}
	}
	if paused < need {
		s.say(fmt.Sprintf("waits for %d more of %d replicas, as one of them may alone hold a commit", need-paused, len(rs)))
		return
	}
	best := ""
	for _, m := range rs {
		f := s.fact(m.ID)
		if !f.paused || best != "" && !s.further(v, m.ID, best) {
			continue
		}
		best = m.ID
	}
	s.next = best
	s.enter(catching, now)
	s.catch(v, now)
}

// other looks whether somebody leads after all, so that there is nothing to do.
func (s *Service) other(v *View, now float64) bool {
	for _, m := range v.Members {
		f := s.fact(m.ID)
		if m.ID == s.old {
			if !s.planned && !s.called && !s.stuck && f.ok && f.status.Primary && f.at > s.since {
				s.giveUp(v, "it answers", now)
				return true
			}
			continue
		}
		if f.ok && f.status.Primary && f.at >= s.since {
			s.giveUp(v, m.ID+" leads", now)
			if s.old != "" {
				s.act(Handed, s.old, "")
			}
			return true
		}
	}
	return false
}

// further says whether a goes before b: the longer log, then who stays, then the newer software, then who is nearer.
func (s *Service) further(v *View, a, b string) bool {
	pa, pb := s.fact(a).status.Received, s.fact(b).status.Received
	if pa != pb {
		return pb.Less(pa)
	}
	return s.prefer(s.find(v, a), s.find(v, b)) < 0
}

func (s *Service) prefer(a, b *Member) int {
	if lost := a.Silent > silentLong; lost != (b.Silent > silentLong) {
		if lost {
			return 1
		}
		return -1
	}
	if a.Leaving != b.Leaving {
		if b.Leaving {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Gen, a.Gen), cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.ID, b.ID))
}

// choose names the successor of a planned end.
func (s *Service) choose(rs []Member) string {
	var best *Member
	for i := range rs {
		if m := &rs[i]; !m.Leaving && !s.tried[m.ID] && (best == nil || s.prefer(m, best) < 0) {
			best = m
		}
	}
	if best == nil {
		s.tried = map[string]bool{}
		return ""
	}
	return best.ID
}

func (s *Service) swap(v *View, now float64) {
	s.say(s.next + " does not catch up")
	s.tried[s.next] = true
	s.letGo(v, now)
	for _, m := range v.Members {
		if f := s.fact(m.ID); f.cont {
			f.cont = false
			s.act(Cont, m.ID, "")
		}
		s.fact(m.ID).ok = m.ID == s.old && s.fact(m.ID).ok
	}
	s.next = ""
	s.enter(freezing, now)
}

// catch waits until the successor has all that those paused have, then calls.
func (s *Service) catch(v *View, now float64) {
	if s.find(v, s.next) == nil {
		s.restart(now)
		return
	}
	if s.other(v, now) {
		return
	}
	f := s.fact(s.next)
	have := f.ok
	for _, m := range s.replicas(v) {
		if o := s.fact(m.ID); o.paused && f.status.Received.Less(o.status.Received) {
			have = false
		}
	}
	if s.stepped && s.next != s.old && f.status.Received.Less(s.oldPos) {
		if have = false; now-s.since > stepAfter { // something came in between: it leads again, as it alone surely has it
			s.say("the old primary is to lead again")
			s.next = s.old
			s.enter(calling, now)
			s.called = true
			s.act(Failover, s.next, s.old)
			return
		}
	}
	if have && now >= s.askAt {
		s.enter(calling, now)
		s.called = true
		s.act(Failover, s.next, s.old)
		return
	}
	if now >= s.askAt && !f.waiting {
		s.askAt = now + nearReplica/5
		if s.planned {
			s.ask(s.next, Stat, now)
		}
	}
	if !have && now-s.since > swapAfter {
		if s.planned {
			s.swap(v, now)
		} else {
			s.restart(now)
		}
	}
}

// prove waits until the successor says that it leads.
func (s *Service) prove(v *View, now float64) {
	f := s.fact(s.next)
	m := s.find(v, s.next)
	if m == nil {
		s.restart(now)
		return
	}
	if m.Primary || f.ok && f.status.Primary && f.at >= s.since {
		s.act(Note, s.next, "leads")
		if s.old != "" {
			s.act(Handed, s.old, "")
			s.fact(s.old).ok = false
		}
		s.letGo(v, now)
		s.primary = s.next
		s.enter(watching, now)
		return
	}
	if now >= s.askAt && now-s.since > 450 {
		s.askAt = now + pressEvery
		s.ask(s.next, Stat, now)
	}
	if now-s.since > provesMost {
		s.say(s.next + " does not take the lead")
		s.restart(now)
	}
}
