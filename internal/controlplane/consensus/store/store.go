// Package store keeps a core machine's consensus.HardState on its disk: its vote and the newest entry that it
// accepted.
//
// The folder is a pebble database with two records in CBOR: "meta", with all but the entry, and "entry", which is
// as large as the value and is written only where it changed. Both are written in one batch, and meta says which
// entry belongs to it, so that a folder never gives back parts of two states. It decides nothing: a record that
// can't be read is an error, never an empty one.
package store

import (
	"errors"
	"fmt"

	"github.com/cockroachdb/pebble"
	"github.com/cockroachdb/pebble/vfs"
	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"

	"weirwind/internal/controlplane/consensus"
)

// FS is the file system below. Tests put one that fails in its place, before they open a store.
var FS vfs.FS = vfs.Default

// Store is an open folder. Its process has the folder to itself. It isn't safe for concurrent use.
type Store struct {
	db *pebble.DB
	// savedEntry identifies the entry that is on disk, so that it is written only where it changed.
	savedEntry entryID
	// broken says that a write failed for good, and the database hangs whoever calls it.
	broken bool
}

// entryID is the term and the index of an entry, in the form in which meta holds them.
type entryID [2]uint64

// meta is the record of all but the entry.
type meta struct {
	ID         string  `cbor:"1,keyasint"`
	Term       uint64  `cbor:"2,keyasint"`
	Vote       string  `cbor:"3,keyasint"`
	Commit     uint64  `cbor:"4,keyasint"`
	CommitTerm uint64  `cbor:"5,keyasint"`
	Entry      entryID `cbor:"6,keyasint"` // that the other record must have; zero: there is none
}

var metaKey, entryKey = []byte("meta"), []byte("entry")

// Open opens a folder, or makes it. found is false where nothing was ever saved there. A record that isn't what was
// saved is a *CorruptError.
func Open(folder string) (s *Store, state consensus.HardState, found bool, err error) {
	return open(folder, FS, false)
}

// OpenWithRetry opens a folder as Open does. While the disk is full, each refused write is retried for as long as
// onDiskFull returns true, also during the opening itself.
func OpenWithRetry(folder string, full DiskFullHandler) (s *Store, state consensus.HardState, found bool, err error) {
	return open(folder, &fullFS{FS, full}, false)
}

// Inspect reads a folder that no process has open, and changes nothing in it.
func Inspect(folder string) (consensus.HardState, bool, error) {
	s, state, found, err := open(folder, FS, true)
	if err == nil {
		err = s.Close()
	}
	return state, found, err
}

func open(folder string, fs vfs.FS, readOnly bool) (s *Store, state consensus.HardState, found bool, err error) {
	step := oops.In("disk").With("folder", folder)
	defer func() {
		if p := recover(); p != nil {
			err = step.Errorf("open: %w", panicError(p))
		}
	}()
	db, err := openDB(folder, fs, readOnly)
	if err != nil {
		return nil, state, false, step.Wrapf(err, "open")
	}
	s = &Store{db: db}
	state, found, err = s.read(step)
	if err != nil {
		_ = db.Close() // the error that is returned says more
		return nil, consensus.HardState{}, false, err
	}
	return s, state, found, nil
}

// openDB opens the database with small buffers: it holds one value.
func openDB(folder string, fs vfs.FS, readOnly bool) (*pebble.DB, error) {
	cache := pebble.NewCache(1 << 20)
	defer cache.Unref()
	return pebble.Open(folder, &pebble.Options{
		Cache:                    cache,
		MemTableSize:             4 << 20,
		MaxOpenFiles:             32,
		MaxConcurrentCompactions: func() int { return 1 },
		MaxManifestFileSize:      1 << 20,
		ReadOnly:                 readOnly,
		FS:                       fs,
		Logger:                   panicLogger{},
	})
}

// read gives what is saved; false: nothing is.
func (s *Store) read(step oops.OopsErrorBuilder) (state consensus.HardState, found bool, err error) {
	var m meta
	if found, err = s.get(metaKey, &m); err != nil {
		return state, false, step.Wrapf(err, "read meta")
	}
	if !found {
		return state, false, nil
	}
	state = consensus.HardState{ID: m.ID, Term: m.Term, Vote: m.Vote, Commit: m.Commit, CommitTerm: m.CommitTerm}
	if m.Entry != (entryID{}) {
		if err := s.getEntry(m.Entry, &state.Last); err != nil {
			return state, false, step.Wrapf(err, "read entry")
		}
	}
	s.savedEntry = m.Entry
	return state, true, nil
}

// getEntry reads the entry, which must be the one that meta names.
func (s *Store) getEntry(id entryID, into *consensus.Entry) error {
	found, err := s.get(entryKey, into)
	if err != nil {
		return err
	}
	if !found || idOf(into) != id {
		return &CorruptError{Record: string(entryKey), Err: fmt.Errorf("the entry %v that was kept is not there", id)}
	}
	return nil
}

func idOf(entry *consensus.Entry) entryID { return entryID{entry.Term, entry.Index} }

// get reads a record; false: there is none.
func (s *Store) get(key []byte, into any) (bool, error) {
	v, closer, err := s.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = closer.Close() }() // lets go of v, and gives no error
	if err := cbor.Unmarshal(v, into); err != nil {
		return true, &CorruptError{Record: string(key), Err: err}
	}
	return true, nil
}

// Save returns when the whole state is synced. After another error than ErrBroken it may be tried again;
// after ErrBroken nothing can be saved any more.
func (s *Store) Save(state *consensus.HardState) (err error) {
	if s.broken {
		return ErrBroken
	}
	defer func() {
		if p := recover(); p != nil {
			s.broken = true
			err = oops.In("disk").Wrapf(&brokenError{panicError(p)}, "%v", p)
		}
	}()
	b := s.db.NewBatch()
	defer func() { _ = b.Close() }() // frees the batch, and gives no error
	id := idOf(&state.Last)
	if err := set(b, metaKey, meta{state.ID, state.Term, state.Vote, state.Commit, state.CommitTerm, id}); err != nil {
		return err
	}
	if id != s.savedEntry {
		if err := set(b, entryKey, &state.Last); err != nil {
			return err
		}
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return oops.In("disk").Wrapf(err, "sync")
	}
	s.savedEntry = id
	return nil
}

// set puts a record into a batch.
func set(b *pebble.Batch, key []byte, record any) error {
	v, err := cbor.Marshal(record)
	if err != nil {
		return err
	}
	return b.Set(key, v, nil)
}

// Close lets go of the folder. A broken store is left as it is: closing it would wait for ever.
func (s *Store) Close() error {
	if s.broken {
		return nil
	}
	return s.db.Close()
}
