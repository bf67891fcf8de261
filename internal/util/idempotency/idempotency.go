// Package idempotency decides which calls may be retried when no response arrived.
//
// A call between processes is idempotent or runs at most once; docs/control-state.md has the table of all calls. A
// retry is safe where the call is idempotent, or where the error shows that nothing of it was sent. This package does
// no I/O.
package idempotency

import (
	"errors"
	"fmt"
)

// Kind classifies a call by the effect of running it a second time.
type Kind uint8

// Kinds of calls.
const (
	AtMostOnce Kind = iota // a second run has another effect, or one that can't be told from the first
	Idempotent             // a second run has no effect, or the same one
)

// String returns the kind's name, as it appears in logs.
func (k Kind) String() string { return [...]string{"once", "idempotent"}[k] }

// Progress is how far a call without a response got.
type Progress uint8

// Values of Progress.
const (
	MaybeSent Progress = iota // some of its bytes may have reached the peer
	NotSent                   // none of its bytes left this process
)

// NoResponseError is returned for a call that ended without a response.
type NoResponseError struct {
	Progress Progress
	Err      error // the cause
}

// Error returns the cause, and whether the call may have run.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("%v (%s)", e.Err, [...]string{"it may have run", "nothing of it was sent"}[e.Progress])
}

// Unwrap returns the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// MayHaveRun reports whether a call that ended in an error may have run at its peer. It returns true unless the error
// shows that nothing was sent.
func MayHaveRun(err error) bool {
	var e *NoResponseError
	return !errors.As(err, &e) || e.Progress != NotSent
}

// MayRetry reports whether a call that ended without a response may be retried, over another connection or at another
// peer.
func (k Kind) MayRetry(err error) bool { return k == Idempotent || !MayHaveRun(err) }
