// Package store keeps a control-plane machine's consensus.HardState on disk: its vote and the latest entry that it
// accepted.
//
// The folder is a pebble database with two records in CBOR: "meta", with everything but the entry, and "entry", which
// is as large as the value and is written only when it changed. Both are written in one batch, and meta names the
// entry that belongs to it, so that reading never combines parts of two states. The store makes no decisions: a
// record that can't be read is an error and never counts as empty.
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

// FS is the underlying file system. Tests replace it by one that fails before they open a store.
var FS vfs.FS = vfs.Default

// Store is an open folder. Only one process can have a folder open. A Store isn't safe for concurrent use.
type Store struct {
	db *pebble.DB
	// savedEntry identifies the entry on disk, so that an unchanged entry isn't written again.
	savedEntry entryID
	// broken is set after a write that panicked: every later call of the database would block forever.
	broken bool
}

// entryID is the term and the index of an entry, in the form stored in meta.
type entryID [2]uint64

// meta is the record of everything but the entry.
type meta struct {
	ID         string  `cbor:"1,keyasint"`
	Term       uint64  `cbor:"2,keyasint"`
	Vote       string  `cbor:"3,keyasint"`
	Commit     uint64  `cbor:"4,keyasint"`
	CommitTerm uint64  `cbor:"5,keyasint"`
	Entry      entryID `cbor:"6,keyasint"` // the entry that the other record must hold; zero if there is none
}

var metaKey, entryKey = []byte("meta"), []byte("entry")

// Open opens a folder and creates it if necessary. found is false if nothing was ever saved there. A record that isn't
// what was saved is reported as a *CorruptError.
func Open(folder string) (s *Store, state consensus.HardState, found bool, err error) {
	return open(folder, FS, false)
}

// OpenWithRetry opens a folder as Open does. While the disk is full, each refused write is retried for as long as
// onDiskFull returns true, also during the opening itself.
func OpenWithRetry(folder string, onDiskFull DiskFullHandler) (
	s *Store, state consensus.HardState, found bool, err error,
) {
	return open(folder, &retryFS{FS, onDiskFull}, false)
}

// Inspect reads the state of a folder that no process has open, and changes nothing in it. The second result is false
// if nothing was saved.
func Inspect(folder string) (consensus.HardState, bool, error) {
	s, state, found, err := open(folder, FS, true)
	if err == nil {
		err = s.Close()
	}
	return state, found, err
}

func open(folder string, fs vfs.FS, readOnly bool) (s *Store, state consensus.HardState, found bool, err error) {
	errorBuilder := oops.In("disk").With("folder", folder)
	defer func() {
		if p := recover(); p != nil {
			err = errorBuilder.Errorf("open: %w", panicError(p))
		}
	}()
	db, err := openDB(folder, fs, readOnly)
	if err != nil {
		return nil, state, false, errorBuilder.Wrapf(err, "open")
	}
	s = &Store{db: db}
	state, found, err = s.read(errorBuilder)
	if err != nil {
		_ = db.Close() // the error that is returned is more specific
		return nil, consensus.HardState{}, false, err
	}
	return s, state, found, nil
}

// openDB opens the database with small buffers, as it holds a single value.
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

// read returns the saved state; found is false if there is none.
func (s *Store) read(errorBuilder oops.OopsErrorBuilder) (state consensus.HardState, found bool, err error) {
	var m meta
	if found, err = s.getRecord(metaKey, &m); err != nil {
		return state, false, errorBuilder.Wrapf(err, "read meta")
	}
	if !found {
		return state, false, nil
	}
	state = consensus.HardState{ID: m.ID, Term: m.Term, Vote: m.Vote, Commit: m.Commit, CommitTerm: m.CommitTerm}
	if m.Entry != (entryID{}) {
		if err := s.getEntry(m.Entry, &state.Last); err != nil {
			return state, false, errorBuilder.Wrapf(err, "read entry")
		}
	}
	s.savedEntry = m.Entry
	return state, true, nil
}

// getEntry reads the entry, which must be the one that meta names.
func (s *Store) getEntry(id entryID, into *consensus.Entry) error {
	found, err := s.getRecord(entryKey, into)
	if err != nil {
		return err
	}
	if !found || idOf(into) != id {
		return &CorruptError{Record: string(entryKey), Err: fmt.Errorf("the record is missing or is not entry %v", id)}
	}
	return nil
}

func idOf(entry *consensus.Entry) entryID { return entryID{entry.Term, entry.Index} }

// getRecord reads a record and returns false if there is none.
func (s *Store) getRecord(key []byte, into any) (bool, error) {
	data, closer, err := s.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer func() { _ = closer.Close() }() // releases data, and returns no error
	if err := cbor.Unmarshal(data, into); err != nil {
		return true, &CorruptError{Record: string(key), Err: err}
	}
	return true, nil
}

// Save writes the whole state and returns once it is synced. After an error other than ErrBroken the caller may retry;
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
	batch := s.db.NewBatch()
	defer func() { _ = batch.Close() }() // frees the batch, and returns no error
	id := idOf(&state.Last)
	if err := putRecord(batch, metaKey,
		meta{state.ID, state.Term, state.Vote, state.Commit, state.CommitTerm, id}); err != nil {
		return err
	}
	if id != s.savedEntry {
		if err := putRecord(batch, entryKey, &state.Last); err != nil {
			return err
		}
	}
	if err := batch.Commit(pebble.Sync); err != nil {
		return oops.In("disk").Wrapf(err, "sync")
	}
	s.savedEntry = id
	return nil
}

// putRecord adds a record to a batch.
func putRecord(batch *pebble.Batch, key []byte, record any) error {
	data, err := cbor.Marshal(record)
	if err != nil {
		return err
	}
	return batch.Set(key, data, nil)
}

// Close closes the folder. A broken store is left open, as closing it would block forever.
func (s *Store) Close() error {
	if s.broken {
		return nil
	}
	return s.db.Close()
}
