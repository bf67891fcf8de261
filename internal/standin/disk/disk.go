// Package disk is a stand-in for a file system that crashes, for tests of what is kept on one. It owns what a real
// disk may do to bytes and names that were not synced. It must never be kinder than a real one: what no sync
// covers may be there, be missing, be torn at any byte, or be there without what was written before it.
package disk

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"math/rand/v2"
	"path/filepath"
	"slices"
	"strings"
	"sync"

	"weirwind/internal/durable"
)

// ErrCrashed is what every call gets once the disk has crashed.
var ErrCrashed = errors.New("disk: crashed")

// Fate is what becomes of what was not synced.
type Outcome uint8

// The fates; Fates is how many there are.
const (
	LoseUnsynced Outcome = iota // all of it is lost
	KeepUnsynced                // all of it is there
	TearUnsynced                // a part, cut at any byte
	MixUnsynced                 // each write and each change of a name is there or not, whatever came before it
	Outcomes
)

type write struct {
	offset int
	data   []byte
}

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

// change is of a folder's names.
type nameChange struct {
	name, from string
	node       *inode // nil where the name goes
}

// Disk is a file system in memory. Set its faults before use.
type Disk struct {
	CrashAt int                          // the operation, counted from 1, in the middle of which it crashes; 0 for never
	Fail    func(op string, n int) error // an error for operation n, such as "write" or "sync"; nil for none

	mu          sync.Mutex
	operations  int
	crashed     bool
	names       map[string]*inode
	syncedNames map[string]*inode
	changes     []nameChange // of names, not synced
	folders     map[string]bool
	locked      map[string]bool
}

// New is an empty disk.
func New() *Disk {
	return &Disk{
		names:       map[string]*inode{},
		syncedNames: map[string]*inode{},
		folders:     map[string]bool{},
		locked:      map[string]bool{},
	}
}

// Ops is how many operations there have been.
func (d *Disk) Operations() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.operations
}

// step counts an operation, under the lock. now says that the disk crashes in the middle of it.
func (d *Disk) begin(op string) (now bool, err error) {
	if d.crashed {
		return false, ErrCrashed
	}
	d.operations++
	if d.Fail != nil {
		if err := d.Fail(op, d.operations); err != nil {
			return false, fmt.Errorf("%s: %w", op, err)
		}
	}
	d.crashed = d.operations == d.CrashAt
	return d.crashed, nil
}

// After is the disk that is found after a crash, with the fate of what was not synced drawn by the seed.
func (d *Disk) AfterCrash(outcome Outcome, seed uint64) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	draw := rand.New(rand.NewPCG(seed, uint64(outcome)))
	names := map[string]*inode{}
	for name, n := range d.syncedNames {
		names[name] = n
	}
	kept := len(d.changes)
	if outcome == LoseUnsynced {
		kept = 0
	} else if outcome == TearUnsynced {
		kept = draw.IntN(kept + 1)
	}
	for _, c := range d.changes[:kept] {
		if outcome == MixUnsynced && draw.IntN(2) == 0 {
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
	next, copies := New(), map[*inode]*inode{}
	for folder := range d.folders {
		next.folders[folder] = true
	}
	ordered := make([]string, 0, len(names))
	for name := range names {
		ordered = append(ordered, name)
	}
	slices.Sort(ordered)
	for _, name := range ordered {
		n := names[name]
		if copies[n] == nil {
			copies[n] = &inode{synced: survivingContent(n, outcome, draw)}
		}
		next.names[name], next.syncedNames[name] = copies[n], copies[n]
	}
	return next
}

func survivingContent(n *inode, outcome Outcome, draw *rand.Rand) []byte {
	b := slices.Clone(n.synced)
	for i, w := range n.writes {
		switch {
		case outcome == LoseUnsynced || outcome == MixUnsynced && draw.IntN(2) == 0:
			continue
		case outcome == TearUnsynced && i == len(n.writes)-1:
			w.data = w.data[:draw.IntN(len(w.data)+1)]
		case outcome == MixUnsynced && draw.IntN(2) == 0 && len(w.data) > 0: // a block of it never came
			w.data = slices.Clone(w.data)
			from := draw.IntN(len(w.data))
			clear(w.data[from:min(len(w.data), from+1+draw.IntN(64))])
		}
		b = overlay(b, w)
	}
	return b
}

// Set puts a file there as it is, synced; Get gives its content, nil where there is none.
func (d *Disk) SetFile(name string, content []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{synced: slices.Clone(content)}
	d.names[name], d.syncedNames[name], d.folders[filepath.Dir(name)] = n, n, true
}

// Get gives a file's content as it is read now; nil where there is none.
func (d *Disk) FileContent(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return n.content()
	}
	return nil
}

// Copy is the disk as it is, with nothing of it lost.
func (d *Disk) Clone() *Disk { return d.AfterCrash(KeepUnsynced, 0) }

// MkdirAll makes a folder, which is durable at once.
func (d *Disk) MkdirAll(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.begin("mkdir"); err != nil {
		return err
	}
	d.folders[folder] = true
	return d.finish()
}

// end is the error of an operation that took effect: the crash, where it came in the middle of it.
func (d *Disk) finish() error {
	if d.crashed {
		return ErrCrashed
	}
	return nil
}

// List gives the names in a folder, sorted.
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

// Create opens an empty file, whose name is durable behind SyncDir.
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

// ReadFile gives a file's content, synced or not.
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

// Rename moves a name, durable behind SyncDir.
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

// Remove takes a name away, durable behind SyncDir.
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

// SyncDir makes all names durable; a crash in the middle of it promises nothing.
func (d *Disk) SyncDir(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, err := d.begin("syncdir")
	if err != nil {
		return err
	}
	if now { // in the middle of it nothing is promised yet
		return ErrCrashed
	}
	d.syncedNames, d.changes = map[string]*inode{}, nil
	for name, n := range d.names {
		d.syncedNames[name] = n
	}
	return nil
}

// Lock takes a lock that ends with its Close; ErrLocked while somebody has it.
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

type unlock func()

func (u unlock) Close() error { u(); return nil }

type file struct {
	disk   *Disk
	node   *inode
	offset int
}

func (f *file) Write(b []byte) (int, error) {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	if _, err := f.disk.begin("write"); err != nil {
		if !f.disk.crashed && len(b) > 1 { // a disk that is full takes a part
			f.node.writes = append(f.node.writes, write{f.offset, slices.Clone(b[:len(b)/2])})
			f.offset += len(b) / 2
		}
		return 0, err
	}
	f.node.writes = append(f.node.writes, write{f.offset, slices.Clone(b)})
	f.offset += len(b)
	return len(b), f.disk.finish()
}

func (f *file) Sync() error {
	f.disk.mu.Lock()
	defer f.disk.mu.Unlock()
	now, err := f.disk.begin("sync")
	if err != nil {
		return err
	}
	if now {
		return ErrCrashed
	}
	f.node.synced, f.node.writes = f.node.content(), nil
	return nil
}

func (f *file) Close() error { return nil }
