package learned

import (
	"maps"
	"slices"
)

// Schema is the version of the records that this build writes; it reads no other version.
const Schema = 1

// Tag identifies this kind of state in the store.
const Tag = "LRND"

// The phases of membership entries that this package distinguishes.
const (
	PhaseUp      = "up"
	PhaseRemoved = "removed"
)

// State is the complete saved state. Dates are Unix milliseconds by the wall clock of the run that saved them.
type State struct {
	Meta       Meta
	Membership map[string]Entry       `json:"List"` // by member
	Groups     map[int64]Group        // by id
	Members    map[string]Member      // by id
	OpTypes    map[string]OpTypeStats `json:"Types"` // by name
}

// Entry is a member in the membership list.
type Entry struct {
	ID        string  `cbor:"1,keyasint"`
	Address   string  `cbor:"2,keyasint,omitempty"`
	Zone      string  `cbor:"3,keyasint,omitempty"`
	Group     int64   `cbor:"4,keyasint,omitempty"`
	Phase     string  `cbor:"5,keyasint,omitempty"`
	Access    string  `cbor:"6,keyasint,omitempty"`
	StartedAt float64 `cbor:"7,keyasint,omitempty" json:"Started"` // Unix milliseconds, 0 for long ago
}

// Meta holds the properties of the state as a whole.
type Meta struct {
	Schema int    `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"` // of the driver
	Run    uint64 `cbor:"3,keyasint"` // counts the driver's runs, this one included

	SavedAt       Timestamp `cbor:"4,keyasint" json:"At"`       // when the newest record was created
	MaxPosition   float64   `cbor:"5,keyasint" json:"Reserved"` // no acknowledged commit lies beyond it; Unix milliseconds
	CleanShutdown bool      `cbor:"6,keyasint" json:"Closed"`   // the run ended with a final save

	Revision int64 `cbor:"7,keyasint"` // of the membership; 0 for none
	// Epoch counts how often revisions have gone back. PriorRevision is the highest revision of the previous epochs.
	Epoch         int   `cbor:"8,keyasint"`
	PriorRevision int64 `cbor:"9,keyasint" json:"EpochMost"`
}

// Group is the saved knowledge of a group's primary and its load.
type Group struct {
	ID         int64   `cbor:"1,keyasint"`
	Primary    string  `cbor:"2,keyasint,omitempty" json:"Slot"`   // the present or last primary; empty if there was none
	InSlot     bool    `cbor:"3,keyasint,omitempty" json:"Held"`   // the primary still occupied the group's writer slot
	SeenAt     float64 `cbor:"4,keyasint,omitempty" json:"Seen"`   // the newest evidence that it is the primary
	WorkRate   float64 `cbor:"5,keyasint,omitempty" json:"Rate"`   // usual work completed per millisecond, in milliseconds
	LastCommit float64 `cbor:"6,keyasint,omitempty" json:"Commit"` // position of this driver's last write, 0 for none
}

// Sighting updates only the age of the evidence of a group's primary.
type Sighting struct {
	_     struct{} `cbor:",toarray"`
	Group int64
	Age   int64 // milliseconds before the record's timestamp
}

// Member is the saved knowledge of a member beside its entry in the membership.
type Member struct {
	ID           string  `cbor:"1,keyasint"`
	Group        int64   `cbor:"2,keyasint,omitempty"`
	Position     float64 `cbor:"3,keyasint,omitempty"`                // applied, as Unix milliseconds; 0 for unknown
	StartedAt    float64 `cbor:"4,keyasint,omitempty" json:"Started"` // from the list or as observed; 0 for long ago
	EjectedAt    float64 `cbor:"5,keyasint,omitempty" json:"Aside"`   // 0 for not ejected
	Disconnected bool    `cbor:"6,keyasint,omitempty" json:"Cut"`     // ejected because of connection failures
	Window       float64 `cbor:"7,keyasint,omitempty"`                // concurrency limit of sends to it; 0 for unknown
}

// OpTypeStats holds the latencies of an op type, in milliseconds.
type OpTypeStats struct {
	Name          string  `cbor:"1,keyasint"`
	LatencyTarget float64 `cbor:"2,keyasint" json:"Target"` // at the time of saving; hints apply only to the same target
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

// Snapshot returns the state as one record.
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

// sortedValues returns a map's values in the order of their keys.
func sortedValues[K int64 | string, V any](all map[K]V) (values []V) {
	for _, key := range slices.Sorted(maps.Keys(all)) {
		values = append(values, all[key])
	}
	return values
}

// Forget drops the knowledge of the named members and groups, or all of it if none is named. Announcements, which are
// the membership and MaxPosition, stay, except for the entries of the named members. It returns the number of dropped
// entries.
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

// size returns the number of entries of all kinds.
func (s *State) size() int {
	return len(s.Membership) + len(s.Groups) + len(s.Members) + len(s.OpTypes)
}
