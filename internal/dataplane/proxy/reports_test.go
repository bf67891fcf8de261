package proxy

import (
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

// oneConn is a listener that a single connection comes to.
type oneConn struct {
	net.Listener
	conns chan net.Conn
}

func (l oneConn) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// agent puts a link to an agent that records the frames it is sent, in hex with the moment of each.
func (x *transcript) agent() *[]string {
	here, there := net.Pipe()
	l := oneConn{conns: make(chan net.Conn, 1)}
	l.conns <- here
	close(l.conns)
	up := make(chan struct{})
	go transport.Serve(l, 0, func(l *transport.Link[controlmsg.Frame]) {
		x.p.agent.Store(l)
		close(up)
	}, func(*transport.Link[controlmsg.Frame], *controlmsg.Frame) {}, func(*transport.Link[controlmsg.Frame]) {})
	<-up
	side := &[]string{}
	x.ends = append(x.ends, there)
	go func() {
		b := make([]byte, 4096)
		for {
			n, err := there.Read(b)
			if err != nil {
				return
			}
			x.record(side, fmt.Sprintf("%.0f %x", x.p.now(), b[:n]))
		}
	}()
	return side
}

// What the agent is sent of a primary that owes answers, of one that answers no commit, and of one that is dead.
func TestGoldenReports(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name string
		play func(x *transcript)
	}{
		{"owes an answer, then speaks", queries(map[string][]string{"FETCH a": {"late"},
			"STORE a 1": {"late"}}, "FETCH a", "STORE a 1", "FETCH b")},
		{"answers no commit", func(x *transcript) {
			x.do(func() {
				g := x.p.router.group("s")
				m := g.routing.Members["a"]
				g.routing.RecordSend(m, x.p.now(), true)
			})
			time.Sleep(thinkTime)
			for range 90 {
				x.query("FETCH a")
			}
		}},
		{"takes no connection", func(x *transcript) {
			x.do(func() {
				g := x.p.router.group("s")
				g.closeIdle("a")
			})
			x.ends[0].Close()
			time.Sleep(time.Second)
			fmt.Fprint(x.client, "QUERY q1 STORE a 1\r\n")
			line, err := x.replies.ReadMessage()
			fmt.Fprintln(&b, "held, then:", line, err)
		}},
	} {
		var frames *[]string
		in(t, "db", func(x *transcript) {
			frames = x.agent()
			c.play(x)
		})
		fmt.Fprintf(&b, "== %s\n%s\n", c.name, strings.Join(*frames, "\n"))
	}
	golden(t, "reports.golden", b.String())
}
