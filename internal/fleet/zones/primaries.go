package zones

// This file owns the moves of primaries that a plan asks for. It must never name a zone that is not serving as the
// target.

import (
	"math"
	"slices"
)

// planMoves asks for primaries out of zones that are to be empty. A move is over once most reports see the primary
// elsewhere.
func (z *Coordinator) planMoves(next *Plan, reports []Report) {
	next.Moves = nil
	for group, from := range primaryZones(reports) {
		if state := next.zone(from).State; state != Draining && state != Ejected {
			continue
		}
		if to := z.moveTarget(next, group, from); to != "" && len(next.Moves) < maxMoves {
			next.Moves = append(next.Moves, Move{group, from, to})
		}
	}
}

// moveTarget is the zone to which a primary should move: the one of the move that is under way while that one serves,
// else the most suitable; empty where there is none.
func (z *Coordinator) moveTarget(next *Plan, group int64, from string) (to string) {
	i := slices.IndexFunc(z.plan.Moves, func(m Move) bool { return m.Group == group && m.From == from })
	if i >= 0 && next.zone(z.plan.Moves[i].To).State == Serving {
		return z.plan.Moves[i].To
	}
	best := -1.0
	for _, zone := range next.Zones {
		if score := z.suitability(zone.Name, next, from); zone.State == Serving && score > best {
			to, best = zone.Name, score
		}
	}
	return to
}

// primaryZones are the zones in which most reports see each group's primary. Groups without a majority are left out.
func primaryZones(reports []Report) map[int64]string {
	votes := map[int64]map[string]int{}
	for _, r := range reports {
		for _, primary := range r.Primaries {
			if votes[primary.Group] == nil {
				votes[primary.Group] = map[string]int{}
			}
			votes[primary.Group][primary.Zone]++
		}
	}
	located := map[int64]string{}
	for group, byZone := range votes {
		total := 0
		for _, n := range byZone {
			total += n
		}
		for zone, n := range byZone {
			if 2*n > total {
				located[group] = zone
			}
		}
	}
	return located
}

// suitability scores a zone for a primary that leaves another: reached by all serving zones, in the same region, with
// members. Below -1 it is out of the question.
func (z *Coordinator) suitability(zone string, plan *Plan, from string) float64 {
	score := 0.0
	for _, other := range plan.Zones {
		if other.State == Serving && plan.partitioned(other.Name, zone) {
			score -= 10
		}
	}
	if z.regionOf[zone] == z.regionOf[from] {
		score += 2
	}
	for _, o := range z.observations {
		if o.Zone != zone {
			continue
		}
		score += min(float64(o.Members-o.Unreachable), 100) / 100
		if o.Members == 0 { // a witness: drivers without members
			score = math.Inf(-1)
		}
	}
	return score
}

// PendingMoves are the moves of primaries that this driver is to ask the topology manager for, and the plan's epoch;
// none unless it leads and Allowed permits MovePrimary.
func (z *Coordinator) PendingMoves(now float64) ([]Move, uint64) {
	if z.trackers == nil || !Allowed(z.fleet.Partition, z.inForce(now), MovePrimary) {
		return nil, 0
	}
	return z.plan.Moves, z.plan.Epoch
}
