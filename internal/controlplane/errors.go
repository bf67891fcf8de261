package controlplane

import (
	"errors"
	"net"
	"net/http"

	"weirwind/internal/controlplane/orders"
)

// Reasons why a call has no result. The texts are sent to callers. The reasons for which the leader rejects a request
// are errors of packages orders and config, with statuses of their own.
var (
	// errNoContact answers a call to a machine without contact with a quorum. Another machine may answer at once.
	errNoContact = errors.New("this machine is out of contact with the core's majority; ask another")
	// errStopping answers a call that was not finished when the process stopped.
	errStopping = errors.New("stopping")
	// errNoLeader answers a request that was not forwarded, as no leader is known or no link to it is up.
	errNoLeader = errors.New("nobody is known to lead the core")
	// errLeaderLost answers a request that was forwarded to a machine that has since lost leadership, or whose link
	// ended. The request may have been carried out.
	errLeaderLost = errors.New("who led the core leads no longer, or can't be reached")
	// errUnknownMember answers the leave of a member that this machine does not know yet, as it has just started.
	errUnknownMember = errors.New("this machine does not know the member yet; ask another")
	// errBusy answers a request that was not decided, as the queue of the consensus loop is full while it waits for its
	// disk.
	errBusy = errors.New("this machine waits for its disk; ask another")
	// errEarlierLeader answers a read that a leader of an earlier software version does not support.
	errEarlierLeader = errors.New("who leads the core is of an earlier version, which does not answer this; ask again")
	// errNoAnswer answers a request that was not decided in time. It may be applied later.
	errNoAnswer = errors.New("no answer from who leads the core")
)

// invalidCallError reports an invalid call. Text is sent to the caller.
type invalidCallError struct{ Text string }

// Error returns the text for the caller.
func (e *invalidCallError) Error() string { return e.Text }

// bodyError reports a request body that could not be read.
type bodyError struct{ Err error }

// Error returns the text for the caller.
func (e *bodyError) Error() string { return "the body did not come whole: " + e.Err.Error() }

// Unwrap returns the error of the read.
func (e *bodyError) Unwrap() error { return e.Err }

// statusNotLeader means that the request was not decided where it was sent. It is sent between core machines only.
const statusNotLeader = http.StatusMisdirectedRequest

// statusOf maps an error to the HTTP status of its answer, for all calls. A body that arrived too slowly gets a status
// on which the caller retries: the same change may have been applied before.
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

// answer is the leader's decision on a request, or the reason why there is none: an HTTP status and a body.
type answer struct {
	status int
	body   []byte
}

// errorAnswer returns the answer to a request that was not decided because of an error.
func errorAnswer(err error) answer {
	return answer{status: statusOf(err), body: []byte(err.Error() + "\n")}
}

// undecided reports whether the request was not decided where it was sent, and another machine may decide it.
func (a answer) undecided() bool { return a.status == statusNotLeader }

// forCaller returns the answer to send to the caller: statusNotLeader becomes 503, on which callers retry.
func (a answer) forCaller() answer {
	if a.undecided() {
		a.status = http.StatusServiceUnavailable
	}
	return a
}

// statusOfOrder returns the status of an order's answer, for the machine that forwarded the request.
func statusOfOrder(result *orders.Answer) int {
	if errors.Is(result.Err, orders.ErrNotLeader) {
		return statusOf(result.Err)
	}
	return result.Status
}
