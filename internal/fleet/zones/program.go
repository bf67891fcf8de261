package zones

// This file owns the linear program of the flows: which zone serves how much of another's reads. It must never send
// reads to a zone that they can't reach or that has no capacity, or fill one beyond it while another has some.

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ZoneLoad is a zone as the solver sees it. Demand and Capacity are in reads a second.
type ZoneLoad struct {
	Name     string  `json:"zone"`
	Region   string  `json:"region"`
	Demand   float64 `json:"reads"` // of its own drivers
	Capacity float64 `json:"room"`  // what its members can serve now, warm, in the part that the plan lets be used
}

// Limits are set by operators.
type Limits struct {
	Headroom        float64 // share of a zone's capacity kept free for one more loss; using it costs more than crossing
	CrossZoneBudget float64 // share of all reads that may cross between zones; 1: any
}

// Costs of all reads doing so; a part of them costs that part.
const (
	costCross    = 1.0
	costRegion   = 2.0 // crossing into another region
	costHeadroom = 3.0 // served within the headroom
	costBudget   = 20.0
	costUnserved = 100.0
)

// minShare is the least share of a zone's reads that is worth a flow.
const minShare = 0.01

// candidate is a flow that may be: reads of the zone from, served by the zone to. Both are indices of zones.
type candidate struct{ from, to int }

// program is the linear program: minimize cost·x under coefficients·x = bounds, x >= 0. Amounts are in parts of all
// reads.
//
// The columns of x, in this order, with the fields that say where the columns of a kind begin:
//
//	flow of each candidate
//	unserved       reads of each zone that find no capacity
//	normal         load of each zone below its headroom
//	headroom       load of each zone within its headroom
//	slackNormal    what is free of each of the two
//	slackHeadroom
//	slackBudget    what is free of the cross-zone budget
//	overBudget     what is used beyond it
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
	total      float64 // of all reads, a second; above 0
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

// fillFlows sets what flows cost, and that they serve demand, load zones and use the budget.
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

// fillZones sets each zone's demand and the limits of its load.
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

// flows are those of a solution that are worth an entry, in shares of their zone's reads.
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

// bindingConstraints says which limits a solution meets, for operators.
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

// solveFlows gives the flows that cost least. reaches says which zones' drivers reach which zones' members. binding are
// the limits that leave no better flows.
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

// simplex minimizes cost·x under coefficients·x = bounds, x >= 0. The library panics where a basis is singular; that is
// no solution.
func simplex(cost, coefficients []float64, rows, columns int, bounds []float64) (solution []float64, ok bool) {
	defer func() {
		if recover() != nil {
			solution, ok = nil, false
		}
	}()
	_, solution, err := lp.Simplex(cost, mat.NewDense(rows, columns, coefficients), bounds, 1e-9, nil)
	return solution, err == nil
}
