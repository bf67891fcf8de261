package config

import (
	"errors"
	"fmt"
)

// Why a change is rejected for good. Each RejectedError wraps one of these.
var (
	// ErrInvalid is a change, or a configuration that it would make, that is wrong on any base.
	ErrInvalid = errors.New("the configuration is invalid")
	// ErrVersionNotIncreasing is a change whose own version is not higher than the one that it follows.
	ErrVersionNotIncreasing = errors.New("the version does not increase")
	// ErrBaseVersionMismatch is a change whose base has another successor already.
	ErrBaseVersionMismatch = errors.New("another version is in place than the base")
	// ErrConflict is a change of the shards or sites that their map does not allow.
	ErrConflict = errors.New("the map in place does not allow the change")
)

// Why a change can be neither applied nor rejected. Each UndecidedError wraps one of these.
var (
	// ErrBaseVersionAhead is a change whose base is not in place yet: another change, under way, may bring it.
	ErrBaseVersionAhead = errors.New("the base is not in place yet")
	// ErrBaseVersionCompacted is a change on a base that the history no longer reaches back to: this very change may be
	// the one that was applied on it.
	ErrBaseVersionCompacted = errors.New("the history no longer reaches back to the base")
)

// Reasons of errors, as logs have them.
const (
	reasonTruncated        = "cut_short"
	reasonInvalidField     = "bad_field"
	reasonDuplicateService = "same_service"
	reasonDuplicateRoute   = "same_name"
	reasonDuplicateMatch   = "same_place"
	reasonUnknownService   = "unknown_service"
	reasonDuplicateTenant  = "same_tenant"
	reasonSharedKey        = "shared_key"
	reasonVersion          = "old_version"
	reasonBaseMismatch     = "other_base"
	reasonBaseAhead        = "base_ahead"
	reasonBaseCompacted    = "forgotten"
	reasonShards           = "shards"
	reasonSites            = "sites"
)

// RejectedError is why a change is not applied, now or in any state that can follow.
type RejectedError struct {
	Err    error  // the sentinel that tells its kind
	Reason string // a word for logs
	Text   string // for the operator
}

// Error gives the operator's text.
func (e *RejectedError) Error() string { return e.Text }

// Unwrap gives the sentinel.
func (e *RejectedError) Unwrap() error { return e.Err }

// UndecidedError is why a change can be neither applied nor rejected: its caller retries it.
type UndecidedError struct {
	Err    error  // the sentinel that tells its kind
	Reason string // a word for logs
	Text   string // for the operator
}

// Error gives the operator's text.
func (e *UndecidedError) Error() string { return e.Text }

// Unwrap gives the sentinel.
func (e *UndecidedError) Unwrap() error { return e.Err }

func reject(kind error, reason, format string, args ...any) error {
	return &RejectedError{Err: kind, Reason: reason, Text: fmt.Sprintf(format, args...)}
}

func invalid(reason, format string, args ...any) error {
	return reject(ErrInvalid, reason, format, args...)
}

func undecided(kind error, reason, format string, args ...any) error {
	return &UndecidedError{Err: kind, Reason: reason, Text: fmt.Sprintf(format, args...)}
}
