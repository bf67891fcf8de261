package failover

import (
	"cmp"
	"slices"
)

// This file selects the candidate: the longest log first, then the preferred machine.

// hasSuccessor reports whether any member could take over from the primary.
func hasSuccessor(view *View, primary string) bool {
	return slices.ContainsFunc(view.Members, func(m Member) bool { return m.ID != primary && !m.Draining && !m.Absent })
}

// betterCandidate reports whether a is preferred to b in a failover: by the longer log, then by comparePreference.
func (c *Controller) betterCandidate(view *View, a, b string) bool {
	endA, endB := c.observation(a).status.Received, c.observation(b).status.Received
	if endA != endB {
		return endB.Less(endA)
	}
	return comparePreference(findMember(view, a), findMember(view, b)) < 0
}

// comparePreference orders members whose logs are equivalent: those with fresh heartbeats first, then those that are
// not draining, then by newer software, then by distance from the old primary.
func comparePreference(a, b *Member) int {
	return cmp.Or(
		compareBool(a.SinceHeartbeat > staleHeartbeatAge, b.SinceHeartbeat > staleHeartbeatAge),
		compareBool(a.Draining, b.Draining),
		cmp.Compare(b.Generation, a.Generation),
		cmp.Compare(a.Distance, b.Distance),
		cmp.Compare(a.ID, b.ID),
	)
}

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// longestLog returns the paused replica with the longest log, "" for none.
func (c *Controller) longestLog(view *View, replicas []Member, now float64) string {
	best := ""
	for _, m := range replicas {
		if m.Absent || !c.countsAsPaused(&m, now) {
			continue
		}
		if best == "" || c.betterCandidate(view, m.ID, best) {
			best = m.ID
		}
	}
	return best
}

// preferredReplica returns the candidate of a switchover, which still has to catch up. If all replicas were rejected it
// returns "" and clears the rejections, so that all may be tried again.
func (c *Controller) preferredReplica(replicas []Member) string {
	var best *Member
	for i := range replicas {
		m := &replicas[i]
		if m.Draining || m.Absent || m.Unlisted || c.rejected[m.ID] {
			continue
		}
		if best == nil || comparePreference(m, best) < 0 {
			best = m
		}
	}
	if best == nil {
		c.rejected = map[string]bool{}
		return ""
	}
	return best.ID
}
