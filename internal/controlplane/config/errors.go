package config

import (
	"errors"
	"fmt"
)

// Reasons for which a change is rejected permanently. Each RejectedError wraps one of them.
var (
	// ErrInvalid means that the change, or the configuration that would result from it, is invalid on any base.
	ErrInvalid = errors.New("the configuration is invalid")
	// ErrVersionNotIncreasing means that the change's version is not higher than the one before it.
	ErrVersionNotIncreasing = errors.New("the version does not increase")
	// ErrBaseVersionMismatch means that the change's base already has another successor.
	ErrBaseVersionMismatch = errors.New("the base is not the current version")
	// ErrConflict means that the current shard map or site map does not allow the change.
	ErrConflict = errors.New("the current map does not allow the change")
)

// Reasons for which a change can be neither applied nor rejected. Each UndecidedError wraps one of them.
var (
	// ErrBaseVersionAhead means that the change's base does not exist yet: a change in flight may create it.
	ErrBaseVersionAhead = errors.New("the base version does not exist yet")
	// ErrBaseVersionCompacted means that the history no longer includes the successor of the change's base: it may have
	// been this change.
	ErrBaseVersionCompacted = errors.New("the history no longer includes the successor of the base")
)

// Reasons of errors, as they appear in logs.
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

// RejectedError reports that a change is not accepted by the current state nor by any state that can follow it.
type RejectedError struct {
	Err    error  // one of the Err... values
	Reason string // short reason, for logs
	Text   string // message for the operator
}

// Error returns the message for the operator.
func (e *RejectedError) Error() string { return e.Text }

// Unwrap returns the wrapped Err... value.
func (e *RejectedError) Unwrap() error { return e.Err }

// UndecidedError reports that a change can be neither applied nor rejected. The caller should retry.
type UndecidedError struct {
	Err    error  // one of the Err... values
	Reason string // short reason, for logs
	Text   string // message for the operator
}

// Error returns the message for the operator.
func (e *UndecidedError) Error() string { return e.Text }

// Unwrap returns the wrapped Err... value.
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
