package failover

// This file owns when a member that has ended may leave the roster.
//
// It may have been the only receiver of acknowledged commits, and it may come back with its log. It is counted as a replica that does
// not answer until it is covered: the primary, asked after the member was known to have ended, gave a position, and syncN replicas on
// the roster were seen at or behind it. From then on every commit up to that position is at syncN others, and later ones can't be
// at a member that receives nothing.

import "weirwind/internal/dataplane/wire"

// cover is how far a member that has ended is covered.
type cover struct {
	since   float64 // when it was known to have ended
	primary string  // that gave the position; "": none yet
	term    uint64  // that it led in
	pos     wire.Position
}

// cover asks and decides for members that have ended.
func (s *Controller) cover(v *View, now float64) {
	s.noteEnded(v, now)
	if len(s.covers) == 0 || v.SyncReplicas == 0 {
		return
	}
	if p := s.find(v, s.leads()); p != nil && !p.Unlisted {
		if now >= s.coverAt {
			s.coverAt = now + s.coverPause(now)
			s.askAll(v, now)
		}
		s.notePosition(p.ID)
	}
	for id, c := range s.covers {
		if s.coveredBy(v, c) {
			s.act(AllowRemoval, id, "")
		}
	}
}

// notePosition keeps what the primary answered since each member had ended: the first of its answers in a term.
func (s *Controller) notePosition(primary string) {
	f := s.fact(primary)
	for _, c := range s.covers {
		if f.ok && f.status.Primary && f.at >= c.since && (c.primary != primary || c.term != f.status.Term) {
			c.primary, c.term, c.pos = primary, f.status.Term, f.status.Received
		}
	}
}

// leads is who leads while this machine watches, or prepares a planned end: at other times nobody is sure to.
func (s *Controller) leads() string {
	switch {
	case s.phase == watching:
		return s.primary
	case s.planned && !s.stepped && (s.phase == freezing || s.phase == catching):
		return s.old
	}
	return ""
}

// coverPause is for how long nothing is asked.
func (s *Controller) coverPause(now float64) float64 {
	for _, c := range s.covers {
		if now-c.since < coverLong {
			return coverEvery
		}
	}
	return coverSeldom
}

// noteEnded keeps the list of members that have ended.
func (s *Controller) noteEnded(v *View, now float64) {
	old := s.covers
	s.covers = map[string]*cover{}
	for _, m := range v.Members {
		if !m.Departed {
			continue
		}
		if c := old[m.ID]; c != nil {
			s.covers[m.ID] = c
		} else {
			s.covers[m.ID] = &cover{since: now}
			s.coverAt = now
		}
	}
}

// coveredBy says whether enough replicas hold what the primary had when the member was known to have ended. That stays true when the
// primary has died since.
func (s *Controller) coveredBy(v *View, c *cover) bool {
	if c.primary == "" {
		return false
	}
	holders := 0
	for _, m := range v.Members {
		f := s.fact(m.ID)
		if m.Absent || m.Unlisted || m.ID == c.primary || !f.ok || f.status.Primary {
			continue
		}
		if f.status.Received.Term > c.term {
			return false // the primary is one no longer
		}
		if !f.status.Received.Less(c.pos) {
			holders++
		}
	}
	return holders >= v.SyncReplicas
}
