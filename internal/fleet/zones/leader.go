package zones

// This file owns what the leader does: it assesses the reports that it has and proposes the plan that is due. It must
// never have a primary moved by what only its own zone observes.

import (
	"fmt"
	"math"
	"slices"
)

// leader is what a driver keeps while it leads, and of the last time that it did.
type leader struct {
	trackers     map[string]*tracker // by zone; nil while this driver does not lead
	leadingSince float64             // when it began to lead
	assessment   Assessment          // of the last step

	evacuations     map[string]float64 // by zone: until when; +Inf: until revoked
	appliedCommands map[uint64]bool    // their IDs
	frozen          bool

	readsPerMember float64 // reads a second that a member serves at baseline utilization, as far as observed
	goalFlows      []Flow  // that plans' flows approach
	goalSetAt      float64 // 0: there is none yet
	flowsChangedAt float64 // when plans' flows changed last
}

// startLeading takes up leading: states and evacuations go on from the plan, their times begin anew.
func (z *Coordinator) startLeading(now float64) {
	z.trackers, z.leadingSince, z.evacuations = map[string]*tracker{}, now, map[string]float64{}
	for _, name := range z.zoneNames() {
		z.trackers[name] = newTracker(now, z.plan.zone(name))
	}
	for _, e := range z.plan.Evacuations {
		z.evacuations[e.Zone] = math.Inf(1)
		if e.RemainingHeartbeats > 0 {
			z.evacuations[e.Zone] = now + float64(e.RemainingHeartbeats)*z.heartbeat
		}
	}
	z.frozen = z.plan.Frozen
	z.goalFlows, z.goalSetAt, z.flowsChangedAt = z.plan.Flows, 0, now
	z.emit("leads", z.self.Name, fmt.Sprintf("epoch %d", z.plan.Epoch))
}

// lead proposes the plan that is due, if another one than the present is. A successor that was accepted and not decided
// goes first.
func (z *Coordinator) lead(now float64) {
	if z.proposal != nil || now < z.proposeAfter {
		return
	}
	if p := z.undecided(); p != nil && now-z.acceptedAt > proposalHeartbeats*z.heartbeat {
		z.propose(now, p)
		return
	}
	next := z.nextPlan(now)
	// a successor that some voter accepted keeps this plan from being confirmed: any proposal brings that to an end
	lapsing := z.confirmation.known() && now-z.confirmation.at > 4*z.heartbeat
	if (lapsing || !next.equivalent(z.plan)) && withMajority(z.fleet.Partition) {
		z.propose(now, next)
	}
}

// nextPlan is the plan that should follow the one held, by the reports of now.
func (z *Coordinator) nextPlan(now float64) *Plan {
	reports, names := z.recentReports(now), z.zoneNames()
	z.assessment = assess(names, reports, z.zonesAlive(), z.regionOf)
	z.expireEvacuations(now)
	next := &Plan{
		Epoch:              z.plan.Epoch + 1,
		BaseSum:            z.planSum,
		Voters:             z.plan.Voters,
		Zones:              slices.Clone(z.plan.Zones),
		Partitions:         z.plan.Partitions,
		Flows:              z.plan.Flows,
		Moves:              z.plan.Moves,
		Evacuations:        z.activeEvacuations(now),
		Frozen:             z.frozen,
		BindingConstraints: z.plan.BindingConstraints,
	}
	if z.votersIncomplete() {
		next.Voters = z.selectVoters(z.plan.Voters)
	}
	// the reports of a leader that has just begun, or that none reach, say nothing yet
	informed := now-z.leadingSince > 2*z.heartbeat && len(reports) > 0
	if informed && !z.frozen && len(names) > 1 {
		z.stepTrackers(now, next, names)
		z.stepFlows(now, next, names, reports)
		z.planMoves(next, reports)
	}
	next.sort()
	return next
}

// zonesAlive are the zones of which a driver is alive.
func (z *Coordinator) zonesAlive() map[string]bool {
	alive := map[string]bool{}
	for _, peer := range z.fleet.Alive {
		alive[peer.Zone] = true
	}
	return alive
}

// stepTrackers advances each zone's state.
func (z *Coordinator) stepTrackers(now float64, next *Plan, names []string) {
	recovering := false
	for _, name := range names {
		if t := z.trackers[name]; t == nil {
			z.trackers[name] = newTracker(now, z.plan.zone(name))
		} else if t.State == Recovering {
			recovering = true
		}
	}
	next.Zones, next.Partitions = nil, z.assessment.Partitions
	for _, name := range names {
		t := z.trackers[name]
		z.stepTracker(now, t, !recovering)
		recovering = recovering || t.State == Recovering
		planned := t.Zone
		planned.Capacity = math.Round(planned.Capacity*4) / 4
		next.Zones = append(next.Zones, planned)
	}
}

// stepTracker advances one zone's state by its cause; a zone that nobody reports on keeps the one it had.
func (z *Coordinator) stepTracker(now float64, t *tracker, mayRecover bool) {
	cause := z.assessment.Causes[t.Name]
	if slices.Contains(z.assessment.Unobserved, t.Name) {
		cause = t.Cause
	}
	_, evacuated := z.evacuations[t.Name]
	before := t.State
	t.step(now, z.options.Timing, cause, evacuated, mayRecover)
	if t.State != before {
		z.emit("zone", t.Name, fmt.Sprintf("%s, was %s %s", t.State, before, t.Cause))
	}
}
