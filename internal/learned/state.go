// Package learned decides what of a driver's knowledge is worth keeping for a run to come, and what a run that
// starts may believe of it. It does no I/O and reads no clock: it is given moments, lists and the module's memory, and
// gives records, a snapshot, or a belief. docs/state.md tells the reasons.
//
// This file owns the state that is kept and its form in records. It must never take over a record that does not
// make sense as a whole.
package learned

import (
	"errors"
	"fmt"
	"maps"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// Schema is the version of records that this build writes and the only one that it reads.
const Schema = 1

// Tag names this kind of state to the store.
const Tag = "LRND"

// Moment is a point in time by two clocks: the wall's, which may be stepped between runs, and that since the
// machine's start, which may not but is of one start only. Both in milliseconds; Boot is empty where the machine
// does not tell.
type Moment struct {
	_    struct{} `cbor:",toarray"`
	Wall float64
	Up   float64
	Boot string
}

// Entry is a member as the list had it.
type Entry struct {
	ID      string  `cbor:"1,keyasint"`
	Address string  `cbor:"2,keyasint,omitempty"`
	Zone    string  `cbor:"3,keyasint,omitempty"`
	Group   int64   `cbor:"4,keyasint,omitempty"`
	Phase   string  `cbor:"5,keyasint,omitempty"`
	Access  string  `cbor:"6,keyasint,omitempty"`
	Started float64 `cbor:"7,keyasint,omitempty"` // Unix milliseconds, 0 for long ago
}

// Meta is what holds for the state as a whole.
type Meta struct {
	Schema   int     `cbor:"1,keyasint"`
	Name     string  `cbor:"2,keyasint"`
	Run      uint64  `cbor:"3,keyasint"` // runs so far, this one included
	At       Moment  `cbor:"4,keyasint"` // when the newest record was made
	Reserved float64 `cbor:"5,keyasint"` // no commit that was answered for lies beyond this position, Unix milliseconds
	Closed   bool    `cbor:"6,keyasint"` // the run ended in order
	Revision int64   `cbor:"7,keyasint"` // of the list; 0 for none
	// Epoch counts how often revisions have gone back; EpochMost is the highest revision of the epochs before.
	Epoch     int   `cbor:"8,keyasint"`
	EpochMost int64 `cbor:"9,keyasint"`
}

// Group is what was known of a group's writer slot. Dates are of the run's wall clock.
type Group struct {
	ID     int64   `cbor:"1,keyasint"`
	Slot   string  `cbor:"2,keyasint,omitempty"`
	Held   bool    `cbor:"3,keyasint,omitempty"`
	Seen   float64 `cbor:"4,keyasint,omitempty"`
	Rate   float64 `cbor:"5,keyasint,omitempty"`
	Commit float64 `cbor:"6,keyasint,omitempty"`
}

// Sighting renews the date of a group's slot alone.
type Sighting struct {
	_     struct{} `cbor:",toarray"`
	Group int64
	Ago   int64 // milliseconds before the record's moment
}

// Member is what was known of a member beside the list.
type Member struct {
	ID       string  `cbor:"1,keyasint"`
	Group    int64   `cbor:"2,keyasint,omitempty"`
	Position float64 `cbor:"3,keyasint,omitempty"`
	Started  float64 `cbor:"4,keyasint,omitempty"`
	Aside    float64 `cbor:"5,keyasint,omitempty"`
	Cut      bool    `cbor:"6,keyasint,omitempty"`
	Window   float64 `cbor:"7,keyasint,omitempty"`
}

// Type is an op type's usual and best time, in milliseconds.
type Type struct {
	Name   string  `cbor:"1,keyasint"`
	Target float64 `cbor:"2,keyasint"`
	Took   float64 `cbor:"3,keyasint"`
	Best   float64 `cbor:"4,keyasint"`
}

// record is one change of the state; a snapshot is the record that makes it from nothing.
type record struct {
	Meta      *Meta      `cbor:"1,keyasint,omitempty"`
	Listed    []Entry    `cbor:"2,keyasint,omitempty"`
	Unlisted  []string   `cbor:"3,keyasint,omitempty"`
	Groups    []Group    `cbor:"4,keyasint,omitempty"`
	Sightings []Sighting `cbor:"5,keyasint,omitempty"`
	Members   []Member   `cbor:"6,keyasint,omitempty"`
	Forgotten []string   `cbor:"7,keyasint,omitempty"` // members
	Left      []int64    `cbor:"8,keyasint,omitempty"` // groups
	Types     []Type     `cbor:"9,keyasint,omitempty"`
}

// State is all that is kept.
type State struct {
	Meta    Meta
	List    map[string]Entry
	Groups  map[int64]Group
	Members map[string]Member
	Types   map[string]Type
}

// Errors of states that can't be taken.
var (
	ErrSchema = errors.New("learned: records of another version")
	ErrRecord = errors.New("learned: a record makes no sense")
)

const (
	mostMembers = 200000
	mostText    = 1 << 10 // bytes of an id or an address
	mostTime    = 1e14    // milliseconds: some three thousand years
)

var (
	encoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoding = must(cbor.DecOptions{DupMapKey: cbor.DupMapKeyEnforcedAPF, MaxArrayElements: mostMembers,
		MaxMapPairs: 64, MaxNestedLevels: 6, IndefLength: cbor.IndefLengthForbidden, TagsMd: cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

func newState() *State {
	return &State{
		List:    map[string]Entry{},
		Groups:  map[int64]Group{},
		Members: map[string]Member{},
		Types:   map[string]Type{},
	}
}

// Load makes the state of a snapshot and the records behind it. ErrSchema or ErrRecord: there is none to be had.
func Load(snapshot []byte, records [][]byte) (*State, error) {
	s := newState()
	for _, text := range append([][]byte{snapshot}, records...) {
		var r record
		if err := decoding.Unmarshal(text, &r); err != nil {
			return nil, fmt.Errorf("%w: %w", ErrRecord, err)
		}
		if r.Meta != nil && r.Meta.Schema != Schema {
			return nil, fmt.Errorf("%w: %d", ErrSchema, r.Meta.Schema)
		}
		if err := r.check(); err != nil {
			return nil, err
		}
		s.apply(&r)
	}
	if s.Meta.Schema != Schema {
		return nil, fmt.Errorf("%w: none told", ErrSchema)
	}
	return s, nil
}

// apply carries a record out. Sightings are dated by the moment that stands in the same record, or the last.
func (s *State) apply(r *record) {
	if r.Meta != nil {
		s.Meta = *r.Meta
	}
	for _, e := range r.Listed {
		s.List[e.ID] = e
	}
	for _, id := range r.Unlisted {
		delete(s.List, id)
	}
	for _, g := range r.Groups {
		s.Groups[g.ID] = g
	}
	for _, x := range r.Sightings {
		if g, ok := s.Groups[x.Group]; ok {
			g.Seen = max(g.Seen, s.Meta.At.Wall-float64(x.Ago))
			s.Groups[x.Group] = g
		}
	}
	for _, m := range r.Members {
		s.Members[m.ID] = m
	}
	for _, id := range r.Forgotten {
		delete(s.Members, id)
	}
	for _, id := range r.Left {
		delete(s.Groups, id)
	}
	for _, t := range r.Types {
		s.Types[t.Name] = t
	}
}

// check refuses figures and texts that no run writes.
func (r *record) check() error {
	ok := true
	times := func(all ...float64) {
		for _, x := range all {
			ok = ok && !math.IsNaN(x) && math.Abs(x) <= mostTime
		}
	}
	texts := func(all ...string) {
		for _, x := range all {
			ok = ok && len(x) <= mostText
		}
	}
	if m := r.Meta; m != nil {
		times(m.At.Wall, m.At.Up, m.Reserved)
		texts(m.Name, m.At.Boot)
		ok = ok && m.Revision >= 0 && m.Epoch >= 0 && m.EpochMost >= 0 && m.At.Up >= 0
	}
	for _, e := range r.Listed {
		times(e.Started)
		texts(e.ID, e.Address, e.Zone, e.Phase, e.Access)
		ok = ok && e.ID != ""
	}
	for _, g := range r.Groups {
		times(g.Seen, g.Rate, g.Commit)
		texts(g.Slot)
	}
	for _, x := range r.Sightings {
		times(float64(x.Ago))
	}
	for _, m := range r.Members {
		times(m.Position, m.Started, m.Aside, m.Window)
		texts(m.ID)
		ok = ok && m.ID != "" && m.Window >= 0
	}
	for _, t := range r.Types {
		times(t.Target, t.Took, t.Best)
		texts(t.Name)
		ok = ok && t.Took >= 0 && t.Best >= 0
	}
	if !ok {
		return fmt.Errorf("%w: a figure or text is out of range", ErrRecord)
	}
	return nil
}

// encode makes the records' bytes.
func (r *record) encode() []byte {
	b, err := encoding.Marshal(r)
	if err != nil {
		panic(err) // there is no type in it that can't be written
	}
	return b
}

func (r *record) empty() bool {
	return len(r.Listed)+len(r.Unlisted)+len(r.Groups)+len(r.Sightings)+len(r.Members)+len(r.Forgotten)+len(r.Left)+
		len(r.Types) == 0
}

// Snapshot is the state as one record.
func (s *State) Snapshot() []byte {
	meta := s.Meta
	r := record{Meta: &meta}
	for _, id := range slices.Sorted(maps.Keys(s.List)) {
		r.Listed = append(r.Listed, s.List[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.Groups)) {
		r.Groups = append(r.Groups, s.Groups[id])
	}
	for _, id := range slices.Sorted(maps.Keys(s.Members)) {
		r.Members = append(r.Members, s.Members[id])
	}
	for _, name := range slices.Sorted(maps.Keys(s.Types)) {
		r.Types = append(r.Types, s.Types[name])
	}
	return r.encode()
}

// Forget drops what is known of members, of groups, or of all where none is named. The list, which holds what was
// told, and the reserved ceiling stay, but for a member that is named. It gives how many entries went.
func (s *State) Forget(members []string, groups []int64) (dropped int) {
	before := len(s.List) + len(s.Groups) + len(s.Members) + len(s.Types)
	if len(members)+len(groups) == 0 {
		clear(s.Groups)
		clear(s.Members)
		clear(s.Types)
	}
	for _, id := range members {
		delete(s.Members, id)
		delete(s.List, id)
		for n, g := range s.Groups {
			if g.Slot == id {
				delete(s.Groups, n)
			}
		}
	}
	for _, n := range groups {
		delete(s.Groups, n)
		for id, m := range s.Members {
			if m.Group == n {
				delete(s.Members, id)
			}
		}
	}
	return before - len(s.List) - len(s.Groups) - len(s.Members) - len(s.Types)
}
