package durable

// This file owns the store that is written to: its state, group commit, and its limit on size.

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
)

// Options name a store.
type Options struct {
	Folder string
	Tag    string // four bytes that name the kind of state; files of another kind are rejected
	Limit  int64  // bytes of all files together; 0 for 16 MiB
}

// MinLimit is the lowest limit that a store takes, in bytes.
const MinLimit = 64 << 10

const (
	defaultLimit   = 16 << 20
	maxRecordBytes = 1 << 20  // of one record
	minLogBytes    = 64 << 10 // no log is compacted for its length before
	logFactor      = 4        // a log is compacted when it is so many times as long as its snapshot
	lockName       = "lock"
	tempSuffix     = ".tmp"
)

// Errors that callers tell apart.
var (
	ErrLocked         = errors.New("durable: another process holds the folder")
	ErrLimit          = errors.New("durable: the cap on size is reached")
	ErrClosed         = errors.New("durable: closed")
	ErrRecordTooLarge = errors.New("durable: a record is too long")
)

// Store is a state that is kept. Its methods may be called from several goroutines. After an error of the file system
// it takes no records until Compact has begun a new generation.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer // of the folder

	compactMu sync.Mutex // held through Compact, SetLimit and Close; locked before mu

	mu            sync.Mutex // guards what follows
	written       *sync.Cond // a write has ended, or the store is closed
	log           File       // nil before the first Compact
	generation    uint64
	lastSeq       uint64 // of the last record taken; never under syncedSeq
	syncedSeq     uint64 // of the last record that is safe
	pending       []byte // frames of the records after those being written
	spare         []byte // the buffer that was written last, to be used again
	writing       bool   // a goroutine writes to the log, without mu
	failed        error  // of the file system, since this generation began
	closed        bool
	snapshotBytes int64 // of this generation
	logBytes      int64
	previousBytes int64 // of the generation before
	totalWritten  int64 // since Open, snapshots included
}

// Open locks a folder, creates it if it is missing, and recovers what is in it. The store takes records once Compact
// has been given the state that follows from what was recovered. ErrLocked: another process has the folder open.
func Open(fs FS, options Options) (*Store, Recovered, error) {
	if len(options.Tag) != tagBytes {
		return nil, Recovered{}, fmt.Errorf("durable: tag %q is not of %d bytes", options.Tag, tagBytes)
	}
	if options.Limit == 0 {
		options.Limit = defaultLimit
	}
	if options.Limit < MinLimit {
		return nil, Recovered{}, fmt.Errorf("durable: a cap of %d bytes is under %d", options.Limit, MinLimit)
	}
	if err := fs.MkdirAll(options.Folder); err != nil {
		return nil, Recovered{}, err
	}
	lock, err := fs.Lock(filepath.Join(options.Folder, lockName))
	if err != nil {
		return nil, Recovered{}, err
	}
	recovered, err := Recover(fs, options)
	if err != nil {
		lock.Close()
		return nil, Recovered{}, err
	}
	s := &Store{
		fs:         fs,
		options:    options,
		lock:       lock,
		generation: recovered.newestGeneration,
		lastSeq:    recovered.Seq,
		syncedSeq:  recovered.Seq,
	}
	s.written = sync.NewCond(&s.mu)
	return s, recovered, nil
}

// Append takes records and returns when they are safe: all of them, or none where it returns one of the package's
// errors at once. After an error of a write it is not known which are.
func (s *Store) Append(records ...[]byte) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	switch {
	case s.closed:
		return ErrClosed
	case s.failed != nil:
		return s.failed
	case s.log == nil:
		return errors.New("durable: no generation has begun")
	}
	size, err := framesSize(records)
	if err != nil {
		return err
	}
	if s.total()+int64(len(s.pending))+size > s.options.Limit {
		return ErrLimit
	}
	for _, r := range records {
		s.lastSeq++
		s.pending = appendFrame(s.pending, s.lastSeq, r)
	}
	return s.sync(s.lastSeq)
}

// framesSize is the size of records in a log.
func framesSize(records [][]byte) (size int64, err error) {
	for _, r := range records {
		if len(r) > maxRecordBytes {
			return 0, ErrRecordTooLarge
		}
		size += int64(len(r) + frameHeaderBytes)
	}
	return size, nil
}

// sync returns when the record of a sequence number is safe. The caller holds mu, which is released meanwhile.
func (s *Store) sync(seq uint64) error {
	for s.syncedSeq < seq {
		switch {
		case s.failed != nil:
			return s.failed
		case s.writing:
			s.written.Wait()
		default:
			s.flush()
		}
	}
	return nil
}

// flush writes and syncs what is pending. The caller holds mu, which is released meanwhile.
func (s *Store) flush() {
	batch, seq, log := s.pending, s.lastSeq, s.log
	s.pending, s.writing = s.spare[:0], true
	s.mu.Unlock()
	_, err := log.Write(batch)
	if err == nil {
		err = log.Sync()
	}
	s.mu.Lock()
	s.writing, s.spare = false, batch
	s.logBytes += int64(len(batch))
	s.totalWritten += int64(len(batch))
	if err != nil {
		s.failed = fmt.Errorf("durable: log: %w", err)
	} else {
		s.syncedSeq = seq
	}
	s.written.Broadcast()
}

// total is the size of all files; the caller holds mu.
func (s *Store) total() int64 { return s.snapshotBytes + s.logBytes + s.previousBytes }

// SetLimit changes the limit on size, in bytes, but not to less than MinLimit.
func (s *Store) SetLimit(limit int64) {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Limit = max(limit, MinLimit)
}

// CheckLog returns an error where the log is no longer in its folder: a file that was removed still takes writes. The
// store has then failed.
func (s *Store) CheckLog() error {
	names, err := s.fs.List(s.options.Folder)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.log != nil && !slices.Contains(names, logName(s.generation)) {
		err = errors.New("durable: the log has gone from its folder")
	}
	if err != nil && s.failed == nil {
		s.failed = err
	}
	return err
}

// BytesWritten is how many bytes have been written since Open.
func (s *Store) BytesWritten() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalWritten
}

// Close closes the store and unlocks the folder. It writes nothing: what Append returned for is safe already.
func (s *Store) Close() error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing {
		s.written.Wait()
	}
	if s.closed {
		return nil
	}
	s.closed = true
	s.written.Broadcast()
	var err error
	if s.log != nil {
		err = s.log.Close()
	}
	return errors.Join(err, s.lock.Close())
}
