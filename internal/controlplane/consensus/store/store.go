// Package store keeps a core machine's part of the agreement on its disk.
//
// This file owns the folder and the form of what is in it. It decides nothing: a record that can't be read is
// an error, never an empty one.
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

// ErrBroken says that a write failed in a way behind which the database may not be used: it would wait for
// ever. The folder holds what was saved before, and another process can open it.
var ErrBroken = errors.New("the store is broken")

// Store is an open folder.
type Store struct {
	db     *pebble.DB
	last   [2]uint64 // term and index of the entry that is on disk
	broken bool
}

type meta struct {
	ID       string    `cbor:"1,keyasint"`
	Term     uint64    `cbor:"2,keyasint"`
	Vote     string    `cbor:"3,keyasint"`
	Commit   uint64    `cbor:"4,keyasint"`
	CommitOf uint64    `cbor:"5,keyasint"`
	Entry    [2]uint64 `cbor:"6,keyasint"` // term and index that the record of the entry must have
}

var metaKey, entryKey = []byte("meta"), []byte("entry")

type quiet struct{}

func (quiet) Infof(string, ...any)              {}
func (quiet) Errorf(string, ...any)             {}
func (quiet) Fatalf(format string, args ...any) { panic(oops.In("disk").Errorf(format, args...)) }

// FS is the file system below; tests put one that fails in its place.
var FS vfs.FS = vfs.Default

// Open opens or makes the folder. found is false where nothing was ever kept there.
func Open(folder string) (s *Store, h consensus.HardState, found bool, err error) {
	return open(folder, false)
}

// Inspect reads a folder that no process has open, and changes nothing in it.
func Inspect(folder string) (consensus.HardState, bool, error) {
	s, h, found, err := open(folder, true)
	if err == nil {
		err = s.Close()
	}
	return h, found, err
}

func open(folder string, only bool) (s *Store, h consensus.HardState, found bool, err error) {
	defer func() {
		if p := recover(); p != nil {
			err = oops.In("disk").With("folder", folder).Errorf("open: %v", p)
		}
	}()
	step := oops.In("disk").With("folder", folder)
	cache := pebble.NewCache(1 << 20)
	defer cache.Unref()
	db, err := pebble.Open(folder, &pebble.Options{Cache: cache, MemTableSize: 4 << 20, MaxOpenFiles: 32,
		MaxConcurrentCompactions: func() int { return 1 }, ReadOnly: only, FS: FS, Logger: quiet{}, MaxManifestFileSize: 1 << 20})
	if err != nil {
		return nil, h, false, step.Wrapf(err, "open")
	}
	s = &Store{db: db}
	var m meta
	switch ok, err := s.get(metaKey, &m); {
	case err != nil:
		db.Close()
		return nil, h, false, step.Wrapf(err, "read meta")
	case !ok:
		return s, h, false, nil
	}
	h = consensus.HardState{ID: m.ID, Term: m.Term, Vote: m.Vote, Commit: m.Commit, CommitTerm: m.CommitOf}
	if m.Entry != [2]uint64{} {
		ok, err := s.get(entryKey, &h.Last)
		if err == nil && (!ok || [2]uint64{h.Last.Term, h.Last.Index} != m.Entry) {
			err = fmt.Errorf("the entry %v that was kept is not there", m.Entry)
		}
		if err != nil {
			db.Close()
			return nil, h, false, step.Wrapf(err, "read entry")
		}
	}
	s.last = m.Entry
	return s, h, true, nil
}

func (s *Store) get(key []byte, into any) (bool, error) {
	v, closer, err := s.db.Get(key)
	if errors.Is(err, pebble.ErrNotFound) {
		return false, nil
	}
	if err != nil {
		return false, err
	}
	defer closer.Close()
	return true, cbor.Unmarshal(v, into)
}

// Save returns when it is synced, as a whole. Behind ErrBroken nothing can be saved any more.
func (s *Store) Save(h *consensus.HardState) (err error) {
	if s.broken {
		return ErrBroken
	}
	defer func() {
		if p := recover(); p != nil {
			s.broken = true
			err = oops.In("disk").Wrapf(ErrBroken, "%v", p)
		}
	}()
	b := s.db.NewBatch()
	defer b.Close()
	entry := [2]uint64{h.Last.Term, h.Last.Index}
	m, err := cbor.Marshal(meta{h.ID, h.Term, h.Vote, h.Commit, h.CommitTerm, entry})
	if err != nil {
		return err
	}
	if err := b.Set(metaKey, m, nil); err != nil {
		return err
	}
	if entry != s.last {
		e, err := cbor.Marshal(&h.Last)
		if err != nil {
			return err
		}
		if err := b.Set(entryKey, e, nil); err != nil {
			return err
		}
	}
	if err := b.Commit(pebble.Sync); err != nil {
		return oops.In("disk").Wrapf(err, "sync")
	}
	s.last = entry
	return nil
}

// Close lets go of the folder. A broken store is left as it is: closing it would wait for ever.
func (s *Store) Close() error {
	if s.broken {
		return nil
	}
	return s.db.Close()
}
