package failover

// This file owns what members answered, and who is taken to lead by it.

import (
	"slices"

	"weirwind/internal/dataplane/wire"
)

type fact struct {
	status  wire.MemberStatus
	at      float64 // when it was asked
	ok      bool
	refused int
	failed  int
	asked   float64 // an answer is awaited since
	waiting bool
	paused  bool    // by its own answer
	touched bool    // a pause was sent to it: whether it came or not
	cont    bool    // its pause is to be looked for, and ended
	held    bool    // it was found paused
	contAt  float64 // not before
}

func (s *Controller) fact(id string) *fact {
	f := s.facts[id]
	if f == nil {
		f = &fact{cont: true}
		s.facts[id] = f
	}
	return f
}

// HandleStatus takes a member's answer to STAT, PAUSE or CONT.
func (s *Controller) HandleStatus(id string, k ActionKind, sent, now float64, st wire.MemberStatus) {
	f := s.fact(id)
	f.waiting, f.ok, f.status, f.at, f.refused, f.failed = false, true, st, sent, 0, 0
	s.term = max(s.term, st.Term, st.PromisedTerm)
	f.held = !st.Primary && st.PromisedTerm > 0 // a replica holds a term only while it is paused
	switch {
	case k == PauseReplication:
		f.paused = f.held
	case !f.held: // it was let go, or has restarted
		f.paused = false
	}
	switch {
	case k == ResumeReplication:
		f.cont, f.touched = f.held, false
	case k == QueryStatus && !f.held && f.touched: // a pause that got no answer may come late: it is looked for once more
		f.touched = false
	case k == QueryStatus && !f.held:
		f.cont = false
	}
}

// HandleStatusFailure takes a question that came to nothing; refused: the member takes no connection.
func (s *Controller) HandleStatusFailure(id string, refused bool) {
	f := s.fact(id)
	f.waiting = false
	f.failed++
	if refused {
		f.refused++
	} else {
		f.refused = 0
	}
}

// askAll asks every member that can be asked.
func (s *Controller) askAll(v *View, now float64) {
	for _, m := range v.Members {
		if !m.Absent {
			s.ask(m.ID, QueryStatus, now)
		}
	}
}

// ask puts a question if none is out.
func (s *Controller) ask(id string, k ActionKind, now float64) {
	if f := s.fact(id); !f.waiting {
		f.waiting, f.asked, f.touched = true, now, f.touched || k == PauseReplication
		s.act(k, id, "")
	}
}

// find gives a member to which questions can be put, nil for none.
func (s *Controller) find(v *View, id string) *Member {
	if i := slices.IndexFunc(v.Members, func(m Member) bool { return m.ID == id && !m.Absent }); i >= 0 {
		return &v.Members[i]
	}
	return nil
}

// leader is the member that most lately said that it leads, by answers before beats.
func (s *Controller) leader(v *View, now float64) *Member {
	var best *Member
	rank := func(m *Member) (uint64, float64) {
		if f := s.facts[m.ID]; f != nil && f.ok {
			if f.status.Primary {
				return max(f.status.Term, 1), f.at
			}
		}
		return 0, now - m.SinceHeartbeat
	}
	for i := range v.Members {
		m := &v.Members[i]
		f := s.facts[m.ID]
		if m.Absent {
			continue
		}
		if f != nil && f.ok && !f.status.Primary && m.SinceHeartbeat > now-f.at || !m.Primary && !(f != nil && f.ok && f.status.Primary) {
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

// unanswered gives the first member of whom it isn't known that it does not lead. One that has ended does not.
func (s *Controller) unanswered(v *View) string {
	for _, m := range v.Members {
		if f := s.facts[m.ID]; !m.Departed && (f == nil || !f.ok || f.status.Primary) {
			return m.ID
		}
	}
	return ""
}
