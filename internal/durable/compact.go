package durable

// This file owns the beginning of generations: a snapshot, an empty log, and the removal of what they make obsolete.

import (
	"fmt"
	"path/filepath"
)

// NeedsCompaction says that the log has grown so long that a snapshot is worth its cost, or that the store has failed.
func (s *Store) NeedsCompaction() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.log == nil || s.failed != nil || s.logBytes > max(logFactor*s.snapshotBytes, minLogBytes) ||
		s.total() > s.options.Limit/2
}

// Compact begins a generation with a snapshot of the state as it is after all records taken so far. The caller ensures
// that none is being appended. It returns when the snapshot is safe. After an error of the file system the store takes
// no records until a later call succeeds. ErrLimit: two such snapshots exceed the limit, and the store is as it was.
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
	if err != nil { // the snapshot may be there, and what would go into the log before it would not count any more
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

// nextGeneration returns the number of the next generation, and the sequence number that its snapshot holds.
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

// createGeneration creates the files of a generation, and returns its log.
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

// create creates a file that appears with its content, or not at all, and returns it open for more.
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
		_ = file.Close() // err is what went wrong
		return nil, err
	}
	return file, nil
}

// removeObsolete removes temporary files, and the generations before the newest one under n that can be read. What came
// after that one stays until n is there, damaged or not: its log may still count.
func (s *Store) removeObsolete(next uint64) error {
	names, err := s.fs.List(s.options.Folder)
	if err != nil {
		return err
	}
	oldest := s.newestReadable(names, next)
	for _, name := range names {
		generation, kind := parseName(name)
		temporary := kind == other && filepath.Ext(name) == tempSuffix
		obsolete := kind != other && generation < oldest
		if !temporary && !obsolete {
			continue
		}
		if err := s.fs.Remove(filepath.Join(s.options.Folder, name)); err != nil {
			return err
		}
	}
	return nil
}

// newestReadable is the newest generation under n whose snapshot can be read; 0 for none.
func (s *Store) newestReadable(names []string, next uint64) (newest uint64) {
	for _, name := range names {
		generation, kind := parseName(name)
		if kind == snapshotFile && generation < next && generation > newest && s.readable(name, generation) {
			newest = generation
		}
	}
	return newest
}

// readable says whether a snapshot can be read.
func (s *Store) readable(name string, generation uint64) bool {
	text, err := s.fs.ReadFile(filepath.Join(s.options.Folder, name), s.options.Limit)
	if err != nil {
		return false
	}
	_, _, err = decodeSnapshot(s.options.Tag, generation, text, s.options.Limit)
	return err == nil
}
