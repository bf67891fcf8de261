package zones

// This file owns the leader's shares of reads: what zones need and can do, and how fast shares may move.

import (
	"math"
	"slices"
)

// stepFlows solves for shares, and lets them move as fast as they may.
func (z *Coordinator) stepFlows(now float64, p *Plan, names []string, reports []Report) {
	places := z.zoneLoads(p, names, reports)
	var want []Flow
	var binds []string
	if z.needsFlows(p, places) {
		want, binds = solveFlows(places, z.options.Limits, func(from, to string) bool { return !p.partitioned(from, to) })
	}
	// Another goal only where zones are no longer the same, or the old one is far off for a while: demand is noisy, and of
	// several plans that cost the same the solver gives any.
	hard := !slices.Equal(p.Zones, z.plan.Zones) || !slices.Equal(p.Partitions, z.plan.Partitions) || z.goalSetAt == 0
	old := now-z.goalSetAt > goalBeats*z.heartbeat
	if hard || old && (len(want) == 0 || maxDifference(names, want, z.goalFlows) >= flowsOff) {
		z.goalFlows, z.goalSetAt, p.BindingConstraints = want, now, binds
	}
	if !hard && now-z.flowsChangedAt < z.heartbeat {
		p.Flows = z.plan.Flows
		return
	}
	flows := z.rateLimitedFlows(now, p, names)
	if p.Flows = flows; !slices.Equal(flows, z.plan.Flows) {
		z.flowsChangedAt = now
	}
}

// disturbed says whether near reads can't all stay near: a zone is not whole or not reached, or has too little room.
func (z *Coordinator) needsFlows(p *Plan, places []ZoneLoad) bool {
	if len(p.Partitions) > 0 {
		return true
	}
	for i := range p.Zones {
		if p.Zones[i].Capacity < 1 || p.Zones[i].State != Serving && p.Zones[i].State != Suspected {
			return true
		}
	}
	return slices.ContainsFunc(places, func(pl ZoneLoad) bool {
		return pl.Demand > pl.Capacity*(1-z.options.Limits.Headroom)
	})
}

// limitedFlows moves the shares toward the goal, no faster than the rules allow.
func (z *Coordinator) rateLimitedFlows(now float64, p *Plan, names []string) (flows []Flow) {
	most := z.options.MaxShiftRate * (now - z.flowsChangedAt) / 1000
	goal := &Plan{Flows: z.goalFlows}
	for _, from := range names {
		gone := p.zone(from).Capacity == 0 // nothing to be kept there
		for _, to := range names {
			if from == to {
				continue
			}
			was, is := z.plan.share(from, to), goal.share(from, to)
			if !gone && p.zone(to).State != Ejected {
				is = was + min(max(is-was, -most), most)
			}
			if is = math.Round(is*100) / 100; is >= minShare {
				flows = append(flows, Flow{from, to, is})
			}
		}
	}
	return flows
}

// apart is how far two sets of flows are from each other, in the share that differs most.
func maxDifference(names []string, a, b []Flow) (far float64) {
	x, y := &Plan{Flows: a}, &Plan{Flows: b}
	for _, from := range names {
		for _, to := range names {
			far = max(far, math.Abs(x.share(from, to)-y.share(from, to)))
		}
	}
	return far
}

// places are the zones with their demand and room, in members' usual work.
func (z *Coordinator) zoneLoads(p *Plan, names []string, reports []Report) []ZoneLoad {
	members, up, reads, n := map[string]float64{}, map[string]float64{}, map[string]float64{}, map[string]float64{}
	for _, r := range reports {
		n[r.Zone]++
		for _, s := range r.Observations {
			reads[r.Zone] += s.Reads
			members[s.Zone] = max(members[s.Zone], float64(s.Members))
			up[s.Zone] = max(up[s.Zone], float64(s.Members-s.Unreachable))
		}
	}
	drivers := map[string]float64{}
	for _, f := range z.fleet.Alive {
		drivers[f.Zone]++
	}
	total, all := 0.0, 0.0
	demand := map[string]float64{}
	for _, name := range names {
		if n[name] > 0 {
			demand[name] = reads[name] / n[name] * drivers[name]
		}
		total += demand[name]
		all += members[name]
	}
	if calm := len(z.assessment.Causes) == 0 && len(z.assessment.Partitions) == 0; total > 0 && all > 0 && (calm || z.readsPerMember == 0) {
		z.readsPerMember = max(total/(all*z.options.BaselineUtilization), 0.98*z.readsPerMember)
	}
	var places []ZoneLoad
	for _, name := range names {
		zone := p.zone(name)
		places = append(places, ZoneLoad{name, z.regionOf[name], demand[name], up[name] * z.readsPerMember * zone.Capacity})
	}
	return places
}
