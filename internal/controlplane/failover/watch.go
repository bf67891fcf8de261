package failover

// This file owns the watch over a service whose primary leads: when a succession begins, and how one is given up.

import (
	"maps"

	"weirwind/internal/dataplane/wire"
)

func (s *Controller) watch(v *View, now float64) {
	if s.letPausedGo(v, now) {
		return
	}
	p := s.leader(v, now)
	if p == nil {
		if s.noLead == 0 {
			s.noLead = now
		}
		s.primary = ""
		if now >= s.askAt {
			s.askAt = now + pressEvery
			s.askAll(v, now)
		}
		s.headless(v, now)
		return
	}
	s.noLead = 0
	s.primary = p.ID
	settled := now-s.start > settle
	f := s.fact(p.ID)
	if p.Draining && settled {
		if s.successors(v, p.ID) {
			s.begin(v, p.ID, true, "it is to be replaced", now)
			return
		}
		s.say("nobody could take over from " + p.ID)
	}
	if now >= s.askAt && !f.waiting {
		s.askAt = now + watchEvery
		if f.failed > 0 || p.SinceHeartbeat > 2*watchEvery {
			s.askAt = now + pressEvery
		}
		s.ask(p.ID, QueryStatus, now)
	}
	heard := min(p.SinceHeartbeat, now-f.at)
	if f.waiting && v.SuspectReports >= max(2, v.Drivers/3) && now-f.asked > accusedWait && heard >= accusedDark && v.HealthyReports == 0 && settled {
		s.begin(v, p.ID, false, "drivers wait for it in vain", now)
		return
	}
	if v.SuspectReports > 0 && !f.waiting && now-f.at > accusedWait {
		s.ask(p.ID, QueryStatus, now)
	}
	if v.StallReports+v.SuspectReports > 0 && settled {
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
	case f.failed > 0 && heard >= darkAfter && v.HealthyReports == 0:
		s.begin(v, p.ID, false, "it is silent", now)
	}
}

// cutFromReplicas asks all, and says whether every replica has stood still behind the primary for a while.
func (s *Controller) cutFromReplicas(v *View, primary string, now float64) bool {
	p := s.fact(primary)
	here := map[string]wire.Position{}
	for _, m := range v.Members {
		f := s.fact(m.ID)
		if m.ID != primary && !m.Absent {
			if !f.ok || now-f.at > 3*pressEvery || !f.status.Received.Less(p.status.Received) {
				here = nil
			} else if here != nil {
				here[m.ID] = f.status.Received
			}
		}
	}
	if now >= s.pressAt {
		s.pressAt = now + pressEvery
		s.askAll(v, now)
	}
	if len(here) == 0 || s.behind == nil || !maps.Equal(here, s.behind) {
		s.behind, s.standAt = here, now
		if s.behind == nil {
			s.behind = map[string]wire.Position{}
		}
		return false
	}
	return now-s.standAt >= stuckRounds
}

// headless begins a succession where nobody leads. Everybody on the roster must have said that it doesn't; a member of which nobody
// could tell for long is counted as one that may have led, or hold a commit, and is waited for only if the others are too few.
func (s *Controller) headless(v *View, now float64) {
	if now-s.start <= settle || now-s.noLead <= noLeadFor || len(v.Members) == 0 {
		return
	}
	missing := s.unanswered(v)
	if missing == "" || now-max(s.noLead, s.start) > unknownLong && s.enoughAnswered(v) {
		s.begin(v, "", false, "nobody leads", now)
		return
	}
	s.say("nobody leads, and it waits for " + missing + ", which may lead or alone hold a commit")
}

// enoughAnswered says whether those who said that they don't lead hold every acknowledged commit between them.
func (s *Controller) enoughAnswered(v *View) bool {
	answered := 0
	for _, m := range v.Members {
		f := s.facts[m.ID]
		if !m.Absent && f != nil && f.ok && f.status.Primary {
			return false
		}
		if !m.Absent && f != nil && f.ok {
			answered++
		}
	}
	return answered >= needOf(len(v.Members), v.SyncReplicas, false)
}

func (s *Controller) begin(v *View, old string, planned bool, why string, now float64) {
	if old != s.old || s.tried == nil {
		s.tried = map[string]bool{}
	}
	s.old, s.planned, s.next, s.called, s.stuck, s.behind = old, planned, "", false, false, nil
	s.stepped, s.bound = false, false
	for id, f := range s.facts {
		if f.paused = false; id != old {
			f.ok = false
		}
	}
	s.act(Log, old, "begins: "+why)
	s.said = ""
	s.enter(freezing, now)
	s.freeze(v, now)
}

// giveUp lets the paused go.
func (s *Controller) giveUp(v *View, why string, now float64) {
	s.act(Log, s.old, "given up: "+why)
	s.letGo(v, now)
	s.enter(watching, now)
}

func (s *Controller) letGo(v *View, now float64) {
	for _, m := range v.Members {
		if f := s.fact(m.ID); !m.Absent && (f.paused || f.touched) {
			f.cont, f.paused, f.contAt = true, false, now
		}
	}
}
