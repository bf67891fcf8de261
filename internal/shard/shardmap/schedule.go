package shardmap

// This file decides when tasks start and when a new plan is made.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"weirwind/internal/shard/shardnode"
	"weirwind/internal/shard/shardplan"
)

// startTasks starts pending tasks in the plan's order, within the limits of the rules.
func (rb *Rebalancer) startTasks(m *Map, now float64) {
	if m.Aborting {
		rb.abortTasks(m, now)
		return
	}
	if m.Paused {
		return
	}
	counts := rb.countTransfers(m)
	firstRoundOf := firstRounds(m.Tasks)
	for _, task := range m.Tasks {
		if task.Status != TaskPending || rb.transfers[task.Shard] != nil || task.Round > firstRoundOf[task.From] ||
			task.Round > firstRoundOf[task.To] {
			continue
		}
		if m.Shards[task.Shard].Node != task.From {
			rb.endMisplacedTask(m, task, now)
			continue
		}
		if counts.allows(m, task) && rb.startTask(m, task, now) {
			counts.add(m, task)
			counts.total++
		}
	}
}

// startTask starts a task if its nodes are ready.
func (rb *Rebalancer) startTask(m *Map, task Task, now float64) (started bool) {
	epoch := m.Shards[task.Shard].Epoch
	if !rb.nodesReady(task, epoch, now) {
		if rb.nodes[task.To] == nil {
			rb.endTask(task, TaskFailed, "there is no such node", now)
		}
		return false
	}
	t := &transfer{Task: task, epoch: epoch, lastContactAt: now}
	t.enter(phaseReserving, now)
	rb.transfers[task.Shard] = t
	rb.advance(m, t, now)
	return true
}

// abortTasks ends the tasks that have not started.
func (rb *Rebalancer) abortTasks(m *Map, now float64) {
	for _, task := range m.Tasks {
		if task.Status == TaskPending && rb.transfers[task.Shard] == nil {
			rb.endTask(task, TaskAborted, "by the operator", now)
		}
	}
}

// transferCounts holds the numbers of running transfers.
type transferCounts struct {
	byNode, byZone map[string]int // transfers before phaseDone
	total          int            // all transfers, including those in phaseDone
}

func (rb *Rebalancer) countTransfers(m *Map) *transferCounts {
	counts := &transferCounts{byNode: map[string]int{}, byZone: map[string]int{}, total: len(rb.transfers)}
	for _, t := range rb.transfers {
		if t.phase != phaseDone {
			counts.add(m, t.Task)
		}
	}
	return counts
}

func (c *transferCounts) add(m *Map, task Task) {
	c.byNode[task.From]++
	c.byNode[task.To]++
	c.byZone[m.Nodes[task.From].Zone]++
	c.byZone[m.Nodes[task.To].Zone]++
}

// allows reports whether the rules allow the transfer of one more task.
func (c *transferCounts) allows(m *Map, task Task) bool {
	if c.byNode[task.From] >= m.Rules.MaxPerNode || c.byNode[task.To] >= m.Rules.MaxPerNode {
		return false
	}
	if m.Rules.MaxTotal > 0 && c.total >= m.Rules.MaxTotal {
		return false
	}
	from, to := m.Nodes[task.From].Zone, m.Nodes[task.To].Zone
	if m.Rules.MaxPerZone == 0 || from == "" {
		return true
	}
	return c.byZone[from] < m.Rules.MaxPerZone && c.byZone[to] < m.Rules.MaxPerZone
}

// firstRounds returns the lowest round of each node's pending tasks.
func firstRounds(tasks []Task) map[string]int {
	first := map[string]int{}
	for _, task := range tasks {
		if task.Status != TaskPending {
			continue
		}
		for _, node := range []string{task.From, task.To} {
			if round, ok := first[node]; !ok || task.Round < round {
				first[node] = task.Round
			}
		}
	}
	return first
}

// nodesReady reports whether there are recent reports of both nodes of a task and the shard is open at the source.
func (rb *Rebalancer) nodesReady(task Task, epoch uint64, now float64) bool {
	from, to := rb.report(task.From, now), rb.report(task.To, now)
	if from == nil || to == nil {
		return false
	}
	replica := from.Replicas[task.Shard]
	return replica.State == shardnode.StateOpen && replica.Epoch == epoch
}

