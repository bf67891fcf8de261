package shardplan

// This file owns the target: which copies leave which node, and where they go, with the fewest bytes that it finds.

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
)

// leaver is a copy that is to go.
type leaver struct {
	shard int
	from  *place
	must  bool // its node goes, is over its room, or holds it beside another copy of its zone
}

// Make plans for a cluster that Check has nothing against.
func (c *Cluster) MakePlan() *Plan {
	b := newBoard(c)
	plan := &Plan{LowerBound: b.bound()}
	holders := make([][]*place, len(c.Shards))
	for i, s := range c.Shards {
		for _, on := range s.Replicas {
			holders[i] = append(holders[i], b.byID[on])
		}
	}
	out := b.leavers(holders)
	moves := b.assign(out, holders, plan)
	moves = append(moves, b.fill(holders, moves)...)
	for _, p := range b.nodes {
		if p.State == NodeActive && (p.load > b.hi[p] || p.load < b.lo[p]) {
			plan.OutOfBand = append(plan.OutOfBand, fmt.Sprintf("%s is to hold %d bytes, its band is %d to %d", p.ID, p.load, b.lo[p],
				b.hi[p]))
		}
	}
	c.order(moves, plan)
	return plan
}

// leavers takes off their nodes the copies that are to go, fewest bytes first.
func (b *board) leavers(holders [][]*place) (out []leaver) {
	for _, p := range b.nodes {
		if p.State != NodeActive {
			for _, i := range slices.Sorted(maps.Keys(p.held)) {
				out = append(out, leaver{i, p, true})
				b.take(p, i)
			}
		}
	}
	if b.c.Rules.SpreadZones {
		for i, hs := range holders {
			if b.zones < len(hs) {
				continue
			}
			for _, p := range slices.SortedFunc(slices.Values(hs), byLoad) {
				if p.State == NodeActive && p.held[i] && slices.ContainsFunc(hs,
					func(o *place) bool { return o != p && o.held[i] && o.Zone == p.Zone }) {
					out = append(out, leaver{i, p, true})
					b.take(p, i)
				}
			}
		}
	}
	for _, p := range b.nodes {
		if p.State != NodeActive || p.load <= b.hi[p] {
			continue
		}
		for _, i := range b.subset(p, p.load-b.hi[p]) {
			out = append(out, leaver{i, p, p.load > p.room})
			b.take(p, i)
		}
	}
	slices.SortStableFunc(out, func(x, y leaver) int {
		return cmp.Compare(b.c.Shards[y.shard].Size, b.c.Shards[x.shard].Size)
	})
	return out
}

// subset picks copies of a node whose bytes come to need or a little more: the largest that fit, then the smallest that
// closes the gap; and instead of all of them one that alone comes closer. Of like sizes the hottest goes, as hot nodes
// are the full ones.
func (b *board) subset(p *place, need int64) []int {
	all := slices.SortedFunc(maps.Keys(p.held), func(x, y int) int {
		return cmp.Or(cmp.Compare(b.c.Shards[y].Size, b.c.Shards[x].Size),
			cmp.Compare(b.c.Shards[y].RequestRate, b.c.Shards[x].RequestRate), cmp.Compare(x, y))
	})
	var out []int
	left := need
	single := -1
	for _, i := range all {
		size := b.c.Shards[i].Size
		if size >= need {
			single = i // the smallest that does it alone, as sizes fall
		}
		if size > 0 && size <= left {
			out = append(out, i)
			left -= size
		}
	}
	if left > 0 {
		last := -1
		for _, i := range all {
			if b.c.Shards[i].Size >= left && !slices.Contains(out, i) {
				last = i
			}
		}
		if last < 0 {
			return out
		}
		out = append(out, last)
		left -= b.c.Shards[last].Size
	}
	for k := len(out) - 2; k >= 0; k-- { // what the last one made needless stays
		if size := b.c.Shards[out[k]].Size; size <= -left {
			left += size
			out = slices.Delete(out, k, k+1)
		}
	}
	if single >= 0 && b.c.Shards[single].Size <= need-left {
		return []int{single}
	}
	return out
}

