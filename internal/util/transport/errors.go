package transport

// This file owns the errors that a link ends with.

import "errors"

// Step is what a link's end was doing when an error arose.
type Step string

// Steps of a link's life.
const (
	StepDial Step = "dial"
	StepRead Step = "read"
)

// ErrFrameTooLong is returned for a frame longer than the bound, as it is announced or once it is decompressed.
var ErrFrameTooLong = errors.New("a frame too long")

// Error is why a link could not be made, or ended. errors.Is and errors.As reach its cause.
type Error struct {
	Step Step
	Peer string // address that was dialled
	Err  error
}

// Error gives the step and the cause.
func (e *Error) Error() string { return string(e.Step) + ": " + e.Err.Error() }

// Unwrap gives the cause.
func (e *Error) Unwrap() error { return e.Err }
