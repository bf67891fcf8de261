package learned

import (
	"errors"
	"fmt"
	"math"
	"slices"

	"github.com/fxamacker/cbor/v2"
)

// record is one change of the state. A snapshot is a record that builds the state from an empty one.
type record struct {
	Meta           *Meta         `cbor:"1,keyasint,omitempty"`
	Entries        []Entry       `cbor:"2,keyasint,omitempty"`
	RemovedEntries []string      `cbor:"3,keyasint,omitempty"`
	Groups         []Group       `cbor:"4,keyasint,omitempty"`
	Sightings      []Sighting    `cbor:"5,keyasint,omitempty"`
	Members        []Member      `cbor:"6,keyasint,omitempty"`
	RemovedMembers []string      `cbor:"7,keyasint,omitempty"`
	RemovedGroups  []int64       `cbor:"8,keyasint,omitempty"`
	OpTypes        []OpTypeStats `cbor:"9,keyasint,omitempty"`
}

// Errors of Load.
var (
	ErrSchema = errors.New("learned: unsupported schema version")
	ErrRecord = errors.New("learned: invalid record")
)

const (
	maxMembers    = 200000
	maxTextBytes  = 1 << 10 // of an id or an address
	maxTime       = 1e14    // milliseconds, about three thousand years
	recordEntries = 4000    // maximum number of entries in one record
)

