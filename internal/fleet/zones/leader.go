package zones

// This file owns what the leader does: it judges the reports it has and proposes the plan that is due. It must never
// have a primary moved by what only its own zone sees.

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"strings"
)

// firstPlan is a first plan: it names voters and moves nothing.
func (z *Coordinator) firstPlan() *Plan {
	p := &Plan{Epoch: 1, Voters: z.selectVoters(nil)}
	for _, n := range z.zoneNames() {
		p.Zones = append(p.Zones, Zone{Name: n, Capacity: 1})
	}
	p.sort()
	return p
}

// chooseVoters are spread over the zones: those that are and live stay, as long as no zone has too many of them.
func (z *Coordinator) selectVoters(now []string) []string {
	byZone := map[string][]string{}
	var zones []string
	for _, f := range z.fleet.Alive {
		if _, listed := slices.BinarySearch(z.fleet.Roster, f.Name); listed {
			if byZone[f.Zone] == nil {
				zones = append(zones, f.Zone)
			}
			byZone[f.Zone] = append(byZone[f.Zone], f.Name)
		}
	}
	slices.Sort(zones)
	for _, names := range byZone {
		slices.SortStableFunc(names, func(a, b string) int {
			return cmp.Or(-cmp.Compare(bit(slices.Contains(now, a)), bit(slices.Contains(now, b))), strings.Compare(a, b))
		})
	}
	var all []string
	want := min(z.options.Voters, len(z.fleet.Alive))
	if want%2 == 0 { // an even one more makes no majority smaller
		want--
	}
	for turn := 0; len(all) < want; turn++ {
		any := false
		for _, zone := range zones {
			if turn < len(byZone[zone]) && len(all) < want {
				all, any = append(all, byZone[zone][turn]), true
			}
		}
		if !any {
			break
		}
	}
	slices.Sort(all)
	return all
}

// startLeading takes up leading: states go on from the plan, their times begin anew.
func (z *Coordinator) startLeading(now float64) {
	z.trackers, z.leadingSince, z.evacuations = map[string]*tracker{}, now, map[string]float64{}
	for _, n := range z.zoneNames() {
		z.trackers[n] = &tracker{Zone: z.plan.zone(n), since: now, healthySince: now}
	}
	for _, o := range z.plan.Evacuations {
		z.evacuations[o.Zone] = math.Inf(1)
		if o.HeartbeatsLeft > 0 {
			z.evacuations[o.Zone] = now + float64(o.HeartbeatsLeft)*z.heartbeat
		}
	}
	z.frozen, z.flowsChangedAt, z.goalFlows, z.goalSetAt = z.plan.Frozen, now, z.plan.Flows, 0
	z.emit("leads", z.self.Name, fmt.Sprintf("epoch %d", z.plan.Epoch))
}

// recentReports are reports that are not too old.
func (z *Coordinator) recentReports(now float64) (all []Report) {
	for from, s := range z.reports {
		if now-s.at > 4*reportMaxAgeBeats*z.heartbeat {
			delete(z.reports, from)
		}
	}
	var names []string
	for from, s := range z.reports {
		if now-s.at <= reportMaxAgeBeats*z.heartbeat && z.fleet.isAlive(from) {
			names = append(names, from)
		}
	}
	slices.Sort(names)
	for _, n := range names {
		all = append(all, z.reports[n].Report)
	}
	return all
}

// proposeNext proposes the plan that is due, if another one is.
func (z *Coordinator) proposeNext(now float64) {
	if z.proposal != nil || now < z.proposeAfter {
		return
	}
	if offer := z.pending(); offer != nil && now-z.acceptedAt > proposalHeartbeats*z.heartbeat {
		z.propose(now, offer)
		return
	}
	reports := z.recentReports(now)
	lives := map[string]bool{}
	for _, f := range z.fleet.Alive {
		lives[f.Zone] = true
	}
	names := z.zoneNames()
	z.assessment = assess(names, reports, lives, z.regionOf)
	z.expireEvacuations(now)
	next := &Plan{Epoch: z.plan.Epoch + 1, BaseSum: z.planSum, Voters: z.plan.Voters, Zones: slices.Clone(z.plan.Zones),
		Partitions: z.plan.Partitions, Flows: z.plan.Flows,
		Moves: z.plan.Moves, Evacuations: z.activeEvacuations(now), Frozen: z.frozen, BindingConstraints: z.plan.BindingConstraints}
	if z.votersIncomplete() {
		next.Voters = z.selectVoters(z.plan.Voters)
	}
	// Reports of a leader that has just begun, or that hears too little, say nothing yet.
	if enough := now-z.leadingSince > 2*z.heartbeat && len(reports) > 0; enough && !z.frozen && len(names) > 1 {
		z.stepTrackers(now, next, names)
		z.stepFlows(now, next, names, reports)
		z.planMoves(next, reports)
	}
	next.sort()
	// a plan that some took keeps this one from being confirmed
	lapsing := now-z.confirmedAt > 4*z.heartbeat && !math.IsInf(z.confirmedAt, -1)
	if !next.equivalent(z.plan) || lapsing {
		if withMajority(z.fleet.Partition) {
			z.propose(now, next)
		}
	}
}

// votersIncomplete says that a voter is gone, or that more could be had.
func (z *Coordinator) votersIncomplete() bool {
	want := min(z.options.Voters, len(z.fleet.Alive))
	if len(z.plan.Voters) < want-1+want%2 {
		return true
	}
	for _, v := range z.plan.Voters {
		if !z.fleet.isAlive(v) {
			return true
		}
	}
	return false
}

// stepZones lets each zone's state go on.
func (z *Coordinator) stepTrackers(now float64, p *Plan, names []string) {
	returning := false
	for _, n := range names {
		if c := z.trackers[n]; c == nil {
			z.trackers[n] = &tracker{Zone: z.plan.zone(n), since: now, healthySince: now}
		} else if c.State == Recovering {
			returning = true
		}
	}
	p.Zones, p.Partitions = nil, z.assessment.Partitions
	for _, n := range names {
		c := z.trackers[n]
		cause := z.assessment.Causes[n]
		if slices.Contains(z.assessment.Unobserved, n) { // nobody says anything: it stays what it is
			cause = c.Cause
		}
		_, ordered := z.evacuations[n]
		before := c.State
		c.step(now, z.options.Timing, cause, ordered, !returning)
		if c.State == Recovering {
			returning = true
		}
		if c.State != before {
			z.emit("zone", n, fmt.Sprintf("%s, was %s %s", c.State, before, c.Cause))
		}
		shown := c.Zone
		shown.Capacity = math.Round(shown.Capacity*4) / 4
		p.Zones = append(p.Zones, shown)
	}
}
