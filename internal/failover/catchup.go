package failover

// This file owns the later steps: the successor catches up, the platform is called, and the successor proves its lead.

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
