package shardplan

// This file defines a plan and the steps that make it.

import "fmt"

// Move moves a replica from one node to another.
type Move struct {
	Shard   string `json:"shard"`
	From    string `json:"from"`
	To      string `json:"to"`
	Bytes   int64  `json:"bytes"`
	Staging bool   `json:"via,omitempty"`  // only frees space: a later move takes the replica from To to its target
	Restore bool   `json:"copy,omitempty"` // replaces a replica of a lost node: copies another one without removing it
}

// Plan is a list of moves in rounds. The moves of one round may run concurrently.
type Plan struct {
	Rounds     [][]Move `json:"rounds"`
	Bytes      int64    `json:"bytes"`         // sum of the bytes of all moves
	LowerBound int64    `json:"bound"`         // bytes that any plan has to move at least
	Unplaced   []string `json:"why,omitempty"` // replicas that can't be moved, and why
	OutOfBand  []string `json:"off,omitempty"` // nodes outside of their band, for which no shard has a fitting size
}

// MakePlan returns a plan for a valid cluster.
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

// LowerBound returns the bytes that any plan for the cluster has to move at least.
func (c *Cluster) LowerBound() int64 { return newPlacement(c).lowerBound() }
