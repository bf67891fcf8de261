package zones

// This file owns what operators are shown.

import (
	"fmt"
	"math"
	"slices"
	"strings"
)

// Preview is what would be planned.
type Preview struct {
	Zones              []ZoneLoad `json:"places"`
	Flows              []Flow     `json:"flows"`
	BindingConstraints []string   `json:"binds"`
}

// Simulate tells what would be planned were a zone away, by the reports that who leads has; empty: as it is.
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
	v := Preview{Zones: z.zoneLoads(&p, z.zoneNames(), z.recentReports(now))}
	v.Flows, v.BindingConstraints = solveFlows(v.Zones, z.options.Limits, func(from, to string) bool { return !p.partitioned(from, to) })
	return v, nil
}

// Status is what operators are shown.
type Status struct {
	Self         string             `json:"self"`
	Zone         string             `json:"zone"`
	Leader       bool               `json:"leads"`
	InForce      bool               `json:"in_force"`
	Age          float64            `json:"age_ms"` // since the plan was certainly the newest; -1: not known
	Lease        float64            `json:"lease_ms"`
	Plan         *Plan              `json:"plan"`
	Tolls        map[string]float64 `json:"tolls,omitempty"`
	Observations []Observation      `json:"sights"`
	Causes       map[string]Cause   `json:"causes,omitempty"` // as the leader judges
	Votes        string             `json:"votes,omitempty"`  // promised and taken, where a next plan is voted on
	CrossZone    []CrossZoneTraffic `json:"crossings,omitempty"`
}

// Status gives the view as it is now.
func (z *Coordinator) Status(now float64) Status {
	s := Status{Self: z.self.Name, Zone: z.self.Zone, Leader: z.leading && z.plan != nil, InForce: z.inForce(now),
		Age: -1, Lease: z.lease, Plan: z.plan,
		Tolls: z.appliedTolls, Observations: z.observations}
	if a := z.age(now); !math.IsInf(a, 1) {
		s.Age = a
	}
	if z.acceptor.Promised.Number > 0 || z.proposal != nil {
		s.Votes = fmt.Sprintf("promised %v, taken %v, leads a round: %v", z.acceptor.Promised, z.acceptor.Accepted, z.proposal != nil)
	}
	if s.Leader {
		s.Causes = z.assessment.Causes
	}
	return s
}

func describe(p *Plan) string {
	text := fmt.Sprintf("epoch %d, voters %s", p.Epoch, strings.Join(p.Voters, ","))
	for _, z := range p.Zones {
		if z.State != Serving || z.Cause != NoCause {
			text += fmt.Sprintf("; %s %s %s", z.Name, z.State, z.Cause)
		}
	}
	for _, c := range p.Partitions {
		text += fmt.Sprintf("; %s does not reach %s", c.From, c.To)
	}
	for _, f := range p.Flows {
		text += fmt.Sprintf("; %s to %s %.0f%%", f.From, f.To, 100*f.Share)
	}
	for _, m := range p.Moves {
		text += fmt.Sprintf("; primary of %d to %s", m.Group, m.To)
	}
	return text
}
