package driver

// This file owns the way between the module's memory and the disk: when a save runs, and what is done where it
// can't. What is kept and believed is decided in internal/learned, the files are internal/durable's. It must never
// hold an op up, wait for a disk anywhere but in its own goroutine, or stop serving for an error.

import (
	"cmp"
	"context"
	"errors"
	"math"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/durable"
	"weirwind/internal/learned"
	"weirwind/internal/opening"
	"weirwind/internal/operator"
	"weirwind/logic"
)

const (
	diskOpenTimeout = 2 * time.Second // for the disk at a start: later the driver starts without
	lastSaveTimeout = time.Second     // and for the last save
)

// keeper saves what the driver has learned.
type stateSaver struct {
	service *Service
	files   durable.FS
	wake    chan struct{} // the list has changed

	mu                sync.Mutex // guards what follows
	config            operator.State
	revision          int64 // of the list when it was last told
	membershipChanged bool  // it is not saved yet

	saveMu      sync.Mutex // guards what follows; held through a save
	store       *durable.Store
	table       *learned.Table
	memory      logic.Memory
	storeBehind bool // the book holds what the store does not
	backoff     learned.Backoff
	closed      bool
}

// bootID names the machine's start; empty where it does not tell.
var bootID = sync.OnceValue(func() string {
	id, _ := os.ReadFile("/proc/sys/kernel/random/boot_id")
	return strings.TrimSpace(string(id))
})

// moment reads both clocks: the driver's own, which is not stepped while it runs, and the machine's time since its
// start, which survives the driver. Where the machine does not tell, Boot is empty.
func (d *decider) moment() learned.Timestamp {
	m := learned.Timestamp{Wall: d.clock.now()}
	if up, err := os.ReadFile("/proc/uptime"); err == nil {
		first, _, _ := strings.Cut(string(up), " ")
		if s, err := strconv.ParseFloat(first, 64); err == nil {
			m.Uptime, m.BootID = s*1000, bootID()
		}
	}
	if m.BootID == "" {
		m.Uptime = float64(time.Since(d.clock.start).Milliseconds())
	}
	return m
}

// rulesOf gathers what the settings tell that decisions about state go by.
func learnedConfig(name string, settings opening.Settings, config operator.State) learned.Config {
	r := learned.Config{Name: name, SaveInterval: milliseconds(config.SaveInterval), WarmUp: settings.Opening.ColdFor,
		MinSwitchover: cmp.Or(milliseconds(config.MinSwitchTime), settings.DrainGrace), StalenessBound: math.Inf(1),
		SessionsTrackPosition: settings.Opening.SessionCarried, OpTypes: make([]learned.OpType, len(settings.OpTypes))}
	for name, i := range settings.OpTypes {
		t := &settings.Opening.OpTypes[i]
		r.OpTypes[i] = learned.OpType{Name: name, LatencyTarget: t.LatencyTarget}
		if t.Need == logic.Bounded {
			r.StalenessBound = min(r.StalenessBound, t.MaxAge)
		}
	}
	return r
}

// opened is how a folder was found.
type openedStore struct {
	store *durable.Store
	state *learned.State
	err   error
}

func (k *stateSaver) openStore() (r openedStore) {
	k.mu.Lock()
	o := durable.Options{Folder: k.config.Folder, Tag: learned.Tag, Limit: int64(k.config.LimitMB) << 20}
	k.mu.Unlock()
	var found durable.Recovered
	if r.store, found, r.err = durable.Open(k.files, o); r.err != nil {
		return r
	}
	for _, err := range found.Damage() {
		k.service.log.Warn("state_damaged", "folder", o.Folder, "error", err)
	}
	if found.Snapshot != nil {
		if r.state, r.err = learned.Load(found.Snapshot, found.Records); r.err != nil {
			k.service.log.Warn("state_damaged", "folder", o.Folder, "error", r.err)
			r.err = nil
		}
	}
	return r
}

// begin recovers what an earlier run has left, tells the module of it, and gives out the list that holds.
func (v *Service) restoreState(o operator.State, told opening.Settings, known discovery.Response) {
	k := &stateSaver{service: v, files: durable.OS{}, wake: make(chan struct{}, 1), config: o}
	began := time.Now()
	came := make(chan openedStore, 1)
	go func() { came <- k.openStore() }()
	var r openedStore
	select {
	case r = <-came:
	case <-time.After(diskOpenTimeout):
		r.err = errors.New("the disk does not answer")
		go func() {
			if late := <-came; late.store != nil {
				_ = late.store.Close() // unused
			}
		}()
	}
	now, rules := v.decider.moment(), learnedConfig(v.config.Name, told, o)
	given := learned.Membership{Revision: known.Revision}
	for _, e := range known.Members {
		given.Entries = append(given.Entries, toLearned(e))
	}
	belief := learned.Restore(r.state, rules, now, given)
	if belief.FromSaved {
		known = discovery.Response{Revision: belief.Membership.Revision, Complete: true}
		for _, e := range belief.Membership.Entries {
			known.Members = append(known.Members, fromLearned(e))
		}
	}
	k.table = learned.NewTable(rules, r.state, now)
	k.table.StartRun(now)
	v.stateSaver = k
	v.initMembership(known)
	v.decider.step(logic.Event{Kind: logic.EvRecall, Memory: &belief.Memory})
	k.store, k.storeBehind = r.store, true
	if r.err != nil {
		k.saveFailed(now, r.err)
	}
	v.log.Info("state_recalled", "verdict", string(belief.Verdict), "age_ms", int64(belief.Age), "from_kept",
		belief.FromSaved,
		"revision", known.Revision, "members", len(belief.Memory.Members), "groups", len(belief.Memory.Groups),
		"dropped", strings.Join(belief.Discarded, "; "), "took_us", time.Since(began).Microseconds())
}

// list notes that the list has changed, or its revision, and wakes the saver; it waits for nothing.
func (k *stateSaver) noteMembership(revision int64, changed bool) {
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

// change takes up another interval or cap; the folder stays as it was.
func (k *stateSaver) reconfigure(o operator.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o.Folder = k.config.Folder
	k.config = o
}

// run saves until the context ends.
func (k *stateSaver) run(ctx context.Context) {
	for {
		k.mu.Lock()
		every := k.config.SaveInterval
		k.mu.Unlock()
		timer := time.NewTimer(every)
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

// finish saves all once more and lets the folder go; a disk that does not answer is waited for only so long.
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

// save takes in what is known now and writes what of it is worth a write.
func (k *stateSaver) save(last bool) {
	k.saveMu.Lock()
	defer k.saveMu.Unlock()
	if k.closed {
		return
	}
	k.closed = last
	now := k.service.decider.moment()
	k.mu.Lock()
	news, limit := k.membershipChanged, int64(k.config.LimitMB)<<20
	k.membershipChanged = false
	k.mu.Unlock()
	var records [][]byte
	if news { // what changes from here on is news again
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

// put brings the store up to the book: by the records, or by a snapshot where that is due or the store is behind.
func (k *stateSaver) persist(records [][]byte, limit int64) (err error) {
	if k.store == nil {
		r := k.openStore()
		if r.err != nil {
			return r.err
		}
		k.store, k.storeBehind = r.store, true
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

// failed counts a failure; the first of a row gets a line.
func (k *stateSaver) saveFailed(now learned.Timestamp, err error) {
	k.service.counters.StateFailed.Add(1)
	first := k.backoff == (learned.Backoff{})
	if wait := k.backoff.RecordFailure(now); first {
		k.service.log.Error("state_failed", "error", err, "retry_ms", int64(wait))
	}
}
