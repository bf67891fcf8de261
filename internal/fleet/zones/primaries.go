package zones

// This file computes the moves of primaries that a plan requests. It must never choose a target zone that is not
// serving.

import (
	"math"
	"slices"
)

// planMoves requests moves of primaries out of draining and ejected zones. A move is complete once most reports see the
// primary elsewhere.
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

// moveTarget returns the zone to which a primary should move: the target of a move in progress while that zone serves,
// otherwise the most suitable zone, or "" if there is none.
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

// primaryZones returns the zone in which most reports see each group's primary. Groups without a majority are omitted.
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

// suitability scores a zone as the target for a primary that leaves another zone. Zones that all serving zones reach,
// that are in the same region and that have many members score higher. Scores up to -1 rule a zone out.
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

// PendingMoves returns the moves of primaries that this driver should request from the topology manager, and the plan's
// epoch. There are none unless it leads and Allowed permits MovePrimary.
func (z *Coordinator) PendingMoves(now float64) ([]Move, uint64) {
	if z.trackers == nil || !Allowed(z.fleet.Partition, z.inForce(now), MovePrimary) {
		return nil, 0
	}
	return z.plan.Moves, z.plan.Epoch
}
