package failover

// This file owns the fence: paused replicas are let go only when no call that was made before can be carried out any more.
//
// A call may reach the platform late, and its answer may be lost. While every replica that the call relied on is paused, nothing is
// acknowledged that its successor lacks; so they stay paused until a call with a higher fence was answered. Where nothing is to be
// changed, that call names the present primary. A new leader makes one only if it finds a replica paused by an earlier one: a group
// in which all answered and none was paused has no succession under way.

// letPausedGo looks for replicas that were left paused, by this leader or an earlier one, and lets them go. True: it has begun to
// fence, and there is nothing else to do.
func (s *Controller) letPausedGo(v *View, now float64) bool {
	if now-s.start <= settle {
		return false
	}
	if !s.fenced && !s.open && s.untouched(v) {
		s.fenced = true
	}
	if !s.fenced && s.fence(v, now) {
		return true
	}
	for _, m := range v.Members {
		f := s.fact(m.ID)
		if m.Absent || !f.cont || m.ID == s.primary || f.waiting || now < f.contAt {
			continue // it may be cut off and still paused: it is asked for as long as it is there
		}
		f.contAt = now + contEvery
		if f.held && s.fenced {
			s.ask(m.ID, ResumeReplication, now)
		} else {
			s.ask(m.ID, QueryStatus, now)
		}
	}
	return false
}

// untouched says whether every member was asked since this machine is settled as leader, and none is paused.
func (s *Controller) untouched(v *View) bool {
	for _, m := range v.Members {
		f := s.facts[m.ID]
		if m.Departed {
			continue
		}
		if f == nil || !f.ok || f.held || f.at < s.start+settle {
			return false
		}
	}
	return len(v.Members) > 0
}

// fence begins a fencing call where a replica is to be let go and the primary has said that it leads.
func (s *Controller) fence(v *View, now float64) bool {
	wanted := false
	for _, m := range v.Members {
		if f := s.facts[m.ID]; f != nil && !m.Absent && f.cont && f.held {
			wanted = true
		}
	}
	p := s.leader(v, now)
	if !wanted || p == nil || now < s.askAt {
		return false
	}
	f := s.fact(p.ID)
	if !f.ok || !f.status.Primary || now-f.at > watchEvery {
		return false // it is asked by the watch
	}
	s.primary, s.next = p.ID, p.ID
	s.act(Log, p.ID, "a fence before paused replicas are let go")
	s.enter(fencing, now)
	s.act(Promote, p.ID, "")
	return true
}

// fenceAnswered takes the platform's answer to a fencing call.
func (s *Controller) fenceAnswered(status int, now float64) {
	if status == 200 {
		s.enter(settling, now)
		return
	}
	s.enter(watching, now)
	s.askAt = now + fenceAgain
}

// settled ends the fence once what was accepted before it would have shown.
func (s *Controller) settled(v *View, now float64) {
	if now-s.since < settle {
		return
	}
	s.called, s.open, s.fenced = false, false, true
	for _, f := range s.facts {
		f.ok = false // who leads is asked anew
		f.contAt = now
	}
	s.enter(watching, now)
}
