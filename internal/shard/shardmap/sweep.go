package shardmap

// This file owns the sweep: what nodes hold is brought in line with the map, whoever began it and died.

import (
	"fmt"
	"maps"
	"slices"

	"weirwind/internal/shard/shardnode"
)

func (mv *Rebalancer) pollNodes(m *Map, nodes []string, now float64) {
	every := pollIdle
	if len(mv.transfers) > 0 || m.hasPending() {
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
		if !s.pending && now >= s.nextAt {
			s.pending, s.nextAt = true, now+every
			mv.emit(Action{Kind: ActionReport, Node: id})
		}
	}
}

// hasWaiting says whether a task waits.
func (m *Map) hasPending() bool {
	return slices.ContainsFunc(m.Tasks, func(t Task) bool { return t.Status == TaskPending })
}

// Seen takes a node's report, asked for at sent.
func (mv *Rebalancer) HandleReport(node string, sent float64, r shardnode.Report, ok bool) {
	s := mv.nodes[node]
	if s == nil {
		return
	}
	if s.pending = false; ok {
		s.report, s.sentAt, s.known = r, sent, true
	}
}

func (mv *Rebalancer) report(node string, now float64) *shardnode.Report {
	if s := mv.nodes[node]; s != nil && s.known && now-s.sentAt < reportMaxAge {
		return &s.report
	}
	return nil
}

// actOnce lets an act of the sweep out, not again for a while.
func (mv *Rebalancer) emitOnce(a Action, now float64) {
	key := fmt.Sprint(a.Kind, a.Node, a.Shard, a.Epoch)
	if a.Change != nil {
		key = fmt.Sprint(a.Change.Kind, a.Change.Shard, a.Change.Epoch)
	}
	if now >= mv.reconcileAt[key] {
		mv.reconcileAt[key] = now + 2*pollBusy
		mv.emit(a)
	}
}

// sweep brings what nodes hold in line with the map, whoever began it and died: nothing is left half.
func (mv *Rebalancer) reconcile(m *Map, now float64) {
	for key, at := range mv.reconcileAt {
		if now > at+reconcileMemory {
			delete(mv.reconcileAt, key)
		}
	}
	nodes := slices.Sorted(maps.Keys(mv.nodes))
	for _, shard := range slices.Sorted(maps.Keys(m.Shards)) {
		open := mv.reconcileOwner(m, shard, now)
		for _, id := range nodes {
			if id != m.Shards[shard].Node {
				mv.reconcileReplica(m, shard, id, open, now)
			}
		}
	}
}

// sweepHolder has the holder of a shard hold it, and says whether it is open there.
func (mv *Rebalancer) reconcileOwner(m *Map, shard string, now float64) (open bool) {
	p := m.Shards[shard]
	holder := mv.report(p.Node, now)
	if holder == nil {
		return false
	}
	r := mv.transfers[shard]
	h, there := holder.Replicas[shard]
	closed := h.State == shardnode.StateClosing || h.State == shardnode.StateClosed
	switch {
	case !there && p.Epoch == 1, there && h.Epoch < p.Epoch && h.State != shardnode.StateReceiving:
		mv.emitOnce(Action{Kind: ActionActivate, Node: p.Node, Shard: shard, Epoch: p.Epoch, LastIndex: p.RequiredIndex}, now)
	case there && h.Epoch == p.Epoch && closed && (r == nil || r.phase < phaseClosing):
		mv.proposeRollBack(shard, p, now)
	}
	return there && h.State == shardnode.StateOpen && h.Epoch == p.Epoch
}

// sweepCopy lets go of a copy at another node than the holder, unless a move that goes on is making it.
func (mv *Rebalancer) reconcileReplica(m *Map, shard, id string, open bool, now float64) {
	rep := mv.report(id, now)
	if rep == nil {
		return
	}
	p, r := m.Shards[shard], mv.transfers[shard]
	h, there := rep.Replicas[shard]
	mine := r != nil && r.To == id && r.epoch == h.Epoch
	switch {
	case !there || mine && h.Epoch >= p.Epoch:
	case h.Epoch < p.Epoch && (open || h.State == shardnode.StateReceiving):
		mv.emitOnce(Action{Kind: ActionDrop, Node: id, Shard: shard, Epoch: p.Epoch}, now)
	case h.Epoch == p.Epoch && h.State == shardnode.StateReceiving:
		mv.emitOnce(Action{Kind: ActionDiscard, Node: id, Shard: shard, Epoch: p.Epoch}, now)
	case h.Epoch == p.Epoch && h.State == shardnode.StateSealed && m.pendingTask(shard, id) < 0:
		// A hand-over to it may have been asked for; behind this change it can't come any more.
		mv.proposeRollBack(shard, p, now)
	}
}

// proposeBack gives a shard's holder the next epoch.
func (mv *Rebalancer) proposeRollBack(shard string, p Assignment, now float64) {
	mv.emitOnce(Action{Kind: ActionPropose, Change: &Change{Kind: ChangeRollBack, Shard: shard, Epoch: p.Epoch, Node: p.Node}}, now)
}

// nodeView is what a node said last.
type nodeView struct {
	report  shardnode.Report
	sentAt  float64 // when it was asked
	pending bool
	nextAt  float64
	known   bool
}

// Reports gives what nodes said last.
func (mv *Rebalancer) Reports() map[string]shardnode.Report {
	out := map[string]shardnode.Report{}
	for id, s := range mv.nodes {
		if s.known {
			out[id] = s.report
		}
	}
	return out
}
