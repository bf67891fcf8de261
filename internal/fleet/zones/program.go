package zones

// This file implements the linear program that computes the flows between zones. It must never send reads to a zone
// that is unreachable or without capacity, or overload a zone while another has free capacity.

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ZoneLoad is a zone's input to the solver. Demand and Capacity are in reads per second.
type ZoneLoad struct {
	Name     string  `json:"zone"`
	Region   string  `json:"region"`
	Demand   float64 `json:"reads"` // reads of its own drivers
	Capacity float64 `json:"room"`  // what its reachable members can serve, times the plan's Zone.Capacity
}

// Limits are set by operators.
type Limits struct {
	Headroom        float64 // share of a zone's capacity reserved for one more loss; using it costs more than crossing
	CrossZoneBudget float64 // share of all reads that may cross between zones; 1: no limit
}

// Costs per unit of all reads.
const (
	costCross    = 1.0 // crossing within a region
	costRegion   = 2.0 // crossing into another region
	costHeadroom = 3.0 // served within the headroom
	costBudget   = 20.0
	costUnserved = 100.0
)

// minShare is the minimum share of a zone's reads for a flow.
const minShare = 0.01

// candidate is a possible flow: reads of the zone from, served by the zone to. Both are indices of zones.
type candidate struct{ from, to int }

// program is the linear program: minimize cost·x subject to coefficients·x = bounds, x >= 0. Amounts are fractions of
// all reads.
//
// The columns of x, in this order, with the fields that hold the first column of each kind:
//
//	flow of each candidate
//	unserved       reads of each zone that find no capacity
//	normal         load of each zone below its headroom
//	headroom       load of each zone within its headroom
//	slackNormal    unused part of normal and headroom of each zone
//	slackHeadroom
//	slackBudget    unused part of the cross-zone budget
//	overBudget     crossing reads beyond the budget
//
// The rows:
//
//	demand of each zone    sum of the flows from it + unserved = demand
//	load of each zone      sum of the flows to it - normal - headroom = 0
//	normal of each zone    normal + slackNormal = capacity·(1 - Limits.Headroom)
//	headroom of each zone  headroom + slackHeadroom = capacity·Limits.Headroom
//	budget                 sum of crossing flows + slackBudget - overBudget = Limits.CrossZoneBudget
type program struct {
	zones      []ZoneLoad
	limits     Limits
	total      float64 // all reads per second; above 0
	candidates []candidate

	unserved, normal, headroom, slackNormal, slackHeadroom, slackBudget, overBudget int

	rows, columns int
	cost          []float64 // by column
	coefficients  []float64 // by row, then by column
	bounds        []float64 // by row
}

func newProgram(zones []ZoneLoad, limits Limits, total float64, reaches func(from, to string) bool) *program {
	p := &program{zones: zones, limits: limits, total: total}
	for from := range zones {
		for to := range zones {
			if zones[to].Capacity > 0 && reaches(zones[from].Name, zones[to].Name) {
				p.candidates = append(p.candidates, candidate{from, to})
			}
		}
	}
	n, flows := len(zones), len(p.candidates)
	p.unserved = flows
	p.normal = flows + n
	p.headroom = flows + 2*n
	p.slackNormal = flows + 3*n
	p.slackHeadroom = flows + 4*n
	p.slackBudget = flows + 5*n
	p.overBudget = p.slackBudget + 1
	p.columns, p.rows = p.overBudget+1, 4*n+1
	p.cost = make([]float64, p.columns)
	p.coefficients, p.bounds = make([]float64, p.rows*p.columns), make([]float64, p.rows)
	p.fillFlows()
	p.fillZones()
	p.fillBudget()
	return p
}

func (p *program) demandRow(zone int) int   { return zone }
func (p *program) loadRow(zone int) int     { return len(p.zones) + zone }
func (p *program) normalRow(zone int) int   { return 2*len(p.zones) + zone }
func (p *program) headroomRow(zone int) int { return 3*len(p.zones) + zone }
func (p *program) budgetRow() int           { return 4 * len(p.zones) }

func (p *program) set(row, column int, value float64) { p.coefficients[row*p.columns+column] = value }