// endMisplacedTask ends a task whose source doesn't own the shard. The task is done once the shard is open at the
// target, and has failed if a third node owns it.
func (rb *Rebalancer) endMisplacedTask(m *Map, task Task, now float64) {
	if m.Shards[task.Shard].Node != task.To {
		rb.endTask(task, TaskFailed, "it is no longer where the plan had it", now)
		return
	}
	if to := rb.report(task.To, now); to != nil && to.Replicas[task.Shard].State == shardnode.StateOpen {
		rb.endTask(task, TaskDone, "", now)
	}
}

func (rb *Rebalancer) endTask(task Task, status TaskStatus, reason string, now float64) {
	change := &Change{Kind: ChangeEndTask, Shard: task.Shard, Node: task.To, Status: status, Reason: reason}
	rb.emitOnce(Action{Kind: ActionPropose, Change: change}, now)
}

// replan makes a new plan from the current placement if tasks of the last plan failed. Shards that have moved already
// stay where they are, since a plan moves as few bytes as possible.
func (rb *Rebalancer) replan(m *Map, now float64) {
	if !rb.replanDue(m, now) {
		return
	}
	rb.replanAt = now + replanInterval
	cluster, err := ClusterOf(m, rb.Reports())
	if err != nil {
		return
	}
	plan := cluster.MakePlan()
	tasks := TasksFromPlan(plan)
	if len(tasks) == 0 { // the failed tasks stay visible to operators
		if rb.emptyPlans++; rb.emptyPlans > m.Rules.MaxReplans {
			rb.replanAt = math.Inf(1)
		}
		return
	}
	rb.emit(Action{Kind: ActionLog, Message: fmt.Sprintf("plans anew: %d moves, %d bytes", len(tasks), plan.Bytes)})
	rb.emit(Action{Kind: ActionPropose, Change: &Change{Kind: ChangePlan, BaseVersion: m.Version, Tasks: tasks,
		Replan: true}})
}

// replanDue reports whether all tasks have ended, at least one has failed, and an automatic plan is allowed now.
func (rb *Rebalancer) replanDue(m *Map, now float64) bool {
	failed := slices.ContainsFunc(m.Tasks, func(task Task) bool { return task.Status == TaskFailed })
	return failed && !m.hasPending() && !m.Paused && !m.Aborting && len(rb.transfers) == 0 &&
		m.Replans < m.Rules.MaxReplans && now >= rb.replanAt
}

// ClusterOf returns the cluster to plan for, as described by the map and the nodes' reports. A node without a report
// counts as lost.
func ClusterOf(m *Map, reports map[string]shardnode.Report) (*shardplan.Cluster, error) {
	cluster := &shardplan.Cluster{Rules: shardplan.Rules{BalanceBand: m.Rules.BalanceBand,
		ReservedShare: m.Rules.ReservedShare, MaxMovesPerNode: m.Rules.MaxPerNode}}
	for _, id := range nodeIDs(m, reports) {
		report, ok := reports[id]
		node := shardplan.Node{ID: id, Zone: m.Nodes[id].Zone, Capacity: report.Capacity, External: report.External,
			State: cmp.Or(m.Nodes[id].State, shardplan.NodeActive)}
		if !ok {
			node.State = shardplan.NodeLost
		}
		cluster.Nodes = append(cluster.Nodes, node)
	}
	for _, shard := range slices.Sorted(maps.Keys(m.Shards)) {
		owner := m.Shards[shard].Node
		size := reports[owner].Replicas[shard].Size
		cluster.Shards = append(cluster.Shards, shardplan.Shard{ID: shard, Size: size,
			Growth: int64(m.Rules.GrowthShare * float64(size)), Replicas: []string{owner}})
	}
	return cluster, cluster.Validate()
}

// nodeIDs returns the ids of all nodes that the map names or that have reported, sorted.
func nodeIDs(m *Map, reports map[string]shardnode.Report) []string {
	ids := map[string]bool{}
	for id := range m.Nodes {
		ids[id] = true
	}
	for id := range reports {
		ids[id] = true
	}
	for _, assignment := range m.Shards {
		ids[assignment.Node] = true
	}
	return slices.Sorted(maps.Keys(ids))
}