// assign finds each a node: the emptiest within its band, else within its room.
func (b *board) assign(out []leaver, holders [][]*place, plan *Plan) (moves []Move) {
	in := slices.DeleteFunc(slices.Clone(b.nodes), func(p *place) bool { return p.State != NodeActive })
	for _, l := range out {
		s := &b.c.Shards[l.shard]
		var best *place
		rank := 0
		for _, p := range in {
			if p.held[l.shard] || p == l.from && l.must || slices.Contains(holders[l.shard], p) && p != l.from {
				continue
			}
			r := 0
			switch {
			case p.load+s.Size > p.room:
				continue
			case p.load+s.Size <= b.hi[p]:
				r = 2
			default:
				r = 1
			}
			if !b.apart(p, l.shard, holders[l.shard], l.from) {
				continue
			}
			if best == nil || r > rank || r == rank && b.slack(p) > b.slack(best) {
				best, rank = p, r
			}
		}
		switch {
		case best == nil || !l.must && rank < 2:
			if b.put(l.from, l.shard); l.must {
				plan.Unplaced = append(plan.Unplaced, fmt.Sprintf("shard %s (%d bytes) finds no room beside its copies; it stays on %s",
					s.ID, s.Size, l.from.ID))
			}
		case best == l.from:
			b.put(l.from, l.shard)
		default:
			b.put(best, l.shard)
			k := slices.Index(holders[l.shard], l.from)
			holders[l.shard] = slices.Clone(holders[l.shard])
			holders[l.shard][k] = best
			m := Move{Shard: s.ID, From: l.from.ID, To: best.ID, Bytes: s.Size}
			if l.from.State == NodeLost { // whom it is read from is known once its turn comes
				m.Restore, m.From = true, ""
				if !slices.ContainsFunc(b.c.Shards[l.shard].Replicas, func(on string) bool { return b.byID[on].State != NodeLost }) {
					plan.Unplaced = append(plan.Unplaced, fmt.Sprintf("shard %s was on nodes alone that are gone", s.ID))
					continue
				}
			}
			moves = append(moves, m)
		}
	}
	return moves
}

// slack is the share of a node's band that is free.
func (b *board) slack(p *place) float64 {
	return float64(b.hi[p]-p.load) / float64(max(b.hi[p], 1))
}

// fill brings to nodes under their band what others can spare within theirs.
func (b *board) fill(holders [][]*place, made []Move) (moves []Move) {
	moved := map[string]bool{}
	for _, m := range made {
		moved[m.Shard] = true
	}
	in := slices.DeleteFunc(slices.Clone(b.nodes), func(p *place) bool { return p.State != NodeActive })
	for _, p := range in {
		for tries := 0; p.load < b.lo[p] && tries < 4*len(in); tries++ {
			need := b.lo[p] - p.load
			donors := slices.SortedFunc(slices.Values(in), byLoad)
			best, from := -1, (*place)(nil)
			for _, d := range donors[:min(len(donors), 8)] {
				if d == p || d.load <= b.lo[d] {
					continue
				}
				for i := range d.held {
					s := &b.c.Shards[i]
					if s.Size == 0 || d.load-s.Size < b.lo[d] || p.load+s.Size > b.hi[p] || moved[s.ID] || p.held[i] ||
						!b.apart(p, i, holders[i], d) {
						continue
					}
					if best < 0 || closer(s.Size, b.c.Shards[best].Size, need) || s.Size == b.c.Shards[best].Size && i < best {
						best, from = i, d
					}
				}
			}
			if best < 0 {
				break
			}
			b.take(from, best)
			b.put(p, best)
			s := &b.c.Shards[best]
			moved[s.ID] = true
			holders[best] = slices.Clone(holders[best])
			holders[best][slices.Index(holders[best], from)] = p
			moves = append(moves, Move{Shard: s.ID, From: from.ID, To: p.ID, Bytes: s.Size})
		}
	}
	return moves
}

// closer says whether moving a leaves less to be moved than b, or overshoots less.
func closer(a, b, need int64) bool {
	over := func(x int64) int64 {
		if x >= need {
			return x - need
		}
		return (need - x) / 2
	}
	return over(a) < over(b)
}
