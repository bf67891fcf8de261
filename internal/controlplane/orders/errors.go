package orders

import (
	"errors"
	"net/http"

	"weirwind/internal/controlplane/config"
)

// Why an order has no result. Those of changes that are rejected or undecided are package config's.
var (
	// ErrNotLeader is an order at a machine that does not lead, or led no longer as it was decided: another machine may
	// decide it at once.
	ErrNotLeader = errors.New("not the leader")
	// ErrTimeout is an order that was not decided by its deadline. It may be applied later.
	ErrTimeout = errors.New("the order timed out")
	// ErrQueueFull is an order beyond the queue's capacity.
	ErrQueueFull = errors.New("the queue of orders is full")
	// ErrNoConfiguration is a read before the first version.
	ErrNoConfiguration = errors.New("no configuration")
	// ErrSiteNotJoined is returned for a lease request of a site incarnation that has not joined or was removed.
	ErrSiteNotJoined = errors.New("the site's incarnation has not joined or was removed")
)

// statusOf maps an error to the HTTP status of its answer, for all orders. Without a clear result that is 503, on which
// callers retry.
func statusOf(err error) int {
	switch {
	case err == nil:
		return http.StatusOK
	case errors.Is(err, config.ErrInvalid), errors.Is(err, config.ErrVersionNotIncreasing):
		return http.StatusBadRequest
	case errors.Is(err, ErrNoConfiguration):
		return http.StatusNotFound
	case errors.Is(err, config.ErrConflict), errors.Is(err, ErrSiteNotJoined):
		return http.StatusConflict
	case errors.Is(err, config.ErrBaseVersionMismatch):
		return http.StatusPreconditionFailed
	}
	return http.StatusServiceUnavailable
}
