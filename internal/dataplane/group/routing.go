package group

import (
	"math/rand/v2"

	"weirwind/internal/member/wire"
)

const (
	lagExclusion = 400.0 // milliseconds that a replica is left out for after it refused a read for its lag
	recentCommit = 250.0 // milliseconds; see leastLoadedReplica

	suspectedCost = 8.0 // requests in flight that a suspected replica counts more
)

// distanceCost is how many requests in flight a distance counts: what crosses regions is slow and dear.
var distanceCost = [...]float64{SameZone: 0, SameRegion: 1, OtherRegion: 3}

// Requirement is what a statement or a transaction demands of the member that it is routed to.
type Requirement struct {
	// Write: only the primary may run it.
	Write bool
	// Linearizable: it reads, and must see all that was acknowledged before it began.
	Linearizable bool
	// Any other read must see all that was acknowledged before AckedBefore (milliseconds), and its session's last
	// commit, which was acknowledged at SessionCommitAt. No position: the session has committed nothing.
	AckedBefore     float64
	SessionCommit   wire.Position
	SessionCommitAt float64
}

// Target is where a statement may go.
type Target struct {
	// Member is nil if no member will do now: the statement stays queued.
	Member *Member
	// MinPosition is what the member must check that its log reaches before it answers; none: it checks nothing.
	MinPosition wire.Position
	// VerifyPrimary: the member must prove that it still leads, by a transaction around the read.
	VerifyPrimary bool
}

// Route chooses the target of a statement at now. available says whether a connection to a member can be had or made;
// avoid names the members that this statement has failed at.
func (g *Group) Route(req *Requirement, now float64, available func(*Member) bool, avoid func(id string) bool) Target {
	if req.Write || req.Linearizable {
		p := g.reachablePrimary(available)
		if p == nil || req.Write && g.CommitsStalled(now) {
			return Target{}
		}
		return Target{Member: p, VerifyPrimary: req.Linearizable}
	}
	position, covered := g.watermarks.covering(req.AckedBefore)
	if !covered { // only a primary that proves that it leads is known to have all that was acknowledged
		p := g.reachablePrimary(available)
		return Target{Member: p, VerifyPrimary: p != nil}
	}
	if position.Less(req.SessionCommit) {
		position = req.SessionCommit
	}
	recent := now-req.SessionCommitAt < recentCommit && !req.SessionCommit.IsZero()
	if m := g.leastLoadedReplica(position, recent, now, available, avoid); m != nil {
		return Target{Member: m, MinPosition: position}
	}
	if p := g.reachablePrimary(available); p != nil {
		return Target{Member: p, MinPosition: position}
	}
	return Target{}
}

// reachablePrimary returns the primary if it is not suspected and a connection to it can be had, else nil.
func (g *Group) reachablePrimary(available func(*Member) bool) *Member {
	if p := g.Primary(); p != nil && !p.Suspected && available(p) {
		return p
	}
	return nil
}

// leastLoadedReplica returns the replica with the fewest requests of this proxy in flight among those whose log may
// reach the position, nil for none. A replica that is not known to reach it is a candidate, as its own check
// decides, but not if the session's commit is so recent that it can hardly have arrived there, nor if the replica
// just refused a read.
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
		case cost == bestCost: // each of n equal ones is chosen with a chance of 1/n
			if ties++; rand.IntN(ties) == 0 {
				best = m
			}
		}
	}
	return best
}
