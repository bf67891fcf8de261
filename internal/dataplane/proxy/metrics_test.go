package proxy

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/metrics"
	"weirwind/internal/util/settings"
)

// A proxy exports metrics of its groups: slot, queue, connections and outcomes of requests. Their labels are only
// services, members, states, reasons and outcomes.
func TestProxyMetrics(t *testing.T) {
	p := newProxy(t.Context(), &settings.Settings{Zone: "z", MemoryMB: 8}, events.Discard())
	g := p.router.group("orders")
	for _, m := range []directory.Member{
		{ID: "a", Service: "orders", Role: directory.RolePrimary, Incarnation: 1, Seq: 1},
		{ID: "b", Service: "orders", Role: directory.RoleReplica, Incarnation: 1, Seq: 1},
	} {
		g.routing.UpdateMember(m, p.now())
	}
	p.router.logSlot(g)
	g.pool("a").open, g.pool("a").dialing = 3, 1
	checkout := connCheckout{group: g, member: g.routing.Members["a"]}
	p.router.recordOutcome(&checkout, p.now(), group.AnsweredAsPrimary, wire.Position{})
	g.metrics.queueWait.Observe(0.002)
	g.queue.max = 0
	request := &connRequest{reply: make(chan connCheckout, 1)}
	p.router.enqueue("orders", request) // is rejected, as the queue is full
	go p.router.run()
	w := httptest.NewRecorder()
	metrics.Handler(p.writeMetrics).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, line := range []string{
		`weirwind_proxy_ready 0`,
		`weirwind_proxy_slot_filled{service="orders"} 1`,
		`weirwind_proxy_queue_wait_seconds_count{service="orders"} 1`,
		`weirwind_proxy_connections{member="a",service="orders",state="dialing"} 1`,
		`weirwind_proxy_connections{member="a",service="orders",state="lent"} 2`,
		`weirwind_proxy_member_ejected{member="b",service="orders"} 0`,
		`weirwind_proxy_attempts_total{outcome="answered_as_primary",service="orders"} 1`,
		`weirwind_proxy_attempts_total{outcome="connect_failed",service="orders"} 0`,
		`weirwind_proxy_rejected_requests_total{reason="queue_full",service="orders"} 1`,
		`weirwind_events_total{event="E501"} 1`,
	} {
		if !strings.Contains(w.Body.String(), "\n"+line+"\n") {
			t.Errorf("%q is missing in\n%s", line, w.Body)
		}
	}
}

// BenchmarkMetricsOfThirtyServices measures one scrape of a proxy with thirty services of three members each.
func BenchmarkMetricsOfThirtyServices(b *testing.B) {
	p := newProxy(b.Context(), &settings.Settings{Zone: "z", MemoryMB: 8}, events.Discard())
	for n := range 30 {
		service := fmt.Sprint("service", n)
		for id := range 3 {
			m := directory.Member{ID: fmt.Sprint(service, "-", id), Service: service, Incarnation: 1, Seq: 1}
			p.router.group(service).routing.UpdateMember(m, 0)
		}
	}
	go p.router.run()
	handler := metrics.Handler(p.writeMetrics)
	b.ReportAllocs()
	for b.Loop() {
		w := httptest.NewRecorder()
		handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
		b.SetBytes(int64(w.Body.Len()))
	}
}
