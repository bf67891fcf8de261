package shardplan

// This file owns the order of moves: rounds in which no node is ever above its capacity, with staging moves where
// replicas wait for each other's space.

import (
	"fmt"
	"slices"
)

// defaultMovesPerNode holds where the rules say nothing.
const defaultMovesPerNode = 2

// scheduler puts moves into rounds. A replica is counted on its target, with its growth, from the start of its round,
// and on its source up to the end.
type scheduler struct {
	placement       *placement
	plan            *Plan
	pending         []Move
	grownSize       map[string]int64    // bytes of each shard with its growth
	shardIndex      map[string]int      // of each shard in the cluster
	used            map[string]int64    // bytes of each node, moves of this round included
	readable        map[string][]string // nodes that a shard can be read from
	maxMovesPerNode int                 // moves that a node takes part in at a time
	stagingMoves    int
	maxStagingMoves int // more of them don't come to an end
}

// scheduleRounds adds the moves to the plan in rounds, or says there which of them no order can carry out.
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

// fits says whether a node has capacity for a shard and its growth.
func (s *scheduler) fits(node *nodeLoad, shard string) bool {
	return s.used[node.ID]+s.grownSize[shard] <= node.capacity
}

// nextRound takes the pending moves that can go on together now, in their order.
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

// stage picks the smallest replica that others wait for, and a node with capacity from which it goes on later.
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

// blocksOthers says whether a move's source is the target of another.
func (s *scheduler) blocksOthers(move Move) bool {
	return slices.ContainsFunc(s.pending, func(other Move) bool { return other.To == move.From })
}

// stagingNode gives the first node that a replica can wait on, nil for none.
func (s *scheduler) stagingNode(move Move) *nodeLoad {
	for _, node := range s.placement.nodes {
		if node.State == NodeActive && node.ID != move.From && node.ID != move.To &&
			!node.shards[s.shardIndex[move.Shard]] && s.fits(node, move.Shard) {
			return node
		}
	}
	return nil
}

// finishRound adds a round to the plan and takes its moves as done.
func (s *scheduler) finishRound(round []Move) {
	for _, move := range round {
		s.plan.Bytes += move.Bytes
		s.used[move.To] -= s.grownSize[move.Shard] - move.Bytes // what it did not grow by is free again
		s.readable[move.Shard] = append(s.readable[move.Shard], move.To)
		if !move.Restore {
			s.used[move.From] -= move.Bytes
			s.readable[move.Shard] = slices.DeleteFunc(s.readable[move.Shard],
				func(node string) bool { return node == move.From })
		}
	}
	s.plan.Rounds = append(s.plan.Rounds, round)
}

// explainPending says of each move that is left what it lacks.
func (s *scheduler) explainPending() {
	for _, move := range s.pending {
		s.plan.Unplaced = append(s.plan.Unplaced, fmt.Sprintf(
			"shard %s can't go to %s: %d bytes are wanted, %d are free, and no node has room for a stop",
			move.Shard, move.To, s.grownSize[move.Shard], s.placement.byID[move.To].capacity-s.used[move.To]))
	}
}
