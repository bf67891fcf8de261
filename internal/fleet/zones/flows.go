package zones

// This file owns the leader's shares of reads: what zones need and can do, and how fast shares may move.

import (
	"math"
	"slices"
)

// stepFlows solves for shares, and lets them move as fast as they may.
func (z *Coordinator) stepFlows(now float64, p *Plan, names []string, reports []Report) {
	places := z.places(p, names, reports)
	var want []Flow
	var binds []string
	if z.disturbed(p, places) {
		want, binds = shares(places, z.rules.Limits, func(from, to string) bool { return !p.cut(from, to) })
	}
	// Another goal only where zones are no longer the same, or the old one is far off for a while: demand is noisy, and of
	// several plans that cost the same the solver gives any.
	hard := !slices.Equal(p.Zones, z.plan.Zones) || !slices.Equal(p.Partitions, z.plan.Partitions) || z.goalAt == 0
	old := now-z.goalAt > goalBeats*z.heartbeat
	if hard || old && (len(want) == 0 || apart(names, want, z.goal) >= flowsOff) {
		z.goal, z.goalAt, p.BindingConstraints = want, now, binds
	}
	if !hard && now-z.flowsAt < z.heartbeat {
		p.Flows = z.plan.Flows
		return
	}
	flows := z.limitedFlows(now, p, names)
	if p.Flows = flows; !slices.Equal(flows, z.plan.Flows) {
		z.flowsAt = now
	}
}

// disturbed says whether near reads can't all stay near: a zone is not whole or not reached, or has too little room.
func (z *Coordinator) disturbed(p *Plan, places []ZoneLoad) bool {
	if len(p.Partitions) > 0 {
		return true
	}
	for i := range p.Zones {
		if p.Zones[i].Capacity < 1 || p.Zones[i].State != Serving && p.Zones[i].State != Suspected {
			return true
		}
	}
	return slices.ContainsFunc(places, func(pl ZoneLoad) bool {
		return pl.Demand > pl.Capacity*(1-z.rules.Limits.Headroom)
	})
}

// limitedFlows moves the shares toward the goal, no faster than the rules allow.
func (z *Coordinator) limitedFlows(now float64, p *Plan, names []string) (flows []Flow) {
	most := z.rules.MaxShiftRate * (now - z.flowsAt) / 1000
	goal := &Plan{Flows: z.goal}
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
			if is = math.Round(is*100) / 100; is >= leastShare {
				flows = append(flows, Flow{from, to, is})
			}
		}
	}
	return flows
}

// apart is how far two sets of flows are from each other, in the share that differs most.
func apart(names []string, a, b []Flow) (far float64) {
	x, y := &Plan{Flows: a}, &Plan{Flows: b}
	for _, from := range names {
		for _, to := range names {
			far = max(far, math.Abs(x.share(from, to)-y.share(from, to)))
		}
	}
	return far
}

// places are the zones with their demand and room, in members' usual work.
func (z *Coordinator) places(p *Plan, names []string, reports []Report) []ZoneLoad {
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
	if calm := len(z.judgement.Causes) == 0 && len(z.judgement.Partitions) == 0; total > 0 && all > 0 && (calm || z.unit == 0) {
		z.unit = max(total/(all*z.rules.BaselineUtilization), 0.98*z.unit)
	}
	var places []ZoneLoad
	for _, name := range names {
		zone := p.zone(name)
		places = append(places, ZoneLoad{name, z.regionOf[name], demand[name], up[name] * z.unit * zone.Capacity})
	}
	return places
}
