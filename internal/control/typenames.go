package control

// This file owns the names of types in errors that callers see.

import (
	"encoding/json"
	"errors"
	"strings"
)

// publishedTypes has the types that errors of encoding/json name otherwise than Go does. Callers' scripts may look for
// the names, so they stay as the types are renamed.
var publishedTypes = strings.NewReplacer(
	"switchover.Notification", "switchover.Word",
	"field Notification.", "field Word.",
	"control.ForgetRequest", "control.Forgotten",
	"field ForgetRequest.", "field Forgotten.",
)

// bodyTypeError is a json.UnmarshalTypeError under the published names of its types.
type bodyTypeError struct{ cause *json.UnmarshalTypeError }

// Error is the cause's text, but for the names.
func (e *bodyTypeError) Error() string { return publishedTypes.Replace(e.cause.Error()) }

// Unwrap gives the cause.
func (e *bodyTypeError) Unwrap() error { return e.cause }

// withPublishedTypes returns an error of decoding a body in the form that callers are shown. Any other error is
// returned as it is.
func withPublishedTypes(err error) error {
	var cause *json.UnmarshalTypeError
	if !errors.As(err, &cause) {
		return err
	}
	return &bodyTypeError{cause: cause}
}
