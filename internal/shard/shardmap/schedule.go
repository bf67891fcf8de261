package shardmap

// This file owns which task begins when, and when a new plan is made.

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"slices"

	"weirwind/internal/shard/shardnode"
	"weirwind/internal/shard/shardplan"
)

// startTasks starts tasks in the plan's order, as far as the rules let them go on at a time.
func (mv *Rebalancer) startTasks(m *Map, now float64) {
	if m.Aborting {
		for _, t := range m.Tasks {
			if t.Status == TaskPending && mv.transfers[t.Shard] == nil {
				mv.endTask(t, TaskAborted, "by the operator", now)
			}
		}
		return
	}
	if m.Paused {
		return
	}
	busy := mv.activeTransfers(m)
	first := firstRounds(m.Tasks)
	for _, t := range m.Tasks {
		if t.Status != TaskPending || mv.transfers[t.Shard] != nil || t.Round > first[t.From] || t.Round > first[t.To] {
			continue
		}
		if m.Shards[t.Shard].Node != t.From {
			mv.endMisplaced(m, t, now)
			continue
		}
		if !busy.allows(m, t) {
			continue
		}
		epoch := m.Shards[t.Shard].Epoch
		if !mv.ready(t, epoch, now) {
			if mv.nodes[t.To] == nil {
				mv.endTask(t, TaskFailed, "there is no such node", now)
			}
			continue
		}
		r := &transfer{Task: t, epoch: epoch, lastContactAt: now}
		r.enter(phaseReserving, now)
		mv.transfers[t.Shard] = r
		busy.add(m, t)
		busy.total++
		mv.advance(m, r, now)
	}
}

// load counts the moves that go on.
type transferCounts struct {
	byNode, byZone map[string]int
	total          int
}

func (mv *Rebalancer) activeTransfers(m *Map) *transferCounts {
	l := &transferCounts{byNode: map[string]int{}, byZone: map[string]int{}, total: len(mv.transfers)}
	for _, r := range mv.transfers {
		if r.phase != phaseDone {
			l.add(m, r.Task)
		}
	}
	return l
}

func (l *transferCounts) add(m *Map, t Task) {
	l.byNode[t.From]++
	l.byNode[t.To]++
	l.byZone[m.Nodes[t.From].Zone]++
	l.byZone[m.Nodes[t.To].Zone]++
}

// allows says whether the rules let one more move go on.
func (l *transferCounts) allows(m *Map, t Task) bool {
	if l.byNode[t.From] >= m.Rules.MaxPerNode || l.byNode[t.To] >= m.Rules.MaxPerNode {
		return false
	}
	if m.Rules.MaxTotal > 0 && l.total >= m.Rules.MaxTotal {
		return false
	}
	from, to := m.Nodes[t.From].Zone, m.Nodes[t.To].Zone
	if m.Rules.MaxPerZone == 0 || from == "" {
		return true
	}
	return l.byZone[from] < m.Rules.MaxPerZone && l.byZone[to] < m.Rules.MaxPerZone
}

// firstRounds are the lowest rounds of tasks that wait, by node.
func firstRounds(tasks []Task) map[string]int {
	first := map[string]int{}
	for _, t := range tasks {
		if t.Status != TaskPending {
			continue
		}
		for _, id := range []string{t.From, t.To} {
			if r, ok := first[id]; !ok || t.Round < r {
				first[id] = t.Round
			}
		}
	}
	return first
}

// ready says whether both nodes of a task have been heard of late, and the source has the shard open.
func (mv *Rebalancer) ready(t Task, epoch uint64, now float64) bool {
	from, to := mv.report(t.From, now), mv.report(t.To, now)
	if from == nil || to == nil {
		return false
	}
	h := from.Replicas[t.Shard]
	return h.State == shardnode.StateOpen && h.Epoch == epoch
}

// endMisplaced ends a task whose shard is not at its source: it is done once the shard is open at the target.
func (mv *Rebalancer) endMisplaced(m *Map, t Task, now float64) {
	if m.Shards[t.Shard].Node != t.To {
		mv.endTask(t, TaskFailed, "it is no longer where the plan had it", now)
		return
	}
	if to := mv.report(t.To, now); to != nil && to.Replicas[t.Shard].State == shardnode.StateOpen {
		mv.endTask(t, TaskDone, "", now)
	}
}

func (mv *Rebalancer) endTask(t Task, fate TaskStatus, why string, now float64) {
	end := &Change{Kind: ChangeEndTask, Shard: t.Shard, Node: t.To, Status: fate, Reason: why}
	mv.emitOnce(Action{Kind: ActionPropose, Change: end}, now)
}

// replan makes a plan from where things are, where tasks failed; what has moved stays where it is, as the least is
// moved.
func (mv *Rebalancer) replan(m *Map, now float64) {
	failed := false
	for _, t := range m.Tasks {
		if t.Status == TaskPending {
			return
		}
		failed = failed || t.Status == TaskFailed
	}
	if !failed || m.Paused || m.Aborting || len(mv.transfers) > 0 || m.Replans >= m.Rules.MaxReplans || now < mv.replanAt {
		return
	}
	mv.replanAt = now + replanInterval
	c, err := ClusterOf(m, mv.Reports())
	if err != nil {
		return
	}
	p := c.MakePlan()
	if len(TasksFromPlan(p)) == 0 { // what failed stays to be read, with why
		if mv.emptyPlans++; mv.emptyPlans > m.Rules.MaxReplans {
			mv.replanAt = math.Inf(1)
		}
		return
	}
	mv.emit(Action{Kind: ActionLog, Message: fmt.Sprintf("plans anew: %d moves, %d bytes", len(TasksFromPlan(p)), p.Bytes)})
	mv.emit(Action{Kind: ActionPropose, Change: &Change{Kind: ChangePlan, BaseVersion: m.Version, Tasks: TasksFromPlan(p), Replan: true}})
}

// ClusterOf is what a plan is made from: the map, and what nodes say that they hold.
func ClusterOf(m *Map, reports map[string]shardnode.Report) (*shardplan.Cluster, error) {
	c := &shardplan.Cluster{Rules: shardplan.Rules{BalanceBand: m.Rules.BalanceBand, ReservedShare: m.Rules.ReservedShare, MaxMovesPerNode: m.Rules.MaxPerNode}}
	ids := map[string]bool{}
	for id := range m.Nodes {
		ids[id] = true
	}
	for id := range reports {
		ids[id] = true
	}
	for _, p := range m.Shards {
		ids[p.Node] = true
	}
	for _, id := range slices.Sorted(maps.Keys(ids)) {
		rep, ok := reports[id]
		n := shardplan.Node{ID: id, Zone: m.Nodes[id].Zone, Capacity: rep.Capacity, External: rep.External,
			State: cmp.Or(m.Nodes[id].State, shardplan.NodeActive)}
		if !ok {
			n.State = shardplan.NodeLost
		}
		c.Nodes = append(c.Nodes, n)
	}
	for _, shard := range slices.Sorted(maps.Keys(m.Shards)) {
		p := m.Shards[shard]
		h := reports[p.Node].Replicas[shard]
		c.Shards = append(c.Shards, shardplan.Shard{ID: shard, Size: h.Size,
			Growth: int64(m.Rules.GrowthShare * float64(h.Size)), Replicas: []string{p.Node}})
	}
	return c, c.Validate()
}
