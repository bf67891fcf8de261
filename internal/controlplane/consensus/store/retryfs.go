package store

import (
	"errors"
	"os"
	"syscall"

	"github.com/cockroachdb/pebble/vfs"
)

// This file handles writes that a full disk refuses.
//
// Pebble can't be used after a failed write: the process would have to end, and would end again at each start until
// the disk has space, each time losing its connections to members and agents and its vote in the cluster. So a write
// that is refused for lack of space blocks and is retried for as long as the DiskFullHandler returns true: to pebble,
// and to whoever waits for the sync, the disk is merely slow. No message that depends on the write is sent meanwhile,
// as messages are sent only after the sync.

// DiskFullHandler is called with the error of a write that was refused because the disk is full. It returns true when
// the write is to be retried, and false if it is to fail. Pebble's goroutines may call it concurrently.
type DiskFullHandler func(err error) (retry bool)

// isDiskFull reports whether an error means that the disk or the user's quota is full.
func isDiskFull(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// retryFS is a file system whose writes are retried while the disk is full.
type retryFS struct {
	vfs.FS
	onDiskFull DiskFullHandler
}

// retryWhileFull runs an operation until it succeeds, fails for another reason, or onDiskFull declines a retry.
func (f *retryFS) retryWhileFull(operation func() error) error {
	for {
		err := operation()
		if err == nil || !isDiskFull(err) || !f.onDiskFull(err) {
			return err
		}
	}
}

// openFile runs an operation that returns a file to write to, and wraps the file.
func (f *retryFS) openFile(operation func() (vfs.File, error)) (vfs.File, error) {
	var file vfs.File
	err := f.retryWhileFull(func() (err error) {
		file, err = operation()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &retryFile{File: file, fs: f}, nil
}

// Create creates a file for writing.
func (f *retryFS) Create(name string) (vfs.File, error) {
	return f.openFile(func() (vfs.File, error) { return f.FS.Create(name) })
}

// OpenReadWrite opens a file for reading and writing.
func (f *retryFS) OpenReadWrite(name string, options ...vfs.OpenOption) (vfs.File, error) {
	return f.openFile(func() (vfs.File, error) { return f.FS.OpenReadWrite(name, options...) })
}

// ReuseForWrite renames a file and opens it for writing. If the disk is full, the old name may be gone at the next
// attempt, which then creates the new file instead.
func (f *retryFS) ReuseForWrite(oldName, newName string) (vfs.File, error) {
	return f.openFile(func() (vfs.File, error) {
		file, err := f.FS.ReuseForWrite(oldName, newName)
		if errors.Is(err, os.ErrNotExist) {
			return f.FS.Create(newName)
		}
		return file, err
	})
}

// Link creates a hard link.
func (f *retryFS) Link(oldName, newName string) error {
	return f.retryWhileFull(func() error { return f.FS.Link(oldName, newName) })
}

// Rename renames a file.
func (f *retryFS) Rename(oldName, newName string) error {
	return f.retryWhileFull(func() error { return f.FS.Rename(oldName, newName) })
}

// MkdirAll creates a folder and its parents.
func (f *retryFS) MkdirAll(dir string, mode os.FileMode) error {
	return f.retryWhileFull(func() error { return f.FS.MkdirAll(dir, mode) })
}

// retryFile is a file of a retryFS. It doesn't retry Sync: on a file system with delayed allocation, Sync may find the
// disk full, and then it is uncertain whether a later sync writes the data that this one failed to write. So such a
// failure is treated like any other fault.
type retryFile struct {
	vfs.File
	fs *retryFS
}

// Write appends. A full disk may accept a part of the bytes; the retry continues with the rest.
func (f *retryFile) Write(b []byte) (written int, err error) {
	err = f.fs.retryWhileFull(func() error {
		n, err := f.File.Write(b[written:])
		written += n
		return err
	})
	return written, err
}

// WriteAt writes at an offset; a retry writes the same bytes again.
func (f *retryFile) WriteAt(b []byte, offset int64) (written int, err error) {
	err = f.fs.retryWhileFull(func() (err error) {
		written, err = f.File.WriteAt(b, offset)
		return err
	})
	return written, err
}

// Preallocate reserves space ahead of writes. A full disk is no error here: the write itself will be refused and
// retried.
func (f *retryFile) Preallocate(offset, length int64) error {
	if err := f.File.Preallocate(offset, length); err != nil && !isDiskFull(err) {
		return err
	}
	return nil
}
