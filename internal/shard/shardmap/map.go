package shardmap

// This file owns the map as it is stored and agreed on, and the changes that it takes.

import (
	"slices"

	"weirwind/internal/shard/shardplan"
)

// Assignment is who owns a shard.
type Assignment struct {
	Node          string `cbor:"1,keyasint" json:"node"`
	Epoch         uint64 `cbor:"2,keyasint" json:"epoch"` // rises by one with each change of the assignment
	RequiredIndex uint64 `cbor:"3,keyasint" json:"last"`  // to which the owner's log has to reach for it to activate
}

// TaskStatus of a task. Its values are stored and reported.
type TaskStatus string

// The statuses of a task.
const (
	TaskPending TaskStatus = "waiting"
	TaskDone    TaskStatus = "done"
	TaskFailed  TaskStatus = "failed"  // it was rolled back; a new plan begins from there
	TaskAborted TaskStatus = "aborted" // by the operator
)

// Task is one move of the plan.
type Task struct {
	Shard  string     `cbor:"1,keyasint" json:"shard"`
	From   string     `cbor:"2,keyasint" json:"from"`
	To     string     `cbor:"3,keyasint" json:"to"`
	Bytes  int64      `cbor:"4,keyasint" json:"bytes"`
	Round  int        `cbor:"5,keyasint" json:"round"` // it begins once both nodes have finished their lower rounds
	Status TaskStatus `cbor:"6,keyasint" json:"fate"`
	Reason string     `cbor:"7,keyasint,omitempty" json:"why,omitempty"` // of a failure or an abort
}

// Rules bound plans and transfers.
type Rules struct {
	MaxPerNode     int     `cbor:"1,keyasint" json:"perNode"` // transfers that a node takes part in at a time
	MaxPerZone     int     `cbor:"2,keyasint" json:"perZone"` // into or out of a zone at a time; 0: not bounded
	MaxTotal       int     `cbor:"3,keyasint" json:"all"`     // at a time; 0: not bounded
	BytesPerSecond int64   `cbor:"4,keyasint" json:"rate"`    // of each transfer, while its nodes are idle
	BalanceBand    float64 `cbor:"5,keyasint" json:"band"`    // shardplan.Rules has this and the next
	ReservedShare  float64 `cbor:"6,keyasint" json:"reserve"`
	GrowthShare    float64 `cbor:"7,keyasint" json:"growth"`  // of its size, that a shard may grow by while it moves
	MaxReplans     int     `cbor:"8,keyasint" json:"replans"` // automatic plans after one that had failed tasks
}

// DefaultRules are a new map's.
var DefaultRules = Rules{MaxPerNode: 1, BytesPerSecond: 8 << 20, BalanceBand: 0.1, ReservedShare: 0.05,
	GrowthShare: 0.1, MaxReplans: 3}

// valid says whether the rules may be set.
func (r *Rules) valid() bool {
	return r.MaxPerNode >= 1 && r.MaxPerZone >= 0 && r.MaxTotal >= 0 && r.BytesPerSecond >= 1 && r.BalanceBand >= 0 &&
		r.ReservedShare >= 0 && r.ReservedShare < 1 && r.GrowthShare >= 0 && r.MaxReplans >= 0
}

// Map is the replicated state. A version of it is never modified: Apply makes the next one.
type Map struct {
	Version  uint64                `cbor:"1,keyasint" json:"version"` // rises by one with each change
	Shards   map[string]Assignment `cbor:"2,keyasint" json:"shards"`
	Tasks    []Task                `cbor:"3,keyasint" json:"tasks"`  // the newest plan's, in its order
	Paused   bool                  `cbor:"4,keyasint" json:"paused"` // no transfer begins, none copies
	Aborting bool                  `cbor:"5,keyasint" json:"abort"`  // transfers that have not handed over are ended
	Rules    Rules                 `cbor:"6,keyasint" json:"rules"`
	Nodes    map[string]Node       `cbor:"7,keyasint" json:"nodes"` // one that is not named is active
	// Replans are automatic plans since the operator's.
	Replans int    `cbor:"8,keyasint" json:"replans"`
	PlanID  string `cbor:"9,keyasint,omitempty" json:"planId,omitempty"` // of the newest plan that had one
}

