package store

import (
	"errors"
	"fmt"
)

// ErrBroken means that a write failed in a way that makes the database unusable: pebble would block forever. The folder
// still holds what was saved before, and another process can open it. If the operating system gave a reason for the
// failure, such as syscall.ENOSPC for a full disk, errors.Is matches that too.
var ErrBroken = errors.New("the store is broken")

// brokenError is ErrBroken together with its cause.
type brokenError struct{ cause error }

// Error returns the text of ErrBroken; the caller puts the cause before it.
func (e *brokenError) Error() string { return ErrBroken.Error() }

// Is reports whether target is ErrBroken.
func (e *brokenError) Is(target error) bool { return target == ErrBroken }

// Unwrap returns the cause.
func (e *brokenError) Unwrap() error { return e.cause }

// CorruptError means that a record in the folder is not one that was saved. Nothing in the folder may be used then:
// a machine that went on without what it had promised could vote twice.
type CorruptError struct {
	Record string // key of the record, "meta" or "entry"
	Err    error  // what is wrong with the record
}

// Error returns the text of Err; the caller adds the name of the record.
func (e *CorruptError) Error() string { return e.Err.Error() }

// Unwrap returns Err.
func (e *CorruptError) Unwrap() error { return e.Err }

// fatalError is the value of the panic that panicLogger raises where pebble would end the process.
type fatalError struct {
	text  string
	cause error // nil if pebble gave none
}

// Error returns pebble's message.
func (e *fatalError) Error() string { return e.text }

// Unwrap returns the cause.
func (e *fatalError) Unwrap() error { return e.cause }

// panicError returns a recovered panic value as an error.
func panicError(recovered any) error {
	if err, ok := recovered.(error); ok {
		return err
	}
	return fmt.Errorf("%v", recovered)
}

// panicLogger is a logger for pebble. It discards messages, and panics where pebble's default logger ends the process.
type panicLogger struct{}

// Infof discards a message.
func (panicLogger) Infof(string, ...any) {}

// Errorf discards a message.
func (panicLogger) Errorf(string, ...any) {}

// Fatalf panics with a fatalError that holds the message and the last error among the arguments.
func (panicLogger) Fatalf(format string, args ...any) {
	fatal := &fatalError{text: fmt.Sprintf(format, args...)}
	for _, arg := range args {
		if err, ok := arg.(error); ok {
			fatal.cause = err
		}
	}
	panic(fatal)
}
