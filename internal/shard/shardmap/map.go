// Package shardmap decides which node holds each shard and how one is moved to another.
//
// This file owns the map: the operator's word on who holds what, which the core agrees on, and the changes that it may
// undergo. The package does no I/O and reads no clock. A shard has one holder by one epoch, and no epoch is ever given
// out twice.
package shardmap

import (
	"fmt"
	"maps"
	"slices"

	"weirwind/internal/shard/shardplan"
)

// Place is who holds a shard, by which epoch. Last is what it must have to open.
type Assignment struct {
	Node          string `cbor:"1,keyasint" json:"node"`
	Epoch         uint64 `cbor:"2,keyasint" json:"epoch"`
	RequiredIndex uint64 `cbor:"3,keyasint" json:"last"`
}

// Fate of a task.
type TaskStatus string

const (
	TaskPending TaskStatus = "waiting"
	TaskDone    TaskStatus = "done"
	TaskFailed  TaskStatus = "failed" // it went back to a whole state; a new plan begins from there
	TaskAborted TaskStatus = "aborted"
)

// Task is one move of the plan.
type Task struct {
	Shard  string     `cbor:"1,keyasint" json:"shard"`
	From   string     `cbor:"2,keyasint" json:"from"`
	To     string     `cbor:"3,keyasint" json:"to"`
	Bytes  int64      `cbor:"4,keyasint" json:"bytes"`
	Round  int        `cbor:"5,keyasint" json:"round"`
	Status TaskStatus `cbor:"6,keyasint" json:"fate"`
	Reason string     `cbor:"7,keyasint,omitempty" json:"why,omitempty"`
}

// Rules bound what goes on at a time.
type Rules struct {
	MaxPerNode     int     `cbor:"1,keyasint" json:"perNode"` // moves that a node takes part in
	MaxPerZone     int     `cbor:"2,keyasint" json:"perZone"` // that go into or out of a zone; 0: not bounded
	MaxTotal       int     `cbor:"3,keyasint" json:"all"`     // all together; 0: not bounded
	BytesPerSecond int64   `cbor:"4,keyasint" json:"rate"`    // bytes a second of each, while its nodes have nothing else to do
	BalanceBand    float64 `cbor:"5,keyasint" json:"band"`    // by which a new plan is made
	ReservedShare  float64 `cbor:"6,keyasint" json:"reserve"` // share of a disk that is never planned for
	GrowthShare    float64 `cbor:"7,keyasint" json:"growth"`  // share of a shard's size that it may grow by as it moves
	MaxReplans     int     `cbor:"8,keyasint" json:"replans"` // how often a plan is made anew by itself where moves failed
}

// DefaultRules are a new map's.
var DefaultRules = Rules{MaxPerNode: 1, BytesPerSecond: 8 << 20, BalanceBand: 0.1, ReservedShare: 0.05, GrowthShare: 0.1, MaxReplans: 3}

// Map is all of it.
type Map struct {
	Version  uint64                `cbor:"1,keyasint" json:"version"`
	Shards   map[string]Assignment `cbor:"2,keyasint" json:"shards"`
	Tasks    []Task                `cbor:"3,keyasint" json:"tasks"`
	Paused   bool                  `cbor:"4,keyasint" json:"paused"`
	Aborting bool                  `cbor:"5,keyasint" json:"abort"` // tasks that have not handed over go back
	Rules    Rules                 `cbor:"6,keyasint" json:"rules"`
	Nodes    map[string]Node       `cbor:"7,keyasint" json:"nodes"` // what is said of nodes: who is not named is in
	Replans  int                   `cbor:"8,keyasint" json:"replans"`
}

// Node is the operator's word on one.
type Node struct {
	Zone  string              `cbor:"1,keyasint" json:"zone"`
	State shardplan.NodeState `cbor:"2,keyasint" json:"state"`
}

// Kind of a change.
type ChangeKind string

const (
	ChangeCreate   ChangeKind = "found"  // shards with their first holders
	ChangePlan     ChangeKind = "plan"   // tasks take the place of those that were planned
	ChangePause    ChangeKind = "pause"  // nothing begins; what has begun to close goes on to a whole state
	ChangeResume   ChangeKind = "resume" //
	ChangeAbort    ChangeKind = "abort"  // tasks that have not handed over go back
	ChangeHandOver ChangeKind = "hand"   // the next epoch is another node's
	ChangeRollBack ChangeKind = "back"   // the next epoch is the same node's
	ChangeEndTask  ChangeKind = "end"    // a task is over
	ChangeRules    ChangeKind = "rules"  //
	ChangeNodes    ChangeKind = "mark"   // a node is in, leaving or gone
)

// Change is one step of the map, by the operator or by who moves shards. Shard, Epoch and Task say what it is built on.
type Change struct {
	Kind          ChangeKind        `cbor:"1,keyasint" json:"kind"`
	BaseVersion   uint64            `cbor:"2,keyasint,omitempty" json:"base"` // version, for an operator's; 0: whichever
	Shard         string            `cbor:"3,keyasint,omitempty" json:"shard,omitempty"`
	Epoch         uint64            `cbor:"4,keyasint,omitempty" json:"epoch,omitempty"`
	Node          string            `cbor:"5,keyasint,omitempty" json:"node,omitempty"`
	LastIndex     uint64            `cbor:"6,keyasint,omitempty" json:"last,omitempty"`
	Status        TaskStatus        `cbor:"7,keyasint,omitempty" json:"fate,omitempty"`
	Reason        string            `cbor:"8,keyasint,omitempty" json:"why,omitempty"`
	Tasks         []Task            `cbor:"9,keyasint,omitempty" json:"tasks,omitempty"`
	InitialOwners map[string]string `cbor:"10,keyasint,omitempty" json:"shards,omitempty"` // first holders
	Nodes         map[string]Node   `cbor:"11,keyasint,omitempty" json:"nodes,omitempty"`
	Rules         *Rules            `cbor:"12,keyasint,omitempty" json:"rules,omitempty"`
	Replan        bool              `cbor:"13,keyasint,omitempty" json:"again,omitempty"` // a plan made anew by itself
}

