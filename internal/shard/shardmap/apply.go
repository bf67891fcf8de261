package shardmap

// This file implements the changes of the map: their preconditions and their effects.

import (
	"fmt"
	"maps"
	"slices"
)

// applyFunc applies a change to a copy of the map. It returns false if the change was applied before.
type applyFunc func(next *Map, change *Change) (changed bool, err error)

var applyFuncs = map[ChangeKind]applyFunc{
	ChangeCreate:   applyCreate,
	ChangePlan:     applyPlan,
	ChangePause:    applyPause,
	ChangeResume:   applyResume,
	ChangeAbort:    applyAbort,
	ChangeHandOver: applyHandOver,
	ChangeRollBack: applyRollBack,
	ChangeEndTask:  applyEndTask,
	ChangeRules:    applyRules,
	ChangeNodes:    applyNodes,
}

// Apply returns the next version of the map, or an error that says why the change is refused. It returns m itself if
// the change was applied before. On a nil map only ChangeCreate succeeds.
func (m *Map) Apply(change *Change) (*Map, error) {
	if m.hasPlan(change) {
		return m, nil
	}
	if change.BaseVersion != 0 && change.BaseVersion != m.version() {
		return nil, fmt.Errorf("version %d is in place, not %d", m.version(), change.BaseVersion)
	}
	if m == nil && change.Kind != ChangeCreate {
		return nil, fmt.Errorf("no shards were founded yet")
	}
	apply := applyFuncs[change.Kind]
	if apply == nil {
		return nil, fmt.Errorf("no such change: %q", change.Kind)
	}
	next := m.clone()
	next.Version++
	changed, err := apply(next, change)
	switch {
	case err != nil:
		return nil, err
	case !changed:
		return m, nil
	}
	return next, nil
}

// hasPlan reports whether the change repeats the newest plan that was applied. A retry of an older plan is refused
// because its BaseVersion is outdated.
func (m *Map) hasPlan(change *Change) bool {
	return m != nil && change.Kind == ChangePlan && change.ID != "" && change.ID == m.PlanID
}

// clone returns a copy of the map, or a new map if m is nil.
func (m *Map) clone() *Map {
	if m == nil {
		return &Map{Rules: DefaultRules, Shards: map[string]Assignment{}, Nodes: map[string]Node{}}
	}
	next := *m
	next.Shards, next.Nodes, next.Tasks = maps.Clone(m.Shards), maps.Clone(m.Nodes), slices.Clone(m.Tasks)
	if next.Nodes == nil {
		next.Nodes = map[string]Node{}
	}
	return &next
}

func applyCreate(next *Map, change *Change) (bool, error) {
	for shard, node := range change.InitialOwners {
		if shard == "" || node == "" {
			return false, fmt.Errorf("shard %q: it needs a name and a node", shard)
		}
		if existing, ok := next.Shards[shard]; ok {
			if existing.Node != node {
				return false, fmt.Errorf("shard %q is there, on %q", shard, existing.Node)
			}
			continue
		}
		next.Shards[shard] = Assignment{Node: node, Epoch: 1}
	}
	maps.Copy(next.Nodes, change.Nodes)
	return true, nil
}

func applyPlan(next *Map, change *Change) (bool, error) {
	if next.hasPending() && !change.Replan {
		return false, fmt.Errorf("a plan is under way: pause or abort it first")
	}
	for i, task := range change.Tasks {
		if _, ok := next.Shards[task.Shard]; !ok || task.To == "" || task.From == task.To {
			return false, fmt.Errorf("task %d: no such shard, or nowhere to go", i)
		}
	}
	next.Tasks, next.Aborting = slices.Clone(change.Tasks), false
	if change.ID != "" { // an automatic plan keeps the operator's ID, since that plan may still be retried
		next.PlanID = change.ID
	}
	for i := range next.Tasks {
		next.Tasks[i].Status, next.Tasks[i].Reason = TaskPending, ""
	}
	if change.Replan {
		next.Replans++
	} else {
		next.Replans = 0
	}
	return true, nil
}

func applyPause(next *Map, _ *Change) (bool, error) {
	next.Paused = true
	return true, nil
}

func applyResume(next *Map, _ *Change) (bool, error) {
	next.Paused, next.Aborting = false, false
	return true, nil
}

func applyAbort(next *Map, _ *Change) (bool, error) {
	next.Aborting = true
	return true, nil
}

// applyHandOver makes another node the owner, with the next epoch.
func applyHandOver(next *Map, change *Change) (bool, error) {
	current := next.Shards[change.Shard]
	if current.Epoch == change.Epoch+1 && current.Node == change.Node {
		return false, nil
	}
	if current.Epoch != change.Epoch || change.Node == "" || change.Node == current.Node {
		return false, notAssigned(change.Shard, current)
	}
	next.Shards[change.Shard] = Assignment{change.Node, current.Epoch + 1, change.LastIndex}
	return true, nil
}

// applyRollBack assigns the next epoch to the same owner, which then reopens the shard if a transfer had closed it. A
// hand-over that replaces the same epoch is refused from then on.
func applyRollBack(next *Map, change *Change) (bool, error) {
	current := next.Shards[change.Shard]
	if current.Epoch != change.Epoch || change.Node != current.Node {
		return false, notAssigned(change.Shard, current)
	}
	next.Shards[change.Shard] = Assignment{current.Node, current.Epoch + 1, 0}
	return true, nil
}

func notAssigned(shard string, current Assignment) error {
	return fmt.Errorf("shard %s is on %s by epoch %d", shard, current.Node, current.Epoch)
}

func applyEndTask(next *Map, change *Change) (bool, error) {
	i := next.pendingTask(change.Shard, change.Node)
	if i < 0 {
		return false, nil
	}
	next.Tasks[i].Status, next.Tasks[i].Reason = change.Status, change.Reason
	return true, nil
}

func applyRules(next *Map, change *Change) (bool, error) {
	if change.Rules == nil || !change.Rules.valid() {
		return false, fmt.Errorf("rules: perNode and rate from 1 on, reserve below 1, the others from 0 on")
	}
	next.Rules = *change.Rules
	return true, nil
}

func applyNodes(next *Map, change *Change) (bool, error) {
	for id, node := range change.Nodes {
		if id == "" || !node.State.Valid() {
			return false, fmt.Errorf("node %q: its state is in, leaving or gone", id)
		}
		next.Nodes[id] = node
	}
	return true, nil
}
