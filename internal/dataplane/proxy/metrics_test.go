package proxy

import (
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

// A proxy's figures are those of its groups: slot, queue, connections, how requests ended. Their labels are services,
// members, states and outcomes alone.
func TestProxiesTellTheirFigures(t *testing.T) {
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
	lent := lentConn{group: g, member: g.routing.Members["a"]}
	p.router.recordOutcome(&lent, p.now(), group.AnsweredAsPrimary, wire.Position{})
	g.figures.queueWait.Observe(0.002)
	g.queue.max = 0
	request := &connRequest{reply: make(chan lentConn, 1)}
	p.router.enqueue("orders", request) // finds the queue full
	go p.router.run()
	w := httptest.NewRecorder()
	metrics.Handler(p.figures).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
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
			t.Errorf("%q is not in\n%s", line, w.Body)
		}
	}
}
