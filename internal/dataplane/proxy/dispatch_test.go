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

// Where many wait, a connection goes to one that still has time for an answer: given to the oldest, whose deadline
// passes under way, each would be closed unused, and a proxy would never serve again (seen for fifteen seconds
// after power was lost).
func TestConnectionsGoToRequestsWithTimeLeft(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	p := newProxy(ctx, &settings.Settings{Zone: "z"}, events.Discard())
	p.startedAt = time.Now().Add(-time.Minute)
	r := p.router
	g := r.group("s")
	g.routing.UpdateMember(directory.Member{ID: "a", Service: "s", Zone: "z", Role: directory.RolePrimary, Incarnation: 1,
		Seq: 1}, p.now())
	a := g.routing.Members["a"]
	for range 50 { // answers take 100 ms of late
		now := p.now()
		g.routing.RecordSend(a, now-100, false)
		g.routing.RecordOutcome(a, now-100, now, group.AnsweredAsPrimary, wire.Position{Term: 1, Number: 1})
	}
	g.pool("a").open = r.connShare(g) // none can be made
	var requests []*connRequest
	for _, left := range []float64{60, 110, 700} {
		request := &connRequest{requirement: group.Requirement{Write: true}, startedAt: p.now() + left - 1000,
			deadline: p.now() + left, reply: make(chan lentConn, 1)}
		requests = append(requests, request)
		r.enqueue("s", request)
	}
	here, there := net.Pipe()
	defer there.Close()
	r.poolOrClose(g, a, &memberConn{Conn: &memberconn.Conn{NetConn: here, Reader: wire.NewReader(here)}})
	r.dispatch(g)
	for i, request := range requests {
		select {
		case c := <-request.reply:
			if (c.err == nil) != (i == 2) {
				t.Errorf("request %d: %v", i, c.err)
			}
		default:
			t.Errorf("request %d waits on", i)
		}
	}
}
