package consensus

import (
	"cmp"
	"slices"
	"strconv"
)

// Voter is a machine that votes, for as long as its disk keeps what it promised.
type Voter struct {
	// ID names one life of the machine's disk: a disk that comes back empty gets another ID, see Empty.
	ID string `cbor:"1,keyasint"`
	// Addr is the machine's address for messages.
	Addr string `cbor:"2,keyasint"`
}

// Entry is a value with the set of voters that it takes effect with. Entries are ordered by term, then index.
type Entry struct {
	Term   uint64  `cbor:"1,keyasint"` // of the leader that wrote it
	Index  uint64  `cbor:"2,keyasint"` // one above that of the entry that it replaced; 0: there is no entry
	Voters []Voter `cbor:"3,keyasint"` // a majority of these commits it; never changed in place
	Value  []byte  `cbor:"4,keyasint"` // whole, not a change to the value before
	// Former are addresses of machines that voted before, see formerVoters; never changed in place.
	Former []string `cbor:"5,keyasint,omitempty"`
}

// entryID tells entries apart: a leader writes an index once a term.
type entryID struct{ term, index uint64 }

func (e *Entry) id() entryID { return entryID{e.Term, e.Index} }

// newerThan orders entries as Raft's section 5.4.1 does.
func (e entryID) newerThan(other entryID) bool {
	return e.term > other.term || e.term == other.term && e.index > other.index
}

// HardState is what must be on disk before a message that follows from it is sent.
type HardState struct {
	ID   string `cbor:"1,keyasint"` // of this node as a voter; it never changes
	Term uint64 `cbor:"2,keyasint"` // newest known; it never falls
	Vote string `cbor:"3,keyasint"` // ID of the candidate that got this node's vote in Term; "": none did
	Last Entry  `cbor:"4,keyasint"` // newest accepted, committed or not
	// Commit is the index of the newest entry known committed, and CommitTerm that entry's term. They are
	// written along with the other fields and never for their own sake, so that after a restart they may be
	// older than what was known.
	Commit     uint64 `cbor:"5,keyasint"`
	CommitTerm uint64 `cbor:"6,keyasint"`
}

// lastCommitted says that the last entry is known committed.
func (h *HardState) lastCommitted() bool {
	return h.Last.Index > 0 && h.Commit >= h.Last.Index && h.CommitTerm == h.Last.Term
}

// Bootstrap is the state with which a machine founds a core, together with those at the other founders'
// addresses. It must be used once in the life of a core and in the same way on each founder.
func Bootstrap(addr string, founders []string) HardState {
	var voters []Voter
	for _, a := range founders {
		voters = append(voters, Voter{"0@" + a, a})
	}
	slices.SortFunc(voters, func(a, b Voter) int { return cmp.Compare(a.ID, b.ID) })
	return HardState{ID: "0@" + addr, Last: Entry{Index: 1, Voters: voters}, Commit: 1}
}

// Restore is the state with which a machine founds a lost core anew from a saved entry. term must be beyond
// all that the lost core can have reached: the voters' IDs are drawn from it, so that no vote of an old
// machine counts, and an old one that comes back finds a newer entry and joins. The result's ID is "" where
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

// Empty is the state of a machine whose disk holds nothing. id must not have been used before, as the machine
// may have voted with another disk: the caller draws it at random.
func Empty(id string) HardState { return HardState{ID: id} }
