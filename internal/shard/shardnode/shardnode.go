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
	Receiving State = "receiving" // reserved, and filled from its holder
	Sealed    State = "sealed"    // whole, and kept until it is said who holds the shard next
	Open      State = "open"      // this node is the holder
	Closing   State = "closing"   // transactions that are open may end, nothing new begins
	Closed    State = "closed"    // nothing more is written here by this epoch
)

// Entry is one thing in a shard's log: an effect, or the word that a try has none and never will.
type Entry struct {
	N     uint64 `cbor:"1,keyasint"`
	ID    string `cbor:"2,keyasint"` // of the try: its outcome moves with the shard
	Bytes int64  `cbor:"3,keyasint"`
	Void  bool   `cbor:"4,keyasint,omitempty"`
	Body  []byte `cbor:"5,keyasint,omitempty"`
}

// Copy is a shard as this node has it.
type Copy struct {
	Epoch    uint64  `cbor:"1,keyasint"`
	State    State   `cbor:"2,keyasint"`
	Log      []Entry `cbor:"3,keyasint"`
	Held     int64   `cbor:"4,keyasint"` // bytes
	Reserved int64   `cbor:"5,keyasint"` // bytes kept free for what is still to come
	Open     int     `cbor:"6,keyasint"` // transactions

	byID map[string]int
}

// Last is the number of the newest entry.
func (c *Copy) Last() uint64 { return uint64(len(c.Log)) }

// Keeper is what a node holds. It is synced as a whole.
type Keeper struct {
	Limit   int64             `cbor:"1,keyasint"` // bytes of its disk
	Foreign int64             `cbor:"2,keyasint"` // of them taken by others
	Reserve int64             `cbor:"3,keyasint"` // kept free of copies that come
	Copies  map[string]*Copy  `cbor:"4,keyasint"`
	Known   map[string]uint64 `cbor:"5,keyasint"` // newest epoch heard for each shard, of those not held too
}

// NewKeeper is empty.
func NewKeeper(limit, reserve int64) *Keeper {
	return &Keeper{Limit: limit, Reserve: reserve, Copies: map[string]*Copy{}, Known: map[string]uint64{}}
}

// Refusals. Each promises that nothing was done.
var (
	ErrNoRoom = errors.New("no room")
	ErrVoid   = errors.New("this try never runs")
	ErrOld    = errors.New("an older epoch than one heard before")
	ErrBehind = errors.New("the copy lacks what the shard had at its close")
	ErrState  = errors.New("not in this state")
)

// Moved refuses by the epoch: the node doesn't hold the shard, or holds it by another.
type Moved struct{ Epoch uint64 } // the newest that this node heard; a holder by a newer one is to be waited for

func (m *Moved) Error() string { return fmt.Sprint("moved ", m.Epoch) }

// Free is how many bytes are neither held, nor reserved, nor another's.
func (k *Keeper) Free() int64 {
	free := k.Limit - k.Foreign
	for _, c := range k.Copies {
		free -= c.Held + c.Reserved
	}
	return free
}

// Used is what stands on the disk.
func (k *Keeper) Used() int64 {
	used := k.Foreign
	for _, c := range k.Copies {
		used += c.Held
	}
	return used
}

func (k *Keeper) heard(shard string, epoch uint64) { k.Known[shard] = max(k.Known[shard], epoch) }

// holder gives the copy that a statement by epoch may run on.
func (k *Keeper) holder(shard string, epoch uint64) (*Copy, error) {
	c := k.Copies[shard]
	if c == nil || c.State != Open || c.Epoch != epoch {
		return nil, &Moved{k.Known[shard]}
	}
	return c, nil
}

// give lets copies that are only coming go until so many bytes are free: moves give way to writes.
func (k *Keeper) give(bytes int64) bool {
	for _, shard := range slices.Sorted(maps.Keys(k.Copies)) {
		if k.Free() >= bytes {
			break
		}
		if k.Copies[shard].State == Receiving {
			delete(k.Copies, shard)
		}
	}
	return k.Free() >= bytes
}

// SetForeign takes note of what others hold of the disk.
func (k *Keeper) SetForeign(bytes int64) {
	k.Foreign = bytes
	k.give(0)
}

