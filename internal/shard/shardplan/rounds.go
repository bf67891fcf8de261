package shardplan

// This file groups moves into rounds in which no node exceeds its capacity, and adds staging moves if replicas wait for
// each other's space.

import (
	"fmt"
	"slices"
)

// defaultMovesPerNode applies if Rules.MaxMovesPerNode is 0.
const defaultMovesPerNode = 2

// scheduler groups moves into rounds. A replica counts on its target, with its growth, from the start of its round, and
// on its source until the end of the round.
type scheduler struct {
	placement       *placement
	plan            *Plan
	pending         []Move
	grownSize       map[string]int64    // size of each shard plus its growth, in bytes
	shardIndex      map[string]int      // index of each shard in the cluster
	used            map[string]int64    // used bytes of each node, including the moves of the current round
	readable        map[string][]string // nodes from which each shard can be read
	maxMovesPerNode int                 // concurrent moves from or to a node
	stagingMoves    int
	maxStagingMoves int // limit that guarantees termination
}

// scheduleRounds adds the moves to the plan in rounds. Moves for which it finds no order are listed in plan.Unplaced.
func (c *Cluster) scheduleRounds(moves []Move, plan *Plan) {
	s := newScheduler(c, moves, plan)
	for len(s.pending) > 0 {
		round := s.nextRound()
		if len(round) == 0 {
			move, ok := s.stage()
			if !ok || s.stagingMoves > s.maxStagingMoves {
				s.explainPending()
				return
			}
			s.stagingMoves++
			s.used[move.To] += s.grownSize[move.Shard]
			round = append(round, move)
		}
		s.finishRound(round)
	}
}

func newScheduler(c *Cluster, moves []Move, plan *Plan) *scheduler {
	s := &scheduler{placement: newPlacement(c), plan: plan, pending: slices.Clone(moves), grownSize: map[string]int64{},
		shardIndex: map[string]int{}, used: map[string]int64{}, readable: map[string][]string{},
		maxMovesPerNode: c.Rules.MaxMovesPerNode, maxStagingMoves: 2*len(moves) + 8}
	if s.maxMovesPerNode == 0 {
		s.maxMovesPerNode = defaultMovesPerNode
	}
	for i, shard := range c.Shards {
		s.grownSize[shard.ID], s.shardIndex[shard.ID] = shard.Size+shard.Growth, i
		for _, node := range shard.Replicas {
			if s.placement.byID[node].State != NodeLost {
				s.readable[shard.ID] = append(s.readable[shard.ID], node)
			}
		}
	}
	for _, node := range s.placement.nodes {
		s.used[node.ID] = node.used
	}
	return s
}

// fits reports whether a node has capacity for a shard and its growth.
func (s *scheduler) fits(node *nodeLoad, shard string) bool {
	return s.used[node.ID]+s.grownSize[shard] <= node.capacity
}

// nextRound removes the pending moves that can run concurrently now and returns them, in their order.
func (s *scheduler) nextRound() (round []Move) {
	movesByNode := map[string]int{} // moves of the round by node
	var postponed []Move
	for _, move := range s.pending {
		if move.Restore {
			move.From = s.readable[move.Shard][0]
		}
		if movesByNode[move.From] >= s.maxMovesPerNode || movesByNode[move.To] >= s.maxMovesPerNode ||
			!s.fits(s.placement.byID[move.To], move.Shard) {
			postponed = append(postponed, move)
			continue
		}
		movesByNode[move.From]++
		movesByNode[move.To]++
		s.used[move.To] += s.grownSize[move.Shard]
		round = append(round, move)
	}
	s.pending = postponed
	return round
}

// stage returns a staging move of the smallest replica that blocks others, to a node with capacity. The replica's
// pending move then starts from that node.
func (s *scheduler) stage() (Move, bool) {
	best := -1
	var bestNode *nodeLoad
	for i, move := range s.pending {
		if move.Restore || best >= 0 && move.Bytes >= s.pending[best].Bytes || !s.blocksOthers(move) {
			continue
		}
		if node := s.stagingNode(move); node != nil {
			best, bestNode = i, node
		}
	}
	if best < 0 {
		return Move{}, false
	}
	move := &s.pending[best]
	staging := Move{Shard: move.Shard, From: move.From, To: bestNode.ID, Bytes: move.Bytes, Staging: true}
	move.From = bestNode.ID
	return staging, true
}

// blocksOthers reports whether a move's source is the target of another pending move.
func (s *scheduler) blocksOthers(move Move) bool {
	return slices.ContainsFunc(s.pending, func(other Move) bool { return other.To == move.From })
}

// stagingNode returns the first node that can hold a replica temporarily, or nil.
func (s *scheduler) stagingNode(move Move) *nodeLoad {
	for _, node := range s.placement.nodes {
		if node.State == NodeActive && node.ID != move.From && node.ID != move.To &&
			!node.shards[s.shardIndex[move.Shard]] && s.fits(node, move.Shard) {
			return node
		}
	}
	return nil
}

// finishRound adds a round to the plan and accounts for its completed moves.
func (s *scheduler) finishRound(round []Move) {
	for _, move := range round {
		s.plan.Bytes += move.Bytes
		s.used[move.To] -= s.grownSize[move.Shard] - move.Bytes // release the space reserved for growth
		s.readable[move.Shard] = append(s.readable[move.Shard], move.To)
		if !move.Restore {
			s.used[move.From] -= move.Bytes
			s.readable[move.Shard] = slices.DeleteFunc(s.readable[move.Shard],
				func(node string) bool { return node == move.From })
		}
	}
	s.plan.Rounds = append(s.plan.Rounds, round)
}

// explainPending records in plan.Unplaced how many bytes each remaining move lacks.
func (s *scheduler) explainPending() {
	for _, move := range s.pending {
		s.plan.Unplaced = append(s.plan.Unplaced, fmt.Sprintf(
			"shard %s can't go to %s: %d bytes are wanted, %d are free, and no node has room for a stop",
			move.Shard, move.To, s.grownSize[move.Shard], s.placement.byID[move.To].capacity-s.used[move.To]))
	}
}
