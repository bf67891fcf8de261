package shardmap

// This file maps types to the names under which errors show them to operators.

import (
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	"weirwind/internal/shard/shardplan"
)

// publishedTypes holds the published names of types whose Go names have changed. Operators' scripts may match the names
// in errors of encoding/json, so they are stable.
var publishedTypes = map[reflect.Type]string{
	reflect.TypeFor[ChangeKind]():          "shardmap.Kind",
	reflect.TypeFor[TaskStatus]():          "shardmap.Fate",
	reflect.TypeFor[shardplan.NodeState](): "shardplan.State",
}

// fieldTypeError is a json.UnmarshalTypeError that shows the published name of its type.
type fieldTypeError struct {
	cause    *json.UnmarshalTypeError
	typeName string
}

// Error returns the cause's text, which ends with the type, under the published name.
func (e *fieldTypeError) Error() string {
	return strings.TrimSuffix(e.cause.Error(), e.cause.Type.String()) + e.typeName
}

// Unwrap returns the cause.
func (e *fieldTypeError) Unwrap() error { return e.cause }

// WithPublishedTypes returns the form shown to operators of an error from decoding a Change, Rules or a
// shardplan.Cluster from JSON. Any other error is returned unchanged.
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
