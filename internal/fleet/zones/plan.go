package zones

// This file defines the plan and its parts.

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
)

// Zone is the state of one zone in a plan.
type Zone struct {
	Name  string `cbor:"1,keyasint" json:"zone"`
	State State  `cbor:"2,keyasint" json:"state"`
	Cause Cause  `cbor:"3,keyasint,omitempty" json:"cause,omitempty"`
	// Capacity is the usable fraction of its members' capacity, 0 to 1.
	Capacity float64 `cbor:"4,keyasint" json:"part"`
	Flaps    int     `cbor:"5,keyasint,omitempty" json:"flaps,omitempty"` // failed recoveries that were not forgiven
}

// Partition is a pair of zones where drivers in From do not reach members in To. It implies nothing about the other
// direction.
type Partition struct {
	From string `cbor:"1,keyasint" json:"from"`
	To   string `cbor:"2,keyasint" json:"to"`
}

// Flow is the share, 0 to 1, of a zone's reads that another zone serves. Reads without a flow stay local.
type Flow struct {
	From  string  `cbor:"1,keyasint" json:"from"`
	To    string  `cbor:"2,keyasint" json:"to"`
	Share float64 `cbor:"3,keyasint" json:"share"`
}

// Move requests from the topology manager to move a group's primary to another zone.
type Move struct {
	Group int64  `cbor:"1,keyasint" json:"group"`
	From  string `cbor:"2,keyasint" json:"from"`
	To    string `cbor:"3,keyasint" json:"to"`
}

// Evacuation is an operator's command to keep a zone out of service.
type Evacuation struct {
	Zone string `cbor:"1,keyasint" json:"zone"`
	// RemainingHeartbeats is the remaining time in leader heartbeats, rounded up to a multiple of 60; 0: until revoked.
	RemainingHeartbeats uint64 `cbor:"2,keyasint" json:"beats_left"`
}

// Plan is the plan that all drivers follow. Each plan contains the checksum of its predecessor, so that plans form a
// chain.
type Plan struct {
	Epoch       uint64       `cbor:"1,keyasint" json:"epoch"`  // 1 for the first plan, incremented by each successor
	BaseSum     uint64       `cbor:"2,keyasint" json:"base"`   // checksum of the previous plan; 0 for the first
	Voters      []string     `cbor:"3,keyasint" json:"voters"` // sorted, unique; they decide on the next plan
	Zones       []Zone       `cbor:"4,keyasint,omitempty" json:"zones"`
	Partitions  []Partition  `cbor:"5,keyasint,omitempty" json:"cuts,omitempty"`
	Flows       []Flow       `cbor:"6,keyasint,omitempty" json:"flows,omitempty"`
	Moves       []Move       `cbor:"7,keyasint,omitempty" json:"moves,omitempty"` // requested while the plan is in force
	Evacuations []Evacuation `cbor:"8,keyasint,omitempty" json:"orders,omitempty"`
	Frozen      bool         `cbor:"9,keyasint,omitempty" json:"frozen,omitempty"` // only voters may change
	// BindingConstraints describe the limits that prevent better Flows, as text for operators.
	BindingConstraints []string `cbor:"10,keyasint,omitempty" json:"binds,omitempty"`
}

// Bounds of a plan received from a peer.
const (
	maxZones     = 64
	maxVoters    = 9
	maxNameBytes = 64 // bytes of the name of a zone or driver
	maxMoves     = 256
)

// valid reports whether a plan from a peer or from disk is within bounds.
func (p *Plan) valid() bool {
	return p.Epoch > 0 && p.validSizes() && p.validVoters() && p.validZones() &&
		!slices.ContainsFunc(p.Flows, func(f Flow) bool { return !(f.Share >= 0 && f.Share <= 1.001) })
}

func (p *Plan) validSizes() bool {
	return len(p.Zones) <= maxZones &&
		len(p.Partitions) <= maxZones*maxZones &&
		len(p.Flows) <= maxZones*maxZones &&
		len(p.Moves) <= maxMoves &&
		len(p.Evacuations) <= maxZones &&
		len(p.BindingConstraints) <= 2*maxZones
}

func (p *Plan) validVoters() bool {
	if len(p.Voters) == 0 || len(p.Voters) > maxVoters || !slices.IsSorted(p.Voters) {
		return false
	}
	for i, v := range p.Voters {
		if v == "" || len(v) > maxNameBytes || i > 0 && v == p.Voters[i-1] {
			return false
		}
	}
	return true
}

func (p *Plan) validZones() bool {
	for _, zone := range p.Zones {
		if zone.Name == "" || len(zone.Name) > maxNameBytes || zone.State > Recovering {
			return false
		}
		if !(zone.Capacity >= 0 && zone.Capacity <= 1) { // the negation also rejects NaN
			return false
		}
	}
	return true
}

// sum returns the checksum of a plan, which by BaseSum covers all earlier plans as well.
func (p *Plan) sum() uint64 {
	if p == nil {
		return 0
	}
	b, err := json.Marshal(p) // fields in order, no maps
	if err != nil {
		return 0
	}
	h := fnv.New64a()
	h.Write(b)
	return h.Sum64()
}

// zone returns the state of one zone in the plan, or a serving zone with full capacity if the plan does not contain it.
func (p *Plan) zone(name string) Zone {
	if p != nil {
		if i := slices.IndexFunc(p.Zones, func(z Zone) bool { return z.Name == name }); i >= 0 {
			return p.Zones[i]
		}
	}
	return Zone{Name: name, Capacity: 1}
}

// partitioned reports whether drivers of one zone do not reach members of another.
func (p *Plan) partitioned(from, to string) bool {
	return p != nil && slices.Contains(p.Partitions, Partition{from, to})
}

// reaches reports the opposite of partitioned.
func (p *Plan) reaches(from, to string) bool { return !p.partitioned(from, to) }

// share returns the share of a zone's reads that another zone, or itself, serves.
func (p *Plan) share(from, to string) float64 {
	local := 1.0
	for _, f := range p.Flows {
		if f.From == from && f.To == to {
			return f.Share
		}
		if f.From == from {
			local -= f.Share
		}
	}
	if from == to {
		return max(local, 0)
	}
	return 0
}

// equivalent reports whether two plans are equal except for their epochs and predecessors.
func (p *Plan) equivalent(other *Plan) bool {
	a, b := *p, *other
	a.Epoch, a.BaseSum, b.Epoch, b.BaseSum = 0, 0, 0, 0
	return a.sum() == b.sum()
}

// sort brings a plan's parts into their canonical order, because its checksum depends on it.
func (p *Plan) sort() {
	slices.Sort(p.Voters)
	slices.SortFunc(p.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(p.Partitions, func(a, b Partition) int {
		return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To))
	})
	slices.SortFunc(p.Flows, func(a, b Flow) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	slices.SortFunc(p.Moves, func(a, b Move) int { return cmp.Compare(a.Group, b.Group) })
	slices.SortFunc(p.Evacuations, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
}
