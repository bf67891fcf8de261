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
func (mv *Mover) startTasks(m *Map, now float64) {
	if m.Abort {
		for _, t := range m.Tasks {
			if t.Fate == Waiting && mv.transfers[t.Shard] == nil {
				mv.endTask(t, Aborted, "by the operator", now)
			}
		}
		return
	}
	if m.Paused {
		return
	}
	busy := mv.load(m)
	first := firstRounds(m.Tasks)
	for _, t := range m.Tasks {
		if t.Fate != Waiting || mv.transfers[t.Shard] != nil || t.Round > first[t.From] || t.Round > first[t.To] {
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
				mv.endTask(t, Failed, "there is no such node", now)
			}
			continue
		}
		r := &transfer{Task: t, epoch: epoch, heardAt: now}
		r.enter(reserving, now)
		mv.transfers[t.Shard] = r
		busy.add(m, t)
		busy.all++
		mv.advance(m, r, now)
	}
}

// load counts the moves that go on.
type load struct {
	nodes, zones map[string]int
	all          int
}

func (mv *Mover) load(m *Map) *load {
	l := &load{nodes: map[string]int{}, zones: map[string]int{}, all: len(mv.transfers)}
	for _, r := range mv.transfers {
		if r.phase != over {
			l.add(m, r.Task)
		}
	}
	return l
}

func (l *load) add(m *Map, t Task) {
	l.nodes[t.From]++
	l.nodes[t.To]++
	l.zones[m.Nodes[t.From].Zone]++
	l.zones[m.Nodes[t.To].Zone]++
}

// allows says whether the rules let one more move go on.
func (l *load) allows(m *Map, t Task) bool {
	if l.nodes[t.From] >= m.Rules.PerNode || l.nodes[t.To] >= m.Rules.PerNode {
		return false
	}
	if m.Rules.All > 0 && l.all >= m.Rules.All {
		return false
	}
	from, to := m.Nodes[t.From].Zone, m.Nodes[t.To].Zone
	if m.Rules.PerZone == 0 || from == "" {
		return true
	}
	return l.zones[from] < m.Rules.PerZone && l.zones[to] < m.Rules.PerZone
}

// firstRounds are the lowest rounds of tasks that wait, by node.
func firstRounds(tasks []Task) map[string]int {
	first := map[string]int{}
	for _, t := range tasks {
		if t.Fate != Waiting {
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
func (mv *Mover) ready(t Task, epoch uint64, now float64) bool {
	from, to := mv.report(t.From, now), mv.report(t.To, now)
	if from == nil || to == nil {
		return false
	}
	h := from.Copies[t.Shard]
	return h.State == shardnode.Open && h.Epoch == epoch
}

// endMisplaced ends a task whose shard is not at its source: it is done once the shard is open at the target.
func (mv *Mover) endMisplaced(m *Map, t Task, now float64) {
	if m.Shards[t.Shard].Node != t.To {
		mv.endTask(t, Failed, "it is no longer where the plan had it", now)
		return
	}
	if to := mv.report(t.To, now); to != nil && to.Copies[t.Shard].State == shardnode.Open {
		mv.endTask(t, Done, "", now)
	}
}

func (mv *Mover) endTask(t Task, fate Fate, why string, now float64) {
	end := &Change{Kind: End, Shard: t.Shard, Node: t.To, Fate: fate, Why: why}
	mv.actOnce(Act{Kind: Propose, Change: end}, now)
}

// replan makes a plan from where things are, where tasks failed; what has moved stays where it is, as the least is
// moved.
func (mv *Mover) replan(m *Map, now float64) {
	failed := false
	for _, t := range m.Tasks {
		if t.Fate == Waiting {
			return
		}
		failed = failed || t.Fate == Failed
	}
	if !failed || m.Paused || m.Abort || len(mv.transfers) > 0 || m.Replans >= m.Rules.Replans || now < mv.planAt {
		return
	}
	mv.planAt = now + replanInterval
	c, err := ClusterOf(m, mv.Reports())
	if err != nil {
		return
	}
	p := c.Make()
	if len(FromPlan(p)) == 0 { // what failed stays to be read, with why
		if mv.emptyPlans++; mv.emptyPlans > m.Rules.Replans {
			mv.planAt = math.Inf(1)
		}
		return
	}
	mv.act(Act{Kind: Note, Why: fmt.Sprintf("plans anew: %d moves, %d bytes", len(FromPlan(p)), p.Bytes)})
	mv.act(Act{Kind: Propose, Change: &Change{Kind: Plan, Base: m.Version, Tasks: FromPlan(p), Again: true}})
}

// ClusterOf is what a plan is made from: the map, and what nodes say that they hold.
func ClusterOf(m *Map, reports map[string]shardnode.Report) (*shardplan.Cluster, error) {
	c := &shardplan.Cluster{Rules: shardplan.Rules{Band: m.Rules.Band, Reserve: m.Rules.Reserve, Round: m.Rules.PerNode}}
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
		n := shardplan.Node{ID: id, Zone: m.Nodes[id].Zone, Limit: rep.Limit, Foreign: rep.Foreign,
			State: cmp.Or(m.Nodes[id].State, shardplan.In)}
		if !ok {
			n.State = shardplan.Gone
		}
		c.Nodes = append(c.Nodes, n)
	}
	for _, shard := range slices.Sorted(maps.Keys(m.Shards)) {
		p := m.Shards[shard]
		h := reports[p.Node].Copies[shard]
		c.Shards = append(c.Shards, shardplan.Shard{ID: shard, Size: h.Held,
			Growth: int64(m.Rules.Growth * float64(h.Held)), On: []string{p.Node}})
	}
	return c, c.Check()
}
