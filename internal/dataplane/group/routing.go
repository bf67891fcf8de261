package group

import (
	"math/rand/v2"

	"weirwind/internal/member/wire"
)

const (
	lagExclusion    = 400.0 // milliseconds for which a replica is excluded after it refused a read because of its lag
	recentCommitAge = 250.0 // milliseconds; see leastLoadedReplica

	suspectedCost = 8.0 // added to the load of a suspected replica, in requests in flight
)

// distanceCost is added to a replica's load for its distance, in requests in flight: traffic between regions is slow
// and expensive.
var distanceCost = [...]float64{SameZone: 0, SameRegion: 1, OtherRegion: 3}

// Requirement is what a statement or a transaction requires of the member that it is routed to.
type Requirement struct {
	// Write means that only the primary may run it.
	Write bool
	// Linearizable means that it is a read that must see all that was acknowledged before it began.
	Linearizable bool
	// Any other read must see all that was acknowledged before AckedBefore (in milliseconds), and its session's last
	// commit, which was acknowledged at SessionCommitAt. SessionCommit is zero if the session has committed nothing.
	AckedBefore     float64
	SessionCommit   wire.Position
	SessionCommitAt float64
}

// Target is the routing decision for a statement.
type Target struct {
	// Member is nil if no member is suitable now: the statement stays queued.
	Member *Member
	// MinPosition is the log position that the member must have reached to answer; zero for no check.
	MinPosition wire.Position
	// VerifyPrimary means that the member must prove that it still leads, by a transaction around the read.
	VerifyPrimary bool
}

// Route chooses the target of a statement at now. available reports whether a connection to a member is free or can be
// opened; avoid reports whether this statement has failed at a member.
func (g *Group) Route(req *Requirement, now float64, available func(*Member) bool, avoid func(id string) bool) Target {
	if req.Write || req.Linearizable {
		primary := g.reachablePrimary(available)
		if primary == nil || req.Write && (g.CommitsStalled(now) || !g.mayWrite(primary)) {
			return Target{}
		}
		return Target{Member: primary, VerifyPrimary: req.Linearizable}
	}
	position, covered := g.watermarks.covering(req.AckedBefore)
	if !covered { // only a primary that proves that it leads is known to have all that was acknowledged
		primary := g.reachablePrimary(available)
		return Target{Member: primary, VerifyPrimary: primary != nil}
	}
	if position.Less(req.SessionCommit) {
		position = req.SessionCommit
	}
	recent := now-req.SessionCommitAt < recentCommitAge && !req.SessionCommit.IsZero()
	if m := g.leastLoadedReplica(position, recent, now, available, avoid); m != nil {
		return Target{Member: m, MinPosition: position}
	}
	if primary := g.reachablePrimary(available); primary != nil {
		return Target{Member: primary, MinPosition: position}
	}
	return Target{}
}

// reachablePrimary returns the primary if it is not suspected and a connection to it is available, else nil.
func (g *Group) reachablePrimary(available func(*Member) bool) *Member {
	if primary := g.Primary(); primary != nil && !primary.Suspected && available(primary) {
		return primary
	}
	return nil
}

// leastLoadedReplica returns the replica with the lowest load among those whose log may reach the position, or nil. The
// load is the number of this proxy's requests in flight plus the costs of distance and suspicion. A replica that is not
// known to reach the position is a candidate, as its own check decides, unless the session's commit is so recent that
// it can hardly have arrived there, or the replica has just refused a read for its lag.
func (g *Group) leastLoadedReplica(position wire.Position, recent bool, now float64, available func(*Member) bool,
	avoid func(id string) bool) *Member {
	var best *Member
	bestCost, ties := 0.0, 0
	for _, m := range g.Members {
		if m.ID == g.Slot.Holder || m.Draining || now < m.ejectedUntil || avoid(m.ID) || !available(m) {
			continue
		}
		if m.Position.Less(position) && (recent || now-m.laggedAt < lagExclusion) {
			continue
		}
		cost := float64(m.InFlight) + distanceCost[m.distance]
		if m.Suspected {
			cost += suspectedCost
		}
		switch {
		case best == nil || cost < bestCost:
			best, bestCost, ties = m, cost, 1
		case cost == bestCost: // chooses each of n equal replicas with probability 1/n
			if ties++; rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}
