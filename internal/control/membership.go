package control

// This file has the calls on membership, which are served on the Unix socket only.

import (
	"context"
	"net/http"
	"time"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/mesh"
)

// Membership is a driver's view of its peers. Its methods may be called concurrently.
type Membership interface {
	Status() membership.Status
	Leave()
	Forget(name string, certain bool) error
	Compare(context.Context) []mesh.DriverView
}

// membershipProvider is implemented by a Switcher that supports membership. Membership returns nil while it is
// disabled.
type membershipProvider interface{ Membership() Membership }

// ForgetRequest names a driver that has failed permanently.
type ForgetRequest struct {
	Name    string `json:"name"`
	Certain bool   `json:"certain"` // the operators have verified that it is not running
}

type membershipCall func(http.ResponseWriter, *http.Request, Membership) error

// withMembership returns a handler for a call on membership. The handler fails if membership is disabled.
func withMembership(switcher Switcher, call membershipCall) http.HandlerFunc {
	return fleetStatuses.serve(func(w http.ResponseWriter, r *http.Request) error {
		if provider, ok := switcher.(membershipProvider); ok {
			if fleet := provider.Membership(); fleet != nil {
				return call(w, r, fleet)
			}
		}
		return errNoMembership
	})
}

func handleMembership(mux *http.ServeMux, switcher Switcher) {
	handle := func(pattern string, call membershipCall) {
		mux.HandleFunc(pattern, withMembership(switcher, call))
	}
	handle("GET /membership", func(w http.ResponseWriter, _ *http.Request, fleet Membership) error {
		writeJSON(w, fleet.Status())
		return nil
	})
	handle("GET /membership/compare", func(w http.ResponseWriter, r *http.Request, fleet Membership) error {
		_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(compareTimeout)) // the server supports deadlines
		writeJSON(w, fleet.Compare(r.Context()))
		return nil
	})
	handle("POST /membership/leave", func(_ http.ResponseWriter, _ *http.Request, fleet Membership) error {
		fleet.Leave()
		return nil
	})
	handle("POST /membership/forget", func(w http.ResponseWriter, r *http.Request, fleet Membership) error {
		var request ForgetRequest
		if err := readJSON(w, r, &request); err != nil {
			return err
		}
		return fleet.Forget(request.Name, request.Certain)
	})
}

// Membership returns the driver's view of its peers.
func (c *Client) Membership(ctx context.Context) (status membership.Status, err error) {
	return status, c.call(ctx, http.MethodGet, "/membership", nil, &status)
}

// Compare returns the views of all drivers that this one knows, its own first.
func (c *Client) Compare(ctx context.Context) (all []mesh.DriverView, err error) {
	compareClient := *c // a copy, as other calls keep their timeout
	compareClient.http.Timeout = compareTimeout
	return all, compareClient.call(ctx, http.MethodGet, "/membership/compare", nil, &all)
}

// Leave makes the driver leave the fleet; it continues to serve clients.
func (c *Client) Leave(ctx context.Context) error {
	return c.call(ctx, http.MethodPost, "/membership/leave", nil, nil)
}

// Forget removes a failed driver from the roster.
func (c *Client) Forget(ctx context.Context, request ForgetRequest) error {
	return c.call(ctx, http.MethodPost, "/membership/forget", request, nil)
}
