package shardmap

// This file implements the reconciliation: it brings the replicas that nodes store in line with the map, also after a
// transfer whose leader has crashed.

import (
	"fmt"
	"maps"
	"slices"

	"weirwind/internal/shard/shardnode"
)

// reconcileKey identifies an action of the reconciliation.
type reconcileKey struct {
	kind, node, shard string
	epoch             uint64
}

// emitOnce emits an action of the reconciliation unless it was emitted within the last reconcileInterval.
func (rb *Rebalancer) emitOnce(action Action, now float64) {
	key := reconcileKey{kind: fmt.Sprint(action.Kind), node: action.Node, shard: action.Shard, epoch: action.Epoch}
	if change := action.Change; change != nil {
		key = reconcileKey{kind: string(change.Kind), shard: change.Shard, epoch: change.Epoch}
	}
	if now >= rb.reconcileAt[key] {
		rb.reconcileAt[key] = now + reconcileInterval
		rb.emit(action)
	}
}

// reconcile checks the owner and all other replicas of every shard.
func (rb *Rebalancer) reconcile(m *Map, now float64) {
	for key, at := range rb.reconcileAt {
		if now > at+reconcileRetention {
			delete(rb.reconcileAt, key)
		}
	}
	nodes := slices.Sorted(maps.Keys(rb.nodes))
	for _, shard := range slices.Sorted(maps.Keys(m.Shards)) {
		serving := rb.reconcileOwner(m, shard, now)
		for _, node := range nodes {
			if node != m.Shards[shard].Node {
				rb.reconcileReplica(m, shard, node, serving, now)
			}
		}
	}
}

// reconcileOwner has the owner of a shard activate it if necessary, and reports whether the shard is open there.
func (rb *Rebalancer) reconcileOwner(m *Map, shard string, now float64) (serving bool) {
	assignment := m.Shards[shard]
	owner := rb.report(assignment.Node, now)
	if owner == nil {
		return false
	}
	replica, found := owner.Replicas[shard]
	currentEpoch := found && replica.Epoch == assignment.Epoch
	closed := replica.State == shardnode.StateClosing || replica.State == shardnode.StateClosed
	t := rb.transfers[shard]
	switch {
	case !found && assignment.Epoch == 1, // a new shard
		found && replica.Epoch < assignment.Epoch && replica.State != shardnode.StateReceiving:
		rb.emitOnce(Action{Kind: ActionActivate, Node: assignment.Node, Shard: shard, Epoch: assignment.Epoch,
			LastIndex: assignment.RequiredIndex}, now)
	case currentEpoch && closed && (t == nil || t.phase < phaseClosing): // closed by a transfer that no longer runs
		rb.reopenOwner(shard, assignment, now)
	}
	return currentEpoch && replica.State == shardnode.StateOpen
}

// reconcileReplica removes the replica of a node that isn't the owner, unless a running transfer is creating it.
func (rb *Rebalancer) reconcileReplica(m *Map, shard, node string, serving bool, now float64) {
	report := rb.report(node, now)
	if report == nil {
		return
	}
	replica, found := report.Replicas[shard]
	if !found {
		return
	}
	assignment, t := m.Shards[shard], rb.transfers[shard]
	if t != nil && t.To == node && t.epoch == replica.Epoch && replica.Epoch >= assignment.Epoch {
		return
	}
	switch {
	case replica.Epoch < assignment.Epoch && (serving || replica.State == shardnode.StateReceiving):
		rb.emitOnce(Action{Kind: ActionDrop, Node: node, Shard: shard, Epoch: assignment.Epoch}, now)
	case replica.Epoch != assignment.Epoch:
	case replica.State == shardnode.StateReceiving:
		rb.emitOnce(Action{Kind: ActionDiscard, Node: node, Shard: shard, Epoch: assignment.Epoch}, now)
	case replica.State == shardnode.StateSealed && m.pendingTask(shard, node) < 0:
		// A hand-over to this node may have been proposed. It can't be applied once the owner has a new epoch.
		rb.reopenOwner(shard, assignment, now)
	}
}

// reopenOwner proposes the next epoch for a shard's owner.
func (rb *Rebalancer) reopenOwner(shard string, assignment Assignment, now float64) {
	rb.emitOnce(Action{Kind: ActionPropose, Change: &Change{Kind: ChangeRollBack, Shard: shard,
		Epoch: assignment.Epoch, Node: assignment.Node}}, now)
}
