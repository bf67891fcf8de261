package zones

// This file implements the status shown to operators.

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Preview is the result of a simulation.
type Preview struct {
	Zones              []ZoneLoad `json:"places"`
	Flows              []Flow     `json:"flows"`
	BindingConstraints []string   `json:"binds"`
}

// Simulate returns the flows that would be planned if a zone had no capacity, by the leader's reports; with an empty
// name all zones keep their capacity. Errors: ErrNoPlan, ErrNotLeader, ErrUnknownZone.
func (z *Coordinator) Simulate(now float64, zone string) (Preview, error) {
	switch {
	case z.plan == nil:
		return Preview{}, ErrNoPlan
	case z.trackers == nil:
		return Preview{}, fmt.Errorf("%w: %s", ErrNotLeader, z.plan.Voters[0])
	case zone != "" && !slices.Contains(z.zoneNames(), zone):
		return Preview{}, ErrUnknownZone
	}
	p := *z.plan
	p.Zones = slices.Clone(p.Zones)
	for i := range p.Zones {
		if p.Zones[i].Name == zone {
			p.Zones[i].Capacity = 0
		}
	}
	loads, _ := z.zoneLoads(&p, z.zoneNames(), z.recentReports(now)) // a preview must not change the leader's estimate
	preview := Preview{Zones: loads}
	preview.Flows, preview.BindingConstraints = solveFlows(preview.Zones, z.options.Limits, p.reaches)
	return preview, nil
}

// Status is one driver's status as shown to operators.
type Status struct {
	Self          string             `json:"self"`
	Zone          string             `json:"zone"`
	Leader        bool               `json:"leads"`
	InForce       bool               `json:"in_force"`
	Age           float64            `json:"age_ms"` // milliseconds since the plan was certainly the newest; -1: unknown
	Lease         float64            `json:"lease_ms"`
	Plan          *Plan              `json:"plan"`
	ZonePenalties map[string]float64 `json:"tolls,omitempty"`
	Observations  []Observation      `json:"sights"`
	Causes        map[string]Cause   `json:"causes,omitempty"` // by zone; set at the leader only
	Votes         string             `json:"votes,omitempty"`  // on the plan's successor, if any
	CrossZone     []CrossZoneTraffic `json:"crossings,omitempty"`
}

// Status returns the current status, without CrossZone, which the owner of the counts sets.
func (z *Coordinator) Status(now float64) Status {
	s := Status{
		Self:          z.self.Name,
		Zone:          z.self.Zone,
		Leader:        z.leading && z.plan != nil,
		InForce:       z.inForce(now),
		Age:           -1,
		Lease:         z.lease,
		Plan:          z.plan,
		ZonePenalties: z.appliedPenalties,
		Observations:  z.observations,
	}
	if age := z.age(now); !math.IsInf(age, 1) {
		s.Age = age
	}
	if z.acceptor.Promised.Number > 0 || z.proposal != nil {
		s.Votes = fmt.Sprintf("promised %v, taken %v, leads a round: %v",
			z.acceptor.Promised, z.acceptor.Accepted, z.proposal != nil)
	}
	if s.Leader {
		s.Causes = z.assessment.Causes
	}
	return s
}

// describe returns a plan as one line for the log.
func describe(plan *Plan) string {
	text := fmt.Sprintf("epoch %d, voters %s", plan.Epoch, strings.Join(plan.Voters, ","))
	for _, zone := range plan.Zones {
		if zone.State != Serving || zone.Cause != NoCause {
			text += fmt.Sprintf("; %s %s %s", zone.Name, zone.State, zone.Cause)
		}
	}
	for _, partition := range plan.Partitions {
		text += fmt.Sprintf("; %s does not reach %s", partition.From, partition.To)
	}
	for _, flow := range plan.Flows {
		text += fmt.Sprintf("; %s to %s %.0f%%", flow.From, flow.To, 100*flow.Share)
	}
	for _, move := range plan.Moves {
		text += fmt.Sprintf("; primary of %d to %s", move.Group, move.To)
	}
	return text
}