func (c *Copy) find(id string) (Entry, bool) {
	if c.byID == nil || len(c.byID) != len(c.Log) {
		c.byID = map[string]int{}
		for i, e := range c.Log {
			c.byID[e.ID] = i
		}
	}
	if i, ok := c.byID[id]; ok {
		return c.Log[i], true
	}
	return Entry{}, false
}

func (c *Copy) add(e Entry) Entry {
	e.N = c.Last() + 1
	c.find(e.ID)
	c.byID[e.ID] = len(c.Log)
	c.Log = append(c.Log, e)
	c.Held += e.Bytes
	return e
}

// Read says whether a read by epoch may run.
func (k *Keeper) Read(shard string, epoch uint64) error {
	_, err := k.holder(shard, epoch)
	return err
}

// Write runs a try, once: told of the same again it gives what came of it.
func (k *Keeper) Write(shard string, epoch uint64, id string, body []byte) (Entry, error) {
	c, err := k.holder(shard, epoch)
	if err != nil {
		return Entry{}, err
	}
	return k.run(c, id, body)
}

func (k *Keeper) run(c *Copy, id string, body []byte) (Entry, error) {
	if e, ok := c.find(id); ok {
		if e.Void {
			return Entry{}, ErrVoid
		}
		return e, nil
	}
	if !k.give(int64(len(body))) {
		return Entry{}, ErrNoRoom
	}
	return c.add(Entry{ID: id, Bytes: int64(len(body)), Body: body}), nil
}

// Begin opens a transaction; Commit runs what it wrote under the try's id, and End counts it out, committed or not.
func (k *Keeper) Begin(shard string, epoch uint64) error {
	c, err := k.holder(shard, epoch)
	if err == nil {
		c.Open++
	}
	return err
}

// Commit runs a transaction's writes as one effect. It is taken while the shard closes, not behind its close.
func (k *Keeper) Commit(shard string, epoch uint64, id string, body []byte) (Entry, error) {
	c := k.Copies[shard]
	if c == nil || c.Epoch != epoch || c.State != Open && c.State != Closing {
		return Entry{}, &Moved{k.Known[shard]}
	}
	return k.run(c, id, body)
}

// End ends a transaction.
func (k *Keeper) End(shard string, epoch uint64) {
	if c := k.Copies[shard]; c != nil && c.Epoch == epoch && c.Open > 0 {
		c.Open--
		k.settled(c)
	}
}

func (k *Keeper) settled(c *Copy) {
	if c.State == Closing && c.Open == 0 {
		c.State = Closed
	}
}

// Settle says for certain what came of a try that was sent and not answered: its entry, or ErrVoid, and then it never
// runs.
func (k *Keeper) Settle(shard string, epoch uint64, id string) (Entry, error) {
	c, err := k.holder(shard, epoch)
	if err != nil {
		return Entry{}, err
	}
	if e, ok := c.find(id); ok && !e.Void {
		return e, nil
	} else if !ok {
		c.add(Entry{ID: id, Void: true})
	}
	return Entry{}, ErrVoid
}

// ReserveFor makes room for a copy that is to come from the holder by epoch. The node decides, on what is really free.
func (k *Keeper) ReserveFor(shard string, epoch uint64, bytes int64) error {
	if epoch < k.Known[shard] {
		return ErrOld
	}
	c := k.Copies[shard]
	if c != nil {
		if c.State == Receiving && c.Epoch == epoch {
			return nil
		}
		if c.State != Receiving && c.State != Sealed || c.Epoch > epoch {
			return ErrState
		}
		if c.Epoch == epoch { // sealed: it has all
			return nil
		}
		delete(k.Copies, shard) // of an older move
	}
	if k.Free()-k.Reserve < bytes {
		if c != nil {
			k.Copies[shard] = c
		}
		return ErrNoRoom
	}
	k.heard(shard, epoch)
	k.Copies[shard] = &Copy{Epoch: epoch, State: Receiving, Reserved: bytes}
	return nil
}

// Receive takes entries that follow what is there. Beyond what was reserved it needs room that is free.
func (k *Keeper) Receive(shard string, epoch uint64, entries []Entry) error {
	c := k.Copies[shard]
	if c == nil || c.State != Receiving || c.Epoch != epoch {
		return ErrState
	}
	for _, e := range entries {
		if e.N <= c.Last() {
			continue
		}
		if e.N != c.Last()+1 {
			return ErrBehind
		}
		if more := e.Bytes - c.Reserved; more > 0 && k.Free()-k.Reserve < more {
			delete(k.Copies, shard)
			return ErrNoRoom
		}
		c.Reserved = max(0, c.Reserved-e.Bytes)
		c.add(e)
	}
	return nil
}

