package durable

// This file implements the open store: its state, group commit, and the size limit.

import (
	"errors"
	"fmt"
	"io"
	"path/filepath"
	"slices"
	"sync"
)

// Options configure a store.
type Options struct {
	Folder string
	Tag    string // four bytes that identify the kind of state; files with another tag are rejected
	Limit  int64  // maximum bytes of all files together; 0 for 16 MiB
}

// MinLimit is the lowest permitted size limit, in bytes.
const MinLimit = 64 << 10

const (
	defaultLimit   = 16 << 20
	maxRecordBytes = 1 << 20  // of one record
	minLogBytes    = 64 << 10 // shorter logs are not compacted
	logFactor      = 4        // a log is compacted when it is longer than this multiple of its snapshot
	lockName       = "lock"
	tempSuffix     = ".tmp"
)

// Errors that callers distinguish.
var (
	ErrLocked         = errors.New("durable: another process has locked the folder")
	ErrLimit          = errors.New("durable: the size limit is reached")
	ErrClosed         = errors.New("durable: closed")
	ErrRecordTooLarge = errors.New("durable: record too large")
)

// Store keeps a state on disk. Its methods may be called concurrently. After a file system error it accepts no records
// until Compact has begun a new generation.
type Store struct {
	fs      FS
	options Options
	lock    io.Closer // of the folder

	compactMu sync.Mutex // held during Compact, SetLimit and Close; locked before mu

	mu            sync.Mutex // guards the fields below
	written       *sync.Cond // signals the end of a write, or that the store is closed
	log           File       // nil before the first Compact
	generation    uint64
	lastSeq       uint64 // of the last record accepted; at least syncedSeq
	syncedSeq     uint64 // of the last record that is synced
	pending       []byte // frames of accepted records that are not yet being written
	freeBuffer    []byte // the buffer of the last write, for reuse
	writing       bool   // a goroutine is writing to the log without holding mu
	failed        error  // the file system error that ended this generation
	closed        bool
	snapshotBytes int64 // of this generation
	logBytes      int64
	previousBytes int64 // of the previous generation
	totalWritten  int64 // since Open, including snapshots
}

// Open locks a folder, creating it if it is missing, and recovers its content. The store accepts records after Compact
// has been called with the state that follows from the recovered content. It returns ErrLocked if another process has
// the folder open.
func Open(fs FS, options Options) (*Store, Recovered, error) {
	if len(options.Tag) != tagBytes {
		return nil, Recovered{}, fmt.Errorf("durable: tag %q is not of %d bytes", options.Tag, tagBytes)
	}
	if options.Limit == 0 {
		options.Limit = defaultLimit
	}
	if options.Limit < MinLimit {
		return nil, Recovered{}, fmt.Errorf("durable: a size limit of %d bytes is below %d", options.Limit, MinLimit)
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

// Append appends records and returns when all of them are synced. If it fails with one of the package's errors, none of
// them was accepted. After a write error it is unknown which of them are on disk.
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

// framesSize returns the size of records in a log.
func framesSize(records [][]byte) (size int64, err error) {
	for _, r := range records {
		if len(r) > maxRecordBytes {
			return 0, ErrRecordTooLarge
		}
		size += int64(len(r) + frameHeaderBytes)
	}
	return size, nil
}

// sync returns when the record with a sequence number is synced. The caller holds mu, which is released while waiting.
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

// flush writes and syncs the pending frames. The caller holds mu, which is released during the write.
func (s *Store) flush() {
	batch, seq, log := s.pending, s.lastSeq, s.log
	s.pending, s.writing = s.freeBuffer[:0], true
	s.mu.Unlock()
	_, err := log.Write(batch)
	if err == nil {
		err = log.Sync()
	}
	s.mu.Lock()
	s.writing, s.freeBuffer = false, batch
	s.logBytes += int64(len(batch))
	s.totalWritten += int64(len(batch))
	if err != nil {
		s.failed = fmt.Errorf("durable: log: %w", err)
	} else {
		s.syncedSeq = seq
	}
	s.written.Broadcast()
}

// total returns the size of all files. The caller holds mu.
func (s *Store) total() int64 { return s.snapshotBytes + s.logBytes + s.previousBytes }

// SetLimit changes the size limit, in bytes, to at least MinLimit.
func (s *Store) SetLimit(limit int64) {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.options.Limit = max(limit, MinLimit)
}

// CheckLog returns an error if the log is no longer in its folder: writes to a removed file still succeed. The store
// has then failed.
func (s *Store) CheckLog() error {
	names, err := s.fs.List(s.options.Folder)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err == nil && s.log != nil && !slices.Contains(names, logName(s.generation)) {
		err = errors.New("durable: the log is missing from its folder")
	}
	if err != nil && s.failed == nil {
		s.failed = err
	}
	return err
}

// BytesWritten returns the number of bytes written since Open.
func (s *Store) BytesWritten() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.totalWritten
}

// Close closes the store and unlocks the folder. It writes nothing: appended records are synced already.
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
