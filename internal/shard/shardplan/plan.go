package shardplan

// This file owns the plan: what it says, and the steps that make it.

import "fmt"

// Move takes a replica from one node to another.
type Move struct {
	Shard   string `json:"shard"`
	From    string `json:"from"`
	To      string `json:"to"`
	Bytes   int64  `json:"bytes"`
	Staging bool   `json:"via,omitempty"`  // it only makes space: a later move takes the replica on from To
	Restore bool   `json:"copy,omitempty"` // it replaces a replica of a lost node: another one is read, and none removed
}

// Plan is moves in rounds: those of one round may go on together.
type Plan struct {
	Rounds     [][]Move `json:"rounds"`
	Bytes      int64    `json:"bytes"`         // of all moves
	LowerBound int64    `json:"bound"`         // bytes; no plan moves less
	Unplaced   []string `json:"why,omitempty"` // what could not be done, and which node and bytes bind
	OutOfBand  []string `json:"off,omitempty"` // nodes that stay out of their band, as no shard's size would help
}

// MakePlan plans for a valid cluster.
func (c *Cluster) MakePlan() *Plan {
	p := newPlacement(c)
	plan := &Plan{LowerBound: p.lowerBound()}
	replicas := p.replicas()
	moves := p.assign(p.departures(replicas), replicas, plan)
	moves = append(moves, p.fillBelowBand(replicas, moves)...)
	for _, node := range p.nodes {
		if node.State == NodeActive && (node.used > node.maxUsed || node.used < node.minUsed) {
			plan.OutOfBand = append(plan.OutOfBand, fmt.Sprintf("%s is to hold %d bytes, its band is %d to %d",
				node.ID, node.used, node.minUsed, node.maxUsed))
		}
	}
	c.scheduleRounds(moves, plan)
	return plan
}

// LowerBound is what any plan of the cluster has to move at least, in bytes.
func (c *Cluster) LowerBound() int64 { return newPlacement(c).lowerBound() }