// Seal keeps a copy that is whole up to last, whatever comes, until it is opened or dropped.
func (k *Keeper) Seal(shard string, epoch, last uint64) error {
	c := k.Copies[shard]
	switch {
	case c == nil || c.Epoch != epoch || c.State != Receiving && c.State != Sealed:
		return ErrState
	case c.Last() != last:
		return ErrBehind
	}
	c.State, c.Reserved = Sealed, 0
	return nil
}

// Close ends writes by epoch. done: nothing is open any more, and last is the end of the shard's log for good.
func (k *Keeper) Close(shard string, epoch uint64) (last uint64, done bool, err error) {
	c := k.Copies[shard]
	if c == nil || c.Epoch != epoch || c.State == Receiving || c.State == Sealed {
		return 0, false, &Moved{k.Known[shard]}
	}
	if c.State == Open {
		c.State = Closing
	}
	k.settled(c)
	return c.Last(), c.State == Closed, nil
}

// Cut ends the transactions that are open as a shard closes; the runner rolls them back.
func (k *Keeper) Cut(shard string) {
	if c := k.Copies[shard]; c != nil && c.State == Closing {
		c.Open = 0
		k.settled(c)
	}
}

// Hold opens the shard here by an epoch that was agreed on: behind a move, with all up to last, or back at who closed
// it. Told again it changes nothing.
func (k *Keeper) Hold(shard string, epoch, last uint64) error {
	c := k.Copies[shard]
	if c == nil {
		if last == 0 && epoch > k.Known[shard] { // a new shard
			k.heard(shard, epoch)
			k.Copies[shard] = &Copy{Epoch: epoch, State: Open}
			return nil
		}
		return ErrBehind
	}
	switch {
	case c.State == Open && c.Epoch == epoch:
		return nil
	case epoch <= k.Known[shard]:
		return ErrOld
	case c.State == Receiving || c.Last() < last:
		return ErrBehind
	}
	c.Epoch, c.State, c.Reserved, c.Open = epoch, Open, 0, 0
	k.heard(shard, epoch)
	return nil
}

// Drop lets a copy go that another holds by a newer epoch.
func (k *Keeper) Drop(shard string, epoch uint64) error {
	c := k.Copies[shard]
	if c == nil {
		k.heard(shard, epoch)
		return nil
	}
	if epoch <= c.Epoch || epoch < k.Known[shard] {
		return ErrOld
	}
	if c.State == Open || c.State == Closing {
		return ErrState
	}
	delete(k.Copies, shard)
	k.heard(shard, epoch)
	return nil
}

// Abandon lets go of a copy that was coming by epoch.
func (k *Keeper) Abandon(shard string, epoch uint64) error {
	if c := k.Copies[shard]; c != nil && c.State == Receiving {
		if c.Epoch > epoch {
			return ErrOld
		}
		delete(k.Copies, shard)
	}
	return nil
}

// Restart is what a process does with what its disk held: transactions that were open are no more.
func (k *Keeper) Restart() {
	if k.Copies == nil {
		k.Copies = map[string]*Copy{}
	}
	if k.Known == nil {
		k.Known = map[string]uint64{}
	}
	for _, c := range k.Copies {
		c.Open = 0
		k.settled(c)
	}
}

// Entries gives what follows after in a shard's log, as far as most bytes go and one entry at least; more is how many
// are left. Only who holds it by epoch, or closed it by it, says so.
func (k *Keeper) Entries(shard string, epoch, after uint64, most int64) (out []Entry, more uint64, err error) {
	c := k.Copies[shard]
	if c == nil || c.Epoch != epoch || c.State == Receiving || c.State == Sealed {
		return nil, 0, &Moved{k.Known[shard]}
	}
	size := int64(0)
	for _, e := range c.Log[min(after, c.Last()):] {
		if size += e.Bytes + 32; len(out) > 0 && size > most {
			break
		}
		out = append(out, e)
	}
	return out, c.Last() - min(after, c.Last()) - uint64(len(out)), nil
}
