// Package idempotency says which calls may be retried where no response arrived.
//
// A call between processes is idempotent or runs at most once; docs/control-state.md has the table of all calls. A
// retry is safe where the call is idempotent, or where the error shows that nothing of it was sent. This is the one
// place that decides; it does no I/O.
package idempotency

import (
	"errors"
	"fmt"
)

// Kind is what a second run of a call would do.
type Kind uint8

// Kinds of calls.
const (
	AtMostOnce Kind = iota // another effect, or one that can't be told from the first
	Idempotent             // nothing, or the same again
)

// String names the kind as logs do.
func (k Kind) String() string { return [...]string{"once", "idempotent"}[k] }

// Progress is how far a call got that has no response.
type Progress uint8

// Kinds of progress.
const (
	MaybeSent Progress = iota // some of its bytes may have reached the peer
	NotSent                   // none left this process
)

// NoResponseError is the error of a call that ended without a response.
type NoResponseError struct {
	Progress Progress
	Err      error // why
}

// Error gives the cause, and whether the call may have run.
func (e *NoResponseError) Error() string {
	return fmt.Sprintf("%v (%s)", e.Err, [...]string{"it may have run", "nothing of it was sent"}[e.Progress])
}

// Unwrap gives the cause.
func (e *NoResponseError) Unwrap() error { return e.Err }

// MayHaveRun says whether a call that ended in an error may have run at its peer. It may, unless the error says that it
// did not.
func MayHaveRun(err error) bool {
	var e *NoResponseError
	return !errors.As(err, &e) || e.Progress != NotSent
}

// MayRetry says whether a call that ended without a response may be retried, over another connection or at another
// peer.
func (k Kind) MayRetry(err error) bool { return k == Idempotent || !MayHaveRun(err) }
