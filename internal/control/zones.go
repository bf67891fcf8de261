package control

// This file owns calls on zones: the driver's part of plans, what would be planned, and operators' orders. They are
// answered on the Unix socket alone.

import (
	"context"
	"errors"
	"net/http"
	"net/url"

	"weirwind/internal/fleet/zones"
)

// Zoner is a driver's part in deciding on zones. Its methods may be called from several goroutines.
type Zones interface {
	Status() zones.Status
	Preview(zone string) (zones.Preview, error)
	Submit(zones.Command) error
}

// zoned is what a Switcher also is where zones are decided on in common; nil while they are not.
type zonesProvider interface{ Zones() Zones }

var errNoZones = errors.New("zones are not switched on in the operators' file")

func zoneCalls(mux *http.ServeMux, s Switcher, answer func(http.ResponseWriter, any)) {
	with := func(do func(http.ResponseWriter, *http.Request, Zones) error) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			err := errNoZones
			if j, ok := s.(zonesProvider); ok {
				if z := j.Zones(); z != nil {
					err = do(w, r, z)
				}
			}
			switch {
			case err == nil:
			case errors.Is(err, errNoZones), errors.Is(err, zones.ErrUnknownZone):
				http.Error(w, err.Error(), http.StatusNotFound)
			case errors.Is(err, zones.ErrNoPlan), errors.Is(err, zones.ErrNotInForce), errors.Is(err, zones.ErrNotLeader):
				http.Error(w, err.Error(), http.StatusServiceUnavailable)
			default:
				http.Error(w, err.Error(), http.StatusBadRequest)
			}
		}
	}
	mux.HandleFunc("GET /zones", with(func(w http.ResponseWriter, r *http.Request, z Zones) error {
		answer(w, z.Status())
		return nil
	}))
	mux.HandleFunc("GET /zones/plan", with(func(w http.ResponseWriter, r *http.Request, z Zones) error {
		p, err := z.Preview(r.URL.Query().Get("without"))
		if err == nil {
			answer(w, p)
		}
		return err
	}))
	mux.HandleFunc("POST /zones/order", with(func(w http.ResponseWriter, r *http.Request, z Zones) error {
		var s zones.Command
		if err := read(w, r, &s); err != nil {
			return err
		}
		return z.Submit(s)
	}))
}

// Zones asks for the driver's part in deciding on zones.
func (c *Client) Zones(ctx context.Context) (s zones.Status, err error) {
	return s, c.call(ctx, http.MethodGet, "/zones", nil, &s)
}

// Without asks what would be planned were a zone away; empty: as it is.
func (c *Client) PreviewZones(ctx context.Context, zone string) (p zones.Preview, err error) {
	return p, c.call(ctx, http.MethodGet, "/zones/plan?without="+url.QueryEscape(zone), nil, &p)
}

// OrderZone gives what operators say of a zone.
func (c *Client) SubmitZoneCommand(ctx context.Context, s zones.Command) error {
	return c.call(ctx, http.MethodPost, "/zones/order", s, nil)
}
