package disk

// FaultyFS simulates the disk of a process that keeps its state in pebble: unsynced writes are lost when the process is
// killed, as by a loss of power, and the disk stalls, fails or is slow while its control file names that fault.

import (
	"errors"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/pebble/vfs"
)

// Faults that a control file may contain, separated by spaces.
const (
	Stall      = "stall"  // operations wait while the fault is set
	Refuse     = "refuse" // operations fail
	SlowSync   = "slow"   // syncs are slow
	Full       = "full"   // operations fail with ENOSPC; a write accepts a part of the bytes
	TearWrites = "tear"   // half of the unsynced bytes survive a loss of power; without it none do
)

const (
	slowSyncTime = 60 * time.Millisecond
	stallPoll    = 5 * time.Millisecond
)

// ErrRefused is returned by a disk with the fault Refuse.
var ErrRefused = errors.New("disk: refused")

// FaultyFS returns a file system on real folders, with the faults that the control file contains at each operation.
func FaultyFS(control string) vfs.FS { return &faultyFS{vfs.Default, control} }

// faultyFS applies a control file's faults.
type faultyFS struct {
	vfs.FS
	control string
}

// faults waits until the disk does not stall, and returns the control file's text and the error of its fault.
func (fs *faultyFS) faults() (string, error) {
	for {
		b, _ := os.ReadFile(fs.control)
		switch text := string(b); {
		case strings.Contains(text, Refuse):
			return text, ErrRefused
		case strings.Contains(text, Full):
			return text, syscall.ENOSPC
		case !strings.Contains(text, Stall):
			return text, nil
		}
		<-time.After(stallPoll)
	}
}

// Create implements vfs.FS.
func (fs *faultyFS) Create(name string) (vfs.File, error) {
	if _, err := fs.faults(); err != nil {
		return nil, err
	}
	f, err := fs.FS.Create(name)
	return fs.wrap(f, err)
}

// ReuseForWrite implements vfs.FS.
func (fs *faultyFS) ReuseForWrite(from, to string) (vfs.File, error) {
	if _, err := fs.faults(); err != nil {
		return nil, err
	}
	f, err := fs.FS.ReuseForWrite(from, to)
	return fs.wrap(f, err)
}

func (fs *faultyFS) wrap(f vfs.File, err error) (vfs.File, error) {
	if err != nil {
		return nil, err
	}
	return &faultyFile{File: f, fs: fs}, nil
}

// faultyFile is a file whose writes reach the underlying file when they are synced.
type faultyFile struct {
	vfs.File
	fs       *faultyFS
	mu       sync.Mutex
	unsynced []byte
	written  int // number of bytes of unsynced that are in the underlying file already
}

// Write buffers bytes until the next sync; with TearWrites half of them reach the underlying file at once.
func (f *faultyFile) Write(b []byte) (int, error) {
	faults, err := f.fs.faults()
	if errors.Is(err, syscall.ENOSPC) {
		b = b[:len(b)/2]
	} else if err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.unsynced = append(f.unsynced, b...)
	if err != nil {
		return len(b), err
	}
	if strings.Contains(faults, TearWrites) {
		if more := len(f.unsynced)/2 - f.written; more > 0 {
			n, err := f.File.Write(f.unsynced[f.written : f.written+more])
			if f.written += n; err != nil {
				return 0, err
			}
		}
	}
	return len(b), nil
}

// Sync implements vfs.File.
func (f *faultyFile) Sync() error {
	faults, err := f.fs.faults()
	if err != nil && !errors.Is(err, syscall.ENOSPC) { // on a full disk, accepted writes have their space
		return err
	}
	if strings.Contains(faults, SlowSync) {
		<-time.After(slowSyncTime)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	_, err = f.File.Write(f.unsynced[f.written:])
	f.unsynced, f.written = nil, 0
	return err
}

// SyncData implements vfs.File.
func (f *faultyFile) SyncData() error { return f.Sync() }

// SyncTo implements vfs.File.
func (f *faultyFile) SyncTo(int64) (bool, error) { return true, f.Sync() }

// Preallocate implements vfs.File.
func (f *faultyFile) Preallocate(_, _ int64) error { return nil }

// Fd implements vfs.File. It returns no descriptor, as writes to it would bypass the faults.
func (f *faultyFile) Fd() uintptr { return vfs.InvalidFd }

// ReadAt reads what was written, synced or not, as a file system's cache would return it.
func (f *faultyFile) ReadAt(b []byte, at int64) (int, error) {
	if err := f.Sync(); err != nil {
		return 0, err
	}
	return f.File.ReadAt(b, at)
}
