package shardmap

// This file owns the sweep: what nodes hold is brought in line with the map, whoever began it and died.

import (
	"fmt"
	"maps"
	"slices"

	"weirwind/internal/shard/shardnode"
)

func (mv *Mover) pollNodes(m *Map, nodes []string, now float64) {
	every := pollIdle
	if len(mv.transfers) > 0 || m.hasWaiting() {
		every = pollBusy
	}
	for id := range mv.nodes {
		if !slices.Contains(nodes, id) {
			delete(mv.nodes, id)
		}
	}
	for _, id := range nodes {
		s := mv.nodes[id]
		if s == nil {
			s = &nodeView{}
			mv.nodes[id] = s
		}
		if !s.asked && now >= s.askAt {
			s.asked, s.askAt = true, now+every
			mv.act(Act{Kind: Look, Node: id})
		}
	}
}

// hasWaiting says whether a task waits.
func (m *Map) hasWaiting() bool {
	return slices.ContainsFunc(m.Tasks, func(t Task) bool { return t.Fate == Waiting })
}

// Seen takes a node's report, asked for at sent.
func (mv *Mover) Seen(node string, sent float64, r shardnode.Report, ok bool) {
	s := mv.nodes[node]
	if s == nil {
		return
	}
	if s.asked = false; ok {
		s.report, s.at, s.ok = r, sent, true
	}
}

func (mv *Mover) report(node string, now float64) *shardnode.Report {
	if s := mv.nodes[node]; s != nil && s.ok && now-s.at < reportMaxAge {
		return &s.report
	}
	return nil
}

// actOnce lets an act of the sweep out, not again for a while.
func (mv *Mover) actOnce(a Act, now float64) {
	key := fmt.Sprint(a.Kind, a.Node, a.Shard, a.Epoch)
	if a.Change != nil {
		key = fmt.Sprint(a.Change.Kind, a.Change.Shard, a.Change.Epoch)
	}
	if now >= mv.sweeps[key] {
		mv.sweeps[key] = now + 2*pollBusy
		mv.act(a)
	}
}

// sweep brings what nodes hold in line with the map, whoever began it and died: nothing is left half.
func (mv *Mover) sweep(m *Map, now float64) {
	for key, at := range mv.sweeps {
		if now > at+sweepMemory {
			delete(mv.sweeps, key)
		}
	}
	nodes := slices.Sorted(maps.Keys(mv.nodes))
	for _, shard := range slices.Sorted(maps.Keys(m.Shards)) {
		open := mv.sweepHolder(m, shard, now)
		for _, id := range nodes {
			if id != m.Shards[shard].Node {
				mv.sweepCopy(m, shard, id, open, now)
			}
		}
	}
}

// sweepHolder has the holder of a shard hold it, and says whether it is open there.
func (mv *Mover) sweepHolder(m *Map, shard string, now float64) (open bool) {
	p := m.Shards[shard]
	holder := mv.report(p.Node, now)
	if holder == nil {
		return false
	}
	r := mv.transfers[shard]
	h, there := holder.Copies[shard]
	closed := h.State == shardnode.Closing || h.State == shardnode.Closed
	switch {
	case !there && p.Epoch == 1, there && h.Epoch < p.Epoch && h.State != shardnode.Receiving:
		mv.actOnce(Act{Kind: Hold, Node: p.Node, Shard: shard, Epoch: p.Epoch, Last: p.Last}, now)
	case there && h.Epoch == p.Epoch && closed && (r == nil || r.phase < closing):
		mv.proposeBack(shard, p, now)
	}
	return there && h.State == shardnode.Open && h.Epoch == p.Epoch
}

// sweepCopy lets go of a copy at another node than the holder, unless a move that goes on is making it.
func (mv *Mover) sweepCopy(m *Map, shard, id string, open bool, now float64) {
	rep := mv.report(id, now)
	if rep == nil {
		return
	}
	p, r := m.Shards[shard], mv.transfers[shard]
	h, there := rep.Copies[shard]
	mine := r != nil && r.To == id && r.epoch == h.Epoch
	switch {
	case !there || mine && h.Epoch >= p.Epoch:
	case h.Epoch < p.Epoch && (open || h.State == shardnode.Receiving):
		mv.actOnce(Act{Kind: Drop, Node: id, Shard: shard, Epoch: p.Epoch}, now)
	case h.Epoch == p.Epoch && h.State == shardnode.Receiving:
		mv.actOnce(Act{Kind: Abandon, Node: id, Shard: shard, Epoch: p.Epoch}, now)
	case h.Epoch == p.Epoch && h.State == shardnode.Sealed && m.task(shard, id) < 0:
		// A hand-over to it may have been asked for; behind this change it can't come any more.
		mv.proposeBack(shard, p, now)
	}
}

// proposeBack gives a shard's holder the next epoch.
func (mv *Mover) proposeBack(shard string, p Place, now float64) {
	mv.actOnce(Act{Kind: Propose, Change: &Change{Kind: Back, Shard: shard, Epoch: p.Epoch, Node: p.Node}}, now)
}

// nodeView is what a node said last.
type nodeView struct {
	report shardnode.Report
	at     float64 // when it was asked
	asked  bool
	askAt  float64
	ok     bool
}

// Reports gives what nodes said last.
func (mv *Mover) Reports() map[string]shardnode.Report {
	out := map[string]shardnode.Report{}
	for id, s := range mv.nodes {
		if s.ok {
			out[id] = s.report
		}
	}
	return out
}
