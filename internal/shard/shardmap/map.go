package shardmap

// This file defines the map as it is replicated and stored, and the changes that apply to it.

import (
	"slices"

	"weirwind/internal/shard/shardplan"
)

// Assignment names the owner of a shard.
type Assignment struct {
	Node          string `cbor:"1,keyasint" json:"node"`
	Epoch         uint64 `cbor:"2,keyasint" json:"epoch"` // incremented by each change of the assignment
	RequiredIndex uint64 `cbor:"3,keyasint" json:"last"`  // the last index that the owner's log needs to activate
}

// TaskStatus is the status of a task. Its values are stored and reported.
type TaskStatus string

// The statuses of a task.
const (
	TaskPending TaskStatus = "waiting"
	TaskDone    TaskStatus = "done"
	TaskFailed  TaskStatus = "failed"  // the transfer was abandoned or rolled back; a new plan may replace the task
	TaskAborted TaskStatus = "aborted" // the operator aborted it
)

// Task moves one shard, as part of the plan.
type Task struct {
	Shard  string     `cbor:"1,keyasint" json:"shard"`
	From   string     `cbor:"2,keyasint" json:"from"`
	To     string     `cbor:"3,keyasint" json:"to"`
	Bytes  int64      `cbor:"4,keyasint" json:"bytes"`
	Round  int        `cbor:"5,keyasint" json:"round"` // the task starts when both nodes have finished all lower rounds
	Status TaskStatus `cbor:"6,keyasint" json:"fate"`
	Reason string     `cbor:"7,keyasint,omitempty" json:"why,omitempty"` // why the task failed or was aborted
}

// Rules limit plans and transfers.
type Rules struct {
	MaxPerNode     int     `cbor:"1,keyasint" json:"perNode"` // concurrent transfers from or to a node
	MaxPerZone     int     `cbor:"2,keyasint" json:"perZone"` // concurrent transfers from or to a zone; 0: unlimited
	MaxTotal       int     `cbor:"3,keyasint" json:"all"`     // concurrent transfers; 0: unlimited
	BytesPerSecond int64   `cbor:"4,keyasint" json:"rate"`    // rate of each transfer while its nodes are idle
	BalanceBand    float64 `cbor:"5,keyasint" json:"band"`    // see shardplan.Rules
	ReservedShare  float64 `cbor:"6,keyasint" json:"reserve"` // see shardplan.Rules
	GrowthShare    float64 `cbor:"7,keyasint" json:"growth"`  // share of its size by which a shard may grow while it moves
	MaxReplans     int     `cbor:"8,keyasint" json:"replans"` // automatic plans in a row after a plan with failed tasks
}

// DefaultRules are the rules of a new map.
var DefaultRules = Rules{MaxPerNode: 1, BytesPerSecond: 8 << 20, BalanceBand: 0.1, ReservedShare: 0.05,
	GrowthShare: 0.1, MaxReplans: 3}

// valid reports whether all rules are within their ranges.
func (r *Rules) valid() bool {
	return r.MaxPerNode >= 1 && r.MaxPerZone >= 0 && r.MaxTotal >= 0 && r.BytesPerSecond >= 1 && r.BalanceBand >= 0 &&
		r.ReservedShare >= 0 && r.ReservedShare < 1 && r.GrowthShare >= 0 && r.MaxReplans >= 0
}

// Map is the replicated state. It is immutable: Apply returns a new version.
type Map struct {
	Version  uint64                `cbor:"1,keyasint" json:"version"` // incremented by each change
	Shards   map[string]Assignment `cbor:"2,keyasint" json:"shards"`
	Tasks    []Task                `cbor:"3,keyasint" json:"tasks"`  // the tasks of the newest plan, in its order
	Paused   bool                  `cbor:"4,keyasint" json:"paused"` // no transfer starts or copies
	Aborting bool                  `cbor:"5,keyasint" json:"abort"`  // transfers that have not handed over are aborted
	Rules    Rules                 `cbor:"6,keyasint" json:"rules"`
	Nodes    map[string]Node       `cbor:"7,keyasint" json:"nodes"` // by id; a node without an entry is active
	// Replans counts the automatic plans since the operator's last plan.
	Replans int    `cbor:"8,keyasint" json:"replans"`
	PlanID  string `cbor:"9,keyasint,omitempty" json:"planId,omitempty"` // the ID of the newest plan that had one
}