// Node is what the operator says of a node.
type Node struct {
	Zone  string              `cbor:"1,keyasint" json:"zone"`
	State shardplan.NodeState `cbor:"2,keyasint" json:"state"`
}

// ChangeKind of a change. Its values are stored, and calls of operators name them.
type ChangeKind string

// The kinds of changes; apply.go has a function for each.
const (
	ChangeCreate   ChangeKind = "found"  // adds shards with their first owners
	ChangePlan     ChangeKind = "plan"   // replaces the tasks
	ChangePause    ChangeKind = "pause"  // transfers that have begun to close still hand over or roll back
	ChangeResume   ChangeKind = "resume" // ends a pause or an abort
	ChangeAbort    ChangeKind = "abort"  // ends the transfers that have not handed over
	ChangeHandOver ChangeKind = "hand"   // the next epoch is another node's
	ChangeRollBack ChangeKind = "back"   // the next epoch is the same node's
	ChangeEndTask  ChangeKind = "end"    // records a task's status
	ChangeRules    ChangeKind = "rules"  // replaces the rules
	ChangeNodes    ChangeKind = "mark"   // sets what is said of nodes
)

// Change is one step of the map, proposed by an operator or by the rebalancer.
type Change struct {
	Kind          ChangeKind        `cbor:"1,keyasint" json:"kind"`
	BaseVersion   uint64            `cbor:"2,keyasint,omitempty" json:"base"` // that it applies to; 0: any
	Shard         string            `cbor:"3,keyasint,omitempty" json:"shard,omitempty"`
	Epoch         uint64            `cbor:"4,keyasint,omitempty" json:"epoch,omitempty"` // that it replaces
	Node          string            `cbor:"5,keyasint,omitempty" json:"node,omitempty"`
	LastIndex     uint64            `cbor:"6,keyasint,omitempty" json:"last,omitempty"` // of the source's closed log
	Status        TaskStatus        `cbor:"7,keyasint,omitempty" json:"fate,omitempty"`
	Reason        string            `cbor:"8,keyasint,omitempty" json:"why,omitempty"`
	Tasks         []Task            `cbor:"9,keyasint,omitempty" json:"tasks,omitempty"`
	InitialOwners map[string]string `cbor:"10,keyasint,omitempty" json:"shards,omitempty"` // by shard
	Nodes         map[string]Node   `cbor:"11,keyasint,omitempty" json:"nodes,omitempty"`
	Rules         *Rules            `cbor:"12,keyasint,omitempty" json:"rules,omitempty"`
	Replan        bool              `cbor:"13,keyasint,omitempty" json:"again,omitempty"` // an automatic plan
	// ID tells an operator's plan from all others, so that its retry is recognized; "": it can't be retried.
	ID string `cbor:"14,keyasint,omitempty" json:"id,omitempty"`
}

// version is that of a map, 0 for none.
func (m *Map) version() uint64 {
	if m == nil {
		return 0
	}
	return m.Version
}

// pendingTask gives the index of the pending task that takes a shard to a node, "" for any node; -1 for none.
func (m *Map) pendingTask(shard, to string) int {
	return slices.IndexFunc(m.Tasks, func(task Task) bool {
		return task.Status == TaskPending && task.Shard == shard && (to == "" || task.To == to)
	})
}

// hasPending says whether any task is pending.
func (m *Map) hasPending() bool {
	return slices.ContainsFunc(m.Tasks, func(task Task) bool { return task.Status == TaskPending })
}

// TasksFromPlan makes tasks of a plan's moves. A shard has one owner here, so that a restoring move, which needs
// another replica to read, can't be carried out and is left out.
func TasksFromPlan(plan *shardplan.Plan) (tasks []Task) {
	for i, round := range plan.Rounds {
		for _, move := range round {
			if !move.Restore {
				tasks = append(tasks, Task{Shard: move.Shard, From: move.From, To: move.To, Bytes: move.Bytes, Round: i,
					Status: TaskPending})
			}
		}
	}
	return tasks
}
