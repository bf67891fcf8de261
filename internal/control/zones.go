package control

// This file owns calls on zones. They are served on the Unix socket alone.

import (
	"context"
	"net/http"
	"net/url"

	"weirwind/internal/fleet/zones"
)

// Zones is a driver's part in deciding on zones. Its methods may be called from several goroutines.
type Zones interface {
	Status() zones.Status
	// Preview returns what would be planned without a zone; empty: as it is.
	Preview(without string) (zones.Preview, error)
	Submit(zones.Command) error
}

// zonesProvider is what a Switcher also is where drivers may decide on zones in common; Zones is nil while they do not.
type zonesProvider interface{ Zones() Zones }

// withZones serves a call on zones, where they are decided on in common.
func withZones(s Switcher, call func(http.ResponseWriter, *http.Request, Zones) error) http.HandlerFunc {
	return zoneStatuses.serve(func(w http.ResponseWriter, r *http.Request) error {
		if p, ok := s.(zonesProvider); ok {
			if z := p.Zones(); z != nil {
				return call(w, r, z)
			}
		}
		return errNoZones
	})
}

func handleZones(mux *http.ServeMux, s Switcher) {
	handle := func(pattern string, call func(http.ResponseWriter, *http.Request, Zones) error) {
		mux.HandleFunc(pattern, withZones(s, call))
	}
	handle("GET /zones", func(w http.ResponseWriter, _ *http.Request, z Zones) error {
		writeJSON(w, z.Status())
		return nil
	})
	handle("GET /zones/plan", func(w http.ResponseWriter, r *http.Request, z Zones) error {
		p, err := z.Preview(r.URL.Query().Get("without"))
		if err == nil {
			writeJSON(w, p)
		}
		return err
	})
	handle("POST /zones/order", func(w http.ResponseWriter, r *http.Request, z Zones) error {
		var c zones.Command
		if err := readJSON(w, r, &c); err != nil {
			return err
		}
		return z.Submit(c)
	})
}

// Zones returns the driver's part in deciding on zones.
func (c *Client) Zones(ctx context.Context) (s zones.Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/zones", nil, &s)
}

// PreviewZones returns what would be planned without a zone; empty: as it is.
func (c *Client) PreviewZones(ctx context.Context, without string) (p zones.Preview, err error) {
	return p, c.call(ctx, http.MethodGet, "/zones/plan?without="+url.QueryEscape(without), nil, &p)
}

// SubmitZoneCommand sends an operator's command.
func (c *Client) SubmitZoneCommand(ctx context.Context, command zones.Command) error {
	return c.call(ctx, http.MethodPost, "/zones/order", command, nil)
}