var (
	encoding = must(cbor.EncOptions{ShortestFloat: cbor.ShortestFloat16}.EncMode())
	decoding = must(cbor.DecOptions{
		DupMapKey:         cbor.DupMapKeyEnforcedAPF,
		MaxArrayElements:  maxMembers,
		MaxMapPairs:       64,
		MaxNestedLevels:   6,
		IndefLength:       cbor.IndefLengthForbidden,
		TagsMd:            cbor.TagsForbidden,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode())
)

func must[T any](mode T, err error) T {
	if err != nil {
		panic(err) // the options are constants
	}
	return mode
}

// Load builds the state from a snapshot and the records that follow it. Its errors are ErrSchema and ErrRecord.
func Load(snapshot []byte, records [][]byte) (*State, error) {
	s := newState()
	for _, b := range append([][]byte{snapshot}, records...) {
		r, err := decodeRecord(b)
		if err != nil {
			return nil, err
		}
		s.apply(r)
	}
	if s.Meta.Schema != Schema {
		return nil, fmt.Errorf("%w: missing", ErrSchema)
	}
	return s, nil
}

func decodeRecord(b []byte) (*record, error) {
	r := &record{}
	if err := decoding.Unmarshal(b, r); err != nil {
		return nil, fmt.Errorf("%w: %w", ErrRecord, err)
	}
	if r.Meta != nil && r.Meta.Schema != Schema {
		return nil, fmt.Errorf("%w: %d", ErrSchema, r.Meta.Schema)
	}
	if !r.valid() {
		return nil, fmt.Errorf("%w: a value is out of range", ErrRecord)
	}
	return r, nil
}

func (r *record) encode() []byte {
	b, err := encoding.Marshal(r)
	if err != nil {
		panic(err) // all its types can be encoded
	}
	return b
}

// apply applies a record. Sightings are dated by the timestamp of the same record, or else the previous one.
func (s *State) apply(r *record) {
	if r.Meta != nil {
		s.Meta = *r.Meta
	}
	for _, e := range r.Entries {
		s.Membership[e.ID] = e
	}
	for _, id := range r.RemovedEntries {
		delete(s.Membership, id)
	}
	for _, g := range r.Groups {
		s.Groups[g.ID] = g
	}
	for _, sighting := range r.Sightings {
		if g, ok := s.Groups[sighting.Group]; ok {
			g.SeenAt = max(g.SeenAt, s.Meta.SavedAt.Wall-float64(sighting.Age))
			s.Groups[sighting.Group] = g
		}
	}
	for _, m := range r.Members {
		s.Members[m.ID] = m
	}
	for _, id := range r.RemovedMembers {
		delete(s.Members, id)
	}
	for _, id := range r.RemovedGroups {
		delete(s.Groups, id)
	}
	for _, t := range r.OpTypes {
		s.OpTypes[t.Name] = t
	}
}

// valid reports whether all values are in the range that a run writes.
func (r *record) valid() bool {
	ok := r.Meta == nil || r.Meta.valid()
	for _, e := range r.Entries {
		ok = ok && e.ID != "" && validTimes(e.StartedAt) && validTexts(e.ID, e.Address, e.Zone, e.Phase, e.Access)
	}
	for _, g := range r.Groups {
		ok = ok && validTimes(g.SeenAt, g.WorkRate, g.LastCommit) && validTexts(g.Primary)
	}
	for _, sighting := range r.Sightings {
		ok = ok && validTimes(float64(sighting.Age))
	}
	for _, m := range r.Members {
		ok = ok && m.ID != "" && m.Window >= 0 && validTexts(m.ID) &&
			validTimes(m.Position, m.StartedAt, m.EjectedAt, m.Window)
	}
	for _, t := range r.OpTypes {
		ok = ok && t.Typical >= 0 && t.Best >= 0 && validTexts(t.Name) && validTimes(t.LatencyTarget, t.Typical, t.Best)
	}
	return ok
}

func (m *Meta) valid() bool {
	return validTimes(m.SavedAt.Wall, m.SavedAt.Uptime, m.MaxPosition) && validTexts(m.Name, m.SavedAt.BootID) &&
		m.Revision >= 0 && m.Epoch >= 0 && m.PriorRevision >= 0 && m.SavedAt.Uptime >= 0
}

func validTimes(all ...float64) bool {
	return !slices.ContainsFunc(all, func(ms float64) bool { return math.IsNaN(ms) || math.Abs(ms) > maxTime })
}

func validTexts(all ...string) bool {
	return !slices.ContainsFunc(all, func(text string) bool { return len(text) > maxTextBytes })
}

// empty reports whether a record changes only the state's Meta.
func (r *record) empty() bool {
	return len(r.Entries)+len(r.RemovedEntries)+len(r.Groups)+len(r.Sightings)+len(r.Members)+len(r.RemovedMembers)+
		len(r.RemovedGroups)+len(r.OpTypes) == 0
}

// split splits a record that is too long into several that are applied in order. A crash between two leaves a state in
// which some members are slightly older than others; removals and drains come first.
func (r *record) split() (parts []*record) {
	if len(r.Entries)+len(r.Groups)+len(r.Members)+len(r.RemovedEntries)+len(r.Sightings) <= recordEntries {
		return []*record{r}
	}
	slices.SortStableFunc(r.Entries, func(x, y Entry) int { return drainsFirst(x) - drainsFirst(y) })
	parts = append(parts, &record{
		RemovedEntries: r.RemovedEntries,
		RemovedMembers: r.RemovedMembers,
		RemovedGroups:  r.RemovedGroups,
		OpTypes:        r.OpTypes,
	})
	for chunk := range slices.Chunk(r.Entries, recordEntries) {
		parts = append(parts, &record{Entries: chunk})
	}
	for chunk := range slices.Chunk(r.Groups, recordEntries) {
		parts = append(parts, &record{Groups: chunk})
	}
	for chunk := range slices.Chunk(r.Members, recordEntries) {
		parts = append(parts, &record{Members: chunk})
	}
	for chunk := range slices.Chunk(r.Sightings, recordEntries) {
		parts = append(parts, &record{Sightings: chunk})
	}
	return parts
}

// drainsFirst returns the sort rank of an entry in a split record: 0 for members that drain, 1 for members that are up.
func drainsFirst(entry Entry) int {
	if entry.Phase == PhaseUp {
		return 1
	}
	return 0
}
