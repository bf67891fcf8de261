package zones

// This file owns the shares: which zone serves how much of another's reads. It must never send reads to a zone that
// they can't reach or that is away, or fill one beyond what it can do while another has room.

import (
	"fmt"
	"math"

	"gonum.org/v1/gonum/mat"
	"gonum.org/v1/gonum/optimize/convex/lp"
)

// Place is a zone as the solver sees it. Demand and Room are in the same unit, reads a second.
type Place struct {
	Name   string  `json:"zone"`
	Region string  `json:"region"`
	Demand float64 `json:"reads"` // its own, a second
	Room   float64 `json:"room"`  // what its members can do, warm, at the moment
}

// Limits are the operators'.
type Limits struct {
	Headroom float64 // share of a zone's room kept free for one more loss; using it costs more than crossing
	Budget   float64 // share of all reads that may cross between zones; 1: any
}

// Costs of a unit of reads.
const (
	costCross  = 1.0
	costRegion = 2.0 // crossing into another region
	costTight  = 3.0 // into the headroom
	costBudget = 20.0
	costUnmet  = 100.0
	leastShare = 0.01
)

// shares solves for the flows that cost least, by linear programming: crossing costs, using headroom costs more,
// breaking the budget more than that, and leaving reads unserved most. reaches says what may flow at all.
func shares(places []Place, l Limits, reaches func(from, to string) bool) (flows []Flow, binds []string) {
	total := 0.0
	for _, p := range places {
		total += p.Demand
	}
	if total <= 0 {
		return nil, nil
	}
	type pair struct{ f, z int }
	var pairs []pair
	for f := range places {
		for z := range places {
			if places[z].Room > 0 && reaches(places[f].Name, places[z].Name) {
				pairs = append(pairs, pair{f, z})
			}
		}
	}
	n, x := len(places), len(pairs)
	// columns: pairs; unmet by zone; easy and tight load by zone, their slacks; slack of the budget, and what is over it
	unmet, easy, tight := x, x+n, x+2*n
	slackEasy, slackTight, slackBudget, over := x+3*n, x+4*n, x+5*n, x+5*n+1
	columns, rows := x+5*n+2, 4*n+1
	cost := make([]float64, columns)
	a, b := make([]float64, rows*columns), make([]float64, rows)
	at := func(r, c int, v float64) { a[r*columns+c] = v }
	for i, p := range pairs {
		if p.f != p.z {
			cost[i] = costCross
			if places[p.f].Region != places[p.z].Region {
				cost[i] = costRegion
			}
			at(4*n, i, 1)
		}
		at(p.f, i, 1)
		at(n+p.z, i, 1)
	}
	for i, p := range places {
		room := p.Room / total
		b[i], cost[unmet+i] = p.Demand/total, costUnmet
		at(i, unmet+i, 1)
		cost[tight+i] = costTight
		at(n+i, easy+i, -1)
		at(n+i, tight+i, -1)
		at(2*n+i, easy+i, 1)
		at(2*n+i, slackEasy+i, 1)
		b[2*n+i] = room * (1 - l.Headroom)
		at(3*n+i, tight+i, 1)
		at(3*n+i, slackTight+i, 1)
		b[3*n+i] = room * l.Headroom
	}
	at(4*n, slackBudget, 1)
	at(4*n, over, -1)
	cost[over] = costBudget
	b[4*n] = l.Budget
	solved, ok := simplex(cost, a, rows, columns, b)
	if !ok {
		return nil, []string{"no solution was found: each zone keeps its own reads"}
	}
	for i, p := range pairs {
		if d := places[p.f].Demand / total; p.f != p.z && d > 0 && solved[i]/d >= leastShare {
			flows = append(flows, Flow{places[p.f].Name, places[p.z].Name, math.Round(min(solved[i]/d, 1)*100) / 100})
		}
	}
	for i, p := range places {
		if solved[unmet+i] > 1e-6 {
			binds = append(binds, fmt.Sprintf("room: %.0f%% of the reads of %s find none", 100*solved[unmet+i]/b[i], p.Name))
		}
		if solved[tight+i] > 1e-6 {
			binds = append(binds, fmt.Sprintf("headroom of %s is used", p.Name))
		}
	}
	if solved[over] > 1e-6 {
		binds = append(binds, fmt.Sprintf("budget: %.0f%% of all reads cross, beyond the budget",
			100*(solved[over]+l.Budget)))
	}
	return flows, binds
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
