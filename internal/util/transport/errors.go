package transport

// This file has the errors with which a link ends.

import "errors"

// Step is the operation during which an error occurred.
type Step string

// Values of Step.
const (
	StepDial Step = "dial"
	StepRead Step = "read"
)

// ErrFrameTooLong is returned for a frame whose announced or decompressed length exceeds the limit.
var ErrFrameTooLong = errors.New("a frame too long")

// Error is the reason why a link could not be established, or ended. It wraps its cause.
type Error struct {
	Step Step
	Peer string // address that was dialled
	Err  error
}

// Error returns the step and the cause.
func (e *Error) Error() string { return string(e.Step) + ": " + e.Err.Error() }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
