package proxy

import (
	"context"
	"net"
	"testing"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// Where many wait, a connection goes to one that still has time for an answer: given to the oldest, whose time runs out under
// way, each would be closed unused, and a driver would never serve again (seen for fifteen seconds after power was lost).
func TestConnectionsGoToWhoHasTimeLeft(t *testing.T) {
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	p := &Proxy{set: &settings.Settings{Zone: "z"}, log: events.Nothing(), ctx: ctx, start: time.Now().Add(-time.Minute)}
	d := newDesk(p)
	g := d.group("s")
	g.g.UpdateMember(directory.Member{ID: "a", Service: "s", Zone: "z", Role: directory.RolePrimary, Incarnation: 1, Seq: 1}, p.now())
	a := g.g.Members["a"]
	for range 50 { // answers take 100 ms of late
		now := p.now()
		g.g.RecordSend(a, now-100, false)
		g.g.RecordOutcome(a, now-100, now, group.AnsweredAsPrimary, wire.Position{Term: 1, Number: 1})
	}
	g.pool("a").open = d.share(g) // none can be made
	var waiters []*waiter
	for _, left := range []float64{60, 110, 700} {
		w := &waiter{need: group.Requirement{Write: true}, at: p.now() + left - 1000, until: p.now() + left, reply: make(chan grant, 1)}
		waiters = append(waiters, w)
		d.want("s", w)
	}
	here, there := net.Pipe()
	defer there.Close()
	d.rest(g, a, &conn{Conn: &memberconn.Conn{NetConn: here, Reader: wire.NewReader(here)}})
	d.pump(g)
	for i, w := range waiters {
		select {
		case gr := <-w.reply:
			if (gr.fail == "") != (i == 2) {
				t.Errorf("waiter %d: %q", i, gr.fail)
			}
		default:
			t.Errorf("waiter %d waits on", i)
		}
	}
}
