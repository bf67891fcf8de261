package shardplan

// This file owns the placement that planning works on: which node stores what, and what each may store.

import (
	"cmp"
	"slices"
)

// nodeLoad is a node with the replicas that are placed on it.
type nodeLoad struct {
	Node
	capacity int64        // bytes for shards; 0 unless active
	used     int64        // bytes: the sum of the sizes of shards
	maxUsed  int64        // upper end of its band, at most capacity; 0 unless active
	minUsed  int64        // lower end
	shards   map[int]bool // by their index in the cluster
}

// slack is the free share of a node's band.
func (n *nodeLoad) slack() float64 {
	return float64(n.maxUsed-n.used) / float64(max(n.maxUsed, 1))
}

// utilization is the used share of a node's capacity.
func (n *nodeLoad) utilization() float64 { return float64(n.used) / float64(max(n.capacity, 1)) }

// byUtilization orders the fullest first.
func byUtilization(a, b *nodeLoad) int {
	return cmp.Or(cmp.Compare(b.utilization(), a.utilization()), cmp.Compare(a.ID, b.ID))
}

// placement is a cluster with all replicas placed.
type placement struct {
	cluster   *Cluster
	nodes     []*nodeLoad // in the cluster's order
	byID      map[string]*nodeLoad
	zoneCount int // zones of active nodes
}

// newPlacement places the replicas where the cluster has them.
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

// setBands gives each active node its fair share of all bytes, by capacity, and the band round it.
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

// replicas gives the nodes that store each shard, by its index.
func (p *placement) replicas() [][]*nodeLoad {
	replicas := make([][]*nodeLoad, len(p.cluster.Shards))
	for i, shard := range p.cluster.Shards {
		for _, node := range shard.Replicas {
			replicas[i] = append(replicas[i], p.byID[node])
		}
	}
	return replicas
}

// active gives the nodes that take replicas.
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

// spread says whether a replica may be on a node beside those on others, leaving out the one that it replaces.
func (p *placement) zonesDiffer(node *nodeLoad, replicas []*nodeLoad, replaced *nodeLoad) bool {
	if !p.cluster.Rules.SpreadZones || p.zoneCount < len(replicas) {
		return true
	}
	return !slices.ContainsFunc(replicas, func(other *nodeLoad) bool {
		return other != replaced && other != node && other.Zone == node.Zone
	})
}

// lowerBound is what any plan has to move: what leaves nodes that aren't active or are above their band, or what comes
// to those below it.
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
