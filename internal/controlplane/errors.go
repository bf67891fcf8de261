package controlplane

import (
	"errors"
	"net"
	"net/http"

	"weirwind/internal/controlplane/orders"
)

// Why a call has no result. The texts are the callers' answers. Why the leader rejects a request stands in the errors
// of packages orders and config, with statuses of their own.
var (
	// errNoContact is a call to a machine without contact with a quorum: another one may answer at once.
	errNoContact = errors.New("this machine is out of contact with the core's majority; ask another")
	// errStopping is a call that was not finished when the process ended.
	errStopping = errors.New("stopping")
	// errNoLeader is a request for which no leader is known, or none to which a link is up. It was not forwarded.
	errNoLeader = errors.New("nobody is known to lead the core")
	// errLeaderLost is a request that was forwarded to a machine that leads no longer, or whose link ended. It may have
	// been carried out.
	errLeaderLost = errors.New("who led the core leads no longer, or can't be reached")
	// errUnknownMember is the leave of a member that this machine, which has just started, doesn't know yet.
	errUnknownMember = errors.New("this machine does not know the member yet; ask another")
	// errBusy is a request for which the consensus loop has no room, as it waits for its disk. It was not decided.
	errBusy = errors.New("this machine waits for its disk; ask another")
	// errEarlierLeader is a read that a leader of an earlier version doesn't know.
	errEarlierLeader = errors.New("who leads the core is of an earlier version, which does not answer this; ask again")
	// errNoAnswer is a request that was not decided in time. It may be applied later.
	errNoAnswer = errors.New("no answer from who leads the core")
)

// invalidCallError is a call that is wrong in itself; Text is the caller's answer.
type invalidCallError struct{ Text string }

// Error gives the caller's text.
func (e *invalidCallError) Error() string { return e.Text }

// bodyError is a body that could not be read.
type bodyError struct{ Err error }

// Error gives the caller's text.
func (e *bodyError) Error() string { return "the body did not come whole: " + e.Err.Error() }

// Unwrap gives the reader's error.
func (e *bodyError) Unwrap() error { return e.Err }

// statusNotLeader is sent between core machines only: the request was not decided where it was sent.
const statusNotLeader = http.StatusMisdirectedRequest

// statusOf maps an error to the HTTP status of its answer, for all calls. A body that came too slowly is not rejected
// for good: this very order may have been applied, and is to be retried.
func statusOf(err error) int {
	var invalid *invalidCallError
	var body *bodyError
	switch {
	case errors.Is(err, errNoLeader), errors.Is(err, errLeaderLost), errors.Is(err, orders.ErrNotLeader):
		return statusNotLeader
	case errors.As(err, &body):
		return statusOfBody(body.Err)
	case errors.As(err, &invalid):
		return http.StatusBadRequest
	}
	return http.StatusServiceUnavailable // errNoContact, errStopping, errNoAnswer: the caller retries, at another machine
}

func statusOfBody(err error) int {
	var tooLong *http.MaxBytesError
	var network net.Error
	switch {
	case errors.As(err, &tooLong):
		return http.StatusRequestEntityTooLarge
	case errors.As(err, &network) && network.Timeout():
		return http.StatusRequestTimeout
	}
	return http.StatusBadRequest
}

// writeError answers a call that was not submitted to the leader.
func writeError(w http.ResponseWriter, err error) { http.Error(w, err.Error(), statusOf(err)) }

// answer is what the leader decided of a request, or why nobody did: an HTTP status and a body.
type answer struct {
	status int
	body   []byte
}

// answerTo is the answer to a request that nobody decided.
func answerTo(err error) answer {
	return answer{status: statusOf(err), body: []byte(err.Error() + "\n")}
}

// undecided reports whether the request was not decided where it was sent, and another machine may decide it.
func (a answer) undecided() bool { return a.status == statusNotLeader }

// forCaller gives the answer as callers see it: statusNotLeader is 503 to them, on which they retry.
func (a answer) forCaller() answer {
	if a.undecided() {
		a.status = http.StatusServiceUnavailable
	}
	return a
}

// statusOfOrder gives the status of an order's answer, for the machine that forwarded it.
func statusOfOrder(result *orders.Answer) int {
	if errors.Is(result.Err, orders.ErrNotLeader) {
		return statusOf(result.Err)
	}
	return result.Status
}
