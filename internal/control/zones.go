package control

// This file has the calls on zones, which are served on the Unix socket only.

import (
	"context"
	"net/http"
	"net/url"

	"weirwind/internal/fleet/zones"
)

// Zones is a driver's interface to the fleet's decisions on zones. Its methods may be called concurrently.
type Zones interface {
	Status() zones.Status
	// Preview returns the plan that would be made without a zone, or, for "", with the zones as they are.
	Preview(without string) (zones.Preview, error)
	Submit(zones.Command) error
}

// zonesProvider is implemented by a Switcher that supports decisions on zones. Zones returns nil while they are
// disabled.
type zonesProvider interface{ Zones() Zones }

type zonesCall func(http.ResponseWriter, *http.Request, Zones) error

// withZones returns a handler for a call on zones. The handler fails if decisions on zones are disabled.
func withZones(switcher Switcher, call zonesCall) http.HandlerFunc {
	return zoneStatuses.serve(func(w http.ResponseWriter, r *http.Request) error {
		if provider, ok := switcher.(zonesProvider); ok {
			if decider := provider.Zones(); decider != nil {
				return call(w, r, decider)
			}
		}
		return errNoZones
	})
}

func handleZones(mux *http.ServeMux, switcher Switcher) {
	handle := func(pattern string, call zonesCall) {
		mux.HandleFunc(pattern, withZones(switcher, call))
	}
	handle("GET /zones", func(w http.ResponseWriter, _ *http.Request, decider Zones) error {
		writeJSON(w, decider.Status())
		return nil
	})
	handle("GET /zones/plan", func(w http.ResponseWriter, r *http.Request, decider Zones) error {
		preview, err := decider.Preview(r.URL.Query().Get("without"))
		if err == nil {
			writeJSON(w, preview)
		}
		return err
	})
	handle("POST /zones/order", func(w http.ResponseWriter, r *http.Request, decider Zones) error {
		var command zones.Command
		if err := readJSON(w, r, &command); err != nil {
			return err
		}
		return decider.Submit(command)
	})
}

// Zones returns the driver's status in the decisions on zones.
func (c *Client) Zones(ctx context.Context) (status zones.Status, err error) {
	return status, c.call(ctx, http.MethodGet, "/zones", nil, &status)
}

// PreviewZones returns the plan that would be made without a zone, or, for "", with the zones as they are.
func (c *Client) PreviewZones(ctx context.Context, without string) (preview zones.Preview, err error) {
	return preview, c.call(ctx, http.MethodGet, "/zones/plan?without="+url.QueryEscape(without), nil, &preview)
}

// SubmitZoneCommand sends an operator's command.
func (c *Client) SubmitZoneCommand(ctx context.Context, command zones.Command) error {
	return c.call(ctx, http.MethodPost, "/zones/order", command, nil)
}
