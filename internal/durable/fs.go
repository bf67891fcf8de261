package durable

// This file owns the file system as the store needs it, and that of the machine. It must never buffer, and never hide
// an error.

import (
	"fmt"
	"io"
	"os"
	"syscall"
)

// FS is a file system. Names are paths.
type FS interface {
	MkdirAll(folder string) error
	List(folder string) ([]string, error)
	Create(name string) (File, error)                  // truncated, for writing
	ReadFile(name string, limit int64) ([]byte, error) // an error where it is longer than the limit, in bytes
	Rename(from, to string) error                      // atomic
	Remove(name string) error
	SyncDir(folder string) error         // makes names durable
	Lock(name string) (io.Closer, error) // ErrLocked where another process has it
}

// File is a file that is written.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS is the file system of the machine.
type OS struct{}

// MkdirAll creates a folder for the process's own user, and its parents.
func (OS) MkdirAll(folder string) error { return os.MkdirAll(folder, 0o700) }

// List returns the names in a folder, in no order.
func (OS) List(folder string) ([]string, error) {
	d, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	defer func() { _ = d.Close() }() // nothing was written
	return d.Readdirnames(-1)
}

// Create opens an empty file for writing, for the process's own user.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// ReadFile returns a file's content. ErrDamaged: it is longer than the limit in bytes, or no regular file.
func (OS) ReadFile(name string, limit int64) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // nothing was written
	if info, err := f.Stat(); err != nil || info.Size() > limit || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is longer than %d bytes or no file: %w", name, limit, ErrDamaged)
	}
	return io.ReadAll(io.LimitReader(f, limit))
}

// Rename replaces a file atomically.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove removes a name.
func (OS) Remove(name string) error { return os.Remove(name) }

// SyncDir makes the names in a folder durable.
func (OS) SyncDir(folder string) error {
	d, err := os.Open(folder)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }() // nothing was written
	return d.Sync()
}

// Lock takes an advisory lock that ends with the process, however it ends.
func (OS) Lock(name string) (io.Closer, error) {
	f, err := os.OpenFile(name, os.O_RDWR|os.O_CREATE, 0o600)
	if err != nil {
		return nil, err
	}
	if err := syscall.Flock(int(f.Fd()), syscall.LOCK_EX|syscall.LOCK_NB); err != nil {
		_ = f.Close() // nothing was written
		if err == syscall.EWOULDBLOCK {
			return nil, ErrLocked
		}
		return nil, err
	}
	return f, nil
}
