package proxy

import (
	"context"
	"encoding/json"
	"net/http"

	"weirwind/internal/util/commandqueue"
)

// status is the response to GET /status. The keys are in alphabetical order.
type status struct {
	Drivers  int                    `json:"drivers"`
	Gen      uint64                 `json:"gen,omitempty"` // version of the configuration
	Groups   map[string]groupStatus `json:"groups"`        // by service
	Sessions int32                  `json:"sessions"`
	Shards   uint64                 `json:"shards,omitempty"` // version of the shard map
}

type groupStatus struct {
	Connections map[string]int `json:"connections"` // open connections by member
	Share       int            `json:"share"`       // connections that this proxy may have to each member
	Slot        string         `json:"slot"`        // id of the primary in the writer slot, "" for none
	Waiting     int            `json:"waiting"`     // queued requests
	Why         string         `json:"why"`         // reason of the slot's last change
}

// routes returns the handler of the HTTP requests from the platform and from operators.
func (p *Proxy) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", p.handleReady)
	mux.Handle("GET /events", p.log)
	mux.HandleFunc("GET /status", p.handleStatus)
	return mux
}

// ready reports whether clients may connect: there is a configuration, and no shutdown has begun.
func (p *Proxy) ready() bool { return p.phase() == serving && p.config.Load() != nil }

func (p *Proxy) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *Proxy) handleStatus(w http.ResponseWriter, r *http.Request) {
	// The request's context ends when the caller closes its sending half, but the caller still waits for the response.
	result, err := commandqueue.Call(context.WithoutCancel(r.Context()), p.router.commands, p.router.status)
	if err != nil {
		return // the process is ending
	}
	result.Sessions = p.clientConns.Load()
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(result) // an error means that the caller is gone
}

// status returns the router's state for operators.
func (r *router) status() status {
	snapshot := status{Drivers: r.driverCount, Groups: map[string]groupStatus{}, Shards: r.shards.table.Version()}
	if r.config != nil {
		snapshot.Gen = r.config.Version
	}
	for service, g := range r.groups {
		conns := map[string]int{}
		for id, pool := range g.pools {
			conns[id] = pool.open
		}
		snapshot.Groups[service] = groupStatus{Connections: conns, Share: r.connShare(g), Slot: g.routing.Slot.Holder,
			Waiting: g.queue.len(), Why: g.routing.SlotReason}
	}
	return snapshot
}