// fillFlows sets the cost of flows, and their coefficients in the rows of demand, load and budget.
func (p *program) fillFlows() {
	for column, flow := range p.candidates {
		if flow.from != flow.to {
			p.cost[column] = costCross
			if p.zones[flow.from].Region != p.zones[flow.to].Region {
				p.cost[column] = costRegion
			}
			p.set(p.budgetRow(), column, 1)
		}
		p.set(p.demandRow(flow.from), column, 1)
		p.set(p.loadRow(flow.to), column, 1)
	}
}

// fillZones sets each zone's demand and the limits of its load and headroom.
func (p *program) fillZones() {
	for i, zone := range p.zones {
		capacity := zone.Capacity / p.total
		p.cost[p.unserved+i] = costUnserved
		p.cost[p.headroom+i] = costHeadroom
		p.set(p.demandRow(i), p.unserved+i, 1)
		p.bounds[p.demandRow(i)] = zone.Demand / p.total
		p.set(p.loadRow(i), p.normal+i, -1)
		p.set(p.loadRow(i), p.headroom+i, -1)
		p.set(p.normalRow(i), p.normal+i, 1)
		p.set(p.normalRow(i), p.slackNormal+i, 1)
		p.bounds[p.normalRow(i)] = capacity * (1 - p.limits.Headroom)
		p.set(p.headroomRow(i), p.headroom+i, 1)
		p.set(p.headroomRow(i), p.slackHeadroom+i, 1)
		p.bounds[p.headroomRow(i)] = capacity * p.limits.Headroom
	}
}

func (p *program) fillBudget() {
	p.cost[p.overBudget] = costBudget
	p.set(p.budgetRow(), p.slackBudget, 1)
	p.set(p.budgetRow(), p.overBudget, -1)
	p.bounds[p.budgetRow()] = p.limits.CrossZoneBudget
}

// flows returns the flows of a solution of at least minShare, as shares of their zone's reads.
func (p *program) flows(solution []float64) (flows []Flow) {
	for column, flow := range p.candidates {
		from, to := p.zones[flow.from], p.zones[flow.to]
		demand := from.Demand / p.total
		if flow.from == flow.to || demand <= 0 || solution[column]/demand < minShare {
			continue
		}
		share := math.Round(min(solution[column]/demand, 1)*100) / 100
		flows = append(flows, Flow{from.Name, to.Name, share})
	}
	return flows
}

// bindingConstraints describes for operators which limits a solution reaches.
func (p *program) bindingConstraints(solution []float64) (binding []string) {
	const negligible = 1e-6
	for i, zone := range p.zones {
		if unserved := solution[p.unserved+i]; unserved > negligible {
			binding = append(binding, fmt.Sprintf("room: %.0f%% of the reads of %s find none",
				100*unserved/p.bounds[p.demandRow(i)], zone.Name))
		}
		if solution[p.headroom+i] > negligible {
			binding = append(binding, fmt.Sprintf("headroom of %s is used", zone.Name))
		}
	}
	if over := solution[p.overBudget]; over > negligible {
		binding = append(binding, fmt.Sprintf("budget: %.0f%% of all reads cross, beyond the budget",
			100*(over+p.limits.CrossZoneBudget)))
	}
	return binding
}

// solveFlows returns the flows with minimum cost, and the limits that prevent better ones. reaches reports whether the
// drivers of one zone reach the members of another.
func solveFlows(zones []ZoneLoad, limits Limits, reaches func(from, to string) bool) (flows []Flow, binding []string) {
	total := 0.0
	for i := range zones {
		total += zones[i].Demand
	}
	if total <= 0 {
		return nil, nil
	}
	p := newProgram(zones, limits, total, reaches)
	solution, ok := simplex(p.cost, p.coefficients, p.rows, p.columns, p.bounds)
	if !ok {
		return nil, []string{"no solution was found: each zone keeps its own reads"}
	}
	return p.flows(solution), p.bindingConstraints(solution)
}

// simplex minimizes cost·x subject to coefficients·x = bounds, x >= 0. The library panics on a singular basis, which is
// treated as no solution.
func simplex(cost, coefficients []float64, rows, columns int, bounds []float64) (solution []float64, ok bool) {
	defer func() {
		if recover() != nil {
			solution, ok = nil, false
		}
	}()
	_, solution, err := lp.Simplex(cost, mat.NewDense(rows, columns, coefficients), bounds, 1e-9, nil)
	return solution, err == nil
}
