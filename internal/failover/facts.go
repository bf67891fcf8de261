package failover

// This file owns what members answered, and who is taken to lead by it.

import (
	"slices"

	"weirwind/internal/wire"
)

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

func (s *Service) fact(id string) *fact {
	f := s.facts[id]
	if f == nil {
		f = &fact{cont: true}
		s.facts[id] = f
	}
	return f
}

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

func (s *Service) allAnswered(v *View) bool {
	return !slices.ContainsFunc(v.Members, func(m Member) bool { f := s.facts[m.ID]; return f == nil || !f.ok || f.status.Primary })
}
