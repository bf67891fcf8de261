package consensus

import (
	"cmp"
	"slices"
	"strconv"
)

// Voter is a machine that votes, for as long as its disk keeps its state.
type Voter struct {
	// ID identifies one lifetime of the machine's disk: a machine whose disk was emptied gets a new ID, see Empty.
	ID string `cbor:"1,keyasint"`
	// Addr is the machine's address for messages.
	Addr string `cbor:"2,keyasint"`
}

// Entry is a value together with the set of voters that takes effect with it. Entries are ordered by term, then index.
type Entry struct {
	Term   uint64  `cbor:"1,keyasint"` // term of the leader that wrote the entry
	Index  uint64  `cbor:"2,keyasint"` // one above that of the replaced entry; 0 if there is no entry
	Voters []Voter `cbor:"3,keyasint"` // a majority of these commits the entry; never modified in place
	Value  []byte  `cbor:"4,keyasint"` // the whole value, not a difference
	// Former lists addresses of former voters, see formerVoters; never modified in place.
	Former []string `cbor:"5,keyasint,omitempty"`
}

// entryID identifies an entry: a leader writes each index at most once in its term.
type entryID struct{ term, index uint64 }

func (e *Entry) id() entryID { return entryID{e.Term, e.Index} }

// newerThan reports whether e is newer than other in the order of Raft's section 5.4.1.
func (e entryID) newerThan(other entryID) bool {
	return e.term > other.term || e.term == other.term && e.index > other.index
}

// HardState is the state that must be on disk before a message that depends on it is sent.
type HardState struct {
	ID   string `cbor:"1,keyasint"` // this node's ID as a voter; it never changes
	Term uint64 `cbor:"2,keyasint"` // latest term seen; it never decreases
	Vote string `cbor:"3,keyasint"` // ID of the candidate that received this node's vote in Term; "" if none
	Last Entry  `cbor:"4,keyasint"` // latest accepted entry, committed or not
	// Commit is the index of the latest entry known to be committed, and CommitTerm the term of that entry. They are
	// written along with the other fields and never on their own, so that after a restart they may be behind what was
	// known before.
	Commit     uint64 `cbor:"5,keyasint"`
	CommitTerm uint64 `cbor:"6,keyasint"`
}

// lastCommitted reports whether the last entry is known to be committed.
func (h *HardState) lastCommitted() bool {
	return h.Last.Index > 0 && h.Commit >= h.Last.Index && h.CommitTerm == h.Last.Term
}

// Bootstrap returns the initial state of a machine that founds a cluster together with the other founders. It must be
// used only once in the life of a cluster, with the same founders on each of them.
func Bootstrap(addr string, founders []string) HardState {
	var voters []Voter
	for _, a := range founders {
		voters = append(voters, Voter{"0@" + a, a})
	}
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.ID, b.ID) })
	return HardState{ID: "0@" + addr, Last: Entry{Index: 1, Voters: voters}, Commit: 1}
}

// Restore returns the initial state of a machine that founds a lost cluster again from a saved entry. term must be
// above every term that the lost cluster can have reached: the voters' IDs are derived from it, so that votes of the
// old voters don't count, and an old voter that returns finds a newer entry and joins. The ID of the result is "" if
// addr isn't among the voters.
func Restore(addr string, voters []string, entry Entry, term uint64) HardState {
	h := HardState{Term: term, Last: Entry{Term: term, Index: entry.Index + 1, Value: entry.Value}}
	for _, a := range voters {
		v := Voter{"r" + strconv.FormatUint(term, 10) + "@" + a, a}
		h.Last.Voters = append(h.Last.Voters, v)
		if a == addr {
			h.ID = v.ID
		}
	}
	return h
}

// Empty returns the state of a machine whose disk holds nothing. id must never have been used before, as the machine
// may have voted with another disk: the caller draws it at random.
func Empty(id string) HardState { return HardState{ID: id} }
