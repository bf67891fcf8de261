// Package disk simulates file systems that crash and disks that fail, for tests of stored state.
//
// Disk is a file system in memory that implements durable.FS: it counts operations, crashes in the middle of a chosen
// one, and AfterCrash returns the file system as it is after the crash. FaultyFS is a pebble file system on real
// folders whose faults are set by a control file. Neither is more reliable than a real disk: unsynced writes may be
// present, be missing, be torn at any byte, or be present without earlier ones.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"maps"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"weirwind/internal/durable"
)

// ErrCrashed is returned by every operation from the crash on.
var ErrCrashed = errors.New("disk: crashed")

// Outcome is what remains after a crash of unsynced writes and changes of names.
type Outcome uint8

// The outcomes of a crash; Outcomes is their number.
const (
	LoseUnsynced Outcome = iota // everything unsynced is lost
	KeepUnsynced                // everything unsynced remains
	TearUnsynced                // a prefix remains, cut at any byte
	MixUnsynced                 // each write and each change of a name remains or not, independently of earlier ones
	Outcomes
)

// write is an unsynced write.
type write struct {
	offset int
	data   []byte
}

// inode has a file's content.
type inode struct {
	synced []byte
	writes []write // since the last sync
}

func (n *inode) content() []byte {
	b := slices.Clone(n.synced)
	for _, w := range n.writes {
		b = overlay(b, w)
	}
	return b
}

func overlay(b []byte, w write) []byte {
	if len(b) < w.offset+len(w.data) {
		b = append(b, make([]byte, w.offset+len(w.data)-len(b))...)
	}
	copy(b[w.offset:], w.data)
	return b
}

// nameChange is a change of a folder's names since the last SyncDir.
type nameChange struct {
	name, from string
	node       *inode // nil if the name is removed
}

// Disk is a file system in memory. Set its faults before use.
type Disk struct {
	// CrashAt is the number of the operation, from 1, in the middle of which the disk crashes; 0: it does not crash.
	CrashAt int
	// Fail returns the error of the operation with a name, such as "write" or "sync", and a number; if Fail is nil, no
	// operation fails.
	Fail func(operation string, number int) error

	mu          sync.Mutex
	operations  int
	crashed     bool
	names       map[string]*inode
	syncedNames map[string]*inode
	changes     []nameChange // of names, not synced
	folders     map[string]bool
	locked      map[string]bool
}

// New returns an empty disk.
func New() *Disk {
	return &Disk{
		names:       map[string]*inode{},
		syncedNames: map[string]*inode{},
		folders:     map[string]bool{},
		locked:      map[string]bool{},
	}
}

// Operations returns the number of operations so far.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// begin counts an operation. crashes is true if the disk crashes in the middle of it. The caller holds the lock.
func (d *Disk) begin(operation string) (crashes bool, err error) {
	if d.crashed {
		return false, ErrCrashed
	}
	d.operations++
	if d.Fail != nil {
		if err := d.Fail(operation, d.operations); err != nil {
			return false, fmt.Errorf("%s: %w", operation, err)
		}
	}
	d.crashed = d.operations == d.CrashAt
	return d.crashed, nil
}

// AfterCrash returns the disk as it is after a crash. The seed determines the random choices of the outcome.
func (d *Disk) AfterCrash(outcome Outcome, seed uint64) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	random := rand.New(rand.NewPCG(seed, uint64(outcome)))
	names := d.survivingNames(outcome, random)
	survivor, copies := New(), map[*inode]*inode{}
	for folder := range d.folders {
		survivor.folders[folder] = true
	}
	for _, name := range slices.Sorted(maps.Keys(names)) { // in a fixed order, as each uses random numbers
		n := names[name]
		if copies[n] == nil {
			copies[n] = &inode{synced: survivingContent(n, outcome, random)}
		}
		survivor.names[name], survivor.syncedNames[name] = copies[n], copies[n]
	}
	return survivor
}

// survivingNames returns the names after a crash: the synced ones with the surviving changes.
func (d *Disk) survivingNames(outcome Outcome, random *rand.Rand) map[string]*inode {
	names := maps.Clone(d.syncedNames)
	surviving := len(d.changes)
	switch outcome {
	case LoseUnsynced:
		surviving = 0
	case TearUnsynced:
		surviving = random.IntN(surviving + 1)
	}
	for _, c := range d.changes[:surviving] {
		if outcome == MixUnsynced && random.IntN(2) == 0 {
			continue
		}
		if c.from != "" && names[c.from] == c.node {
			delete(names, c.from)
		}
		if c.node == nil {
			delete(names, c.name)
		} else {
			names[c.name] = c.node
		}
	}
	return names
}

