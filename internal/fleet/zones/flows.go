package zones

// This file computes the flows of a plan: each zone's demand and capacity, and how fast shares of reads may shift.

import (
	"math"
	"slices"
)

const (
	goalHeartbeats = 5.0  // minimum time for which flows approach one goal
	goalTolerance  = 0.15 // minimum difference of a new goal, as a share of a zone's reads
)

// stepFlows computes the goal flows, and shifts the plan's flows toward them at the allowed rate.
func (z *Coordinator) stepFlows(now float64, next *Plan, names []string, reports []Report) {
	loads, readsPerMember := z.zoneLoads(next, names, reports)
	z.readsPerMember = readsPerMember
	var solution []Flow
	var binding []string
	if z.needsFlows(next, loads) {
		solution, binding = solveFlows(loads, z.options.Limits, next.reaches)
	}
	// The goal changes only if zones changed, or if it is far from the solution after a while: demand is noisy, and the
	// solver may return any of several solutions with the same cost.
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

// needsFlows reports whether reads cannot all stay local: a zone is degraded, partitioned or has too little capacity.
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

// rateLimitedFlows shifts the shares of the current plan toward the goal, no faster than Options.MaxShiftRate. Shares
// from a zone without capacity and to an ejected zone shift immediately.
func (z *Coordinator) rateLimitedFlows(now float64, next *Plan, names []string) (flows []Flow) {
	maxShift := z.options.MaxShiftRate * (now - z.flowsChangedAt) / 1000
	goal := &Plan{Flows: z.goalFlows}
	for _, from := range names {
		empty := next.zone(from).Capacity == 0
		for _, to := range names {
			if from == to {
				continue
			}
			current, share := z.plan.share(from, to), goal.share(from, to)
			if !empty && next.zone(to).State != Ejected {
				share = current + min(max(share-current, -maxShift), maxShift)
			}
			if share = math.Round(share*100) / 100; share >= minShare {
				flows = append(flows, Flow{from, to, share})
			}
		}
	}
	return flows
}

// maxDifference returns the largest difference between shares of two sets of flows.
func maxDifference(names []string, a, b []Flow) (difference float64) {
	planA, planB := &Plan{Flows: a}, &Plan{Flows: b}
	for _, from := range names {
		for _, to := range names {
			difference = max(difference, math.Abs(planA.share(from, to)-planB.share(from, to)))
		}
	}
	return difference
}

// zoneCounts aggregates the reports about one zone.
type zoneCounts struct {
	reporters float64 // drivers of the zone that sent a report
	reads     float64 // reads per second that they send, to any zone
	drivers   float64 // drivers of the zone that are alive
	members   float64 // maximum of the members that any reporter lists
	reachable float64 // maximum of the members that any reporter reaches
}

func (z *Coordinator) countZones(reports []Report) map[string]*zoneCounts {
	counts := map[string]*zoneCounts{}
	countsOf := func(zone string) *zoneCounts {
		if counts[zone] == nil {
			counts[zone] = &zoneCounts{}
		}
		return counts[zone]
	}
	for _, r := range reports {
		own := countsOf(r.Zone)
		own.reporters++
		for _, o := range r.Observations {
			own.reads += o.Reads
			observed := countsOf(o.Zone)
			observed.members = max(observed.members, float64(o.Members))
			observed.reachable = max(observed.reachable, float64(o.Members-o.Unreachable))
		}
	}
	for _, peer := range z.fleet.Alive {
		countsOf(peer.Zone).drivers++
	}
	return counts
}

// demand returns the reads per second of all drivers of the zone, extrapolated from those that report.
func (c *zoneCounts) demand() float64 {
	if c == nil || c.reporters == 0 {
		return 0
	}
	return c.reads / c.reporters * c.drivers
}

// zoneLoads returns the demand and capacity of each zone, in reads per second, and the reads per second that a member
// serves according to these reports. It does not change the leader's state: stepFlows stores the latter.
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

// learnedCapacity estimates the reads per second that a member serves from the demand in normal operation. The estimate
// follows a rise immediately and a fall slowly.
func (z *Coordinator) learnedCapacity(demand, members float64) float64 {
	healthy := len(z.assessment.Causes) == 0 && len(z.assessment.Partitions) == 0
	if demand > 0 && members > 0 && (healthy || z.readsPerMember == 0) {
		return max(demand/(members*z.options.BaselineUtilization), 0.98*z.readsPerMember)
	}
	return z.readsPerMember
}
