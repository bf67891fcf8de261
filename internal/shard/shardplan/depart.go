package shardplan

// This file selects the replicas that leave their nodes.

import (
	"cmp"
	"maps"
	"slices"
)

// departure is a replica that is removed from its node and needs another one.
type departure struct {
	shard  int
	from   *nodeLoad
	forced bool // its node isn't active, exceeds its capacity, or shares a zone with another replica of the shard
}

// departures removes replicas from their nodes and returns them, the largest first.
func (p *placement) departures(replicas [][]*nodeLoad) []departure {
	var all []departure
	all = append(all, p.drainInactive()...)
	if p.cluster.Rules.SpreadZones {
		all = append(all, p.separateZones(replicas)...)
	}
	all = append(all, p.removeExcess()...)
	slices.SortStableFunc(all, func(a, b departure) int {
		return cmp.Compare(p.cluster.Shards[b.shard].Size, p.cluster.Shards[a.shard].Size)
	})
	return all
}

// drainInactive removes all replicas from nodes that aren't active.
func (p *placement) drainInactive() (all []departure) {
	for _, node := range p.nodes {
		if node.State == NodeActive {
			continue
		}
		for _, shard := range slices.Sorted(maps.Keys(node.shards)) {
			all = append(all, departure{shard, node, true})
			p.remove(node, shard)
		}
	}
	return all
}

// separateZones removes replicas that share a zone with another replica of their shard, beginning with the fullest node
// of each shard.
func (p *placement) separateZones(replicas [][]*nodeLoad) (all []departure) {
	for shard, nodes := range replicas {
		if p.zoneCount < len(nodes) {
			continue
		}
		for _, node := range slices.SortedFunc(slices.Values(nodes), byUtilization) {
			sharesZone := func(other *nodeLoad) bool {
				return other != node && other.shards[shard] && other.Zone == node.Zone
			}
			if node.State == NodeActive && node.shards[shard] && slices.ContainsFunc(nodes, sharesZone) {
				all = append(all, departure{shard, node, true})
				p.remove(node, shard)
			}
		}
	}
	return all
}

// removeExcess removes replicas from nodes above their band.
func (p *placement) removeExcess() (all []departure) {
	for _, node := range p.nodes {
		if node.State != NodeActive || node.used <= node.maxUsed {
			continue
		}
		for _, shard := range p.excessReplicas(node, node.used-node.maxUsed) {
			all = append(all, departure{shard, node, node.used > node.capacity})
			p.remove(node, shard)
		}
	}
	return all
}

// excessReplicas picks replicas of a node whose sizes add up to the excess or slightly more: the largest that fit into
// it, then the smallest that covers the rest, without those that the last one makes redundant. A single replica is
// picked instead of all of these if it exceeds the excess by no more. Of replicas of equal size the one with the
// highest request rate is picked, since full nodes tend to be busy.
func (p *placement) excessReplicas(node *nodeLoad, excess int64) []int {
	shards := p.cluster.Shards
	candidates := slices.SortedFunc(maps.Keys(node.shards), func(a, b int) int {
		return cmp.Or(cmp.Compare(shards[b].Size, shards[a].Size),
			cmp.Compare(shards[b].RequestRate, shards[a].RequestRate), cmp.Compare(a, b))
	})
	picked, uncovered := p.largestThatFit(candidates, excess)
	if uncovered > 0 {
		last := -1
		for _, shard := range candidates {
			if shards[shard].Size >= uncovered && !slices.Contains(picked, shard) {
				last = shard // ends as the smallest, since candidates are in descending order
			}
		}
		if last < 0 {
			return picked
		}
		picked = append(picked, last)
		uncovered -= shards[last].Size
	}
	picked, uncovered = p.dropRedundant(picked, uncovered)
	single := -1
	for _, shard := range candidates {
		if shards[shard].Size >= excess {
			single = shard // ends as the smallest that covers the excess alone
		}
	}
	if single >= 0 && shards[single].Size <= excess-uncovered {
		return []int{single}
	}
	return picked
}

// largestThatFit picks candidates, which are in descending order of size, as long as they fit into excess. uncovered is
// the part of excess that is left.
func (p *placement) largestThatFit(candidates []int, excess int64) (picked []int, uncovered int64) {
	uncovered = excess
	for _, shard := range candidates {
		if size := p.cluster.Shards[shard].Size; size > 0 && size <= uncovered {
			picked = append(picked, shard)
			uncovered -= size
		}
	}
	return picked, uncovered
}

// dropRedundant drops the replicas that the last picked one makes redundant, beginning with the smallest. uncovered is
// negative or 0: its magnitude is the number of bytes picked in excess.
func (p *placement) dropRedundant(picked []int, uncovered int64) ([]int, int64) {
	for i := len(picked) - 2; i >= 0; i-- {
		if size := p.cluster.Shards[picked[i]].Size; size <= -uncovered {
			uncovered += size
			picked = slices.Delete(picked, i, i+1)
		}
	}
	return picked, uncovered
}
