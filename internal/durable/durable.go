// Package durable keeps one state on disk so that a crash at any moment leaves a state that was true: snapshots,
// and a log of records behind each. This file owns the store that is written to: its generations, group commit
// and its cap. It must never know what the records mean, read a clock, or try again by itself after an error.
//
// A folder holds at most two generations. Generation n is a snapshot, which holds all up to its sequence number,
// and a log of what followed. A newer generation starts by a new snapshot; the one before it is kept whole, so
// that a snapshot that can't be read costs nothing as long as the log before it can be. Every file appears by a
// rename of one that is complete and synced. Guarantees: what Append returned for is there after any crash of the
// process or the machine whose disk keeps what it has synced; what is recovered is always a state that was
// true at some moment, never a mixture.
package durable

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
)

// Options name a store. Limit is in bytes.
type Options struct {
	Folder string
	Tag    string // four bytes that tell whose state it is; another's is refused
	Limit  int64  // of all its files together; 0 for 16 MiB
}

// LeastLimit is the smallest cap that makes sense, in bytes.
const MinLimit = 64 << 10

const (
	defaultLimit = 16 << 20
	maxRecord    = 1 << 20 // bytes of one record
	logLeast     = 64 << 10
	logTimes     = 4 // a log is due for a snapshot when it is so many times as long as the one before it
	lockName     = "lock"
	tempSuffix   = ".tmp"
)

// Errors that callers tell apart.
var (
	ErrLocked         = errors.New("durable: another process holds the folder")
	ErrLimit          = errors.New("durable: the cap on size is reached")
	ErrClosed         = errors.New("durable: closed")
	ErrRecordTooLarge = errors.New("durable: a record is too long")
)

// Store is a state being kept. Its methods may be called from several goroutines. After an error of the file
// system it takes no records until Compact has begun a new generation.
type Store struct {
	fs   FS
	o    Options
	lock io.Closer

	compacting sync.Mutex // held through Compact and Close

	mu         sync.Mutex // guards what follows
	cond       *sync.Cond
	file       File // of the log; nil before Compact
	generation uint64
	seq        uint64 // of the last record taken
	synced     uint64 // of the last one that is safe
	pending    []byte
	spare      []byte
	writing    bool
	failed     error
	closed     bool
	snapBytes  int64
	logBytes   int64
	oldBytes   int64 // of the generation before
	written    int64 // since Open, snapshots included
}

// Open locks a folder, makes it if it is missing, and recovers what is in it. The store takes records once
// Compact has been given the state that follows from what was recovered. ErrLocked: another process is at it.
func Open(fs FS, o Options) (*Store, Recovered, error) {
	if len(o.Tag) != tagBytes {
		return nil, Recovered{}, fmt.Errorf("durable: tag %q is not of %d bytes", o.Tag, tagBytes)
	}
	if o.Limit == 0 {
		o.Limit = defaultLimit
	}
	if o.Limit < MinLimit {
		return nil, Recovered{}, fmt.Errorf("durable: a cap of %d bytes is under %d", o.Limit, MinLimit)
	}
	if err := fs.MkdirAll(o.Folder); err != nil {
		return nil, Recovered{}, err
	}
	lock, err := fs.Lock(filepath.Join(o.Folder, lockName))
	if err != nil {
		return nil, Recovered{}, err
	}
	r, err := Recover(fs, o)
	if err != nil {
		lock.Close()
		return nil, Recovered{}, err
	}
	s := &Store{fs: fs, o: o, lock: lock, generation: r.newest, seq: r.Seq, synced: r.Seq}
	s.cond = sync.NewCond(&s.mu)
	return s, r, nil
}

// Append takes records and returns when they are safe. Callers that come while others' records are being
// written share the next write and sync.
func (s *Store) Append(records ...[]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return ErrClosed
	case s.failed != nil:
		return s.failed
	case s.file == nil:
		return errors.New("durable: no generation has begun")
	}
	size := int64(0)
	for _, r := range records {
		if len(r) > maxRecord {
			return ErrRecordTooLarge
		}
		size += int64(len(r) + frameHead)
	}
	if s.total()+int64(len(s.pending))+size > s.o.Limit {
		return ErrLimit
	}
	for _, r := range records {
		s.seq++
		s.pending = appendFrame(s.pending, s.seq, r)
	}
	for mine := s.seq; s.synced < mine; {
		switch {
		case s.failed != nil:
			return s.failed
		case s.writing:
			s.cond.Wait()
		default:
			s.flush()
		}
	}
	return nil
}

// flush writes and syncs what is pending; the caller holds the lock, which is let go meanwhile.
func (s *Store) flush() {
	batch, upTo, file := s.pending, s.seq, s.file
	s.pending, s.writing = s.spare[:0], true
	s.mu.Unlock()
	_, err := file.Write(batch)
	if err == nil {
		err = file.Sync()
	}
	s.mu.Lock()
	s.writing, s.spare = false, batch
	s.logBytes += int64(len(batch))
	s.written += int64(len(batch))
	if err != nil {
		s.failed = fmt.Errorf("durable: log: %w", err)
	} else {
		s.synced = upTo
	}
	s.cond.Broadcast()
}

