package zones

// This file owns the moves of primaries that a plan asks for. It must never name a zone that is not serving as the
// target.

import (
	"math"
	"slices"
)

// planMoves asks for primaries out of zones that are to be empty. Where most zones see one elsewhere it has moved.
func (z *Coordinator) planMoves(p *Plan, reports []Report) {
	p.Moves = nil
	for group, home := range primaryZones(reports) {
		if st := p.zone(home); st.State != Draining && st.State != Ejected {
			continue
		}
		to, best := "", -1.0
		for _, s := range p.Zones {
			if room := z.suitability(s, p, home); s.State == Serving && room > best {
				to, best = s.Name, room
			}
		}
		asked := slices.IndexFunc(z.plan.Moves, func(m Move) bool { return m.Group == group && m.From == home })
		if asked >= 0 && p.zone(z.plan.Moves[asked].To).State == Serving {
			to = z.plan.Moves[asked].To
		}
		if to != "" && len(p.Moves) < maxMoves {
			p.Moves = append(p.Moves, Move{group, home, to})
		}
	}
}

// primaryZones are the zones in which most reports see each group's primary. Groups without a majority are left out.
func primaryZones(reports []Report) map[int64]string {
	votes := map[int64]map[string]int{}
	for _, r := range reports {
		for _, h := range r.Primaries {
			if votes[h.Group] == nil {
				votes[h.Group] = map[string]int{}
			}
			votes[h.Group][h.Zone]++
		}
	}
	homes := map[int64]string{}
	for group, byZone := range votes {
		home, most, all := "", 0, 0
		for zone, n := range byZone {
			if all += n; n > most || n == most && zone < home {
				home, most = zone, n
			}
		}
		if 2*most > all {
			homes[group] = home
		}
	}
	return homes
}

// suitability is how well a zone would do for a primary: reached by all, of the same region, with members.
func (z *Coordinator) suitability(s Zone, p *Plan, from string) float64 {
	room := 0.0
	for _, o := range p.Zones {
		if o.State == Serving && p.partitioned(o.Name, s.Name) {
			room -= 10
		}
	}
	if z.regionOf[s.Name] == z.regionOf[from] {
		room += 2
	}
	for _, r := range z.observations {
		if r.Zone == s.Name {
			room += min(float64(r.Members-r.Unreachable), 100) / 100
			if r.Members == 0 { // a witness
				room = math.Inf(-1)
			}
		}
	}
	return room
}

// DueMoves are the moves of primaries that this driver is to ask the topology manager for, and the plan's epoch.
func (z *Coordinator) DueMoves(now float64) ([]Move, uint64) {
	if z.trackers == nil || !Allowed(z.fleet.Partition, z.inForce(now), MovePrimary) {
		return nil, 0
	}
	return z.plan.Moves, z.plan.Epoch
}
