package control

// This file has the names of types in errors that callers see.

import (
	"encoding/json"
	"errors"
	"strings"
)

// publishedTypes replaces Go names of types in errors of encoding/json by the names that were published first. Callers'
// scripts may match those names, so they stay the same when a type is renamed.
var publishedTypes = strings.NewReplacer(
	"switchover.Notification", "switchover.Word",
	"field Notification.", "field Word.",
	"control.ForgetRequest", "control.Forgotten",
	"field ForgetRequest.", "field Forgotten.",
)

// bodyTypeError is a json.UnmarshalTypeError whose text has the published names of types.
type bodyTypeError struct{ cause *json.UnmarshalTypeError }

// Error returns the cause's text with the published names.
func (e *bodyTypeError) Error() string { return publishedTypes.Replace(e.cause.Error()) }

// Unwrap returns the cause.
func (e *bodyTypeError) Unwrap() error { return e.cause }

// withPublishedTypes replaces an error for a wrong type in a body by one with the published names of types. It returns
// any other error unchanged.
func withPublishedTypes(err error) error {
	var cause *json.UnmarshalTypeError
	if !errors.As(err, &cause) {
		return err
	}
	return &bodyTypeError{cause: cause}
}
