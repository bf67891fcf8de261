package control

// This file has the calls on changes of primaries.

import (
	"context"
	"fmt"
	"net/http"

	"weirwind/internal/switchover"
)

// Switcher handles notifications of changes of primaries. Its methods may be called concurrently.
type Switcher interface {
	// HandleHook handles a notification from a hook, and returns it with omitted fields filled in.
	HandleHook(switchover.Notification) (switchover.Notification, error)
	// HandlePeer handles a notification that a peer passes on.
	HandlePeer(switchover.Notification) error
	Status() []switchover.ChangeStatus
}

func handleSwitch(mux *http.ServeMux, switcher Switcher) {
	mux.HandleFunc("GET /switch", func(w http.ResponseWriter, _ *http.Request) { writeJSON(w, switcher.Status()) })
	mux.HandleFunc("POST /switch", fleetStatuses.serve(func(w http.ResponseWriter, r *http.Request) error {
		var notification switchover.Notification
		if err := readJSON(w, r, &notification); err != nil {
			return err
		}
		notification, err := switcher.HandleHook(notification)
		if err == nil {
			writeJSON(w, notification)
		}
		return err
	}))
	mux.HandleFunc("POST /switch/told", fleetStatuses.serve(func(w http.ResponseWriter, r *http.Request) error {
		var all []switchover.Notification
		if err := readJSON(w, r, &all); err != nil {
			return err
		}
		if len(all) > maxNotifications {
			return fmt.Errorf("%d words; %d at most", len(all), maxNotifications)
		}
		for _, notification := range all {
			if err := switcher.HandlePeer(notification); err != nil {
				return err
			}
		}
		return nil
	}))
}

// NotifyHook sends a notification as a hook does, and returns it with omitted fields filled in.
func (c *Client) NotifyHook(ctx context.Context, notification switchover.Notification) (
	complete switchover.Notification, err error) {
	return complete, c.call(ctx, http.MethodPost, "/switch", notification, &complete)
}

// NotifyPeer sends notifications as a peer does.
func (c *Client) NotifyPeer(ctx context.Context, all []switchover.Notification) error {
	return c.call(ctx, http.MethodPost, "/switch/told", all, nil)
}

// Status returns the changes of primaries that the driver knows.
func (c *Client) Status(ctx context.Context) (all []switchover.ChangeStatus, err error) {
	return all, c.call(ctx, http.MethodGet, "/switch", nil, &all)
}
