package failover

// This file owns the later steps: the successor catches up, the platform is called, and the successor proves its lead.

// swap gives a planned end another successor. Where the platform may still carry out a call, nobody is let go before a fence.
func (s *Controller) swap(v *View, now float64) {
	s.say(s.next + " does not catch up")
	s.tried[s.next] = true
	if !s.fenced {
		s.giveUp(v, s.next+" does not catch up", now)
		return
	}
	s.letGo(v, now)
	for _, m := range v.Members {
		if f := s.fact(m.ID); f.cont {
			f.cont = false
			s.act(ResumeReplication, m.ID, "")
		}
		s.fact(m.ID).ok = m.ID == s.old && s.fact(m.ID).ok
	}
	s.next = ""
	s.enter(freezing, now)
}

// catch waits until the successor has all that those paused have, then calls.
func (s *Controller) catch(v *View, now float64) {
	if s.find(v, s.next) == nil {
		s.restart(now)
		return
	}
	if s.other(v, now) {
		return
	}
	f := s.fact(s.next)
	have := f.ok && !s.find(v, s.next).Unlisted
	for _, m := range s.replicas(v) {
		o := s.fact(m.ID)
		if o.paused && f.status.Received.Less(o.status.Received) {
			have = false
		}
		if o.paused && !m.Absent && now-o.at > pauseHolds {
			have = false // it may have restarted and forgotten its pause
		}
	}
	if s.stepped && s.next != s.old && f.status.Received.Less(s.oldPos) {
		if have = false; now-s.since > stepAfter { // something came in between: it leads again, as it alone surely has it
			s.say("the old primary is to lead again")
			s.next = s.old
			s.call(now)
			return
		}
	}
	if have && now >= s.askAt {
		s.call(now)
		return
	}
	if now >= s.askAt {
		s.askAt = now + nearReplica/5
		s.hold(v, now)
		if s.next == s.old {
			s.ask(s.next, QueryStatus, now)
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

// call has the platform make the successor the primary.
func (s *Controller) call(now float64) {
	s.enter(calling, now)
	s.askAt = now + pressEvery
	s.called, s.open, s.fenced = true, true, false
	s.act(Promote, s.next, s.old)
}

// awaitCall keeps replicas paused while the platform is slow: one that restarts or joins now would receive what the successor lacks.
func (s *Controller) awaitCall(v *View, now float64) {
	s.hold(v, now)
	if now >= s.askAt {
		s.askAt = now + pressEvery
		s.depose(v, now)
	}
}

// HandlePromoteResult takes the platform's answer: its status, 0 for none.
func (s *Controller) HandlePromoteResult(id string, status int, now float64) {
	if s.next != id {
		return
	}
	if s.phase == fencing {
		s.fenceAnswered(status, now)
		return
	}
	if s.phase != calling {
		return
	}
	switch {
	case status == 200:
		s.open, s.fenced = false, true // its fence is the newest: what was called before is refused
		s.enter(proving, now)
	case status == 409:
		s.called = false
		s.say("the platform refuses " + id)
		s.restart(now)
	default: // it may be carried out at any time until a later call: what was read is too old by now to call again by it
		s.restart(now)
	}
}

func (s *Controller) restart(now float64) {
	for _, f := range s.facts { // all is asked anew
		f.ok, f.paused = false, false
	}
	s.enter(freezing, now)
	s.askAt = now + againAfter
}

// prove waits until the successor says that it leads.
func (s *Controller) prove(v *View, now float64) {
	f := s.fact(s.next)
	m := s.find(v, s.next)
	if m == nil {
		s.restart(now)
		return
	}
	if m.Primary || f.ok && f.status.Primary && f.at >= s.since {
		s.act(Log, s.next, "leads")
		if s.old != "" {
			s.act(EnforceDrain, s.old, "")
			s.fact(s.old).ok = false
		}
		s.letGo(v, now)
		s.primary = s.next
		s.enter(watching, now)
		return
	}
	s.hold(v, now)
	if now >= s.askAt {
		s.askAt = now + pressEvery
		s.depose(v, now)
		if now-s.since > proveAsk {
			s.ask(s.next, QueryStatus, now)
		}
	}
	if now-s.since > provesMost {
		s.say(s.next + " does not take the lead")
		s.restart(now)
	}
}
