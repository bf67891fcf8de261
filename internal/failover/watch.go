package failover

// This file owns the watch over a service whose primary leads: when a succession begins, and how one is given up.

import (
	"maps"

	"weirwind/internal/wire"
)

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
