package learned

import (
	"maps"
	"slices"
)

// Schema is the version of records that this build writes, and the only one that it reads.
const Schema = 1

// Tag names this kind of state to the store.
const Tag = "LRND"

// The phases of membership entries that matter here.
const (
	PhaseUp      = "up"
	PhaseRemoved = "removed"
)

// State is all that is saved. Dates are Unix milliseconds by the wall clock of the run that saved them.
type State struct {
	Meta       Meta
	Membership map[string]Entry       `json:"List"` // by member
	Groups     map[int64]Group        // by id
	Members    map[string]Member      // by id
	OpTypes    map[string]OpTypeStats `json:"Types"` // by name
}

// Entry is a member as the membership lists it.
type Entry struct {
	ID        string  `cbor:"1,keyasint"`
	Address   string  `cbor:"2,keyasint,omitempty"`
	Zone      string  `cbor:"3,keyasint,omitempty"`
	Group     int64   `cbor:"4,keyasint,omitempty"`
	Phase     string  `cbor:"5,keyasint,omitempty"`
	Access    string  `cbor:"6,keyasint,omitempty"`
	StartedAt float64 `cbor:"7,keyasint,omitempty" json:"Started"` // Unix milliseconds, 0 for long ago
}

// Meta applies to the state as a whole.
type Meta struct {
	Schema int    `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"` // of the driver
	Run    uint64 `cbor:"3,keyasint"` // counts the driver's runs, this one included

	SavedAt       Timestamp `cbor:"4,keyasint" json:"At"`       // when the newest record was made
	MaxPosition   float64   `cbor:"5,keyasint" json:"Reserved"` // no acknowledged commit lies beyond; Unix milliseconds
	CleanShutdown bool      `cbor:"6,keyasint" json:"Closed"`   // the run ended with its last save

	Revision int64 `cbor:"7,keyasint"` // of the membership; 0 for none
	// Epoch counts how often revisions have gone back, and PriorRevision is the highest of the epochs before.
	Epoch         int   `cbor:"8,keyasint"`
	PriorRevision int64 `cbor:"9,keyasint" json:"EpochMost"`
}

// Group is what was known of a group's writer slot.
type Group struct {
	ID         int64   `cbor:"1,keyasint"`
	Primary    string  `cbor:"2,keyasint,omitempty" json:"Slot"`   // in the slot, now or last; empty for none ever
	InSlot     bool    `cbor:"3,keyasint,omitempty" json:"Held"`   // it was in the slot still
	SeenAt     float64 `cbor:"4,keyasint,omitempty" json:"Seen"`   // newest evidence that it is the primary
	WorkRate   float64 `cbor:"5,keyasint,omitempty" json:"Rate"`   // usual milliseconds of work answered a millisecond
	LastCommit float64 `cbor:"6,keyasint,omitempty" json:"Commit"` // position of the last own write, 0 for none
}

// Sighting renews the evidence of a group's primary, and nothing else of the group.
type Sighting struct {
	_     struct{} `cbor:",toarray"`
	Group int64
	Age   int64 // milliseconds before the record's timestamp
}

// Member is what was known of a member beside its entry in the membership.
type Member struct {
	ID           string  `cbor:"1,keyasint"`
	Group        int64   `cbor:"2,keyasint,omitempty"`
	Position     float64 `cbor:"3,keyasint,omitempty"`                // applied, as Unix milliseconds; 0 for unknown
	StartedAt    float64 `cbor:"4,keyasint,omitempty" json:"Started"` // by the list or as it was seen; 0 for long ago
	EjectedAt    float64 `cbor:"5,keyasint,omitempty" json:"Aside"`   // 0 for not ejected
	Disconnected bool    `cbor:"6,keyasint,omitempty" json:"Cut"`     // ejected as connections broke or none was made
	Window       float64 `cbor:"7,keyasint,omitempty"`                // sends in flight that it may have; 0 for unknown
}

// OpTypeStats are the times that ops of a type took, in milliseconds.
type OpTypeStats struct {
	Name          string  `cbor:"1,keyasint"`
	LatencyTarget float64 `cbor:"2,keyasint" json:"Target"` // that it had; with another one the type is another
	Typical       float64 `cbor:"3,keyasint" json:"Took"`
	Best          float64 `cbor:"4,keyasint"`
}

func newState() *State {
	return &State{
		Membership: map[string]Entry{},
		Groups:     map[int64]Group{},
		Members:    map[string]Member{},
		OpTypes:    map[string]OpTypeStats{},
	}
}

// Snapshot is the state as one record.
func (s *State) Snapshot() []byte {
	meta := s.Meta
	r := record{
		Meta:    &meta,
		Entries: sortedValues(s.Membership),
		Groups:  sortedValues(s.Groups),
		Members: sortedValues(s.Members),
		OpTypes: sortedValues(s.OpTypes),
	}
	return r.encode()
}

// sortedValues are a map's values in the order of their keys.
func sortedValues[K int64 | string, V any](all map[K]V) (values []V) {
	for _, key := range slices.Sorted(maps.Keys(all)) {
		values = append(values, all[key])
	}
	return values
}

// Forget drops what is known of members, of groups, or of all where none is named. What was announced, the membership
// and MaxPosition, stays, but for the entry of a member that is named. It returns how many entries went.
func (s *State) Forget(members []string, groups []int64) (dropped int) {
	before := s.size()
	if len(members)+len(groups) == 0 {
		clear(s.Groups)
		clear(s.Members)
		clear(s.OpTypes)
	}
	for _, id := range members {
		delete(s.Members, id)
		delete(s.Membership, id)
		maps.DeleteFunc(s.Groups, func(_ int64, g Group) bool { return g.Primary == id })
	}
	for _, id := range groups {
		delete(s.Groups, id)
		maps.DeleteFunc(s.Members, func(_ string, m Member) bool { return m.Group == id })
	}
	return before - s.size()
}

// size counts entries of all kinds.
func (s *State) size() int {
	return len(s.Membership) + len(s.Groups) + len(s.Members) + len(s.OpTypes)
}
