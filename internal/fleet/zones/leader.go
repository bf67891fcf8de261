package zones

// This file implements the leader: it assesses reports and proposes the next plan. It must never move a primary because
// of observations of its own zone alone.

import (
	"fmt"
	"math"
	"slices"
)

// leader is the state of a driver while it leads, or from when it last led.
type leader struct {
	trackers     map[string]*tracker // by zone; nil while this driver does not lead
	leadingSince float64             // when it started to lead
	assessment   Assessment          // result of the last step

	evacuations     map[string]float64 // end time by zone; +Inf: until revoked
	appliedCommands map[uint64]bool    // IDs of commands
	frozen          bool

	readsPerMember float64 // estimated reads per second that a member can serve, see learnedCapacity
	goalFlows      []Flow  // flows that successive plans approach
	goalSetAt      float64 // when goalFlows was set; 0: not yet
	flowsChangedAt float64 // when the plan's flows last changed
}

// startLeading initializes the leader's state from the plan. Timers of states and evacuations restart.
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

// lead proposes the next plan if it differs from the current one. A successor that this driver accepted and that is not
// known to be decided takes precedence.
func (z *Coordinator) lead(now float64) {
	if z.proposal != nil || now < z.proposeAfter {
		return
	}
	if p := z.undecided(); p != nil && now-z.acceptedAt > proposalHeartbeats*z.heartbeat {
		z.propose(now, p)
		return
	}
	next := z.nextPlan(now)
	// A successor that some voter accepted prevents confirmations of this plan until a proposal decides on a successor.
	lapsing := z.confirmation.known() && now-z.confirmation.confirmedAt > 4*z.heartbeat
	if (lapsing || !next.equivalent(z.plan)) && withMajority(z.fleet.Partition) {
		z.propose(now, next)
	}
}

// nextPlan returns the plan that should follow the current one, by recent reports.
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
	// a new leader, or one that receives no reports, has no basis for changes
	informed := now-z.leadingSince > 2*z.heartbeat && len(reports) > 0
	if informed && !z.frozen && len(names) > 1 {
		z.stepTrackers(now, next, names)
		z.stepFlows(now, next, names, reports)
		z.planMoves(next, reports)
	}
	next.sort()
	return next
}

// zonesAlive returns the zones with a live driver.
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

// stepTracker advances one zone's state by its cause. A zone without reports keeps its previous cause.
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
