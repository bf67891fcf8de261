package disk

// This file owns a disk under a process that keeps its state in pebble: what was not synced is lost when the process is
// killed, as by a loss of power, and the disk stalls, refuses or is slow while a test says so.

import (
	"errors"
	"os"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/pebble/vfs"
)

// What a disk does, by the words in a control file; several may stand there.
const (
	Stalls  = "stall"  // writes and syncs wait for as long as it stands there
	Refuses = "refuse" // they fail
	Slow    = "slow"   // a sync takes its time
	Tears   = "tear"   // half of a write that no sync covered is found after a loss of power; else nothing of it
)

const slowSync = 60 * time.Millisecond

// ErrRefused is what a disk that refuses gives.
var ErrRefused = errors.New("disk: refused")

// Under gives a file system on real folders that does what a control file says.
func Under(control string) vfs.FS { return &under{vfs.Default, control} }

type under struct {
	vfs.FS
	control string
}

// fate waits out a stall and gives what is asked of the disk at the moment.
func (u *under) fate() (string, error) {
	for {
		b, _ := os.ReadFile(u.control)
		switch word := string(b); {
		case strings.Contains(word, Refuses):
			return word, ErrRefused
		case !strings.Contains(word, Stalls):
			return word, nil
		}
		<-time.After(5 * time.Millisecond)
	}
}

func (u *under) Create(name string) (vfs.File, error) {
	if _, err := u.fate(); err != nil {
		return nil, err
	}
	f, err := u.FS.Create(name)
	return u.wrap(f, err)
}

func (u *under) ReuseForWrite(from, to string) (vfs.File, error) {
	if _, err := u.fate(); err != nil {
		return nil, err
	}
	f, err := u.FS.ReuseForWrite(from, to)
	return u.wrap(f, err)
}

func (u *under) wrap(f vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &unsynced{File: f, u: u}, nil
}

// unsynced is a file whose writes reach the folder at their sync.
type unsynced struct {
	vfs.File
	u    *under
	mu   sync.Mutex
	held []byte
	torn int // bytes of held that are in the folder already
}

func (f *unsynced) Write(b []byte) (int, error) {
	word, err := f.u.fate()
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.held = append(f.held, b...)
	if strings.Contains(word, Tears) {
		if more := len(f.held)/2 - f.torn; more > 0 {
			n, err := f.File.Write(f.held[f.torn : f.torn+more])
			if f.torn += n; err != nil {
				return 0, err
			}
		}
	}
	return len(b), nil
}

func (f *unsynced) Sync() error {
	word, err := f.u.fate()
	if err != nil {
		return err
	}
	if strings.Contains(word, Slow) {
		<-time.After(slowSync)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err = f.File.Write(f.held[f.torn:])
	f.held, f.torn = nil, 0
	return err
}

func (f *unsynced) SyncData() error              { return f.Sync() }
func (f *unsynced) SyncTo(int64) (bool, error)   { return true, f.Sync() }
func (f *unsynced) Preallocate(_, _ int64) error { return nil }
func (f *unsynced) Fd() uintptr                  { return vfs.InvalidFd }

// ReadAt sees what was written, synced or not, as a file system's cache does.
func (f *unsynced) ReadAt(b []byte, at int64) (int, error) {
	if err := f.Sync(); err != nil {
		return 0, err
	}
	return f.File.ReadAt(b, at)
}
