package zones

// This file owns the plan and its parts.

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"
)

// Zone is one zone's part of a plan.
type Zone struct {
	Name  string `cbor:"1,keyasint" json:"zone"`
	State State  `cbor:"2,keyasint" json:"state"`
	Cause Cause  `cbor:"3,keyasint,omitempty" json:"cause,omitempty"`
	// Capacity is the fraction of what its members can do that may be used, 0 to 1.
	Capacity float64 `cbor:"4,keyasint" json:"part"`
	Flaps    int     `cbor:"5,keyasint,omitempty" json:"flaps,omitempty"` // recoveries that failed, and aren't forgiven
}

// Partition is a pair of zones of which drivers in From do not reach members in To. It says nothing of the other
// direction.
type Partition struct {
	From string `cbor:"1,keyasint" json:"from"`
	To   string `cbor:"2,keyasint" json:"to"`
}

// Flow is the share, 0 to 1, of a zone's reads that another one serves. Reads that no flow names stay local.
type Flow struct {
	From  string  `cbor:"1,keyasint" json:"from"`
	To    string  `cbor:"2,keyasint" json:"to"`
	Share float64 `cbor:"3,keyasint" json:"share"`
}

// Move asks the topology manager for a group's primary in another zone.
type Move struct {
	Group int64  `cbor:"1,keyasint" json:"group"`
	From  string `cbor:"2,keyasint" json:"from"`
	To    string `cbor:"3,keyasint" json:"to"`
}

// Evacuation is an order of operators to keep a zone out of service.
type Evacuation struct {
	Zone string `cbor:"1,keyasint" json:"zone"`
	// RemainingHeartbeats are those of the leader for which it lasts, rounded up to a multiple of 60; 0: until revoked.
	RemainingHeartbeats uint64 `cbor:"2,keyasint" json:"beats_left"`
}

// Plan is what all drivers follow. Each follows one that it names by its checksum, so that plans form a chain.
type Plan struct {
	Epoch       uint64       `cbor:"1,keyasint" json:"epoch"`  // 1 for the first plan, each next one is one higher
	BaseSum     uint64       `cbor:"2,keyasint" json:"base"`   // checksum of the plan before; 0 for the first
	Voters      []string     `cbor:"3,keyasint" json:"voters"` // sorted, unique; they decide on the next plan
	Zones       []Zone       `cbor:"4,keyasint,omitempty" json:"zones"`
	Partitions  []Partition  `cbor:"5,keyasint,omitempty" json:"cuts,omitempty"`
	Flows       []Flow       `cbor:"6,keyasint,omitempty" json:"flows,omitempty"`
	Moves       []Move       `cbor:"7,keyasint,omitempty" json:"moves,omitempty"` // due while the plan is in force
	Evacuations []Evacuation `cbor:"8,keyasint,omitempty" json:"orders,omitempty"`
	Frozen      bool         `cbor:"9,keyasint,omitempty" json:"frozen,omitempty"` // by operators: only voters change
	// BindingConstraints are the limits that leave no better Flows, in words for operators.
	BindingConstraints []string `cbor:"10,keyasint,omitempty" json:"binds,omitempty"`
}

// Bounds of a plan that a peer may send.
const (
	maxZones     = 64
	maxVoters    = 9
	maxNameBytes = 64 // bytes of the name of a zone or driver
	maxMoves     = 256
)

// valid says whether a plan that came from a peer or from disk is within bounds.
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
		if !(zone.Capacity >= 0 && zone.Capacity <= 1) { // not a number either
			return false
		}
	}
	return true
}

// sum is the checksum of a plan; by BaseSum it stands for all plans before it as well.
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

// zone is one zone's part of the plan; a serving zone with all its capacity where the plan does not name it.
func (p *Plan) zone(name string) Zone {
	if p != nil {
		if i := slices.IndexFunc(p.Zones, func(z Zone) bool { return z.Name == name }); i >= 0 {
			return p.Zones[i]
		}
	}
	return Zone{Name: name, Capacity: 1}
}

// partitioned says whether drivers of one zone do not reach members of another.
func (p *Plan) partitioned(from, to string) bool {
	return p != nil && slices.Contains(p.Partitions, Partition{from, to})
}

// reaches is the opposite.
func (p *Plan) reaches(from, to string) bool { return !p.partitioned(from, to) }

// share is the share of a zone's reads that another zone, or itself, is to serve.
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

// equivalent says whether two plans ask for the same, whatever their epochs and what they follow.
func (p *Plan) equivalent(other *Plan) bool {
	a, b := *p, *other
	a.Epoch, a.BaseSum, b.Epoch, b.BaseSum = 0, 0, 0, 0
	return a.sum() == b.sum()
}

// sort brings a plan's parts into the one order that they have, as its checksum depends on it.
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
