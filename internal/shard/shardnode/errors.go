package shardnode

// This file defines the refusals of a node and maps them to codes of the line protocol.

import (
	"errors"
	"fmt"
	"strconv"
)

// Refusals. A refused request had no effect.
var (
	ErrNoCapacity = errors.New("no room")                                        // the disk is too full
	ErrAborted    = errors.New("this try never runs")                            // aborted by ResolveAttempt
	ErrStaleEpoch = errors.New("an older epoch than one heard before")           // older than in HighestEpochs
	ErrIncomplete = errors.New("the copy lacks what the shard had at its close") // log entries are missing
	ErrWrongState = errors.New("not in this state")                              // also for a malformed statement
)

// MovedError refuses a request because of its epoch: the node doesn't own the shard, or owns it with another epoch.
type MovedError struct {
	HighestEpoch uint64 // observed by the node; a request with a newer epoch may be retried here shortly
}

// Error returns the code and the epoch.
func (e *MovedError) Error() string { return fmt.Sprint("moved ", e.HighestEpoch) }

// Codes of a node's refusals on the wire.
const (
	CodeMoved      = "MOVED" // followed by MovedError.HighestEpoch
	CodeNoCapacity = "NOROOM"
	CodeAborted    = "VOID"
	CodeStaleEpoch = "OLD"
	CodeIncomplete = "BEHIND"
	CodeWrongState = "STATE"
)

// Code returns a refusal's code, followed by the epoch for a MovedError. For errors of other packages it returns
// CodeWrongState.
func Code(err error) string {
	var moved *MovedError
	switch {
	case errors.As(err, &moved):
		return CodeMoved + " " + strconv.FormatUint(moved.HighestEpoch, 10)
	case errors.Is(err, ErrNoCapacity):
		return CodeNoCapacity
	case errors.Is(err, ErrAborted):
		return CodeAborted
	case errors.Is(err, ErrStaleEpoch):
		return CodeStaleEpoch
	case errors.Is(err, ErrIncomplete):
		return CodeIncomplete
	}
	return CodeWrongState
}
