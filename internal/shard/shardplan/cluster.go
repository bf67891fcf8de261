package shardplan

// This file defines the input of a plan, nodes, shards and rules, and validates it.

import (
	"fmt"
	"slices"
)

// NodeState is the state of a node. Its values are stored and reported.
type NodeState string

// The states of a node.
const (
	NodeActive   NodeState = "in"
	NodeDraining NodeState = "leaving" // it still serves its replicas, and all of them are to be moved away
	NodeLost     NodeState = "gone"    // its replicas can't be read
)

// Valid reports whether s is one of these states.
func (s NodeState) Valid() bool { return s == NodeActive || s == NodeDraining || s == NodeLost }

// Node stores replicas of shards.
type Node struct {
	ID       string    `json:"id"`
	Zone     string    `json:"zone"`
	Capacity int64     `json:"limit"`   // size of its disk in bytes
	External int64     `json:"foreign"` // bytes of the disk used by other data than shards
	State    NodeState `json:"state"`
}

// Shard is the unit of placement: its replicas are moved as a whole.
type Shard struct {
	ID          string   `json:"id"`
	Size        int64    `json:"size"`   // bytes
	Growth      int64    `json:"growth"` // bytes by which it may grow while it moves
	RequestRate float64  `json:"heat"`   // requests per second
	Replicas    []string `json:"on"`     // ids of the nodes that store a replica, without duplicates
}

// Rules are the constraints of a plan.
type Rules struct {
	BalanceBand     float64 `json:"band"`    // how far a node's use may differ from its mean, as a share of the mean
	ReservedShare   float64 `json:"reserve"` // share of each disk that plans leave free; below 1
	SpreadZones     bool    `json:"apart"`   // no two replicas of a shard in one zone, if there are enough zones
	MaxMovesPerNode int     `json:"round"`   // concurrent moves from or to a node; 0: defaultMovesPerNode
}

// Cluster is the input of a plan.
type Cluster struct {
	Nodes  []Node  `json:"nodes"`
	Shards []Shard `json:"shards"`
	Rules  Rules   `json:"rules"`
}

// Validate returns an error if the cluster is invalid. MakePlan and LowerBound require a valid cluster.
func (c *Cluster) Validate() error {
	nodes, err := validateNodes(c.Nodes)
	if err != nil {
		return err
	}
	if err := validateShards(c.Shards, nodes); err != nil {
		return err
	}
	if r := c.Rules; r.BalanceBand < 0 || r.ReservedShare < 0 || r.ReservedShare >= 1 || r.MaxMovesPerNode < 0 {
		return fmt.Errorf("rules: band from 0 on, reserve from 0 to below 1, round from 0 on")
	}
	return nil
}

// validateNodes returns the set of the nodes' ids, or an error.
func validateNodes(nodes []Node) (map[string]bool, error) {
	ids := map[string]bool{}
	for _, node := range nodes {
		if node.ID == "" || ids[node.ID] {
			return nil, fmt.Errorf("node %q: it needs a name of its own", node.ID)
		}
		if node.Capacity < 0 || node.External < 0 || !node.State.Valid() {
			return nil, fmt.Errorf("node %q: limit and foreign are bytes from 0 on, state is in, leaving or gone", node.ID)
		}
		ids[node.ID] = true
	}
	return ids, nil
}

func validateShards(shards []Shard, nodes map[string]bool) error {
	ids := map[string]bool{}
	for _, shard := range shards {
		if shard.ID == "" || ids[shard.ID] || shard.Size < 0 || shard.Growth < 0 || len(shard.Replicas) == 0 {
			return fmt.Errorf("shard %q: it needs a name of its own, sizes from 0 on and a node that holds it", shard.ID)
		}
		ids[shard.ID] = true
		for i, node := range shard.Replicas {
			if !nodes[node] || slices.Contains(shard.Replicas[:i], node) {
				return fmt.Errorf("shard %q is on %q, which is no node or named twice", shard.ID, node)
			}
		}
	}
	return nil
}
