package registry

// This file defines the errors of calls, and maps them to the results of package roster.

import (
	"errors"

	"weirwind/internal/roster"
)

// Errors of calls.
var (
	errCompacted   = errors.New("the revision is not kept any more")
	errRejected    = errors.New("refused")
	errLagging     = errors.New("the server is behind what is known")
	errWatchSilent = errors.New("no sign of life")
	errCancelled   = errors.New("the registry ended the watch")
)

// Errors of leases.
var (
	errNameTaken = errors.New("another driver has the name")
	errLeaseLost = errors.New("the lease is not there any more")
)

// ResultOf returns the result that corresponds to the error of a Client's call.
func ResultOf(err error) roster.CallResult {
	switch {
	case err == nil:
		return roster.CallSucceeded
	case errors.Is(err, errCompacted):
		return roster.CallCompacted
	case errors.Is(err, errRejected):
		return roster.CallRejected
	case errors.Is(err, errLagging):
		return roster.CallStale
	case errors.Is(err, errWatchSilent):
		return roster.CallTimedOut
	}
	return roster.CallBroken
}

// PresenceResultOf returns the result that corresponds to the error of a LeaseClient's call.
func PresenceResultOf(err error) roster.PresenceResult {
	switch {
	case err == nil:
		return roster.StepDone
	case errors.Is(err, errNameTaken):
		return roster.StepNameTaken
	case errors.Is(err, errLeaseLost):
		return roster.StepLeaseLost
	}
	return roster.StepFailed
}
