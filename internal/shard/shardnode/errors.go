package shardnode

// This file owns the refusals of a node, and the one place where they become codes of the line protocol.

import (
	"errors"
	"fmt"
	"strconv"
)

// Refusals. Each promises that the request had no effect.
var (
	ErrNoCapacity = errors.New("no room")                                        // the disk is too full
	ErrAborted    = errors.New("this try never runs")                            // the attempt was resolved as aborted
	ErrStaleEpoch = errors.New("an older epoch than one heard before")           // than HighestEpochs has
	ErrIncomplete = errors.New("the copy lacks what the shard had at its close") // entries are missing
	ErrWrongState = errors.New("not in this state")                              // or a malformed statement
)

// MovedError refuses by the epoch: the node doesn't own the shard, or owns it by another epoch.
type MovedError struct {
	HighestEpoch uint64 // observed by the node; a request by a newer one may be repeated here in a moment
}

// Error gives the code and the epoch.
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

// Code gives a refusal's code, with what follows it. Errors that are none of this package's are CodeWrongState.
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
