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
type Place struct {
	Node  string `cbor:"1,keyasint" json:"node"`
	Epoch uint64 `cbor:"2,keyasint" json:"epoch"`
	Last  uint64 `cbor:"3,keyasint" json:"last"`
}

// Fate of a task.
type Fate string

const (
	Waiting Fate = "waiting"
	Done    Fate = "done"
	Failed  Fate = "failed" // it went back to a whole state; a new plan begins from there
	Aborted Fate = "aborted"
)

// Task is one move of the plan.
type Task struct {
	Shard string `cbor:"1,keyasint" json:"shard"`
	From  string `cbor:"2,keyasint" json:"from"`
	To    string `cbor:"3,keyasint" json:"to"`
	Bytes int64  `cbor:"4,keyasint" json:"bytes"`
	Round int    `cbor:"5,keyasint" json:"round"`
	Fate  Fate   `cbor:"6,keyasint" json:"fate"`
	Why   string `cbor:"7,keyasint,omitempty" json:"why,omitempty"`
}

// Rules bound what goes on at a time.
type Rules struct {
	PerNode int     `cbor:"1,keyasint" json:"perNode"` // moves that a node takes part in
	PerZone int     `cbor:"2,keyasint" json:"perZone"` // that go into or out of a zone; 0: not bounded
	All     int     `cbor:"3,keyasint" json:"all"`     // all together; 0: not bounded
	Rate    int64   `cbor:"4,keyasint" json:"rate"`    // bytes a second of each, while its nodes have nothing else to do
	Band    float64 `cbor:"5,keyasint" json:"band"`    // by which a new plan is made
	Reserve float64 `cbor:"6,keyasint" json:"reserve"` // share of a disk that is never planned for
	Growth  float64 `cbor:"7,keyasint" json:"growth"`  // share of a shard's size that it may grow by as it moves
	Replans int     `cbor:"8,keyasint" json:"replans"` // how often a plan is made anew by itself where moves failed
}

// DefaultRules are a new map's.
var DefaultRules = Rules{PerNode: 1, Rate: 8 << 20, Band: 0.1, Reserve: 0.05, Growth: 0.1, Replans: 3}

// Map is all of it.
type Map struct {
	Version uint64           `cbor:"1,keyasint" json:"version"`
	Shards  map[string]Place `cbor:"2,keyasint" json:"shards"`
	Tasks   []Task           `cbor:"3,keyasint" json:"tasks"`
	Paused  bool             `cbor:"4,keyasint" json:"paused"`
	Abort   bool             `cbor:"5,keyasint" json:"abort"` // tasks that have not handed over go back
	Rules   Rules            `cbor:"6,keyasint" json:"rules"`
	Nodes   map[string]Node  `cbor:"7,keyasint" json:"nodes"` // what is said of nodes: who is not named is in
	Replans int              `cbor:"8,keyasint" json:"replans"`
}

// Node is the operator's word on one.
type Node struct {
	Zone  string          `cbor:"1,keyasint" json:"zone"`
	State shardplan.State `cbor:"2,keyasint" json:"state"`
}

// Kind of a change.
type Kind string

const (
	Found  Kind = "found"  // shards with their first holders
	Plan   Kind = "plan"   // tasks take the place of those that were planned
	Pause  Kind = "pause"  // nothing begins; what has begun to close goes on to a whole state
	Resume Kind = "resume" //
	Halt   Kind = "abort"  // tasks that have not handed over go back
	Hand   Kind = "hand"   // the next epoch is another node's
	Back   Kind = "back"   // the next epoch is the same node's
	End    Kind = "end"    // a task is over
	Tune   Kind = "rules"  //
	Mark   Kind = "mark"   // a node is in, leaving or gone
)

// Change is one step of the map, by the operator or by who moves shards. Shard, Epoch and Task say what it is built on.
type Change struct {
	Kind   Kind              `cbor:"1,keyasint" json:"kind"`
	Base   uint64            `cbor:"2,keyasint,omitempty" json:"base"` // version, for an operator's; 0: whichever
	Shard  string            `cbor:"3,keyasint,omitempty" json:"shard,omitempty"`
	Epoch  uint64            `cbor:"4,keyasint,omitempty" json:"epoch,omitempty"`
	Node   string            `cbor:"5,keyasint,omitempty" json:"node,omitempty"`
	Last   uint64            `cbor:"6,keyasint,omitempty" json:"last,omitempty"`
	Fate   Fate              `cbor:"7,keyasint,omitempty" json:"fate,omitempty"`
	Why    string            `cbor:"8,keyasint,omitempty" json:"why,omitempty"`
	Tasks  []Task            `cbor:"9,keyasint,omitempty" json:"tasks,omitempty"`
	Shards map[string]string `cbor:"10,keyasint,omitempty" json:"shards,omitempty"` // first holders
	Nodes  map[string]Node   `cbor:"11,keyasint,omitempty" json:"nodes,omitempty"`
	Rules  *Rules            `cbor:"12,keyasint,omitempty" json:"rules,omitempty"`
	Again  bool              `cbor:"13,keyasint,omitempty" json:"again,omitempty"` // a plan made anew by itself
}

