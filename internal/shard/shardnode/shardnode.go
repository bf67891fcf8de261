// Package shardnode is a node's side of shards: which it holds, by which epoch, and with how much room.
//
// This file owns what a node may say to a write, to a copy and to the mover. It does no I/O and reads no clock: whoever
// runs it syncs the keeper before an answer goes out. It must never run a write by an epoch that is not its own, hold
// more than its room, or run a try whose sender was told that it never will.
package shardnode

import (
	"errors"
	"fmt"
	"maps"
	"slices"
)

// State of a copy.
type State string

const (
	StateReceiving State = "receiving" // reserved, and filled from its holder
	StateSealed    State = "sealed"    // whole, and kept until it is said who holds the shard next
	StateOpen      State = "open"      // this node is the holder
	StateClosing   State = "closing"   // transactions that are open may end, nothing new begins
	StateClosed    State = "closed"    // nothing more is written here by this epoch
)

// Entry is one thing in a shard's log: an effect, or the word that a try has none and never will.
type Entry struct {
	Index     uint64 `cbor:"1,keyasint" json:"N"`
	AttemptID string `cbor:"2,keyasint" json:"ID"` // of the try: its outcome moves with the shard
	Bytes     int64  `cbor:"3,keyasint" json:"Bytes"`
	Aborted   bool   `cbor:"4,keyasint,omitempty" json:"Void"`
	Body      []byte `cbor:"5,keyasint,omitempty" json:"Body"`
}

// Copy is a shard as this node has it.
type Replica struct {
	Epoch            uint64  `cbor:"1,keyasint"`
	State            State   `cbor:"2,keyasint"`
	Log              []Entry `cbor:"3,keyasint"`
	Size             int64   `cbor:"4,keyasint"` // bytes
	Reserved         int64   `cbor:"5,keyasint"` // bytes kept free for what is still to come
	OpenTransactions int     `cbor:"6,keyasint"` // transactions

	byAttempt map[string]int
}

// Last is the number of the newest entry.
func (c *Replica) LastIndex() uint64 { return uint64(len(c.Log)) }

// Keeper is what a node holds. It is synced as a whole.
type Store struct {
	Capacity      int64               `cbor:"1,keyasint"` // bytes of its disk
	External      int64               `cbor:"2,keyasint"` // of them taken by others
	Headroom      int64               `cbor:"3,keyasint"` // kept free of copies that come
	Replicas      map[string]*Replica `cbor:"4,keyasint"`
	HighestEpochs map[string]uint64   `cbor:"5,keyasint"` // newest epoch heard for each shard, of those not held too
}

// NewKeeper is empty.
func NewStore(limit, reserve int64) *Store {
	return &Store{Capacity: limit, Headroom: reserve, Replicas: map[string]*Replica{}, HighestEpochs: map[string]uint64{}}
}

// Refusals. Each promises that nothing was done.
var (
	ErrNoCapacity = errors.New("no room")
	ErrAborted    = errors.New("this try never runs")
	ErrStaleEpoch = errors.New("an older epoch than one heard before")
	ErrIncomplete = errors.New("the copy lacks what the shard had at its close")
	ErrWrongState = errors.New("not in this state")
)

// Moved refuses by the epoch: the node doesn't hold the shard, or holds it by another.
type MovedError struct{ HighestEpoch uint64 } // the newest that this node heard; a holder by a newer one is to be waited for

func (m *MovedError) Error() string { return fmt.Sprint("moved ", m.HighestEpoch) }

// Free is how many bytes are neither held, nor reserved, nor another's.
func (k *Store) FreeBytes() int64 {
	free := k.Capacity - k.External
	for _, c := range k.Replicas {
		free -= c.Size + c.Reserved
	}
	return free
}

// Used is what stands on the disk.
func (k *Store) UsedBytes() int64 {
	used := k.External
	for _, c := range k.Replicas {
		used += c.Size
	}
	return used
}

func (k *Store) observeEpoch(shard string, epoch uint64) {
	k.HighestEpochs[shard] = max(k.HighestEpochs[shard], epoch)
}

// holder gives the copy that a statement by epoch may run on.
func (k *Store) served(shard string, epoch uint64) (*Replica, error) {
	c := k.Replicas[shard]
	if c == nil || c.State != StateOpen || c.Epoch != epoch {
		return nil, &MovedError{k.HighestEpochs[shard]}
	}
	return c, nil
}

// give lets copies that are only coming go until so many bytes are free: moves give way to writes.
func (k *Store) evictUntilFree(bytes int64) bool {
	for _, shard := range slices.Sorted(maps.Keys(k.Replicas)) {
		if k.FreeBytes() >= bytes {
			break
		}
		if k.Replicas[shard].State == StateReceiving {
			delete(k.Replicas, shard)
		}
	}
	return k.FreeBytes() >= bytes
}

