package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// Under a long queue, a connection must go to a request that has time left for an answer. If it goes to the oldest
// request, whose deadline passes before the answer, every connection is closed and no request is ever answered. After a
// power loss a proxy stayed in this state for fifteen seconds.
func TestConnectionsGoToRequestsWithTimeLeft(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	p := newProxy(ctx, &settings.Settings{Zone: "z"}, events.Discard())
	p.startedAt = time.Now().Add(-time.Minute)
	r := p.router
	g := r.group("s")
	g.routing.UpdateMember(directory.Member{ID: "a", Service: "s", Zone: "z", Role: directory.RolePrimary, Incarnation: 1,
		Seq: 1}, p.now())
	primary := g.routing.Members["a"]
	for range 50 { // the typical latency is 100 ms
		now := p.now()
		g.routing.RecordSend(primary, now-100, false)
		g.routing.RecordOutcome(primary, now-100, now, group.AnsweredAsPrimary, wire.Position{Term: 1, Number: 1})
	}
	g.pool("a").open = r.connShare(g) // no dial is allowed
	var requests []*connRequest
	for _, timeLeft := range []float64{60, 110, 700} {
		request := &connRequest{requirement: group.Requirement{Write: true}, startedAt: p.now() + timeLeft - 1000,
			deadline: p.now() + timeLeft, reply: make(chan connCheckout, 1)}
		requests = append(requests, request)
		r.enqueue("s", request)
	}
	proxyEnd, memberEnd := net.Pipe()
	defer memberEnd.Close()
	r.poolOrClose(g, primary, &memberConn{Conn: &memberconn.Conn{NetConn: proxyEnd, Reader: wire.NewReader(proxyEnd)}})
	r.dispatch(g)
	for i, request := range requests {
		select {
		case checkout := <-request.reply:
			if (checkout.err == nil) != (i == 2) {
				t.Errorf("request %d: %v", i, checkout.err)
			}
		default:
			t.Errorf("request %d still waits", i)
		}
	}
}