// Apply gives the next map, or says why there is none. What was taken before is taken again without a change.
func (m *Map) Apply(c *Change) (*Map, error) {
	if c.Base != 0 && c.Base != m.version() {
		return nil, fmt.Errorf("version %d is in place, not %d", m.version(), c.Base)
	}
	n := &Map{Rules: DefaultRules, Shards: map[string]Place{}, Nodes: map[string]Node{}}
	if m != nil {
		*n = *m
		n.Shards, n.Nodes, n.Tasks = maps.Clone(m.Shards), maps.Clone(m.Nodes), slices.Clone(m.Tasks)
	} else if c.Kind != Found {
		return nil, fmt.Errorf("no shards were founded yet")
	}
	n.Version++
	if n.Nodes == nil {
		n.Nodes = map[string]Node{}
	}
	p := n.Shards[c.Shard]
	switch c.Kind {
	case Found:
		for shard, node := range c.Shards {
			if shard == "" || node == "" {
				return nil, fmt.Errorf("shard %q: it needs a name and a node", shard)
			}
			if old, there := n.Shards[shard]; there {
				if old.Node != node {
					return nil, fmt.Errorf("shard %q is there, on %q", shard, old.Node)
				}
				continue
			}
			n.Shards[shard] = Place{Node: node, Epoch: 1}
		}
		maps.Copy(n.Nodes, c.Nodes)
	case Plan:
		for _, t := range n.Tasks {
			if t.Fate == Waiting && !c.Again {
				return nil, fmt.Errorf("a plan is under way: pause or abort it first")
			}
		}
		for i, t := range c.Tasks {
			if _, ok := n.Shards[t.Shard]; !ok || t.To == "" || t.From == t.To {
				return nil, fmt.Errorf("task %d: no such shard, or nowhere to go", i)
			}
		}
		n.Tasks, n.Abort, n.Replans = slices.Clone(c.Tasks), false, 0
		if c.Again {
			n.Replans = m.Replans + 1
		}
		for i := range n.Tasks {
			n.Tasks[i].Fate, n.Tasks[i].Why = Waiting, ""
		}
	case Pause:
		n.Paused = true
	case Resume:
		n.Paused, n.Abort = false, false
	case Halt:
		n.Abort = true
	case Hand:
		if p.Epoch == c.Epoch+1 && p.Node == c.Node {
			return m, nil
		}
		if p.Epoch != c.Epoch || c.Node == "" || c.Node == p.Node {
			return nil, fmt.Errorf("shard %s is on %s by epoch %d", c.Shard, p.Node, p.Epoch)
		}
		n.Shards[c.Shard] = Place{c.Node, p.Epoch + 1, c.Last}
	case Back:
		if p.Epoch != c.Epoch || c.Node != p.Node {
			return nil, fmt.Errorf("shard %s is on %s by epoch %d", c.Shard, p.Node, p.Epoch)
		}
		n.Shards[c.Shard] = Place{p.Node, p.Epoch + 1, 0}
	case End:
		i := n.task(c.Shard, c.Node)
		if i < 0 {
			return m, nil
		}
		n.Tasks[i].Fate, n.Tasks[i].Why = c.Fate, c.Why
	case Tune:
		if r := c.Rules; r == nil || r.PerNode < 1 || r.PerZone < 0 || r.All < 0 || r.Rate < 1 || r.Band < 0 ||
			r.Reserve < 0 || r.Reserve >= 1 || r.Growth < 0 || r.Replans < 0 {
			return nil, fmt.Errorf("rules: perNode and rate from 1 on, reserve below 1, the others from 0 on")
		}
		n.Rules = *c.Rules
	case Mark:
		for id, node := range c.Nodes {
			if id == "" || node.State != shardplan.In && node.State != shardplan.Leaving && node.State != shardplan.Gone {
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
func (m *Map) task(shard, to string) int {
	return slices.IndexFunc(m.Tasks, func(t Task) bool {
		return t.Fate == Waiting && t.Shard == shard &&
			(to == "" || t.To == to)
	})
}

// FromPlan makes tasks of a plan's moves. A copy of a holder that is gone can't be read by one that moves single
// holders.
func FromPlan(p *shardplan.Plan) (tasks []Task) {
	for i, round := range p.Rounds {
		for _, mv := range round {
			if !mv.Copy {
				tasks = append(tasks, Task{Shard: mv.Shard, From: mv.From, To: mv.To, Bytes: mv.Bytes, Round: i, Fate: Waiting})
			}
		}
	}
	return tasks
}
