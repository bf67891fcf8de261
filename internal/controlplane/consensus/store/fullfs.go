package store

import (
	"errors"
	"os"
	"syscall"

	"github.com/cockroachdb/pebble/vfs"
)

// This file owns what becomes of writes that a full disk refuses.
//
// Pebble can't be used after a write that failed: its process would have to end, and again at each start until the
// disk has room, with its members, agents and votes gone each time. So a write that is refused for want of room is
// held and tried again, by the DiskFullHandler's leave: to pebble and to who waits for the sync it is a slow disk.
// Nothing that depends on the write is said meanwhile, as nothing is sent before its sync.

// DiskFullHandler is called with the error of a write that the disk refused for want of room. It returns when the write is to
// be tried again, or false where it is to fail. Several goroutines may call it at once: pebble has some of its own.
type DiskFullHandler func(err error) (retry bool)

// isFull reports whether the disk had no room.
func isFull(err error) bool { return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT) }

// fullFS is a file system whose writes are held while its disk is full.
type fullFS struct {
	vfs.FS
	full DiskFullHandler
}

// try does an operation until it succeeds, fails for another reason, or is to fail.
func (f *fullFS) try(operation func() error) error {
	for {
		err := operation()
		if err == nil || !isFull(err) || !f.full(err) {
			return err
		}
	}
}

// open does an operation that gives a file to write to.
func (f *fullFS) open(operation func() (vfs.File, error)) (vfs.File, error) {
	var file vfs.File
	err := f.try(func() (err error) {
		file, err = operation()
		return err
	})
	if err != nil {
		return nil, err
	}
	return &fullFile{File: file, fs: f}, nil
}

// Create makes a file.
func (f *fullFS) Create(name string) (vfs.File, error) {
	return f.open(func() (vfs.File, error) { return f.FS.Create(name) })
}

// OpenReadWrite opens a file to write to.
func (f *fullFS) OpenReadWrite(name string, options ...vfs.OpenOption) (vfs.File, error) {
	return f.open(func() (vfs.File, error) { return f.FS.OpenReadWrite(name, options...) })
}

// ReuseForWrite renames a file and opens it to write to. Where the disk has no room for the new name, another file is
// made in its place on the next attempt, as the old name may be gone.
func (f *fullFS) ReuseForWrite(oldName, newName string) (vfs.File, error) {
	return f.open(func() (vfs.File, error) {
		file, err := f.FS.ReuseForWrite(oldName, newName)
		if errors.Is(err, os.ErrNotExist) {
			return f.FS.Create(newName)
		}
		return file, err
	})
}

// Link links a file.
func (f *fullFS) Link(oldName, newName string) error {
	return f.try(func() error { return f.FS.Link(oldName, newName) })
}

// Rename renames a file.
func (f *fullFS) Rename(oldName, newName string) error {
	return f.try(func() error { return f.FS.Rename(oldName, newName) })
}

// MkdirAll makes folders.
func (f *fullFS) MkdirAll(dir string, mode os.FileMode) error {
	return f.try(func() error { return f.FS.MkdirAll(dir, mode) })
}

// fullFile is a file of a fullFS. Its Sync is the file's own: a file system that gives blocks to bytes only as it
// writes them may find there that it has none left, and whether a later sync writes what this one failed to isn't
// certain. So that fails as any other fault.
type fullFile struct {
	vfs.File
	fs *fullFS
}

// Write appends. A disk that is full takes a part of the bytes: the rest follows.
func (f *fullFile) Write(b []byte) (written int, err error) {
	err = f.fs.try(func() error {
		n, err := f.File.Write(b[written:])
		written += n
		return err
	})
	return written, err
}

// WriteAt writes at an offset; a second attempt writes the same again.
func (f *fullFile) WriteAt(b []byte, offset int64) (written int, err error) {
	err = f.fs.try(func() (err error) {
		written, err = f.File.WriteAt(b, offset)
		return err
	})
	return written, err
}

// Preallocate reserves room ahead of writes. A disk without room refuses the write itself, where that comes.
func (f *fullFile) Preallocate(offset, length int64) error {
	if err := f.File.Preallocate(offset, length); err != nil && !isFull(err) {
		return err
	}
	return nil
}
