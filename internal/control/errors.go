package control

// This file has the errors of calls and their mapping to HTTP statuses.

import (
	"errors"
	"net/http"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/zones"
	"weirwind/internal/switchover"
)

// ErrNotInMajority is the error of a notification that a driver rejects because it is in a minority partition of the
// fleet.
var ErrNotInMajority = errors.New("this driver is not with the larger part of the fleet: ask another one")

var (
	errNoMembership = errors.New("membership is not switched on in the operators' file")
	errNoZones      = errors.New("zones are not switched on in the operators' file")
)

// statuses maps errors to HTTP statuses. Any other error is mapped to 400 Bad Request.
type statuses []struct {
	err    error
	status int
}

// statusFor returns the status of the first listed error that err wraps.
func (s statuses) statusFor(err error) int {
	for _, mapping := range s {
		if errors.Is(err, mapping.err) {
			return mapping.status
		}
	}
	return http.StatusBadRequest
}

// fleetStatuses maps errors of calls on changes of primaries and on membership.
var fleetStatuses = statuses{
	{switchover.ErrStale, http.StatusConflict},
	{switchover.ErrChangeFinished, http.StatusConflict},
	{switchover.ErrLeaseExpired, http.StatusConflict},
	{switchover.ErrNoChange, http.StatusNotFound},
	{errNoMembership, http.StatusNotFound},
	{membership.ErrUnknownDriver, http.StatusNotFound},
	{ErrNotInMajority, http.StatusServiceUnavailable},
	{membership.ErrNoMajority, http.StatusServiceUnavailable},
	{membership.ErrAlive, http.StatusConflict},
	{switchover.ErrTooManyGroups, http.StatusTooManyRequests},
}

// zoneStatuses maps errors of calls on zones.
var zoneStatuses = statuses{
	{errNoZones, http.StatusNotFound},
	{zones.ErrUnknownZone, http.StatusNotFound},
	{zones.ErrNoPlan, http.StatusServiceUnavailable},
	{zones.ErrNotInForce, http.StatusServiceUnavailable},
	{zones.ErrNotLeader, http.StatusServiceUnavailable},
}
