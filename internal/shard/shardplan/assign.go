package shardplan

// This file chooses the targets of replicas: of those that leave a node, and of those that fill nodes below their band.

import (
	"fmt"
	"slices"
)

// fit says how well a replica fits a node.
type fit int

const (
	fitCapacity fit = iota + 1 // within the node's capacity
	fitBand                    // within its band
)

// assign finds a target for each departure and returns the moves. A replica without a target stays where it was.
func (p *placement) assign(departures []departure, replicas [][]*nodeLoad, plan *Plan) (moves []Move) {
	active := p.active()
	for _, d := range departures {
		shard := &p.cluster.Shards[d.shard]
		target, targetFit := p.bestTarget(d, active, replicas[d.shard])
		if target == nil || !d.forced && targetFit < fitBand {
			p.place(d.from, d.shard)
			if d.forced {
				plan.Unplaced = append(plan.Unplaced, fmt.Sprintf(
					"shard %s (%d bytes) finds no room beside its copies; it stays on %s", shard.ID, shard.Size, d.from.ID))
			}
			continue
		}
		p.place(target, d.shard)
		if target == d.from {
			continue
		}
		replicas[d.shard] = replaced(replicas[d.shard], d.from, target)
		move := Move{Shard: shard.ID, From: d.from.ID, To: target.ID, Bytes: shard.Size}
		if d.from.State == NodeLost { // the replica to read is chosen when the move is scheduled
			move.Restore, move.From = true, ""
			if !p.readable(shard) {
				plan.Unplaced = append(plan.Unplaced, fmt.Sprintf("shard %s was on nodes alone that are gone", shard.ID))
				continue
			}
		}
		moves = append(moves, move)
	}
	return moves
}

// bestTarget returns the node that a departure fits best, or nil if it fits none: nodes that stay within their band
// come before those that only stay within their capacity, then the node with the most slack wins. A departure that
// isn't forced may return to its own node.
func (p *placement) bestTarget(d departure, active, replicas []*nodeLoad) (best *nodeLoad, bestFit fit) {
	size := p.cluster.Shards[d.shard].Size
	for _, node := range active {
		if node.shards[d.shard] || node == d.from && d.forced || slices.Contains(replicas, node) && node != d.from {
			continue
		}
		if node.used+size > node.capacity || !p.zonesDiffer(node, replicas, d.from) {
			continue
		}
		nodeFit := fitCapacity
		if node.used+size <= node.maxUsed {
			nodeFit = fitBand
		}
		if best == nil || nodeFit > bestFit || nodeFit == bestFit && node.slack() > best.slack() {
			best, bestFit = node, nodeFit
		}
	}
	return best, bestFit
}

// replaced returns a copy of a shard's nodes with one node replaced by another.
func replaced(replicas []*nodeLoad, from, to *nodeLoad) []*nodeLoad {
	updated := slices.Clone(replicas)
	updated[slices.Index(updated, from)] = to
	return updated
}

// readable reports whether any replica of a shard is on a node that isn't lost.
func (p *placement) readable(shard *Shard) bool {
	return slices.ContainsFunc(shard.Replicas, func(node string) bool { return p.byID[node].State != NodeLost })
}

// maxDonors limits how many of the fullest nodes are searched for a replica to move.
const maxDonors = 8

// fillBelowBand moves replicas to nodes below their band from nodes that stay within theirs. A shard moves at most once
// in a plan.
func (p *placement) fillBelowBand(replicas [][]*nodeLoad, earlier []Move) (moves []Move) {
	moved := map[string]bool{}
	for _, move := range earlier {
		moved[move.Shard] = true
	}
	active := p.active()
	for _, node := range active {
		for attempt := 0; node.used < node.minUsed && attempt < 4*len(active); attempt++ {
			index, donor := p.bestDonation(node, active, replicas, moved)
			if donor == nil {
				break
			}
			p.remove(donor, index)
			p.place(node, index)
			shard := &p.cluster.Shards[index]
			moved[shard.ID] = true
			replicas[index] = replaced(replicas[index], donor, node)
			moves = append(moves, Move{Shard: shard.ID, From: donor.ID, To: node.ID, Bytes: shard.Size})
		}
	}
	return moves
}

// bestDonation returns the replica of the fullest nodes that brings a node closest to its band, and the node to take it
// from, nil if there is none. Ties go to the shard that comes first in the cluster.
func (p *placement) bestDonation(node *nodeLoad, active []*nodeLoad, replicas [][]*nodeLoad, moved map[string]bool) (
	best int, from *nodeLoad) {
	need := node.minUsed - node.used
	best = -1
	donors := slices.SortedFunc(slices.Values(active), byUtilization)
	for _, donor := range donors[:min(len(donors), maxDonors)] {
		if donor == node || donor.used <= donor.minUsed {
			continue
		}
		for i := range donor.shards {
			shard := &p.cluster.Shards[i]
			if moved[shard.ID] || !p.canDonate(donor, node, i, replicas[i]) {
				continue
			}
			if best < 0 || p.betterDonation(i, best, need) {
				best, from = i, donor
			}
		}
	}
	return best, from
}

// betterDonation reports whether a shard is preferred over the best one so far.
func (p *placement) betterDonation(index, best int, need int64) bool {
	size, bestSize := p.cluster.Shards[index].Size, p.cluster.Shards[best].Size
	if closerToNeed(size, bestSize, need) {
		return true
	}
	return !closerToNeed(bestSize, size, need) && index < best
}

// canDonate reports whether both nodes stay within their bands and the shard's replicas stay in different zones.
func (p *placement) canDonate(donor, node *nodeLoad, index int, replicas []*nodeLoad) bool {
	size := p.cluster.Shards[index].Size
	return size != 0 && donor.used-size >= donor.minUsed && node.used+size <= node.maxUsed &&
		!node.shards[index] && p.zonesDiffer(node, replicas, donor)
}

// closerToNeed reports whether a bytes are closer to need than b bytes. Missing bytes count half as much as excess
// bytes.
func closerToNeed(a, b, need int64) bool {
	cost := func(size int64) int64 {
		if size >= need {
			return size - need
		}
		return (need - size) / 2
	}
	return cost(a) < cost(b)
}
