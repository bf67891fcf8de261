package failover

// This file owns who is named: the longest log first.

import (
	"cmp"
	"slices"
)

func (s *Controller) successors(v *View, old string) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID != old && !m.Draining && !m.Absent })
}

// further says whether a goes before b: the longer log, then who stays, then the newer software, then who is nearer.
func (s *Controller) further(v *View, a, b string) bool {
	pa, pb := s.fact(a).status.Received, s.fact(b).status.Received
	if pa != pb {
		return pb.Less(pa)
	}
	return s.prefer(s.find(v, a), s.find(v, b)) < 0
}

func (s *Controller) prefer(a, b *Member) int {
	if lost := a.SinceHeartbeat > silentLong; lost != (b.SinceHeartbeat > silentLong) {
		if lost {
			return 1
		}
		return -1
	}
	if a.Draining != b.Draining {
		if b.Draining {
			return -1
		}
		return 1
	}
	return cmp.Or(cmp.Compare(b.Generation, a.Generation), cmp.Compare(a.Distance, b.Distance), cmp.Compare(a.ID, b.ID))
}

// choose names the successor of a planned end.
func (s *Controller) choose(rs []Member) string {
	var best *Member
	for i := range rs {
		if m := &rs[i]; !m.Draining && !m.Absent && !m.Unlisted && !s.tried[m.ID] && (best == nil || s.prefer(m, best) < 0) {
			best = m
		}
	}
	if best == nil {
		s.tried = map[string]bool{}
		return ""
	}
	return best.ID
}