// SetForeign takes note of what others hold of the disk.
func (k *Store) SetExternal(bytes int64) {
	k.External = bytes
	k.evictUntilFree(0)
}

func (c *Replica) findAttempt(id string) (Entry, bool) {
	if c.byAttempt == nil || len(c.byAttempt) != len(c.Log) {
		c.byAttempt = map[string]int{}
		for i, e := range c.Log {
			c.byAttempt[e.AttemptID] = i
		}
	}
	if i, ok := c.byAttempt[id]; ok {
		return c.Log[i], true
	}
	return Entry{}, false
}

func (c *Replica) appendEntry(e Entry) Entry {
	e.Index = c.LastIndex() + 1
	c.findAttempt(e.AttemptID)
	c.byAttempt[e.AttemptID] = len(c.Log)
	c.Log = append(c.Log, e)
	c.Size += e.Bytes
	return e
}

// Read says whether a read by epoch may run.
func (k *Store) CheckRead(shard string, epoch uint64) error {
	_, err := k.served(shard, epoch)
	return err
}

// Write runs a try, once: told of the same again it gives what came of it.
func (k *Store) Write(shard string, epoch uint64, id string, body []byte) (Entry, error) {
	c, err := k.served(shard, epoch)
	if err != nil {
		return Entry{}, err
	}
	return k.applyOnce(c, id, body)
}

func (k *Store) applyOnce(c *Replica, id string, body []byte) (Entry, error) {
	if e, ok := c.findAttempt(id); ok {
		if e.Aborted {
			return Entry{}, ErrAborted
		}
		return e, nil
	}
	if !k.evictUntilFree(int64(len(body))) {
		return Entry{}, ErrNoCapacity
	}
	return c.appendEntry(Entry{AttemptID: id, Bytes: int64(len(body)), Body: body}), nil
}

// Begin opens a transaction; Commit runs what it wrote under the try's id, and End counts it out, committed or not.
func (k *Store) BeginTransaction(shard string, epoch uint64) error {
	c, err := k.served(shard, epoch)
	if err == nil {
		c.OpenTransactions++
	}
	return err
}

// Commit runs a transaction's writes as one effect. It is taken while the shard closes, not behind its close.
func (k *Store) CommitTransaction(shard string, epoch uint64, id string, body []byte) (Entry, error) {
	c := k.Replicas[shard]
	if c == nil || c.Epoch != epoch || c.State != StateOpen && c.State != StateClosing {
		return Entry{}, &MovedError{k.HighestEpochs[shard]}
	}
	return k.applyOnce(c, id, body)
}

// End ends a transaction.
func (k *Store) EndTransaction(shard string, epoch uint64) {
	if c := k.Replicas[shard]; c != nil && c.Epoch == epoch && c.OpenTransactions > 0 {
		c.OpenTransactions--
		k.finishClosing(c)
	}
}

func (k *Store) finishClosing(c *Replica) {
	if c.State == StateClosing && c.OpenTransactions == 0 {
		c.State = StateClosed
	}
}

// Settle says for certain what came of a try that was sent and not answered: its entry, or ErrVoid, and then it never
// runs.
func (k *Store) ResolveAttempt(shard string, epoch uint64, id string) (Entry, error) {
	c, err := k.served(shard, epoch)
	if err != nil {
		return Entry{}, err
	}
	if e, ok := c.findAttempt(id); ok && !e.Aborted {
		return e, nil
	} else if !ok {
		c.appendEntry(Entry{AttemptID: id, Aborted: true})
	}
	return Entry{}, ErrAborted
}

// ReserveFor makes room for a copy that is to come from the holder by epoch. The node decides, on what is really free.
func (k *Store) Reserve(shard string, epoch uint64, bytes int64) error {
	if epoch < k.HighestEpochs[shard] {
		return ErrStaleEpoch
	}
	c := k.Replicas[shard]
	if c != nil {
		if c.State == StateReceiving && c.Epoch == epoch {
			return nil
		}
		if c.State != StateReceiving && c.State != StateSealed || c.Epoch > epoch {
			return ErrWrongState
		}
		if c.Epoch == epoch { // sealed: it has all
			return nil
		}
		delete(k.Replicas, shard) // of an older move
	}
	if k.FreeBytes()-k.Headroom < bytes {
		if c != nil {
			k.Replicas[shard] = c
		}
		return ErrNoCapacity
	}
	k.observeEpoch(shard, epoch)
	k.Replicas[shard] = &Replica{Epoch: epoch, State: StateReceiving, Reserved: bytes}
	return nil
}

