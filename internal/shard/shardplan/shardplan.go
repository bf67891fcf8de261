// Package shardplan plans how shards are placed on nodes and in which order they move there.
//
// This file owns the words and what a placement must keep. The package does no I/O and reads no clock. It must never
// say a move in whose course a node holds more than its room, counting both copies of what moves.
package shardplan

import (
	"cmp"
	"fmt"
	"slices"
)

// State of a node.
type NodeState string

const (
	NodeActive   NodeState = "in"
	NodeDraining NodeState = "leaving" // it holds what it has, and is to hold nothing
	NodeLost     NodeState = "gone"    // what it held can't be read there
)

// Node holds copies of shards.
type Node struct {
	ID       string    `json:"id"`
	Zone     string    `json:"zone"`
	Capacity int64     `json:"limit"`   // bytes of its disk
	External int64     `json:"foreign"` // of them used by others
	State    NodeState `json:"state"`
}

// Shard is moved as a whole.
type Shard struct {
	ID          string   `json:"id"`
	Size        int64    `json:"size"`   // bytes
	Growth      int64    `json:"growth"` // bytes it may grow by while it moves
	RequestRate float64  `json:"heat"`   // requests a second
	Replicas    []string `json:"on"`     // nodes that hold a copy
}

// Rules are what a plan goes by.
type Rules struct {
	BalanceBand     float64 `json:"band"`    // a node's share of use may differ so much from the mean's
	ReservedShare   float64 `json:"reserve"` // share of a disk's limit that is never planned for
	SpreadZones     bool    `json:"apart"`   // no two copies of a shard in one zone, where there are zones enough
	MaxMovesPerNode int     `json:"round"`   // copies that one node takes or gives at a time
}

// Cluster is what there is.
type Cluster struct {
	Nodes  []Node  `json:"nodes"`
	Shards []Shard `json:"shards"`
	Rules  Rules   `json:"rules"`
}

// Move takes a copy from a node to another. Via says that it only makes room: the copy goes on from there.
type Move struct {
	Shard   string `json:"shard"`
	From    string `json:"from"`
	To      string `json:"to"`
	Bytes   int64  `json:"bytes"`
	Staging bool   `json:"via,omitempty"`
	Restore bool   `json:"copy,omitempty"` // the holder is gone: another copy is read, and none is dropped
}

// Plan is moves in rounds: those of one round may go on together.
type Plan struct {
	Rounds     [][]Move `json:"rounds"`
	Bytes      int64    `json:"bytes"`
	LowerBound int64    `json:"bound"`         // no plan moves less
	Unplaced   []string `json:"why,omitempty"` // what could not be done, and which node and bytes bind
	// nodes that stay outside of their band, as no shard is of a size that would help
	OutOfBand []string `json:"off,omitempty"`
}

type place struct {
	Node
	room int64 // for shards
	load int64
	heat float64
	held map[int]bool // shards by index
}

type board struct {
	c     *Cluster
	nodes []*place
	byID  map[string]*place
	zones int
	hi    map[*place]int64
	lo    map[*place]int64
}

// Check says what is wrong with a cluster, nil for nothing.
func (c *Cluster) Validate() error {
	ids := map[string]bool{}
	for _, n := range c.Nodes {
		if n.ID == "" || ids[n.ID] {
			return fmt.Errorf("node %q: it needs a name of its own", n.ID)
		}
		if n.Capacity < 0 || n.External < 0 || n.State != NodeActive && n.State != NodeDraining && n.State != NodeLost {
			return fmt.Errorf("node %q: limit and foreign are bytes from 0 on, state is in, leaving or gone", n.ID)
		}
		ids[n.ID] = true
	}
	shards := map[string]bool{}
	for _, s := range c.Shards {
		if s.ID == "" || shards[s.ID] || s.Size < 0 || s.Growth < 0 || len(s.Replicas) == 0 {
			return fmt.Errorf("shard %q: it needs a name of its own, sizes from 0 on and a node that holds it", s.ID)
		}
		shards[s.ID] = true
		for i, on := range s.Replicas {
			if !ids[on] || slices.Contains(s.Replicas[:i], on) {
				return fmt.Errorf("shard %q is on %q, which is no node or named twice", s.ID, on)
			}
		}
	}
	if r := c.Rules; r.BalanceBand < 0 || r.ReservedShare < 0 || r.ReservedShare >= 1 || r.MaxMovesPerNode < 0 {
		return fmt.Errorf("rules: band from 0 on, reserve from 0 to below 1, round from 0 on")
	}
	return nil
}

func newBoard(c *Cluster) *board {
	b := &board{c: c, byID: map[string]*place{}, hi: map[*place]int64{}, lo: map[*place]int64{}}
	zones := map[string]bool{}
	for _, n := range c.Nodes {
		p := &place{Node: n, held: map[int]bool{}}
		if n.State == NodeActive {
			p.room = max(0, n.Capacity-n.External-int64(float64(n.Capacity)*c.Rules.ReservedShare))
			zones[n.Zone] = true
		}
		b.nodes = append(b.nodes, p)
		b.byID[n.ID] = p
	}
	b.zones = len(zones)
	for i, s := range c.Shards {
		for _, on := range s.Replicas {
			b.put(b.byID[on], i)
		}
	}
	total, room := 0.0, 0.0
	for _, s := range c.Shards {
		total += float64(s.Size) * float64(len(s.Replicas))
	}
	for _, p := range b.nodes {
		room += float64(p.room)
	}
	for _, p := range b.nodes {
		if p.State != NodeActive || room == 0 {
			continue
		}
		mean := float64(p.room) * total / room
		b.hi[p] = min(p.room, int64(mean*(1+c.Rules.BalanceBand)))
		b.lo[p] = int64(mean * (1 - c.Rules.BalanceBand))
	}
	return b
}

func (b *board) put(p *place, i int) {
	p.held[i] = true
	p.load += b.c.Shards[i].Size
	p.heat += b.c.Shards[i].RequestRate
}

func (b *board) take(p *place, i int) {
	delete(p.held, i)
	p.load -= b.c.Shards[i].Size
	p.heat -= b.c.Shards[i].RequestRate
}

// apart says whether a copy of shard i may be at p beside those that others hold, leaving out one.
func (b *board) apart(p *place, i int, holders []*place, out *place) bool {
	if !b.c.Rules.SpreadZones || b.zones < len(holders) {
		return true
	}
	return !slices.ContainsFunc(holders, func(o *place) bool { return o != out && o != p && o.Zone == p.Zone })
}

// Bound is what any plan must move at least: what leaves nodes that go or are over their band, or what comes to those
// under it.
func (b *board) bound() int64 {
	leave, over, under := int64(0), int64(0), int64(0)
	for _, p := range b.nodes {
		if p.State != NodeActive {
			leave += p.load
			continue
		}
		over += max(0, p.load-b.hi[p])
		under += max(0, b.lo[p]-p.load)
	}
	return max(leave+over, under)
}

// Bound is the same for a cluster.
func (c *Cluster) LowerBound() int64 { return newBoard(c).bound() }

func byLoad(a, b *place) int {
	return cmp.Or(cmp.Compare(float64(b.load)/float64(max(b.room, 1)), float64(a.load)/float64(max(a.room, 1))),
		cmp.Compare(a.ID, b.ID))
}