func (s *Store) total() int64 { return s.snapBytes + s.logBytes + s.oldBytes }

// Due says that the log has grown so long that a snapshot is worth its cost, or that an error has ended it.
func (s *Store) NeedsCompaction() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.file == nil || s.failed != nil || s.logBytes > max(logTimes*s.snapBytes, logLeast) ||
		s.total() > s.o.Limit/2
}

// Cap changes the cap on size, in bytes, but not to under LeastLimit.
func (s *Store) SetLimit(limit int64) {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.o.Limit = max(limit, MinLimit)
}

// Check says whether the log that is written to still stands in the folder: a file that was removed takes writes
// all the same.
func (s *Store) CheckLog() error {
	names, err := s.fs.List(s.o.Folder)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.file != nil && !slices.Contains(names, logName(s.generation)) {
		err = errors.New("durable: the log has gone from its folder")
	}
	if err != nil && s.failed == nil {
		s.failed = err
	}
	return err
}

// Written is how many bytes have been written since Open.
func (s *Store) BytesWritten() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written
}

// Compact begins a generation by a snapshot of the state as it is after all records taken so far; the caller
// sees to it that none is being appended. It returns when the snapshot is safe. After an error of the file system
// the store takes no records until a later call succeeds. ErrLimit: two such snapshots don't fit under the cap,
// and the store is as it was.
func (s *Store) Compact(state []byte) error {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	s.mu.Lock()
	for s.writing {
		s.cond.Wait()
	}
	if s.closed {
		s.mu.Unlock()
		return ErrClosed
	}
	n, seq := s.generation+1, s.seq
	s.mu.Unlock()

	snapshot := encodeSnapshot(s.o.Tag, n, seq, state)
	head := encodeLogHead(s.o.Tag, n, seq)
	if int64(2*len(snapshot)+len(head)) > s.o.Limit {
		return ErrLimit
	}
	if err := s.clear(n); err != nil {
		return err
	}
	var file File
	err := s.appear(snapshotName(n), snapshot, nil)
	if err == nil {
		err = s.appear(logName(n), head, &file)
	}
	if err != nil { // the snapshot may stand, and what went into the log before it would not count any more
		s.mu.Lock()
		s.failed = fmt.Errorf("durable: snapshot: %w", err)
		s.mu.Unlock()
		return s.failed
	}

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.file != nil {
		s.file.Close()
	}
	s.oldBytes = s.snapBytes + s.logBytes
	s.file, s.generation, s.failed, s.pending = file, n, nil, s.pending[:0]
	s.snapBytes, s.logBytes = int64(len(snapshot)), int64(len(head))
	s.seq, s.synced = seq, seq
	s.written += s.snapBytes + s.logBytes
	return nil
}

// clear makes room for a new generation n: files half-written and generations before the newest whole one go. What
// came after that one stays until n is there, damaged or not: its log may still count.
func (s *Store) clear(n uint64) error {
	names, err := s.fs.List(s.o.Folder)
	if err != nil {
		return err
	}
	keep := s.newestWhole(names, n)
	for _, name := range names {
		g, kind := parseName(name)
		if kind == other && filepath.Ext(name) != tempSuffix || kind != other && g >= keep {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.o.Folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// newestWhole is the newest generation under n with a snapshot that can be read; 0 if there is none.
func (s *Store) newestWhole(names []string, n uint64) (keep uint64) {
	for _, name := range names {
		if g, kind := parseName(name); kind == snapshotFile && g < n && g > keep {
			if text, err := s.fs.ReadFile(filepath.Join(s.o.Folder, name), s.o.Limit); err == nil {
				if _, _, err := decodeSnapshot(s.o.Tag, g, text, s.o.Limit); err == nil {
					keep = g
				}
			}
		}
	}
	return keep
}

// appear makes a file that is there whole or not at all. With open, it stays open for more.
func (s *Store) appear(name string, content []byte, open *File) error {
	path := filepath.Join(s.o.Folder, name)
	file, err := s.fs.Create(path + tempSuffix)
	if err != nil {
		return err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = s.fs.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = s.fs.SyncDir(s.o.Folder)
	}
	if err == nil && open != nil {
		*open = file
		return nil
	}
	if closing := file.Close(); err == nil {
		err = closing
	}
	return err
}

// Close ends the store and lets the folder go. Nothing is written; what Append returned for is safe already.
func (s *Store) Close() error {
	s.compacting.Lock()
	defer s.compacting.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing {
		s.cond.Wait()
	}
	if s.closed {
		return nil
	}
	s.closed = true
	s.cond.Broadcast()
	var err error
	if s.file != nil {
		err = s.file.Close()
	}
	return errors.Join(err, s.lock.Close())
}
