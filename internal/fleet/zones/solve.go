package zones

// This file owns the shares: which zone serves how much of another's reads. It must never send reads to a zone that
// they can't reach or that is away, or fill one beyond what it can do while another has room.

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// ZoneLoad is a zone as the solver sees it. Demand and Room are in the same unit, reads a second.
type ZoneLoad struct {
	Name     string  `json:"zone"`
	Region   string  `json:"region"`
	Demand   float64 `json:"reads"` // its own, a second
	Capacity float64 `json:"room"`  // what its members can do, warm, at the moment
}

// Limits are the operators'.
type Limits struct {
	Headroom        float64 // share of a zone's room kept free for one more loss; using it costs more than crossing
	CrossZoneBudget float64 // share of all reads that may cross between zones; 1: any
}

// Costs of a unit of reads.
const (
	costCross  = 1.0
	costRegion = 2.0 // crossing into another region
	costHeadroom  = 3.0 // into the headroom
	costBudget = 20.0
	costUnserved  = 100.0
	minShare = 0.01
)

// pair is a flow that may be: reads of the zone from, served by the zone to. Both are indices of places.
type candidate struct{ from, to int }

// program is the linear program of the flows. Reads are in parts of all reads. Its columns are the flows of the pairs;
// the unmet reads of each zone; the easy load of each zone (below its headroom) and the tight one (within it), and the
// slack of each; the slack of the budget, and what is over it. Its rows are each zone's demand, its load, the limits of
// its easy and of its tight load, and last the budget.
type program struct {
	zones []ZoneLoad
	limits Limits
	total  float64 // of all reads, a second
	candidates  []candidate

	unserved, normal, headroom, slackNormal, slackHeadroom, slackBudget, overBudget int // where the columns of a kind begin

	rows, columns int
	cost, a, b    []float64 // cost by column, coefficients by row and column, bounds by row
}

func newProgram(places []ZoneLoad, l Limits, total float64, reaches func(from, to string) bool) *program {
	p := &program{zones: places, limits: l, total: total}
	for f := range places {
		for z := range places {
			if places[z].Capacity > 0 && reaches(places[f].Name, places[z].Name) {
				p.candidates = append(p.candidates, candidate{f, z})
			}
		}
	}
	n, x := len(places), len(p.candidates)
	p.unserved, p.normal, p.headroom = x, x+n, x+2*n
	p.slackNormal, p.slackHeadroom, p.slackBudget, p.overBudget = x+3*n, x+4*n, x+5*n, x+5*n+1
	p.columns, p.rows = x+5*n+2, 4*n+1
	p.cost = make([]float64, p.columns)
	p.a, p.b = make([]float64, p.rows*p.columns), make([]float64, p.rows)
	p.fillFlows()
	p.fillZones()
	p.set(4*n, p.slackBudget, 1)
	p.set(4*n, p.overBudget, -1)
	p.cost[p.overBudget] = costBudget
	p.b[4*n] = l.CrossZoneBudget
	return p
}

func (p *program) set(row, column int, v float64) { p.a[row*p.columns+column] = v }

// fillFlows sets what flows cost, and that they serve demand, load zones and use the budget.
func (p *program) fillFlows() {
	n := len(p.zones)
	for i, flow := range p.candidates {
		if flow.from != flow.to {
			p.cost[i] = costCross
			if p.zones[flow.from].Region != p.zones[flow.to].Region {
				p.cost[i] = costRegion
			}
			p.set(4*n, i, 1)
		}
		p.set(flow.from, i, 1)
		p.set(n+flow.to, i, 1)
	}
}

// fillZones sets each zone's demand and the limits of its load.
func (p *program) fillZones() {
	n := len(p.zones)
	for i, z := range p.zones {
		room := z.Capacity / p.total
		p.b[i], p.cost[p.unserved+i] = z.Demand/p.total, costUnserved
		p.set(i, p.unserved+i, 1)
		p.cost[p.headroom+i] = costHeadroom
		p.set(n+i, p.normal+i, -1)
		p.set(n+i, p.headroom+i, -1)
		p.set(2*n+i, p.normal+i, 1)
		p.set(2*n+i, p.slackNormal+i, 1)
		p.b[2*n+i] = room * (1 - p.limits.Headroom)
		p.set(3*n+i, p.headroom+i, 1)
		p.set(3*n+i, p.slackHeadroom+i, 1)
		p.b[3*n+i] = room * p.limits.Headroom
	}
}

// flows are those of a solution that are worth an entry, in parts of their zone's reads.
func (p *program) flows(solved []float64) (flows []Flow) {
	for i, flow := range p.candidates {
		d := p.zones[flow.from].Demand / p.total
		if flow.from == flow.to || d <= 0 || solved[i]/d < minShare {
			continue
		}
		part := math.Round(min(solved[i]/d, 1)*100) / 100
		flows = append(flows, Flow{p.zones[flow.from].Name, p.zones[flow.to].Name, part})
	}
	return flows
}

// binds says which limits a solution meets, for operators.
func (p *program) bindingConstraints(solved []float64) (bindingConstraints []string) {
	for i, z := range p.zones {
		if unmet := solved[p.unserved+i]; unmet > 1e-6 {
			bindingConstraints = append(bindingConstraints, fmt.Sprintf("room: %.0f%% of the reads of %s find none", 100*unmet/p.b[i], z.Name))
		}
		if solved[p.headroom+i] > 1e-6 {
			bindingConstraints = append(bindingConstraints, fmt.Sprintf("headroom of %s is used", z.Name))
		}
	}
	if over := solved[p.overBudget]; over > 1e-6 {
		bindingConstraints = append(bindingConstraints, fmt.Sprintf("budget: %.0f%% of all reads cross, beyond the budget",
			100*(over+p.limits.CrossZoneBudget)))
	}
	return bindingConstraints
}

// shares solves for the flows that cost least, by linear programming: crossing costs, using headroom costs more,
// breaking the budget more than that, and leaving reads unserved most. reaches says what may flow at all.
func solveFlows(places []ZoneLoad, l Limits, reaches func(from, to string) bool) (flows []Flow, binds []string) {
	total := 0.0
	for _, p := range places {
		total += p.Demand
	}
	if total <= 0 {
		return nil, nil
	}
	p := newProgram(places, l, total, reaches)
	solved, ok := simplex(p.cost, p.a, p.rows, p.columns, p.b)
	if !ok {
		return nil, []string{"no solution was found: each zone keeps its own reads"}
	}
	return p.flows(solved), p.bindingConstraints(solved)
}

// simplex minimises cost under a·x = b, x >= 0. The library panics where a basis is singular; that is no solution.
func simplex(cost, a []float64, rows, columns int, b []float64) (x []float64, ok bool) {
	defer func() {
		if recover() != nil {
			x, ok = nil, false
		}
	}()
	_, x, err := lp.Simplex(cost, mat.NewDense(rows, columns, a), b, 1e-9, nil)
	return x, err == nil
}
