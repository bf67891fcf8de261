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
type Fate uint8

// The fates; Fates is how many there are.
const (
	Nothing Fate = iota // all of it is lost
	All                 // all of it is there
	Torn                // a part, cut at any byte
	Mixed               // each write and each change of a name is there or not, whatever came before it
	Fates
)

type write struct {
	at   int
	data []byte
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
	if len(b) < w.at+len(w.data) {
		b = append(b, make([]byte, w.at+len(w.data)-len(b))...)
	}
	copy(b[w.at:], w.data)
	return b
}

// change is of a folder's names.
type change struct {
	name, from string
	node       *inode // nil where the name goes
}

// Disk is a file system in memory. Set its faults before use.
type Disk struct {
	CrashAt int                          // the operation, counted from 1, in the middle of which it crashes; 0 for never
	Fail    func(op string, n int) error // an error for operation n, such as "write" or "sync"; nil for none

	mu      sync.Mutex
	ops     int
	crashed bool
	names   map[string]*inode
	safe    map[string]*inode
	changes []change // of names, not synced
	folders map[string]bool
	locked  map[string]bool
}

// New is an empty disk.
func New() *Disk {
	return &Disk{
		names:   map[string]*inode{},
		safe:    map[string]*inode{},
		folders: map[string]bool{},
		locked:  map[string]bool{},
	}
}

// Ops is how many operations there have been.
func (d *Disk) Ops() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ops
}

// step counts an operation, under the lock. now says that the disk crashes in the middle of it.
func (d *Disk) step(op string) (now bool, err error) {
	if d.crashed {
		return false, ErrCrashed
	}
	d.ops++
	if d.Fail != nil {
		if err := d.Fail(op, d.ops); err != nil {
			return false, fmt.Errorf("%s: %w", op, err)
		}
	}
	d.crashed = d.ops == d.CrashAt
	return d.crashed, nil
}

// After is the disk that is found after a crash, with the fate of what was not synced drawn by the seed.
func (d *Disk) After(fate Fate, seed uint64) *Disk {
	d.mu.Lock()
	defer d.mu.Unlock()
	draw := rand.New(rand.NewPCG(seed, uint64(fate)))
	names := map[string]*inode{}
	for name, n := range d.safe {
		names[name] = n
	}
	kept := len(d.changes)
	if fate == Nothing {
		kept = 0
	} else if fate == Torn {
		kept = draw.IntN(kept + 1)
	}
	for _, c := range d.changes[:kept] {
		if fate == Mixed && draw.IntN(2) == 0 {
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
			copies[n] = &inode{synced: survives(n, fate, draw)}
		}
		next.names[name], next.safe[name] = copies[n], copies[n]
	}
	return next
}

func survives(n *inode, fate Fate, draw *rand.Rand) []byte {
	b := slices.Clone(n.synced)
	for i, w := range n.writes {
		switch {
		case fate == Nothing || fate == Mixed && draw.IntN(2) == 0:
			continue
		case fate == Torn && i == len(n.writes)-1:
			w.data = w.data[:draw.IntN(len(w.data)+1)]
		case fate == Mixed && draw.IntN(2) == 0 && len(w.data) > 0: // a block of it never came
			w.data = slices.Clone(w.data)
			from := draw.IntN(len(w.data))
			clear(w.data[from:min(len(w.data), from+1+draw.IntN(64))])
		}
		b = overlay(b, w)
	}
	return b
}

// Set puts a file there as it is, synced; Get gives its content, nil where there is none.
func (d *Disk) Set(name string, content []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := &inode{synced: slices.Clone(content)}
	d.names[name], d.safe[name], d.folders[filepath.Dir(name)] = n, n, true
}

// Get gives a file's content as it is read now; nil where there is none.
func (d *Disk) Get(name string) []byte {
	d.mu.Lock()
	defer d.mu.Unlock()
	if n := d.names[name]; n != nil {
		return n.content()
	}
	return nil
}

// Copy is the disk as it is, with nothing of it lost.
func (d *Disk) Copy() *Disk { return d.After(All, 0) }

// MkdirAll makes a folder, which is durable at once.
func (d *Disk) MkdirAll(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step("mkdir"); err != nil {
		return err
	}
	d.folders[folder] = true
	return d.end()
}

// end is the error of an operation that took effect: the crash, where it came in the middle of it.
func (d *Disk) end() error {
	if d.crashed {
		return ErrCrashed
	}
	return nil
}

// List gives the names in a folder, sorted.
func (d *Disk) List(folder string) (names []string, err error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step("list"); err != nil {
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
	if _, err := d.step("create"); err != nil {
		return nil, err
	}
	if !d.folders[filepath.Dir(name)] {
		return nil, fs.ErrNotExist
	}
	n := &inode{}
	d.names[name] = n
	d.changes = append(d.changes, change{name: name, node: n})
	return &file{d: d, n: n}, d.end()
}

// ReadFile gives a file's content, synced or not.
func (d *Disk) ReadFile(name string, limit int64) ([]byte, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step("read"); err != nil {
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
	if _, err := d.step("rename"); err != nil {
		return err
	}
	n := d.names[from]
	if n == nil {
		return fs.ErrNotExist
	}
	delete(d.names, from)
	d.names[to] = n
	d.changes = append(d.changes, change{name: to, from: from, node: n})
	return d.end()
}

// Remove takes a name away, durable behind SyncDir.
func (d *Disk) Remove(name string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step("remove"); err != nil {
		return err
	}
	if d.names[name] == nil {
		return fs.ErrNotExist
	}
	delete(d.names, name)
	d.changes = append(d.changes, change{name: name})
	return d.end()
}

// SyncDir makes all names durable; a crash in the middle of it promises nothing.
func (d *Disk) SyncDir(folder string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	now, err := d.step("syncdir")
	if err != nil {
		return err
	}
	if now { // in the middle of it nothing is promised yet
		return ErrCrashed
	}
	d.safe, d.changes = map[string]*inode{}, nil
	for name, n := range d.names {
		d.safe[name] = n
	}
	return nil
}

// Lock takes a lock that ends with its Close; ErrLocked while somebody has it.
func (d *Disk) Lock(name string) (io.Closer, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if _, err := d.step("lock"); err != nil {
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
	d  *Disk
	n  *inode
	at int
}

func (f *file) Write(b []byte) (int, error) {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	if _, err := f.d.step("write"); err != nil {
		if !f.d.crashed && len(b) > 1 { // a disk that is full takes a part
			f.n.writes = append(f.n.writes, write{f.at, slices.Clone(b[:len(b)/2])})
			f.at += len(b) / 2
		}
		return 0, err
	}
	f.n.writes = append(f.n.writes, write{f.at, slices.Clone(b)})
	f.at += len(b)
	return len(b), f.d.end()
}

func (f *file) Sync() error {
	f.d.mu.Lock()
	defer f.d.mu.Unlock()
	now, err := f.d.step("sync")
	if err != nil {
		return err
	}
	if now {
		return ErrCrashed
	}
	f.n.synced, f.n.writes = f.n.content(), nil
	return nil
}

func (f *file) Close() error { return nil }
