package orders

import (
	"errors"
	"net/http"

	"weirwind/internal/controlplane/config"
)

// Errors of orders. Package config defines those of changes that are rejected or undecided.
var (
	// ErrNotLeader is returned by a machine that is not the leader, or lost leadership before the order was decided.
	// Another machine may be able to decide the order at once.
	ErrNotLeader = errors.New("not the leader")
	// ErrTimeout is returned for an order that was not decided by its deadline. It may be applied later.
	ErrTimeout = errors.New("the order timed out")
	// ErrQueueFull is returned for an order beyond the queue's capacity.
	ErrQueueFull = errors.New("the queue of orders is full")
	// ErrNoConfiguration is returned for a read before the first version exists.
	ErrNoConfiguration = errors.New("no configuration")
	// ErrSiteNotJoined is returned for a lease request of a site incarnation that has not joined or was removed.
	ErrSiteNotJoined = errors.New("the site's incarnation has not joined or was removed")
)

// statusOf returns the HTTP status for an order's error. It is 503 if the outcome is unknown; callers then retry.
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