// Apply gives the next map, or says why there is none. What was taken before is taken again without a change.
func (m *Map) Apply(c *Change) (*Map, error) {
	if c.BaseVersion != 0 && c.BaseVersion != m.version() {
		return nil, fmt.Errorf("version %d is in place, not %d", m.version(), c.BaseVersion)
	}
	n := &Map{Rules: DefaultRules, Shards: map[string]Assignment{}, Nodes: map[string]Node{}}
	if m != nil {
		*n = *m
		n.Shards, n.Nodes, n.Tasks = maps.Clone(m.Shards), maps.Clone(m.Nodes), slices.Clone(m.Tasks)
	} else if c.Kind != ChangeCreate {
		return nil, fmt.Errorf("no shards were founded yet")
	}
	n.Version++
	if n.Nodes == nil {
		n.Nodes = map[string]Node{}
	}
	p := n.Shards[c.Shard]
	switch c.Kind {
	case ChangeCreate:
		for shard, node := range c.InitialOwners {
			if shard == "" || node == "" {
				return nil, fmt.Errorf("shard %q: it needs a name and a node", shard)
			}
			if old, there := n.Shards[shard]; there {
				if old.Node != node {
					return nil, fmt.Errorf("shard %q is there, on %q", shard, old.Node)
				}
				continue
			}
			n.Shards[shard] = Assignment{Node: node, Epoch: 1}
		}
		maps.Copy(n.Nodes, c.Nodes)
	case ChangePlan:
		for _, t := range n.Tasks {
			if t.Status == TaskPending && !c.Replan {
				return nil, fmt.Errorf("a plan is under way: pause or abort it first")
			}
		}
		for i, t := range c.Tasks {
			if _, ok := n.Shards[t.Shard]; !ok || t.To == "" || t.From == t.To {
				return nil, fmt.Errorf("task %d: no such shard, or nowhere to go", i)
			}
		}
		n.Tasks, n.Aborting, n.Replans = slices.Clone(c.Tasks), false, 0
		if c.Replan {
			n.Replans = m.Replans + 1
		}
		for i := range n.Tasks {
			n.Tasks[i].Status, n.Tasks[i].Reason = TaskPending, ""
		}
	case ChangePause:
		n.Paused = true
	case ChangeResume:
		n.Paused, n.Aborting = false, false
	case ChangeAbort:
		n.Aborting = true
	case ChangeHandOver:
		if p.Epoch == c.Epoch+1 && p.Node == c.Node {
			return m, nil
		}
		if p.Epoch != c.Epoch || c.Node == "" || c.Node == p.Node {
			return nil, fmt.Errorf("shard %s is on %s by epoch %d", c.Shard, p.Node, p.Epoch)
		}
		n.Shards[c.Shard] = Assignment{c.Node, p.Epoch + 1, c.LastIndex}
	case ChangeRollBack:
		if p.Epoch != c.Epoch || c.Node != p.Node {
			return nil, fmt.Errorf("shard %s is on %s by epoch %d", c.Shard, p.Node, p.Epoch)
		}
		n.Shards[c.Shard] = Assignment{p.Node, p.Epoch + 1, 0}
	case ChangeEndTask:
		i := n.pendingTask(c.Shard, c.Node)
		if i < 0 {
			return m, nil
		}
		n.Tasks[i].Status, n.Tasks[i].Reason = c.Status, c.Reason
	case ChangeRules:
		if r := c.Rules; r == nil || r.MaxPerNode < 1 || r.MaxPerZone < 0 || r.MaxTotal < 0 || r.BytesPerSecond < 1 || r.BalanceBand < 0 ||
			r.ReservedShare < 0 || r.ReservedShare >= 1 || r.GrowthShare < 0 || r.MaxReplans < 0 {
			return nil, fmt.Errorf("rules: perNode and rate from 1 on, reserve below 1, the others from 0 on")
		}
		n.Rules = *c.Rules
	case ChangeNodes:
		for id, node := range c.Nodes {
			if id == "" || node.State != shardplan.NodeActive && node.State != shardplan.NodeDraining && node.State != shardplan.NodeLost {
				return nil, fmt.Errorf("node %q: its state is in, leaving or gone", id)
			}
			n.Nodes[id] = node
		}
	default:
		return nil, fmt.Errorf("no such change: %q", c.Kind)
	}
	return n, nil
}

func (m *Map) version() uint64 {
	if m == nil {
		return 0
	}
	return m.Version
}

// task gives the waiting task that takes a shard to a node, -1 for none.
func (m *Map) pendingTask(shard, to string) int {
	return slices.IndexFunc(m.Tasks, func(t Task) bool {
		return t.Status == TaskPending && t.Shard == shard &&
			(to == "" || t.To == to)
	})
}

// FromPlan makes tasks of a plan's moves. A copy of a holder that is gone can't be read by one that moves single
// holders.
func TasksFromPlan(p *shardplan.Plan) (tasks []Task) {
	for i, round := range p.Rounds {
		for _, mv := range round {
			if !mv.Restore {
				tasks = append(tasks, Task{Shard: mv.Shard, From: mv.From, To: mv.To, Bytes: mv.Bytes, Round: i, Status: TaskPending})
			}
		}
	}
	return tasks
}
