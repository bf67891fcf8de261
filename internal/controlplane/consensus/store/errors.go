package store

import (
	"errors"
	"fmt"
)

// ErrBroken says that a write failed in a way after which the database may not be used: it would wait for ever.
// The folder holds what was saved before, and another process can open it. Where the operating system said why
// the write failed, say syscall.ENOSPC for a full disk, errors.Is finds that too.
var ErrBroken = errors.New("the store is broken")

// brokenError is ErrBroken with its cause.
type brokenError struct{ cause error }

// Error is the text of ErrBroken; the caller puts the cause before it.
func (e *brokenError) Error() string { return ErrBroken.Error() }

// Is says that the error is ErrBroken.
func (e *brokenError) Is(target error) bool { return target == ErrBroken }

// Unwrap gives the cause.
func (e *brokenError) Unwrap() error { return e.cause }

// CorruptError says that a record in the folder is not one that was saved. Nothing in the folder may be used then:
// a machine that went on without what it had promised could vote twice.
type CorruptError struct {
	Record string // "meta" or "entry"
	Err    error  // what is wrong with it
}

// Error is the text of what is wrong; the caller's step names the record.
func (e *CorruptError) Error() string { return e.Err.Error() }

// Unwrap gives what is wrong.
func (e *CorruptError) Unwrap() error { return e.Err }

// fatalError is the panic in which pebble's calls end where it would end the process.
type fatalError struct {
	text  string
	cause error // nil: pebble gave none
}

// Error is what pebble said.
func (e *fatalError) Error() string { return e.text }

// Unwrap gives the cause.
func (e *fatalError) Unwrap() error { return e.cause }

// panicError is what was recovered, as an error.
func panicError(recovered any) error {
	if err, ok := recovered.(error); ok {
		return err
	}
	return fmt.Errorf("%v", recovered)
}

// panicLogger is pebble's logger: it keeps still, and panics where pebble's own would end the process.
type panicLogger struct{}

// Infof drops a message.
func (panicLogger) Infof(string, ...any) {}

// Errorf drops a message.
func (panicLogger) Errorf(string, ...any) {}

// Fatalf panics with a fatalError, which keeps the error that pebble met.
func (panicLogger) Fatalf(format string, args ...any) {
	fatal := &fatalError{text: fmt.Sprintf(format, args...)}
	for _, arg := range args {
		if err, ok := arg.(error); ok {
			fatal.cause = err
		}
	}
	panic(fatal)
}
