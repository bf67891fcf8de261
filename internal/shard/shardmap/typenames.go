package shardmap

// This file owns the names of types in errors that operators see.

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"weirwind/internal/shard/shardplan"
)

// publishedTypes has the types that errors of encoding/json name otherwise than Go does. Operators' scripts may look
// for the names, so they stay as the types are renamed.
var publishedTypes = map[reflect.Type]string{
	reflect.TypeFor[ChangeKind]():          "shardmap.Kind",
	reflect.TypeFor[TaskStatus]():          "shardmap.Fate",
	reflect.TypeFor[shardplan.NodeState](): "shardplan.State",
}

// fieldTypeError is a json.UnmarshalTypeError under the published name of its type.
type fieldTypeError struct {
	cause    *json.UnmarshalTypeError
	typeName string
}

// Error is the cause's text, which ends with the type.
func (e *fieldTypeError) Error() string {
	return strings.TrimSuffix(e.cause.Error(), e.cause.Type.String()) + e.typeName
}

// Unwrap gives the cause.
func (e *fieldTypeError) Unwrap() error { return e.cause }

// WithPublishedTypes returns an error of decoding a Change, Rules or a shardplan.Cluster from JSON in the form that
// operators are shown. Any other error is returned as it is.
func WithPublishedTypes(err error) error {
	var cause *json.UnmarshalTypeError
	if !errors.As(err, &cause) {
		return err
	}
	name, renamed := publishedTypes[cause.Type]
	if !renamed {
		return err
	}
	return &fieldTypeError{cause: cause, typeName: name}
}
