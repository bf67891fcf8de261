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
	openTime   = 2 * time.Second // for the disk at a start: later the driver starts without
	finishTime = time.Second     // and for the last save
)

// keeper saves what the driver has learned.
type keeper struct {
	v     *Service
	files durable.FS
	kick  chan struct{} // the list has changed

	mu       sync.Mutex // guards what follows
	o        operator.State
	revision int64 // of the list when it was last told
	news     bool  // it is not saved yet

	saving sync.Mutex // guards what follows; held through a save
	store  *durable.Store
	book   *learned.Table
	memory logic.Memory
	behind bool // the book holds what the store does not
	retry  learned.Backoff
	ended  bool
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
func rulesOf(name string, told opening.Settings, o operator.State) learned.Config {
	r := learned.Config{Name: name, SaveInterval: milliseconds(o.SaveEvery), WarmUp: told.Opening.ColdFor,
		MinSwitchover: cmp.Or(milliseconds(o.SwitchLeast), told.DrainGrace), StalenessBound: math.Inf(1),
		SessionsTrackPosition: told.Opening.SessionCarried, OpTypes: make([]learned.OpType, len(told.OpTypes))}
	for name, i := range told.OpTypes {
		t := &told.Opening.OpTypes[i]
		r.OpTypes[i] = learned.OpType{Name: name, LatencyTarget: t.LatencyTarget}
		if t.Need == logic.Bounded {
			r.StalenessBound = min(r.StalenessBound, t.MaxAge)
		}
	}
	return r
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// opened is how a folder was found.
type opened struct {
	store *durable.Store
	state *learned.State
	err   error
}

func (k *keeper) open() (r opened) {
	k.mu.Lock()
	o := durable.Options{Folder: k.o.Folder, Tag: learned.Tag, Limit: int64(k.o.LimitMB) << 20}
	k.mu.Unlock()
	var found durable.Recovered
	if r.store, found, r.err = durable.Open(k.files, o); r.err != nil {
		return r
	}
	for _, err := range found.Damaged() {
		k.v.log.Warn("state_damaged", "folder", o.Folder, "error", err)
	}
	if found.Snapshot != nil {
		if r.state, r.err = learned.Load(found.Snapshot, found.Records); r.err != nil {
			k.v.log.Warn("state_damaged", "folder", o.Folder, "error", r.err)
			r.err = nil
		}
	}
	return r
}

// begin recovers what an earlier run has left, tells the module of it, and gives out the list that holds.
func (v *Service) begin(o operator.State, told opening.Settings, known discovery.Answer) {
	k := &keeper{v: v, files: durable.OS{}, kick: make(chan struct{}, 1), o: o}
	began := time.Now()
	came := make(chan opened, 1)
	go func() { came <- k.open() }()
	var r opened
	select {
	case r = <-came:
	case <-time.After(openTime):
		r.err = errors.New("the disk does not answer")
		go func() {
			if late := <-came; late.store != nil {
				_ = late.store.Close() // unused
			}
		}()
	}
	now, rules := v.decide.moment(), rulesOf(v.config.Name, told, o)
	given := learned.Membership{Revision: known.Revision}
	for _, e := range known.Members {
		given.Entries = append(given.Entries, toLearned(e))
	}
	belief := learned.Restore(r.state, rules, now, given)
	if belief.FromSaved {
		known = discovery.Answer{Revision: belief.Membership.Revision, Complete: true}
		for _, e := range belief.Membership.Entries {
			known.Members = append(known.Members, toDiscovery(e))
		}
	}
	k.book = learned.NewTable(rules, r.state, now)
	k.book.StartRun(now)
	v.keep = k
	v.start(known)
	v.decide.step(logic.Event{Kind: logic.EvRecall, Memory: &belief.Memory})
	k.store, k.behind = r.store, true
	if r.err != nil {
		k.failed(now, r.err)
	}
	v.log.Info("state_recalled", "verdict", string(belief.Verdict), "age_ms", int64(belief.Age), "from_kept",
		belief.FromSaved,
		"revision", known.Revision, "members", len(belief.Memory.Members), "groups", len(belief.Memory.Groups),
		"dropped", strings.Join(belief.Discarded, "; "), "took_us", time.Since(began).Microseconds())
}

func toLearned(e discovery.Entry) learned.Entry {
	return learned.Entry{ID: e.ID, Address: e.HostPort, Zone: e.Locality, Group: e.Cell, Phase: e.Phase, Access: e.Access,
		StartedAt: e.Started}
}

func toDiscovery(e learned.Entry) discovery.Entry {
	return discovery.Entry{ID: e.ID, HostPort: e.Address, Locality: e.Zone, Cell: e.Group, Phase: e.Phase,
		Access:  e.Access,
		Started: e.StartedAt}
}

// list notes that the list has changed, or its revision, and wakes the saver; it waits for nothing.
func (k *keeper) list(revision int64, changed bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if !changed && revision == k.revision {
		return
	}
	k.revision, k.news = revision, true
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

// change takes up another interval or cap; the folder stays as it was.
func (k *keeper) change(o operator.State) {
	k.mu.Lock()
	defer k.mu.Unlock()
	o.Folder = k.o.Folder
	k.o = o
}

// run saves until the context ends.
func (k *keeper) run(ctx context.Context) {
	for {
		k.mu.Lock()
		every := k.o.SaveEvery
		k.mu.Unlock()
		timer := time.NewTimer(every)
		select {
		case <-ctx.Done():
			timer.Stop()
			return
		case <-k.kick:
		case <-timer.C:
		}
		timer.Stop()
		k.save(false)
	}
}

// finish saves all once more and lets the folder go; a disk that does not answer is waited for only so long.
func (k *keeper) finish() {
	done := make(chan struct{})
	go func() {
		k.save(true)
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(finishTime):
		k.v.log.Error("state_failed", "error", "the disk does not answer: the last save is lost")
	}
}

// save takes in what is known now and writes what of it is worth a write.
func (k *keeper) save(last bool) {
	k.saving.Lock()
	defer k.saving.Unlock()
	if k.ended {
		return
	}
	k.ended = last
	now := k.v.decide.moment()
	k.mu.Lock()
	news, limit := k.news, int64(k.o.LimitMB)<<20
	k.news = false
	k.mu.Unlock()
	var records [][]byte
	if news { // what changes from here on is news again
		revision, entries := k.v.listed()
		records = k.book.UpdateMembership(now, revision, true, entries)
	}
	k.v.decide.step(logic.Event{Kind: logic.EvRemember, Memory: &k.memory})
	records = append(records, k.book.Update(now, &k.memory, last)...)
	if !last && !k.retry.Ready(now) {
		k.behind = k.behind || len(records) > 0
		return
	}
	if err := k.put(records, limit); err != nil {
		k.behind = true
		k.failed(now, err)
	} else if k.v.count.StateSaves.Add(1); k.retry.RecordSuccess() {
		k.v.log.Info("state_saved", "text", "saving goes on")
	}
	if last && k.store != nil {
		_ = k.store.Close() // what was appended is on disk
	}
}

// put brings the store up to the book: by the records, or by a snapshot where that is due or the store is behind.
func (k *keeper) put(records [][]byte, limit int64) (err error) {
	if k.store == nil {
		r := k.open()
		if r.err != nil {
			return r.err
		}
		k.store, k.behind = r.store, true
	}
	k.store.Cap(limit)
	before := k.store.Written()
	switch {
	case k.behind || k.store.Due():
		err = k.store.Compact(k.book.Snapshot())
	case len(records) > 0:
		if err = k.store.Append(records...); errors.Is(err, durable.ErrLimit) {
			err = k.store.Compact(k.book.Snapshot())
		}
	}
	k.v.count.StateBytes.Add(k.store.Written() - before)
	if err == nil {
		err = k.store.Check()
	}
	if err != nil { // the folder may be gone, and its lock with it
		_ = k.store.Close() // what was appended is on disk
		k.store = nil
		return err
	}
	k.behind = false
	return nil
}

// failed counts a failure; the first of a row gets a line.
func (k *keeper) failed(now learned.Timestamp, err error) {
	k.v.count.StateFailed.Add(1)
	first := k.retry == (learned.Backoff{})
	if wait := k.retry.RecordFailure(now); first {
		k.v.log.Error("state_failed", "error", err, "retry_ms", int64(wait))
	}
}
