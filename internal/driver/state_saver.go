package driver

import (
	"context"
	"errors"
	"sync"
	"time"

	"weirwind/internal/durable"
	"weirwind/internal/learned"
	"weirwind/internal/operator"
	"weirwind/logic"
)

const lastSaveTimeout = time.Second // for the last save at a shutdown

// stateSaver saves what the decision module has learned. internal/learned decides what to save, and internal/durable
// owns the files. Only its own goroutine and that of the last save wait for the disk; no error stops the service.
type stateSaver struct {
	service *Service
	files   durable.FS
	wake    chan struct{} // signaled when the membership has changed

	mu                sync.Mutex // guards what follows
	config            operator.State
	revision          int64 // of the membership when it was last recorded
	membershipChanged bool  // whether it changed since the last save

	saveMu        sync.Mutex // held through a save; guards what follows
	store         *durable.Store
	table         *learned.Table
	memory        logic.Memory
	storeOutdated bool // the table has changes that the store lacks
	backoff       learned.Backoff
	closed        bool // whether the last save has begun
}

// openedStore is the result of opening a store: without an error there is a store, and a state if one could be loaded.
type openedStore struct {
	store *durable.Store
	state *learned.State
	err   error
}

func (s *stateSaver) openStore() (opened openedStore) {
	s.mu.Lock()
	options := durable.Options{Folder: s.config.Folder, Tag: learned.Tag, Limit: int64(s.config.LimitMB) << 20}
	s.mu.Unlock()
	var recovered durable.Recovered
	if opened.store, recovered, opened.err = durable.Open(s.files, options); opened.err != nil {
		return opened
	}
	for _, err := range recovered.Damage() {
		s.service.log.Warn("state_damaged", "folder", options.Folder, "error", err)
	}
	if recovered.Snapshot != nil {
		var err error
		if opened.state, err = learned.Load(recovered.Snapshot, recovered.Records); err != nil {
			s.service.log.Warn("state_damaged", "folder", options.Folder, "error", err)
		}
	}
	return opened
}

// recordMembership records the membership's revision and whether its members changed, and wakes the saver if either
// changed. It never blocks.
func (s *stateSaver) recordMembership(revision int64, changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !changed && revision == s.revision {
		return
	}
	s.revision, s.membershipChanged = revision, true
	select {
	case s.wake <- struct{}{}:
	default:
	}
}

// reconfigure applies a changed interval or limit; the folder stays the same.
func (s *stateSaver) reconfigure(block operator.State) {
	s.mu.Lock()
	defer s.mu.Unlock()
	block.Folder = s.config.Folder
	s.config = block
}

// run saves after each interval and each change of the membership until the context ends.
func (s *stateSaver) run(ctx context.Context) {
	for {
		s.mu.Lock()
		interval := s.config.SaveInterval
		s.mu.Unlock()
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-s.wake:
		case <-timer.C:
		}
		timer.Stop()
		s.save(false)
	}
}

// close saves everything a last time and closes the store. It waits for the disk no longer than lastSaveTimeout.
func (s *stateSaver) close() {
	done := make(chan struct{})
	go func() {
		s.save(true)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(lastSaveTimeout):
		s.service.log.Error("state_failed", "error", "the disk does not respond: the last save is lost")
	}
}

// save saves the learned state that internal/learned selects; the last save of a run includes all of it.
func (s *stateSaver) save(last bool) {
	s.saveMu.Lock()
	defer s.saveMu.Unlock()
	if s.closed {
		return
	}
	s.closed = last
	now := s.service.decider.timestamp()
	s.mu.Lock()
	changed, limit := s.membershipChanged, int64(s.config.LimitMB)<<20
	s.membershipChanged = false // before the membership is read, so that a later change is not lost
	s.mu.Unlock()
	var records [][]byte
	if changed {
		revision, entries := s.service.membership()
		records = s.table.UpdateMembership(now, revision, true, entries)
	}
	s.service.decider.step(logic.Event{Kind: logic.EvRemember, Memory: &s.memory})
	records = append(records, s.table.Update(now, &s.memory, last)...)
	if !last && !s.backoff.Ready(now) {
		s.storeOutdated = s.storeOutdated || len(records) > 0
		return
	}
	if err := s.persist(records, limit); err != nil {
		s.storeOutdated = true
		s.saveFailed(now, err)
	} else if s.service.counters.StateSaves.Add(1); s.backoff.RecordSuccess() {
		s.service.log.Info("state_saved", "text", "saving works again")
	}
	if last && s.store != nil {
		_ = s.store.Close() // what was appended is on disk
	}
}

// persist brings the store up to date: by records, or by a snapshot if the store needs compaction or is outdated.
func (s *stateSaver) persist(records [][]byte, limit int64) (err error) {
	if s.store == nil {
		opened := s.openStore()
		if opened.err != nil {
			return opened.err
		}
		s.store, s.storeOutdated = opened.store, true
	}
	s.store.SetLimit(limit)
	writtenBefore := s.store.BytesWritten()
	switch {
	case s.storeOutdated || s.store.NeedsCompaction():
		err = s.store.Compact(s.table.Snapshot())
	case len(records) > 0:
		if err = s.store.Append(records...); errors.Is(err, durable.ErrLimit) {
			err = s.store.Compact(s.table.Snapshot())
		}
	}
	s.service.counters.StateBytes.Add(s.store.BytesWritten() - writtenBefore)
	if err == nil {
		err = s.store.CheckLog()
	}
	if err != nil { // the folder, and the lock in it, may have been deleted
		_ = s.store.Close() // what was appended is on disk
		s.store = nil
		return err
	}
	s.storeOutdated = false
	return nil
}

// saveFailed counts a failure, and logs the first of consecutive ones.
func (s *stateSaver) saveFailed(now learned.Timestamp, err error) {
	s.service.counters.StateFailed.Add(1)
	firstFailure := s.backoff == (learned.Backoff{})
	if retryAfter := s.backoff.RecordFailure(now); firstFailure {
		s.service.log.Error("state_failed", "error", err, "retry_ms", int64(retryAfter))
	}
}
