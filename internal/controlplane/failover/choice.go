package failover

// This file owns who is named: the longest log first.

import (
	"cmp"
	"slices"
)

func (s *Service) successors(v *View, old string) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.ID != old && !m.Leaving && !m.Absent })
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
		if m := &rs[i]; !m.Leaving && !m.Absent && !m.Unlisted && !s.tried[m.ID] && (best == nil || s.prefer(m, best) < 0) {
			best = m
		}
	}
	if best == nil {
		s.tried = map[string]bool{}
		return ""
	}
	return best.ID
}
