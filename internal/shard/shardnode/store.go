package shardnode

// This file owns what a node stores, and the accounting of its disk.

import (
	"maps"
	"slices"
)

// State of a replica. Its values are stored and reported.
type State string

// The states of a replica; doc.go has the transitions.
const (
	StateReceiving State = "receiving" // space is reserved, and the log is being copied from the owner
	StateSealed    State = "sealed"    // complete, and kept until it is activated or dropped
	StateOpen      State = "open"      // this node is the owner, and serves the shard
	StateClosing   State = "closing"   // open transactions may end, nothing new begins
	StateClosed    State = "closed"    // nothing is written here any more by this epoch
)

// Entry is one record of a shard's log: the effect of an attempt, or the mark that the attempt is aborted.
//
// The names in JSON are those that nodes exchange (ENTRIES).
type Entry struct {
	Index     uint64 `cbor:"1,keyasint" json:"N"`  // from 1, without gaps
	AttemptID string `cbor:"2,keyasint" json:"ID"` // of the request's attempt; at most one entry bears it
	Bytes     int64  `cbor:"3,keyasint" json:"Bytes"`
	Aborted   bool   `cbor:"4,keyasint,omitempty" json:"Void"` // the attempt had no effect and never will
	Body      []byte `cbor:"5,keyasint,omitempty" json:"Body"`
}

// Replica is one shard as this node stores it.
type Replica struct {
	Epoch            uint64  `cbor:"1,keyasint"` // by which it is open or was closed, or of its source
	State            State   `cbor:"2,keyasint"`
	Log              []Entry `cbor:"3,keyasint"` // Log[i].Index is i+1; only appended to
	Size             int64   `cbor:"4,keyasint"` // bytes: the sum of Log's
	Reserved         int64   `cbor:"5,keyasint"` // bytes kept free for entries that are still to come; 0 unless receiving
	OpenTransactions int     `cbor:"6,keyasint"` // 0 unless open or closing

	// byAttempt is the place in Log of each attempt's entry. It isn't stored: nil, or of another length than Log, means
	// that it has to be built again.
	byAttempt map[string]int
}

// LastIndex is the index of the newest entry, 0 for an empty log.
func (r *Replica) LastIndex() uint64 { return uint64(len(r.Log)) }

func (r *Replica) findAttempt(id string) (Entry, bool) {
	if r.byAttempt == nil || len(r.byAttempt) != len(r.Log) {
		r.byAttempt = map[string]int{}
		for i, entry := range r.Log {
			r.byAttempt[entry.AttemptID] = i
		}
	}
	if i, ok := r.byAttempt[id]; ok {
		return r.Log[i], true
	}
	return Entry{}, false
}

func (r *Replica) appendEntry(entry Entry) Entry {
	entry.Index = r.LastIndex() + 1
	r.findAttempt(entry.AttemptID) // has byAttempt built
	r.byAttempt[entry.AttemptID] = len(r.Log)
	r.Log = append(r.Log, entry)
	r.Size += entry.Bytes
	return entry
}

// inEpoch says whether there is a replica, of this epoch and in one of these states.
func (r *Replica) matches(epoch uint64, states ...State) bool {
	return r != nil && r.Epoch == epoch && slices.Contains(states, r.State)
}

// Store is all that a node holds of shards. The runner syncs it as a whole before it sends an answer.
type Store struct {
	Capacity      int64               `cbor:"1,keyasint"` // bytes of the disk
	External      int64               `cbor:"2,keyasint"` // bytes of it that others than shards take
	Headroom      int64               `cbor:"3,keyasint"` // bytes that no incoming replica may take
	Replicas      map[string]*Replica `cbor:"4,keyasint"` // by shard
	HighestEpochs map[string]uint64   `cbor:"5,keyasint"` // by shard; the highest observed, never falls
}

// NewStore is empty. Capacity and headroom are bytes.
func NewStore(capacity, headroom int64) *Store {
	return &Store{Capacity: capacity, Headroom: headroom, Replicas: map[string]*Replica{},
		HighestEpochs: map[string]uint64{}}
}

// Recover makes a store that was read back from disk ready for use: transactions that were open are no more.
func (s *Store) Recover() {
	if s.Replicas == nil {
		s.Replicas = map[string]*Replica{}
	}
	if s.HighestEpochs == nil {
		s.HighestEpochs = map[string]uint64{}
	}
	for _, replica := range s.Replicas {
		replica.OpenTransactions = 0
		replica.finishClosing()
	}
}

// FreeBytes is the part of the disk that is neither stored, nor reserved, nor external. It may be negative.
func (s *Store) FreeBytes() int64 {
	free := s.Capacity - s.External
	for _, replica := range s.Replicas {
		free -= replica.Size + replica.Reserved
	}
	return free
}

// UsedBytes is the part of the disk that is stored or external, without reservations.
func (s *Store) UsedBytes() int64 {
	used := s.External
	for _, replica := range s.Replicas {
		used += replica.Size
	}
	return used
}

// SetExternal takes the bytes of the disk that others than shards use now.
func (s *Store) SetExternal(bytes int64) {
	s.External = bytes
	s.evictUntilFree(0)
}

// evictUntilFree removes receiving replicas, in the order of their names, until that many bytes are free: a transfer
// can be repeated, a write of the owner can't wait. It says whether they are free now.
func (s *Store) evictUntilFree(bytes int64) bool {
	for _, shard := range slices.Sorted(maps.Keys(s.Replicas)) {
		if s.FreeBytes() >= bytes {
			break
		}
		if s.Replicas[shard].State == StateReceiving {
			delete(s.Replicas, shard)
		}
	}
	return s.FreeBytes() >= bytes
}

func (s *Store) observeEpoch(shard string, epoch uint64) {
	s.HighestEpochs[shard] = max(s.HighestEpochs[shard], epoch)
}

func (s *Store) movedError(shard string) error { return &MovedError{s.HighestEpochs[shard]} }