// Receive takes entries that follow what is there. Beyond what was reserved it needs room that is free.
func (k *Store) AppendEntries(shard string, epoch uint64, entries []Entry) error {
	c := k.Replicas[shard]
	if c == nil || c.State != StateReceiving || c.Epoch != epoch {
		return ErrWrongState
	}
	for _, e := range entries {
		if e.Index <= c.LastIndex() {
			continue
		}
		if e.Index != c.LastIndex()+1 {
			return ErrIncomplete
		}
		if more := e.Bytes - c.Reserved; more > 0 && k.FreeBytes()-k.Headroom < more {
			delete(k.Replicas, shard)
			return ErrNoCapacity
		}
		c.Reserved = max(0, c.Reserved-e.Bytes)
		c.appendEntry(e)
	}
	return nil
}

// Seal keeps a copy that is whole up to last, whatever comes, until it is opened or dropped.
func (k *Store) Seal(shard string, epoch, last uint64) error {
	c := k.Replicas[shard]
	switch {
	case c == nil || c.Epoch != epoch || c.State != StateReceiving && c.State != StateSealed:
		return ErrWrongState
	case c.LastIndex() != last:
		return ErrIncomplete
	}
	c.State, c.Reserved = StateSealed, 0
	return nil
}

// Close ends writes by epoch. done: nothing is open any more, and last is the end of the shard's log for good.
func (k *Store) Close(shard string, epoch uint64) (last uint64, done bool, err error) {
	c := k.Replicas[shard]
	if c == nil || c.Epoch != epoch || c.State == StateReceiving || c.State == StateSealed {
		return 0, false, &MovedError{k.HighestEpochs[shard]}
	}
	if c.State == StateOpen {
		c.State = StateClosing
	}
	k.finishClosing(c)
	return c.LastIndex(), c.State == StateClosed, nil
}

// Cut ends the transactions that are open as a shard closes; the runner rolls them back.
func (k *Store) AbortTransactions(shard string) {
	if c := k.Replicas[shard]; c != nil && c.State == StateClosing {
		c.OpenTransactions = 0
		k.finishClosing(c)
	}
}

// Hold opens the shard here by an epoch that was agreed on: behind a move, with all up to last, or back at who closed
// it. Told again it changes nothing.
func (k *Store) Activate(shard string, epoch, last uint64) error {
	c := k.Replicas[shard]
	if c == nil {
		if last == 0 && epoch > k.HighestEpochs[shard] { // a new shard
			k.observeEpoch(shard, epoch)
			k.Replicas[shard] = &Replica{Epoch: epoch, State: StateOpen}
			return nil
		}
		return ErrIncomplete
	}
	switch {
	case c.State == StateOpen && c.Epoch == epoch:
		return nil
	case epoch <= k.HighestEpochs[shard]:
		return ErrStaleEpoch
	case c.State == StateReceiving || c.LastIndex() < last:
		return ErrIncomplete
	}
	c.Epoch, c.State, c.Reserved, c.OpenTransactions = epoch, StateOpen, 0, 0
	k.observeEpoch(shard, epoch)
	return nil
}

// Drop lets a copy go that another holds by a newer epoch.
func (k *Store) Drop(shard string, epoch uint64) error {
	c := k.Replicas[shard]
	if c == nil {
		k.observeEpoch(shard, epoch)
		return nil
	}
	if epoch <= c.Epoch || epoch < k.HighestEpochs[shard] {
		return ErrStaleEpoch
	}
	if c.State == StateOpen || c.State == StateClosing {
		return ErrWrongState
	}
	delete(k.Replicas, shard)
	k.observeEpoch(shard, epoch)
	return nil
}

// Abandon lets go of a copy that was coming by epoch.
func (k *Store) Discard(shard string, epoch uint64) error {
	if c := k.Replicas[shard]; c != nil && c.State == StateReceiving {
		if c.Epoch > epoch {
			return ErrStaleEpoch
		}
		delete(k.Replicas, shard)
	}
	return nil
}

// Restart is what a process does with what its disk held: transactions that were open are no more.
func (k *Store) Recover() {
	if k.Replicas == nil {
		k.Replicas = map[string]*Replica{}
	}
	if k.HighestEpochs == nil {
		k.HighestEpochs = map[string]uint64{}
	}
	for _, c := range k.Replicas {
		c.OpenTransactions = 0
		k.finishClosing(c)
	}
}

// Entries gives what follows after in a shard's log, as far as most bytes go and one entry at least; more is how many
// are left. Only who holds it by epoch, or closed it by it, says so.
func (k *Store) ReadEntries(shard string, epoch, after uint64, most int64) (out []Entry, more uint64, err error) {
	c := k.Replicas[shard]
	if c == nil || c.Epoch != epoch || c.State == StateReceiving || c.State == StateSealed {
		return nil, 0, &MovedError{k.HighestEpochs[shard]}
	}
	size := int64(0)
	for _, e := range c.Log[min(after, c.LastIndex()):] {
		if size += e.Bytes + 32; len(out) > 0 && size > most {
			break
		}
		out = append(out, e)
	}
	return out, c.LastIndex() - min(after, c.LastIndex()) - uint64(len(out)), nil
}
