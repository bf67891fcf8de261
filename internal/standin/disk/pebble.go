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
	Stall      = "stall"  // writes and syncs wait for as long as it stands there
	Refuse     = "refuse" // they fail
	SlowSync   = "slow"   // a sync takes its time
	TearWrites = "tear"   // half of a write that no sync covered is found after a loss of power; else nothing of it
)

const slowSyncTime = 60 * time.Millisecond

// ErrRefused is what a disk that refuses gives.
var ErrRefused = errors.New("disk: refused")

// Under gives a file system on real folders that does what a control file says.
func FaultyFS(control string) vfs.FS { return &faultyFS{vfs.Default, control} }

type faultyFS struct {
	vfs.FS
	control string
}

// fate waits out a stall and gives what is asked of the disk at the moment.
func (fs *faultyFS) faults() (string, error) {
	for {
		b, _ := os.ReadFile(fs.control)
		switch word := string(b); {
		case strings.Contains(word, Refuse):
			return word, ErrRefused
		case !strings.Contains(word, Stall):
			return word, nil
		}
		<-time.After(5 * time.Millisecond)
	}
}

func (u *faultyFS) Create(name string) (vfs.File, error) {
	if _, err := u.faults(); err != nil {
		return nil, err
	}
	f, err := u.FS.Create(name)
	return u.wrap(f, err)
}

func (u *faultyFS) ReuseForWrite(from, to string) (vfs.File, error) {
	if _, err := u.faults(); err != nil {
		return nil, err
	}
	f, err := u.FS.ReuseForWrite(from, to)
	return u.wrap(f, err)
}

func (u *faultyFS) wrap(f vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: f, u: u}, nil
}

// unsynced is a file whose writes reach the folder at their sync.
type faultyFile struct {
	vfs.File
	u        *faultyFS
	mu       sync.Mutex
	unsynced []byte
	written  int // bytes of held that are in the folder already
}

func (f *faultyFile) Write(b []byte) (int, error) {
	word, err := f.u.faults()
	if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unsynced = append(f.unsynced, b...)
	if strings.Contains(word, TearWrites) {
		if more := len(f.unsynced)/2 - f.written; more > 0 {
			n, err := f.File.Write(f.unsynced[f.written : f.written+more])
			if f.written += n; err != nil {
				return 0, err
			}
		}
	}
	return len(b), nil
}

func (f *faultyFile) Sync() error {
	word, err := f.u.faults()
	if err != nil {
		return err
	}
	if strings.Contains(word, SlowSync) {
		<-time.After(slowSyncTime)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err = f.File.Write(f.unsynced[f.written:])
	f.unsynced, f.written = nil, 0
	return err
}

func (f *faultyFile) SyncData() error              { return f.Sync() }
func (f *faultyFile) SyncTo(int64) (bool, error)   { return true, f.Sync() }
func (f *faultyFile) Preallocate(_, _ int64) error { return nil }
func (f *faultyFile) Fd() uintptr                  { return vfs.InvalidFd }

// ReadAt sees what was written, synced or not, as a file system's cache does.
func (f *faultyFile) ReadAt(b []byte, at int64) (int, error) {
	if err := f.Sync(); err != nil {
		return 0, err
	}
	return f.File.ReadAt(b, at)
}
