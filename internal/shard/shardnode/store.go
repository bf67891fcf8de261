package shardnode

// This file defines the data that a node stores and accounts for its disk space.

import (
	"maps"
	"slices"
)

// State is the state of a replica. Its values are stored and reported.
type State string

// The states of a replica; doc.go has the transitions.
const (
	StateReceiving State = "receiving" // space is reserved, and the log is being copied from the owner
	StateSealed    State = "sealed"    // complete, and kept until it is activated or dropped
	StateOpen      State = "open"      // this node is the owner and serves the shard
	StateClosing   State = "closing"   // open transactions may end, new work is refused
	StateClosed    State = "closed"    // nothing more is written with this epoch
)

// Entry is one record of a shard's log: the effect of an attempt, or a marker that the attempt is aborted. Nodes
// exchange entries in JSON (ENTRIES).
type Entry struct {
	Index     uint64 `cbor:"1,keyasint" json:"N"`  // from 1, without gaps
	AttemptID string `cbor:"2,keyasint" json:"ID"` // id of the request's attempt, unique within the log
	Bytes     int64  `cbor:"3,keyasint" json:"Bytes"`
	Aborted   bool   `cbor:"4,keyasint,omitempty" json:"Void"` // the attempt had no effect and never will
	Body      []byte `cbor:"5,keyasint,omitempty" json:"Body"`
}

// Replica is this node's replica of a shard.
type Replica struct {
	Epoch            uint64  `cbor:"1,keyasint"` // with which it was opened; while receiving or sealed, the source's
	State            State   `cbor:"2,keyasint"`
	Log              []Entry `cbor:"3,keyasint"` // Log[i].Index is i+1; only appended to
	Size             int64   `cbor:"4,keyasint"` // sum of the Bytes of Log
	Reserved         int64   `cbor:"5,keyasint"` // bytes reserved for further entries; 0 unless receiving
	OpenTransactions int     `cbor:"6,keyasint"` // 0 unless open or closing

	// byAttempt maps attempt ids to positions in Log. It isn't stored, and is rebuilt if it is nil or its length differs
	// from Log's.
	byAttempt map[string]int
}

// LastIndex returns the index of the newest entry, or 0 if the log is empty.
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
	r.findAttempt(entry.AttemptID) // builds byAttempt
	r.byAttempt[entry.AttemptID] = len(r.Log)
	r.Log = append(r.Log, entry)
	r.Size += entry.Bytes
	return entry
}

// matches reports whether r is not nil, has this epoch and is in one of these states.
func (r *Replica) matches(epoch uint64, states ...State) bool {
	return r != nil && r.Epoch == epoch && slices.Contains(states, r.State)
}

// Store holds all shard data of a node. The runner syncs it as a whole before it sends an answer.
type Store struct {
	Capacity      int64               `cbor:"1,keyasint"` // size of the disk in bytes
	External      int64               `cbor:"2,keyasint"` // bytes of the disk used by other data than shards
	Headroom      int64               `cbor:"3,keyasint"` // bytes that incoming replicas must leave free
	Replicas      map[string]*Replica `cbor:"4,keyasint"` // by shard
	HighestEpochs map[string]uint64   `cbor:"5,keyasint"` // by shard: the highest epoch observed; never decreases
}

// NewStore returns an empty store. capacity and headroom are bytes.
func NewStore(capacity, headroom int64) *Store {
	return &Store{Capacity: capacity, Headroom: headroom, Replicas: map[string]*Replica{},
		HighestEpochs: map[string]uint64{}}
}

// Recover prepares a store that was read from disk for use. Transactions that were open have ended with the process.
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

// FreeBytes returns the number of bytes of the disk that are neither used nor reserved. It may be negative.
func (s *Store) FreeBytes() int64 {
	free := s.Capacity - s.External
	for _, replica := range s.Replicas {
		free -= replica.Size + replica.Reserved
	}
	return free
}

// UsedBytes returns the number of bytes used by replicas and external data, without reservations.
func (s *Store) UsedBytes() int64 {
	used := s.External
	for _, replica := range s.Replicas {
		used += replica.Size
	}
	return used
}

// SetExternal sets the number of bytes of the disk that are used by other data than shards. It evicts receiving
// replicas if the disk is too full.
func (s *Store) SetExternal(bytes int64) {
	s.External = bytes
	s.evictUntilFree(0)
}

// evictUntilFree removes receiving replicas, in the order of their names, until the given number of bytes is free, and
// reports whether it is. Writes of owners take precedence because a transfer can be repeated.
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
