package zones

// This file owns the flows of a plan: what zones need and can serve, and how fast shares of reads may shift.

import (
	"math"
	"slices"
)

const (
	goalHeartbeats = 5.0  // that flows approach one goal at least
	goalTolerance  = 0.15 // of a zone's reads: another goal has to differ by so much
)

// stepFlows solves for the flows that are due, and shifts the plan's flows toward them as fast as they may.
func (z *Coordinator) stepFlows(now float64, next *Plan, names []string, reports []Report) {
	loads, readsPerMember := z.zoneLoads(next, names, reports)
	z.readsPerMember = readsPerMember
	var solution []Flow
	var binding []string
	if z.needsFlows(next, loads) {
		solution, binding = solveFlows(loads, z.options.Limits, next.reaches)
	}
	// Another goal only where zones are no longer the same, or the old one is far off after a while: demand is noisy,
	// and of several solutions that cost the same the solver gives any.
	changed := !slices.Equal(next.Zones, z.plan.Zones) ||
		!slices.Equal(next.Partitions, z.plan.Partitions) ||
		z.goalSetAt == 0
	stale := now-z.goalSetAt > goalHeartbeats*z.heartbeat
	if changed || stale && (len(solution) == 0 || maxDifference(names, solution, z.goalFlows) >= goalTolerance) {
		z.goalFlows, z.goalSetAt, next.BindingConstraints = solution, now, binding
	}
	if !changed && now-z.flowsChangedAt < z.heartbeat {
		next.Flows = z.plan.Flows
		return
	}
	next.Flows = z.rateLimitedFlows(now, next, names)
	if !slices.Equal(next.Flows, z.plan.Flows) {
		z.flowsChangedAt = now
	}
}

// needsFlows says whether reads can't all stay local: a zone is not whole or not reached, or has too little capacity.
func (z *Coordinator) needsFlows(next *Plan, loads []ZoneLoad) bool {
	if len(next.Partitions) > 0 {
		return true
	}
	for i := range next.Zones {
		if next.Zones[i].Capacity < 1 || next.Zones[i].State != Serving && next.Zones[i].State != Suspected {
			return true
		}
	}
	return slices.ContainsFunc(loads, func(l ZoneLoad) bool {
		return l.Demand > l.Capacity*(1-z.options.Limits.Headroom)
	})
}

// rateLimitedFlows shifts the shares of the plan held toward the goal, no faster than Options.MaxShiftRate. From a
// zone without capacity and to an ejected one they shift at once.
func (z *Coordinator) rateLimitedFlows(now float64, next *Plan, names []string) (flows []Flow) {
	maxShift := z.options.MaxShiftRate * (now - z.flowsChangedAt) / 1000
	goal := &Plan{Flows: z.goalFlows}
	for _, from := range names {
		empty := next.zone(from).Capacity == 0
		for _, to := range names {
			if from == to {
				continue
			}
			present, share := z.plan.share(from, to), goal.share(from, to)
			if !empty && next.zone(to).State != Ejected {
				share = present + min(max(share-present, -maxShift), maxShift)
			}
			if share = math.Round(share*100) / 100; share >= minShare {
				flows = append(flows, Flow{from, to, share})
			}
		}
	}
	return flows
}

// maxDifference is the difference of two sets of flows in the share that differs most.
func maxDifference(names []string, a, b []Flow) (difference float64) {
	x, y := &Plan{Flows: a}, &Plan{Flows: b}
	for _, from := range names {
		for _, to := range names {
			difference = max(difference, math.Abs(x.share(from, to)-y.share(from, to)))
		}
	}
	return difference
}

// zoneCounts is what reports say of one zone.
type zoneCounts struct {
	reporters float64 // drivers of the zone that report
	reads     float64 // that these send, to any zone, a second
	drivers   float64 // that are alive
	members   float64 // the most that a reporter of any zone lists
	reachable float64 // the most that a reporter of any zone reaches
}

func (z *Coordinator) countZones(reports []Report) map[string]*zoneCounts {
	counts := map[string]*zoneCounts{}
	of := func(zone string) *zoneCounts {
		if counts[zone] == nil {
			counts[zone] = &zoneCounts{}
		}
		return counts[zone]
	}
	for _, r := range reports {
		own := of(r.Zone)
		own.reporters++
		for _, o := range r.Observations {
			own.reads += o.Reads
			seen := of(o.Zone)
			seen.members = max(seen.members, float64(o.Members))
			seen.reachable = max(seen.reachable, float64(o.Members-o.Unreachable))
		}
	}
	for _, peer := range z.fleet.Alive {
		of(peer.Zone).drivers++
	}
	return counts
}

// demand is what all drivers of the zone read, a second, if those that do not report read as much as the others.
func (c *zoneCounts) demand() float64 {
	if c == nil || c.reporters == 0 {
		return 0
	}
	return c.reads / c.reporters * c.drivers
}

// zoneLoads are the zones with their demand and capacity, both in reads a second, and what a member serves by these
// reports. It teaches the leader nothing: stepFlows keeps that.
func (z *Coordinator) zoneLoads(plan *Plan, names []string, reports []Report) (
	loads []ZoneLoad, readsPerMember float64) {
	counts := z.countZones(reports)
	demand, members := 0.0, 0.0
	for _, name := range names {
		if c := counts[name]; c != nil {
			demand += c.demand()
			members += c.members
		}
	}
	readsPerMember = z.learnedCapacity(demand, members)
	for _, name := range names {
		l := ZoneLoad{Name: name, Region: z.regionOf[name]}
		if c := counts[name]; c != nil {
			l.Demand = c.demand()
			l.Capacity = c.reachable * readsPerMember * plan.zone(name).Capacity
		}
		loads = append(loads, l)
	}
	return loads, readsPerMember
}

// learnedCapacity takes what a member serves from the demand while nothing is wrong: it follows a rise at once and a
// fall slowly.
func (z *Coordinator) learnedCapacity(demand, members float64) float64 {
	healthy := len(z.assessment.Causes) == 0 && len(z.assessment.Partitions) == 0
	if demand > 0 && members > 0 && (healthy || z.readsPerMember == 0) {
		return max(demand/(members*z.options.BaselineUtilization), 0.98*z.readsPerMember)
	}
	return z.readsPerMember
}
