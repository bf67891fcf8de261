package membership

import (
	"cmp"
	"hash/fnv"

	"weirwind/internal/util/enum"
)

// State is the state of a driver in another driver's view.
type State uint8

// The states of a driver, as SWIM has them.
const (
	Alive   State = iota
	Suspect       // it did not answer a probe, and may still refute the suspicion
	Failed        // it did not refute a suspicion in time
	Left          // it shut down gracefully, or an operator forgot it
)

var stateNames = enum.Names{"alive", "suspect", "failed", "left"}

// String returns the state's name.
func (s State) String() string { return stateNames.Of(uint8(s)) }

// MarshalText returns the state's name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a state's name.
func (s *State) UnmarshalText(text []byte) error { return enum.Parse(stateNames, "state", text, s) }

// ended reports whether a driver in this state is no longer expected to answer.
func (s State) ended() bool { return s >= Failed }

// Record is what is known about one driver. The method supersedes decides which of two records is kept.
type Record struct {
	Name string `cbor:"1,keyasint"`
	// Run is the start time of the process in milliseconds of its machine's clock. A later process of the same name has
	// a higher one.
	Run uint64 `cbor:"2,keyasint"`
	// Incarnation is raised only by the process itself, to refute a suspicion or failure.
	Incarnation uint32 `cbor:"3,keyasint"`
	State       State  `cbor:"4,keyasint"`
	Address     string `cbor:"5,keyasint"` // host:port
	Zone        string `cbor:"6,keyasint,omitempty"`
	ReportedBy  string `cbor:"7,keyasint,omitempty"` // name of the driver that reported the state Suspect, Failed or Left
}

const (
	maxNameBytes = 64
	maxRun       = 1 << 62 // records with a higher run are invalid
)

// valid reports whether a record is well-formed and within bounds.
func (r *Record) valid() bool {
	named := r.Name != "" && len(r.Name) <= maxNameBytes
	reached := r.Address != "" && len(r.Address) <= maxNameBytes
	bounded := len(r.Zone) <= maxNameBytes && len(r.ReportedBy) <= maxNameBytes
	return named && reached && bounded && r.State <= Left && r.Run > 0 && r.Run < maxRun
}

// size returns the approximate number of bytes that r takes in a message.
func (r *Record) size() int {
	return 28 + len(r.Name) + len(r.Address) + len(r.Zone) + len(r.ReportedBy)
}

// compareRecords orders two records of one process, or of successive processes at one address.
func compareRecords(a, b *Record) int {
	left := func(r *Record) int {
		if r.State == Left { // final, whatever the incarnation
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(left(a), left(b)), cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State))
}

// supersedes reports whether r replaces the current record. Of two live processes with the same name at different
// addresses, the one that started first keeps the name, because its peers know it; the other waits until that one has
// ended.
func (r *Record) supersedes(current *Record) bool {
	if r.Run == current.Run || r.Address == current.Address {
		return compareRecords(r, current) > 0
	}
	switch {
	case current.State.ended():
		return r.Run > current.Run
	case r.State.ended():
		return false
	}
	return r.Run < current.Run
}

// conflictsWith reports whether both records describe live processes with the same name.
func (r *Record) conflictsWith(current *Record) bool {
	return r.Run != current.Run && r.Address != current.Address && !r.State.ended() && !current.State.ended()
}

// processHash returns the hash of one live process; views are compared by the exclusive or of these hashes.
func processHash(name string, run uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	for i := range 8 {
		h.Write([]byte{byte(run >> (8 * i))})
	}
	return h.Sum64()
}

// namesHash returns the hash of a set of names. Adding or removing names changes it by an exclusive or.
func namesHash(names []string) (hash uint64) {
	for _, name := range names {
		hash ^= processHash(name, 0)
	}
	return hash
}
