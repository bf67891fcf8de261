package shardplan

// This file owns the order: rounds of moves in which no node is ever over its room, with stops on the way where copies
// stand in each other's place.

import (
	"fmt"
	"slices"
)

// order puts moves into rounds. A copy is counted at its target from the start of its round, and at its source to its
// end.
func (c *Cluster) order(moves []Move, plan *Plan) {
	b := newBoard(c)
	size := map[string]int64{}
	index := map[string]int{}
	for i, s := range c.Shards {
		size[s.ID], index[s.ID] = s.Size+s.Growth, i
	}
	used := map[string]int64{}
	for _, p := range b.nodes {
		used[p.ID] = p.load
	}
	fits := func(to string, s string) bool { return used[to]+size[s] <= b.byID[to].room }
	most := c.Rules.MaxMovesPerNode
	if most == 0 {
		most = 2
	}
	on := map[string][]string{} // live holders
	for _, s := range c.Shards {
		for _, h := range s.Replicas {
			if b.byID[h].State != NodeLost {
				on[s.ID] = append(on[s.ID], h)
			}
		}
	}
	pending := slices.Clone(moves)
	stops := 0
	for len(pending) > 0 {
		var round []Move
		busy := map[string]int{}
		var rest []Move
		for _, m := range pending {
			if m.Restore {
				m.From = on[m.Shard][0]
			}
			if busy[m.From] >= most || busy[m.To] >= most || !fits(m.To, m.Shard) {
				rest = append(rest, m)
				continue
			}
			busy[m.From]++
			busy[m.To]++
			used[m.To] += size[m.Shard]
			round = append(round, m)
		}
		if len(round) == 0 {
			m, ok := b.stop(&rest, used, size, index)
			if !ok || stops > 2*len(moves)+8 {
				for _, m := range rest {
					plan.Unplaced = append(plan.Unplaced, fmt.Sprintf(
						"shard %s can't go to %s: %d bytes are wanted, %d are free, and no node has room for a stop",
						m.Shard, m.To, size[m.Shard], b.byID[m.To].room-used[m.To]))
				}
				return
			}
			stops++
			used[m.To] += size[m.Shard]
			round = append(round, m)
		}
		for _, m := range round {
			plan.Bytes += m.Bytes
			used[m.To] -= size[m.Shard] - m.Bytes // what it did not grow by is free again
			on[m.Shard] = append(on[m.Shard], m.To)
			if !m.Restore {
				used[m.From] -= m.Bytes
				on[m.Shard] = slices.DeleteFunc(on[m.Shard], func(h string) bool { return h == m.From })
			}
		}
		plan.Rounds = append(plan.Rounds, round)
		pending = rest
	}
}

// stop takes the smallest copy that blocks others to a node with room, from which it goes on later.
func (b *board) stop(rest *[]Move, used, size map[string]int64, index map[string]int) (Move, bool) {
	best := -1
	var at *place
	for k, m := range *rest {
		if m.Restore || best >= 0 && m.Bytes >= (*rest)[best].Bytes {
			continue
		}
		if !slices.ContainsFunc(*rest, func(o Move) bool { return o.To == m.From }) {
			continue // it stands in nobody's way
		}
		for _, p := range b.nodes {
			if p.State == NodeActive && p.ID != m.From && p.ID != m.To && !p.held[index[m.Shard]] && used[p.ID]+size[m.Shard] <= p.room {
				best, at = k, p
				break
			}
		}
	}
	if best < 0 {
		return Move{}, false
	}
	m := (*rest)[best]
	via := Move{Shard: m.Shard, From: m.From, To: at.ID, Bytes: m.Bytes, Staging: true}
	(*rest)[best].From = at.ID
	return via, true
}
