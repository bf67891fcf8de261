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

// stateSaver saves what the decision module has learned. internal/learned decides what is saved, and internal/durable
// owns the files. Only its own goroutine and that of a last save wait for the disk; no error stops the service.
type stateSaver struct {
	service *Service
	files   durable.FS
	wake    chan struct{} // signaled when the membership has changed

	mu                sync.Mutex // guards what follows
	config            operator.State
	revision          int64 // of the membership when it was last noted
	membershipChanged bool  // since the last save

	saveMu      sync.Mutex // held through a save; guards what follows
	store       *durable.Store
	table       *learned.Table
	memory      logic.Memory
	storeBehind bool // the table holds what the store does not
	backoff     learned.Backoff
	closed      bool // the last save has begun
}

// openedStore is a folder as it was found: without an error there is a store, and perhaps a state.
type openedStore struct {
	store *durable.Store
	state *learned.State
	err   error
}

func (k *stateSaver) openStore() (opened openedStore) {
	k.mu.Lock()
	o := durable.Options{Folder: k.config.Folder, Tag: learned.Tag, Limit: int64(k.config.LimitMB) << 20}
	k.mu.Unlock()
	var found durable.Recovered
	if opened.store, found, opened.err = durable.Open(k.files, o); opened.err != nil {
		return opened
	}
	for _, err := range found.Damage() {
		k.service.log.Warn("state_damaged", "folder", o.Folder, "error", err)
	}
	if found.Snapshot != nil {
		var err error
		if opened.state, err = learned.Load(found.Snapshot, found.Records); err != nil {
			k.service.log.Warn("state_damaged", "folder", o.Folder, "error", err)
		}
	}
	return opened
}

// recordMembership records the membership's revision and whether its members changed, and wakes the saver if either is
// new. It never waits.
func (k *stateSaver) recordMembership(revision int64, changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !changed && revision == k.revision {
		return
	}
	k.revision, k.membershipChanged = revision, true
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// reconfigure takes another interval or limit; the folder stays.
func (k *stateSaver) reconfigure(block operator.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	block.Folder = k.config.Folder
	k.config = block
}

// run saves until the context ends.
func (k *stateSaver) run(ctx context.Context) {
	for {
		k.mu.Lock()
		interval := k.config.SaveInterval
		k.mu.Unlock()
		timer := time.NewTimer(interval)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-k.wake:
		case <-timer.C:
		}
		timer.Stop()
		k.save(false)
	}
}

// close saves all once more and closes the store; it waits only so long for a disk that doesn't answer.
func (k *stateSaver) close() {
	done := make(chan struct{})
	go func() {
		k.save(true)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(lastSaveTimeout):
		k.service.log.Error("state_failed", "error", "the disk does not answer: the last save is lost")
	}
}

// save saves what of the present knowledge is worth a write; at the last save of a run all of it is.
func (k *stateSaver) save(last bool) {
	k.saveMu.Lock()
	defer k.saveMu.Unlock()
	if k.closed {
		return
	}
	k.closed = last
	now := k.service.decider.timestamp()
	k.mu.Lock()
	changed, limit := k.membershipChanged, int64(k.config.LimitMB)<<20
	k.membershipChanged = false // before the membership is read, so that a change from here on is not lost
	k.mu.Unlock()
	var records [][]byte
	if changed {
		revision, entries := k.service.membership()
		records = k.table.UpdateMembership(now, revision, true, entries)
	}
	k.service.decider.step(logic.Event{Kind: logic.EvRemember, Memory: &k.memory})
	records = append(records, k.table.Update(now, &k.memory, last)...)
	if !last && !k.backoff.Ready(now) {
		k.storeBehind = k.storeBehind || len(records) > 0
		return
	}
	if err := k.persist(records, limit); err != nil {
		k.storeBehind = true
		k.saveFailed(now, err)
	} else if k.service.counters.StateSaves.Add(1); k.backoff.RecordSuccess() {
		k.service.log.Info("state_saved", "text", "saving goes on")
	}
	if last && k.store != nil {
		_ = k.store.Close() // what was appended is on disk
	}
}

// persist brings the store up to the table: by the records, or by a snapshot where the store needs one or is behind.
func (k *stateSaver) persist(records [][]byte, limit int64) (err error) {
	if k.store == nil {
		opened := k.openStore()
		if opened.err != nil {
			return opened.err
		}
		k.store, k.storeBehind = opened.store, true
	}
	k.store.SetLimit(limit)
	before := k.store.BytesWritten()
	switch {
	case k.storeBehind || k.store.NeedsCompaction():
		err = k.store.Compact(k.table.Snapshot())
	case len(records) > 0:
		if err = k.store.Append(records...); errors.Is(err, durable.ErrLimit) {
			err = k.store.Compact(k.table.Snapshot())
		}
	}
	k.service.counters.StateBytes.Add(k.store.BytesWritten() - before)
	if err == nil {
		err = k.store.CheckLog()
	}
	if err != nil { // the folder may be gone, and its lock with it
		_ = k.store.Close() // what was appended is on disk
		k.store = nil
		return err
	}
	k.storeBehind = false
	return nil
}

// saveFailed counts a failure; the first of a row is logged.
func (k *stateSaver) saveFailed(now learned.Timestamp, err error) {
	k.service.counters.StateFailed.Add(1)
	first := k.backoff == (learned.Backoff{})
	if wait := k.backoff.RecordFailure(now); first {
		k.service.log.Error("state_failed", "error", err, "retry_ms", int64(wait))
	}
}
