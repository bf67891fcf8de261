package durable

// This file defines the file system interface and its implementation on the operating system. It does no buffering and
// returns every error that concerns written data.

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
	ReadFile(name string, limit int64) ([]byte, error) // fails if the file is longer than limit, in bytes
	Rename(from, to string) error                      // atomic
	Remove(name string) error
	SyncDir(folder string) error         // makes names durable
	Lock(name string) (io.Closer, error) // ErrLocked if another process holds the lock
}

// File is a file open for writing.
type File interface {
	io.WriteCloser
	Sync() error
}

// OS implements FS with the operating system's file system.
type OS struct{}

// MkdirAll creates a folder and its parents, accessible only to the process's user.
func (OS) MkdirAll(folder string) error { return os.MkdirAll(folder, 0o700) }

// List returns the names in a folder, in no particular order.
func (OS) List(folder string) ([]string, error) {
	d, err := os.Open(folder)
	if err != nil {
		return nil, err
	}
	defer func() { _ = d.Close() }() // nothing was written
	return d.Readdirnames(-1)
}

// Create opens an empty file for writing, accessible only to the process's user.
func (OS) Create(name string) (File, error) {
	return os.OpenFile(name, os.O_WRONLY|os.O_CREATE|os.O_TRUNC, 0o600)
}

// ReadFile returns a file's content. It returns ErrDamaged if the file is longer than limit bytes, or isn't regular.
func (OS) ReadFile(name string, limit int64) ([]byte, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, err
	}
	defer func() { _ = f.Close() }() // nothing was written
	if info, err := f.Stat(); err != nil || info.Size() > limit || !info.Mode().IsRegular() {
		return nil, fmt.Errorf("%s is longer than %d bytes or not a regular file: %w", name, limit, ErrDamaged)
	}
	return io.ReadAll(io.LimitReader(f, limit))
}

// Rename replaces a file atomically.
func (OS) Rename(from, to string) error { return os.Rename(from, to) }

// Remove deletes a file.
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

// Lock takes an advisory lock, which the operating system releases when the process ends.
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
