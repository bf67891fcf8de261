package shardplan

// This file owns what a plan is made from: nodes, shards and rules, and their validation.

import (
	"fmt"
	"slices"
)

// NodeState is what an operator says of a node. Its values are stored and reported.
type NodeState string

// The states of a node.
const (
	NodeActive   NodeState = "in"
	NodeDraining NodeState = "leaving" // it still serves what it has, and is to end up with nothing
	NodeLost     NodeState = "gone"    // its replicas can't be read
)

// Valid says whether a state is one of them.
func (s NodeState) Valid() bool { return s == NodeActive || s == NodeDraining || s == NodeLost }

// Node stores replicas of shards.
type Node struct {
	ID       string    `json:"id"`
	Zone     string    `json:"zone"`
	Capacity int64     `json:"limit"`   // bytes of its disk
	External int64     `json:"foreign"` // bytes of it that others than shards use
	State    NodeState `json:"state"`
}

// Shard is moved as a whole.
type Shard struct {
	ID          string   `json:"id"`
	Size        int64    `json:"size"`   // bytes
	Growth      int64    `json:"growth"` // bytes that it may grow by while it moves
	RequestRate float64  `json:"heat"`   // requests a second
	Replicas    []string `json:"on"`     // ids of the nodes that store one, without repeats
}

// Rules are what a plan has to keep.
type Rules struct {
	BalanceBand     float64 `json:"band"`    // by which share of the mean a node's use may differ from it
	ReservedShare   float64 `json:"reserve"` // of a disk, which is never planned for; below 1
	SpreadZones     bool    `json:"apart"`   // no two replicas of a shard in one zone, where there are zones enough
	MaxMovesPerNode int     `json:"round"`   // that a node takes part in at a time; 0: defaultMovesPerNode
}

// Cluster is what there is.
type Cluster struct {
	Nodes  []Node  `json:"nodes"`
	Shards []Shard `json:"shards"`
	Rules  Rules   `json:"rules"`
}

// Validate gives what is wrong with a cluster, nil for nothing. MakePlan needs a valid one.
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

// validateNodes gives the nodes' ids.
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
