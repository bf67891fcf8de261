package shardplan

// This file owns where replicas go: those that have left a node, and those that fill nodes below their band.

import (
	"fmt"
	"slices"
)

// fit is how well a replica fits a node.
type fit int

const (
	fitCapacity fit = iota + 1 // within the node's capacity
	fitBand                    // within its band
)

// assign finds a node for each departure and gives the moves. What finds none stays where it was.
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
		if d.from.State == NodeLost { // whom it is read from is known once its turn comes
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

// bestTarget gives the node that a departure fits best: within its band before within its capacity, then the one with
// the most slack. A departure that isn't forced may return to its node. nil: there is none.
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

// replaced gives the nodes of a shard with one in place of another.
func replaced(replicas []*nodeLoad, from, to *nodeLoad) []*nodeLoad {
	updated := slices.Clone(replicas)
	updated[slices.Index(updated, from)] = to
	return updated
}

// readable says whether any replica of a shard is on a node that isn't lost.
func (p *placement) readable(shard *Shard) bool {
	return slices.ContainsFunc(shard.Replicas, func(node string) bool { return p.byID[node].State != NodeLost })
}

// maxDonors is how many of the fullest nodes are asked for a replica.
const maxDonors = 8

// fill moves to nodes below their band what others can spare within theirs. A shard moves once in a plan.
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

// bestDonation gives the replica that brings a node closest to its band, of those that full nodes can spare; of those
// that bring it equally close the first of the cluster. A nil donor: there is none.
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

// betterDonation says whether a shard is to be moved in place of the best one so far.
func (p *placement) betterDonation(index, best int, need int64) bool {
	size, bestSize := p.cluster.Shards[index].Size, p.cluster.Shards[best].Size
	if closerToNeed(size, bestSize, need) {
		return true
	}
	return !closerToNeed(bestSize, size, need) && index < best
}

// canDonate says whether both nodes stay within their bands, and the shard's replicas in zones of their own.
func (p *placement) canDonate(donor, node *nodeLoad, index int, replicas []*nodeLoad) bool {
	size := p.cluster.Shards[index].Size
	return size != 0 && donor.used-size >= donor.minUsed && node.used+size <= node.maxUsed &&
		!node.shards[index] && p.zonesDiffer(node, replicas, donor)
}

// closer says whether moving a bytes leaves less to be moved than b, or overshoots less. Missing bytes weigh half.
func closerToNeed(a, b, need int64) bool {
	cost := func(size int64) int64 {
		if size >= need {
			return size - need
		}
		return (need - size) / 2
	}
	return cost(a) < cost(b)
}