// survivingContent returns a file's content after a crash.
func survivingContent(n *inode, outcome Outcome, random *rand.Rand) []byte {
	b := slices.Clone(n.synced)
	for i, w := range n.writes {
		switch {
		case outcome == LoseUnsynced || outcome == MixUnsynced && random.IntN(2) == 0:
			continue
		case outcome == TearUnsynced && i == len(n.writes)-1:
			w.data = w.data[:random.IntN(len(w.data)+1)]
		case outcome == MixUnsynced && random.IntN(2) == 0 && len(w.data) > 0: // a block of it was not written
			w.data = slices.Clone(w.data)
			from := random.IntN(len(w.data))
			clear(w.data[from:min(len(w.data), from+1+random.IntN(64))])
		}
		b = overlay(b, w)
	}
	return b
}

// SetFile creates a synced file.
func (d *Disk) SetFile(name string, content []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{synced: slices.Clone(content)}
	d.names[name], d.syncedNames[name], d.folders[filepath.Dir(name)] = n, n, true
}

// FileContent returns a file's current content, synced or not; nil if there is no such file.
func (d *Disk) FileContent(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return n.content()
	}
	return nil
}

// Clone returns a copy of the disk, with all unsynced changes.
func (d *Disk) Clone() *Disk { return d.AfterCrash(KeepUnsynced, 0) }

// MkdirAll creates a folder, which is durable at once.
func (d *Disk) MkdirAll(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("mkdir"); err != nil {
		return err
	}
	d.folders[folder] = true
	return d.finish()
}

// finish returns the result of an operation that took effect: ErrCrashed if the disk crashed in the middle of it.
func (d *Disk) finish() error {
	if d.crashed {
		return ErrCrashed
	}
	return nil
}

// List returns the names in a folder, sorted.
func (d *Disk) List(folder string) (names []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("list"); err != nil {
		return nil, err
	}
	if !d.folders[folder] {
		return nil, fs.ErrNotExist
	}
	for name := range d.names {
		if rest, ok := strings.CutPrefix(name, folder+"/"); ok && !strings.Contains(rest, "/") {
			names = append(names, rest)
		}
	}
	slices.Sort(names)
	return names, nil
}

// Create creates an empty file, whose name is durable after SyncDir.
func (d *Disk) Create(name string) (durable.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("create"); err != nil {
		return nil, err
	}
	if !d.folders[filepath.Dir(name)] {
		return nil, fs.ErrNotExist
	}
	n := &inode{}
	d.names[name] = n
	d.changes = append(d.changes, nameChange{name: name, node: n})
	return &file{disk: d, node: n}, d.finish()
}

// ReadFile returns a file's content, synced or not, or ErrDamaged if it is longer than the limit.
func (d *Disk) ReadFile(name string, limit int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("read"); err != nil {
		return nil, err
	}
	n := d.names[name]
	if n == nil {
		return nil, fs.ErrNotExist
	}
	b := n.content()
	if int64(len(b)) > limit {
		return nil, durable.ErrDamaged
	}
	return b, nil
}

// Rename renames a file, durable after SyncDir.
func (d *Disk) Rename(from, to string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("rename"); err != nil {
		return err
	}
	n := d.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = n
	d.changes = append(d.changes, nameChange{name: to, from: from, node: n})
	return d.finish()
}

// Remove removes a name, durable after SyncDir.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("remove"); err != nil {
		return err
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	d.changes = append(d.changes, nameChange{name: name})
	return d.finish()
}

// SyncDir makes all names durable; a crash in the middle of it makes none durable.
func (d *Disk) SyncDir(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	crashes, err := d.begin("syncdir")
	if err != nil {
		return err
	}
	if crashes { // nothing is durable yet
		return ErrCrashed
	}
	d.syncedNames, d.changes = map[string]*inode{}, nil
	for name, n := range d.names {
		d.syncedNames[name] = n
	}
	return nil
}

// Lock acquires a lock, which Close of the result releases. It returns ErrLocked if the lock is held.
func (d *Disk) Lock(name string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("lock"); err != nil {
		return nil, err
	}
	if d.locked[name] {
		return nil, durable.ErrLocked
	}
	d.locked[name] = true
	return unlock(func() {
		d.mu.Lock()
		delete(d.locked, name)
		d.mu.Unlock()
	}), nil
}

// unlock releases a lock.
type unlock func()

// Close releases the lock.
func (u unlock) Close() error { u(); return nil }

// file is a file open for appending.
type file struct {
	disk   *Disk
	node   *inode
	offset int
}

// Write appends to the file. On a full disk it writes a part of the bytes.
func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if _, err := f.disk.begin("write"); err != nil {
		if !f.disk.crashed && len(b) > 1 { // a full disk writes a part
			f.node.writes = append(f.node.writes, write{f.offset, slices.Clone(b[:len(b)/2])})
			f.offset += len(b) / 2
		}
		return 0, err
	}
	f.node.writes = append(f.node.writes, write{f.offset, slices.Clone(b)})
	f.offset += len(b)
	return len(b), f.disk.finish()
}

// Sync makes the content durable; a crash in the middle of it makes nothing durable.
func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	crashes, err := f.disk.begin("sync")
	if err != nil {
		return err
	}
	if crashes {
		return ErrCrashed
	}
	f.node.synced, f.node.writes = f.node.content(), nil
	return nil
}

// Close implements io.Closer.
func (f *file) Close() error { return nil }
