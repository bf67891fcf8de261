// Package idempotency says which calls may be put again where no answer came.
//
// A call is one of two kinds, and each call between processes names its own: docs/control-state.md has the table.
// This is the one place that decides; it does no I/O.
package idempotency

import (
	"errors"
	"fmt"
)

// Kind is what a second run of a call would do.
type Kind uint8

const (
	AtMostOnce Kind = iota // another effect, or one that can't be told from the first: it runs at most once
	Idempotent             // nothing, or the same again
)

func (k Kind) String() string { return [...]string{"once", "idempotent"}[k] }

// Progress is how far a call got that has no answer.
type Progress uint8

const (
	MaybeSent Progress = iota // some of its bytes may have come to the peer
	NotSent                   // none left this process
)

// NoResponseError is the error of a call that ended without an answer.
type NoResponseError struct {
	Progress Progress
	Err      error
}

func (u *NoResponseError) Error() string {
	return fmt.Sprintf("%v (%s)", u.Err, [...]string{"it may have run", "nothing of it was sent"}[u.Progress])
}

func (u *NoResponseError) Unwrap() error { return u.Err }

// MayHaveRun says whether a call that ended in an error may have run at its peer. An error that says nothing of it may hide
// a run.
func MayHaveRun(err error) bool {
	var u *NoResponseError
	return !errors.As(err, &u) || u.Progress != NotSent
}

// MayRetry says whether a call that ended without an answer may be put again, over another connection or to another peer.
func (k Kind) MayRetry(err error) bool { return k == Idempotent || !MayHaveRun(err) }
