package shardplan

// This file owns which replicas leave their nodes.

import (
	"cmp"
	"maps"
	"slices"
)

// departure is a replica that is taken off its node and needs another.
type departure struct {
	shard  int
	from   *nodeLoad
	forced bool // its node isn't active, lacks the capacity, or has another replica of the shard in its zone
}

// departures takes replicas off their nodes and gives them with the largest first.
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

// drain takes everything off nodes that aren't active.
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

// separateZones takes off replicas that share a zone with another of their shard, those on the fullest nodes first.
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

// relieve takes off nodes above their band what they have too much.
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

// subset picks replicas of a node whose bytes come to the excess or a little more: the largest that fit into it, then
// the smallest that closes the gap, without those that this one makes needless; and instead of all of them a single one
// that comes closer. Of equal sizes the one with the most requests goes, as busy nodes are the full ones.
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
				last = shard // the smallest, as sizes fall
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
			single = shard // the smallest that does it alone
		}
	}
	if single >= 0 && shards[single].Size <= excess-uncovered {
		return []int{single}
	}
	return picked
}

// largestThatFit picks candidates, which fall in size, as far as they fit into excess, and gives what remains of it.
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

// withoutNeedless takes out, from the smallest on, what the last one picked makes needless. remaining is at most 0: by
// how many bytes too many are picked.
func (p *placement) dropRedundant(picked []int, uncovered int64) ([]int, int64) {
	for i := len(picked) - 2; i >= 0; i-- {
		if size := p.cluster.Shards[picked[i]].Size; size <= -uncovered {
			uncovered += size
			picked = slices.Delete(picked, i, i+1)
		}
	}
	return picked, uncovered
}
