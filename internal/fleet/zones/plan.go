// Package zones decides in common which zones serve whose reads, and where primaries should be, while zones and regions
// fail, come apart and return. It does no I/O and reads no clock: it takes what drivers report, messages of other
// drivers and the passing of time, and gives messages to be sent and tolls for the module.
//
// This file owns the plan. It must never hold a time of anybody's clock, or anything that two readers could take
// differently.
//
// Times are milliseconds everywhere.
package zones

import (
	"cmp"
	"encoding/json"
	"hash/fnv"
	"slices"

	"weirwind/internal/util/enum"
)

// State is a zone's.
type State uint8

// The states of a zone, in the order in which it leaves and returns.
const (
	Serving    State = iota
	Suspected        // something is wrong, for a short time yet
	Draining         // its share moves away
	Ejected          // nothing goes there but what can go nowhere else
	Recovering       // its share comes back, step by step
)

var stateNames = enum.Names{"serving", "doubted", "leaving", "away", "returning"}

func (s State) String() string { return stateNames.Of(uint8(s)) }

// MarshalText gives a state its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText takes a state's name.
func (s *State) UnmarshalText(text []byte) error { return enum.Parse(stateNames, "state", text, s) }

// Cause is why a zone is not simply serving.
type Cause string

// The causes. Their texts are on the wire and in logs.
const (
	NoCause     Cause = ""
	ZoneLost    Cause = "zone_lost"    // its drivers and its members
	MembersLost Cause = "members_lost" // while its drivers live
	DriversLost Cause = "drivers_lost" // while its members live: it serves on
	Isolated    Cause = "isolated"     // it sees itself, nobody else does
	Slow        Cause = "slow"
	Lagging     Cause = "behind" // its replicas
	Evacuated   Cause = "evacuated"
	RegionLost  Cause = "region_lost"
)

// Zone is one's part of a plan.
type Zone struct {
	Name     string  `cbor:"1,keyasint" json:"zone"`
	State    State   `cbor:"2,keyasint" json:"state"`
	Cause    Cause   `cbor:"3,keyasint,omitempty" json:"cause,omitempty"`
	Capacity float64 `cbor:"4,keyasint" json:"part"` // of its capacity that may be used: what it can warm
	Flaps    int     `cbor:"5,keyasint,omitempty" json:"flaps,omitempty"`
}

// Partition is a pair of zones of which drivers in From do not reach members in To.
type Partition struct {
	From string `cbor:"1,keyasint" json:"from"`
	To   string `cbor:"2,keyasint" json:"to"`
}

// Flow is the share of a zone's reads that another one serves. What no flow names stays near.
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

// Evacuation is what operators said of a zone.
type Evacuation struct {
	Zone string `cbor:"1,keyasint" json:"zone"`
	// beats of the leader that it still lasts; 0: until it is taken back
	HeartbeatsLeft uint64 `cbor:"2,keyasint" json:"beats_left"`
}

// Plan is what all go by. Each follows one that it names by its sum.
type Plan struct {
	Epoch              uint64       `cbor:"1,keyasint" json:"epoch"`
	BaseSum            uint64       `cbor:"2,keyasint" json:"base"` // sum of the plan before
	Voters             []string     `cbor:"3,keyasint" json:"voters"`
	Zones              []Zone       `cbor:"4,keyasint,omitempty" json:"zones"`
	Partitions         []Partition  `cbor:"5,keyasint,omitempty" json:"cuts,omitempty"`
	Flows              []Flow       `cbor:"6,keyasint,omitempty" json:"flows,omitempty"`
	Moves              []Move       `cbor:"7,keyasint,omitempty" json:"moves,omitempty"`
	Evacuations        []Evacuation `cbor:"8,keyasint,omitempty" json:"orders,omitempty"`
	Frozen             bool         `cbor:"9,keyasint,omitempty" json:"frozen,omitempty"`
	BindingConstraints []string     `cbor:"10,keyasint,omitempty" json:"binds,omitempty"` // which limits leave no better plan
}

const (
	maxZones     = 64
	maxVoters    = 9
	maxNameBytes = 64 // bytes of a name
	maxMoves     = 256
)

// valid says whether a plan can be one at all.
func (p *Plan) valid() bool {
	ok := p.Epoch > 0 && len(p.Voters) > 0 && len(p.Voters) <= maxVoters && len(p.Zones) <= maxZones &&
		len(p.Partitions) <= maxZones*maxZones &&
		len(p.Flows) <= maxZones*maxZones && len(p.Moves) <= maxMoves && len(p.Evacuations) <= maxZones &&
		len(p.BindingConstraints) <= 2*maxZones && slices.IsSorted(p.Voters)
	for _, v := range p.Voters {
		ok = ok && v != "" && len(v) <= maxNameBytes
	}
	for _, z := range p.Zones {
		ok = ok && z.Name != "" && len(z.Name) <= maxNameBytes && z.State <= Recovering && z.Capacity >= 0 && z.Capacity <= 1
	}
	for _, f := range p.Flows {
		ok = ok && f.Share >= 0 && f.Share <= 1.001
	}
	return ok && len(slices.Compact(slices.Clone(p.Voters))) == len(p.Voters)
}

// sum stands for a plan and all before it.
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

// zone is one's part; the zero value of serving where the plan does not name it.
func (p *Plan) zone(name string) Zone {
	if p != nil {
		if i := slices.IndexFunc(p.Zones, func(z Zone) bool { return z.Name == name }); i >= 0 {
			return p.Zones[i]
		}
	}
	return Zone{Name: name, Capacity: 1}
}

// cut says whether drivers of one zone do not reach members of another.
func (p *Plan) partitioned(from, to string) bool {
	return p != nil && slices.Contains(p.Partitions, Partition{from, to})
}

// share is of a zone's reads that another one, or itself, is to serve.
func (p *Plan) share(from, to string) float64 {
	rest := 1.0
	for _, f := range p.Flows {
		if f.From == from && f.To == to {
			return f.Share
		}
		if f.From == from {
			rest -= f.Share
		}
	}
	if from == to {
		return max(rest, 0)
	}
	return 0
}

// same says whether two plans ask for the same, whatever their epochs.
func (p *Plan) equivalent(o *Plan) bool {
	a, b := *p, *o
	a.Epoch, a.BaseSum, b.Epoch, b.BaseSum = 0, 0, 0, 0
	return a.sum() == b.sum()
}

// sort brings a plan's parts into the one order that they have.
func (p *Plan) sort() {
	slices.Sort(p.Voters)
	slices.SortFunc(p.Zones, func(a, b Zone) int { return cmp.Compare(a.Name, b.Name) })
	slices.SortFunc(p.Partitions, func(a, b Partition) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	slices.SortFunc(p.Flows, func(a, b Flow) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.To, b.To)) })
	slices.SortFunc(p.Moves, func(a, b Move) int { return cmp.Compare(a.Group, b.Group) })
	slices.SortFunc(p.Evacuations, func(a, b Evacuation) int { return cmp.Compare(a.Zone, b.Zone) })
}
