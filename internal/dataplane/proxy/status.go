package proxy

import (
	"context"
	"encoding/json"
	"net/http"

	"weirwind/internal/util/commandqueue"
)

// status is the answer to GET /status. Its keys are in alphabetical order.
type status struct {
	Drivers  int                    `json:"drivers"`
	Gen      uint64                 `json:"gen,omitempty"` // of the configuration
	Groups   map[string]groupStatus `json:"groups"`        // by service
	Sessions int32                  `json:"sessions"`
	Shards   uint64                 `json:"shards,omitempty"` // version of the shard map
}

type groupStatus struct {
	Connections map[string]int `json:"connections"` // by member
	Share       int            `json:"share"`       // connections that may be open to each member
	Slot        string         `json:"slot"`        // the primary's id, "" for none
	Waiting     int            `json:"waiting"`     // requests in the queue
	Why         string         `json:"why"`         // of the slot's last change
}

// routes are the calls of the platform and of operators.
func (p *Proxy) routes() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", p.handleReady)
	mux.Handle("GET /events", p.log)
	mux.HandleFunc("GET /status", p.handleStatus)
	return mux
}

// ready says whether clients may come: there is a configuration, and no shutdown has begun.
func (p *Proxy) ready() bool { return p.phase() == serving && p.config.Load() != nil }

func (p *Proxy) handleReady(w http.ResponseWriter, _ *http.Request) {
	if !p.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

func (p *Proxy) handleStatus(w http.ResponseWriter, r *http.Request) {
	// The request's context would end as soon as the caller closes its sending half, and it still waits then.
	all, err := commandqueue.Call(context.WithoutCancel(r.Context()), p.router.commands, p.router.status)
	if err != nil {
		return // the process ends
	}
	all.Sessions = p.clientConns.Load()
	e := json.NewEncoder(w)
	e.SetIndent("", "  ")
	_ = e.Encode(all) // the caller may be gone
}

// status is what the router knows, for operators.
func (r *router) status() status {
	all := status{Drivers: r.driverCount, Groups: map[string]groupStatus{}, Shards: r.shards.table.Version()}
	if r.config != nil {
		all.Gen = r.config.Version
	}
	for service, g := range r.groups {
		conns := map[string]int{}
		for id, pool := range g.pools {
			conns[id] = pool.open
		}
		all.Groups[service] = groupStatus{Connections: conns, Share: r.connShare(g), Slot: g.routing.Slot.Holder,
			Waiting: g.queue.len(), Why: g.routing.SlotReason}
	}
	return all
}
