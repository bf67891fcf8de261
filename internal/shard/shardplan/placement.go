package shardplan

// This file implements the placement that planning works on: which replicas each node stores, and how many bytes it may
// store.

import (
	"cmp"
	"slices"
)

// nodeLoad is a node with the replicas that are placed on it.
type nodeLoad struct {
	Node
	capacity int64        // bytes for shards; 0 unless active
	used     int64        // bytes: the sum of the sizes of shards
	maxUsed  int64        // upper end of its band in bytes, at most capacity; 0 unless active
	minUsed  int64        // lower end of its band
	shards   map[int]bool // by index in Cluster.Shards
}

// slack returns the free share of the upper end of a node's band.
func (n *nodeLoad) slack() float64 {
	return float64(n.maxUsed-n.used) / float64(max(n.maxUsed, 1))
}

// utilization returns the used share of a node's capacity.
func (n *nodeLoad) utilization() float64 { return float64(n.used) / float64(max(n.capacity, 1)) }

// byUtilization orders nodes from the fullest to the emptiest.
func byUtilization(a, b *nodeLoad) int {
	return cmp.Or(cmp.Compare(b.utilization(), a.utilization()), cmp.Compare(a.ID, b.ID))
}

// placement is a cluster with all replicas placed.
type placement struct {
	cluster   *Cluster
	nodes     []*nodeLoad // in the cluster's order
	byID      map[string]*nodeLoad
	zoneCount int // number of zones that have active nodes
}

// newPlacement returns the cluster's current placement.
func newPlacement(c *Cluster) *placement {
	p := &placement{cluster: c, byID: map[string]*nodeLoad{}}
	zones := map[string]bool{}
	for _, n := range c.Nodes {
		node := &nodeLoad{Node: n, shards: map[int]bool{}}
		if n.State == NodeActive {
			node.capacity = max(0, n.Capacity-n.External-int64(float64(n.Capacity)*c.Rules.ReservedShare))
			zones[n.Zone] = true
		}
		p.nodes = append(p.nodes, node)
		p.byID[n.ID] = node
	}
	p.zoneCount = len(zones)
	for i, shard := range c.Shards {
		for _, node := range shard.Replicas {
			p.place(p.byID[node], i)
		}
	}
	p.setBands()
	return p
}

// setBands sets the band of each active node around its share of all bytes in proportion to its capacity.
func (p *placement) setBands() {
	total, capacity := 0.0, 0.0
	for _, shard := range p.cluster.Shards {
		total += float64(shard.Size) * float64(len(shard.Replicas))
	}
	for _, node := range p.nodes {
		capacity += float64(node.capacity)
	}
	for _, node := range p.nodes {
		if node.State != NodeActive || capacity == 0 {
			continue
		}
		mean := float64(node.capacity) * total / capacity
		node.maxUsed = min(node.capacity, int64(mean*(1+p.cluster.Rules.BalanceBand)))
		node.minUsed = int64(mean * (1 - p.cluster.Rules.BalanceBand))
	}
}

// replicas returns the nodes that store each shard, by the shard's index.
func (p *placement) replicas() [][]*nodeLoad {
	replicas := make([][]*nodeLoad, len(p.cluster.Shards))
	for i, shard := range p.cluster.Shards {
		for _, node := range shard.Replicas {
			replicas[i] = append(replicas[i], p.byID[node])
		}
	}
	return replicas
}

// active returns the nodes that accept replicas.
func (p *placement) active() []*nodeLoad {
	return slices.DeleteFunc(slices.Clone(p.nodes), func(n *nodeLoad) bool { return n.State != NodeActive })
}

func (p *placement) place(node *nodeLoad, shard int) {
	node.shards[shard] = true
	node.used += p.cluster.Shards[shard].Size
}

func (p *placement) remove(node *nodeLoad, shard int) {
	delete(node.shards, shard)
	node.used -= p.cluster.Shards[shard].Size
}

// zonesDiffer reports whether a replica may be placed on a node: no other replica of the shard, except the replaced
// one, may be in the node's zone. It always is if the rules don't require that or there are too few zones.
func (p *placement) zonesDiffer(node *nodeLoad, replicas []*nodeLoad, replaced *nodeLoad) bool {
	if !p.cluster.Rules.SpreadZones || p.zoneCount < len(replicas) {
		return true
	}
	return !slices.ContainsFunc(replicas, func(other *nodeLoad) bool {
		return other != replaced && other != node && other.Zone == node.Zone
	})
}

// lowerBound returns the bytes that any plan has to move at least: those that leave inactive nodes and nodes above
// their band, or those that nodes below their band lack, whichever is more.
func (p *placement) lowerBound() int64 {
	departing, above, below := int64(0), int64(0), int64(0)
	for _, node := range p.nodes {
		if node.State != NodeActive {
			departing += node.used
			continue
		}
		above += max(0, node.used-node.maxUsed)
		below += max(0, node.minUsed-node.used)
	}
	return max(departing+above, below)
}
