package membership

import (
	"cmp"
	"hash/fnv"

	"weirwind/internal/util/enum"
)

// State is what a driver is taken for.
type State uint8

// The states of a driver, as SWIM has them.
const (
	Alive   State = iota
	Suspect       // it did not answer, and may still refute that
	Failed        // it did not refute a suspicion in time
	Left          // it shut down in order, or operators said that it is gone
)

var stateNames = enum.Names{"alive", "suspect", "failed", "left"}

// String is a state's name.
func (s State) String() string { return stateNames.Of(uint8(s)) }

// MarshalText gives a state its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText takes a state's name.
func (s *State) UnmarshalText(text []byte) error { return enum.Parse(stateNames, "state", text, s) }

// ended says that nothing is expected of it.
func (s State) ended() bool { return s >= Failed }

// Record is what is known of one driver. Which of two holds is decided by supersedes.
type Record struct {
	Name string `cbor:"1,keyasint"`
	// Run is when the process started, in milliseconds of its machine's time: a later one under the name has a higher
	// one.
	Run uint64 `cbor:"2,keyasint"`
	// Incarnation is raised by the process alone, to refute that it has failed.
	Incarnation uint32 `cbor:"3,keyasint"`
	State       State  `cbor:"4,keyasint"`
	Address     string `cbor:"5,keyasint"` // host:port
	Zone        string `cbor:"6,keyasint,omitempty"`
	ReportedBy  string `cbor:"7,keyasint,omitempty"` // who suspects it, or says that it has failed or left
}

const (
	maxNameBytes = 64
	maxRun       = 1 << 62 // a higher one is damaged
)

// valid says whether a record can be true at all.
func (r *Record) valid() bool {
	named := r.Name != "" && len(r.Name) <= maxNameBytes
	reached := r.Address != "" && len(r.Address) <= maxNameBytes
	bounded := len(r.Zone) <= maxNameBytes && len(r.ReportedBy) <= maxNameBytes
	return named && reached && bounded && r.State <= Left && r.Run > 0 && r.Run < maxRun
}

// size is about how many bytes it takes in a message.
func (r *Record) size() int {
	return 28 + len(r.Name) + len(r.Address) + len(r.Zone) + len(r.ReportedBy)
}

// compareRecords compares two records of one process, or of processes that followed each other at one address.
func compareRecords(a, b *Record) int {
	left := func(r *Record) int {
		if r.State == Left { // for good, whatever the incarnation
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(left(a), left(b)), cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State))
}

// supersedes says whether r is to replace the current record. Of two living processes at two addresses under
// one name the one that was there first keeps it, as its peers know it; the other one waits until that has
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

// conflictsWith says that both are of living processes with one name.
func (r *Record) conflictsWith(current *Record) bool {
	return r.Run != current.Run && r.Address != current.Address && !r.State.ended() && !current.State.ended()
}

// processHash stands for a process that lives, to compare views by.
func processHash(name string, run uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	for i := range 8 {
		h.Write([]byte{byte(run >> (8 * i))})
	}
	return h.Sum64()
}

// namesHash stands for a set of names. That of a set with names more or fewer follows by exclusive or.
func namesHash(names []string) (hash uint64) {
	for _, name := range names {
		hash ^= processHash(name, 0)
	}
	return hash
}
