package durable

// This file creates generations: a snapshot, an empty log, and the removal of obsolete files.

import (
	"fmt"
	"path/filepath"
)

// NeedsCompaction reports whether a snapshot is due: the log is missing or too long, or the store has failed.
func (s *Store) NeedsCompaction() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log == nil || s.failed != nil || s.logBytes > max(logFactor*s.snapshotBytes, minLogBytes) ||
		s.total() > s.options.Limit/2
}

// Compact begins a generation with a snapshot of the state after all records appended so far; the caller ensures that
// no Append is in progress. It returns when the snapshot is synced. After a file system error the store accepts no
// records until a later call succeeds. ErrLimit means that two such snapshots would exceed the size limit, and leaves
// the store unchanged.
func (s *Store) Compact(state []byte) error {
	s.compactMu.Lock()
	defer s.compactMu.Unlock()
	generation, seq, err := s.nextGeneration()
	if err != nil {
		return err
	}
	snapshot := encodeSnapshot(s.options.Tag, generation, seq, state)
	header := encodeLogHeader(s.options.Tag, generation, seq)
	if int64(2*len(snapshot)+len(header)) > s.options.Limit {
		return ErrLimit
	}
	if err := s.removeObsolete(generation); err != nil {
		return err
	}
	log, err := s.createGeneration(generation, snapshot, header)
	s.mu.Lock()
	defer s.mu.Unlock()
	if err != nil { // the snapshot may exist, and records appended to the log before it would be ignored
		s.failed = fmt.Errorf("durable: snapshot: %w", err)
		return s.failed
	}
	if s.log != nil {
		s.log.Close()
	}
	s.previousBytes = s.snapshotBytes + s.logBytes
	s.log, s.generation, s.failed, s.pending = log, generation, nil, s.pending[:0]
	s.snapshotBytes, s.logBytes = int64(len(snapshot)), int64(len(header))
	s.lastSeq, s.syncedSeq = seq, seq
	s.totalWritten += s.snapshotBytes + s.logBytes
	return nil
}

// nextGeneration returns the number of the next generation, and the sequence number that its snapshot covers.
func (s *Store) nextGeneration() (generation, seq uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for s.writing {
		s.written.Wait()
	}
	if s.closed {
		return 0, 0, ErrClosed
	}
	return s.generation + 1, s.lastSeq, nil
}

// createGeneration creates the files of a generation and returns its log.
func (s *Store) createGeneration(generation uint64, snapshot, header []byte) (log File, err error) {
	file, err := s.create(snapshotName(generation), snapshot)
	if err != nil {
		return nil, err
	}
	if err := file.Close(); err != nil {
		return nil, err
	}
	return s.create(logName(generation), header)
}

// create creates a file atomically with its content, and returns it open for appending.
func (s *Store) create(name string, content []byte) (File, error) {
	path := filepath.Join(s.options.Folder, name)
	file, err := s.fs.Create(path + tempSuffix)
	if err != nil {
		return nil, err
	}
	_, err = file.Write(content)
	if err == nil {
		err = file.Sync()
	}
	if err == nil {
		err = s.fs.Rename(path+tempSuffix, path)
	}
	if err == nil {
		err = s.fs.SyncDir(s.options.Folder)
	}
	if err != nil {
		_ = file.Close() // the first error is the relevant one
		return nil, err
	}
	return file, nil
}

// removeObsolete removes temporary files and the generations before the newest readable one below next. Generations
// after that one stay until next exists, even if they are damaged: their logs may still be needed.
func (s *Store) removeObsolete(next uint64) error {
	names, err := s.fs.List(s.options.Folder)
	if err != nil {
		return err
	}
	oldest := s.newestReadable(names, next)
	for _, name := range names {
		generation, kind := parseName(name)
		temporary := kind == otherFile && filepath.Ext(name) == tempSuffix
		obsolete := kind != otherFile && generation < oldest
		if !temporary && !obsolete {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.options.Folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// newestReadable returns the newest generation below next whose snapshot is readable, or 0 if there is none.
func (s *Store) newestReadable(names []string, next uint64) (newest uint64) {
	for _, name := range names {
		generation, kind := parseName(name)
		if kind == snapshotFile && generation < next && generation > newest && s.readable(name, generation) {
			newest = generation
		}
	}
	return newest
}

// readable reports whether a snapshot can be read.
func (s *Store) readable(name string, generation uint64) bool {
	content, err := s.fs.ReadFile(filepath.Join(s.options.Folder, name), s.options.Limit)
	if err != nil {
		return false
	}
	_, _, err = decodeSnapshot(s.options.Tag, generation, content, s.options.Limit)
	return err == nil
}