// Node holds a node's zone and the state that the operator has set for it.
type Node struct {
	Zone  string              `cbor:"1,keyasint" json:"zone"`
	State shardplan.NodeState `cbor:"2,keyasint" json:"state"`
}

// ChangeKind is the kind of a Change. Its values are stored and used in operators' calls.
type ChangeKind string

// The kinds of changes; apply.go has a function for each.
const (
	ChangeCreate   ChangeKind = "found"  // adds shards with their first owners
	ChangePlan     ChangeKind = "plan"   // replaces the tasks
	ChangePause    ChangeKind = "pause"  // stops copying; transfers in or after phaseClosing still complete or roll back
	ChangeResume   ChangeKind = "resume" // ends a pause or an abort
	ChangeAbort    ChangeKind = "abort"  // aborts the transfers that have not handed over
	ChangeHandOver ChangeKind = "hand"   // assigns the next epoch to another node
	ChangeRollBack ChangeKind = "back"   // assigns the next epoch to the same node
	ChangeEndTask  ChangeKind = "end"    // records a task's status
	ChangeRules    ChangeKind = "rules"  // replaces the rules
	ChangeNodes    ChangeKind = "mark"   // sets the zones and states of nodes
)

// Change is a change of the map, proposed by an operator or by the rebalancer.
type Change struct {
	Kind          ChangeKind        `cbor:"1,keyasint" json:"kind"`
	BaseVersion   uint64            `cbor:"2,keyasint,omitempty" json:"base"` // the version to change; 0: any
	Shard         string            `cbor:"3,keyasint,omitempty" json:"shard,omitempty"`
	Epoch         uint64            `cbor:"4,keyasint,omitempty" json:"epoch,omitempty"` // the epoch to replace
	Node          string            `cbor:"5,keyasint,omitempty" json:"node,omitempty"`
	LastIndex     uint64            `cbor:"6,keyasint,omitempty" json:"last,omitempty"` // of the source's closed log
	Status        TaskStatus        `cbor:"7,keyasint,omitempty" json:"fate,omitempty"`
	Reason        string            `cbor:"8,keyasint,omitempty" json:"why,omitempty"`
	Tasks         []Task            `cbor:"9,keyasint,omitempty" json:"tasks,omitempty"`
	InitialOwners map[string]string `cbor:"10,keyasint,omitempty" json:"shards,omitempty"` // by shard
	Nodes         map[string]Node   `cbor:"11,keyasint,omitempty" json:"nodes,omitempty"`
	Rules         *Rules            `cbor:"12,keyasint,omitempty" json:"rules,omitempty"`
	Replan        bool              `cbor:"13,keyasint,omitempty" json:"again,omitempty"` // an automatic plan
	// ID identifies an operator's plan, so that a retry of it is recognized; "": the plan can't be retried.
	ID string `cbor:"14,keyasint,omitempty" json:"id,omitempty"`
}

// version returns the map's version, or 0 for a nil map.
func (m *Map) version() uint64 {
	if m == nil {
		return 0
	}
	return m.Version
}

// pendingTask returns the index of the pending task that moves a shard to a node ("" for any node), or -1.
func (m *Map) pendingTask(shard, to string) int {
	return slices.IndexFunc(m.Tasks, func(task Task) bool {
		return task.Status == TaskPending && task.Shard == shard && (to == "" || task.To == to)
	})
}

// hasPending reports whether any task is pending.
func (m *Map) hasPending() bool {
	return slices.ContainsFunc(m.Tasks, func(task Task) bool { return task.Status == TaskPending })
}

// TasksFromPlan converts a plan's moves to tasks. It leaves out restoring moves: they need a second replica to read
// from, and a shard of this package has only its owner's.
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
