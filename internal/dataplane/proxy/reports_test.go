package proxy

import (
	"encoding/binary"
	"fmt"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/util/transport"
)

// singleConnListener is a listener that accepts a single connection.
type singleConnListener struct {
	net.Listener
	conns chan net.Conn
}

func (l singleConnListener) Accept() (net.Conn, error) {
	if c, ok := <-l.conns; ok {
		return c, nil
	}
	return nil, net.ErrClosed
}

// connectAgent connects the proxy to an agent that records the bytes that it receives, in hexadecimal with their time.
func (x *transcript) connectAgent() *[]string {
	proxyEnd, agentEnd := net.Pipe()
	listener := singleConnListener{conns: make(chan net.Conn, 1)}
	listener.conns <- proxyEnd
	close(listener.conns)
	connected := make(chan struct{})
	go transport.Serve(listener, 0, func(l *transport.Link[controlmsg.Frame]) {
		x.proxy.agent.Store(l)
		close(connected)
	}, func(*transport.Link[controlmsg.Frame], *controlmsg.Frame) {}, func(*transport.Link[controlmsg.Frame]) {})
	<-connected
	frames := &[]string{}
	x.memberEnds = append(x.memberEnds, agentEnd)
	go func() {
		buffer := make([]byte, 4096)
		for {
			n, err := agentEnd.Read(buffer)
			if err != nil {
				return
			}
			if reports := withoutLeaseRequests(buffer[:n]); len(reports) > 0 {
				x.record(frames, fmt.Sprintf("%.0f %x", x.proxy.now(), reports))
			}
		}
	}()
	return frames
}

// withoutLeaseRequests returns encoded frames without the requests for writer leases, which have a random number.
func withoutLeaseRequests(encoded []byte) (reports []byte) {
	const prefixLength = 4
	for len(encoded) >= prefixLength {
		end := min(prefixLength+int(binary.BigEndian.Uint32(encoded)), len(encoded))
		var frame controlmsg.Frame
		if err := cbor.Unmarshal(encoded[prefixLength:end], &frame); err != nil || frame.WriterLeaseRequest == nil {
			reports = append(reports, encoded[:end]...)
		}
		encoded = encoded[end:]
	}
	return reports
}

// The reports to the agent on a primary that answers late, on one that answers no commit, and on one that is down.
func TestGoldenReports(t *testing.T) {
	var b strings.Builder
	for _, c := range []struct {
		name string
		run  func(x *transcript)
	}{
		{"answers late, then in time", sendQueries(map[string][]string{"FETCH a": {"late"},
			"STORE a 1": {"late"}}, "FETCH a", "STORE a 1", "FETCH b")},
		{"answers no commit", func(x *transcript) {
			x.do(func() {
				g := x.proxy.router.group("s")
				m := g.routing.Members["a"]
				g.routing.RecordSend(m, x.proxy.now(), true)
			})
			time.Sleep(thinkTime)
			for range 90 {
				x.query("FETCH a")
			}
		}},
		{"accepts no connection", func(x *transcript) {
			x.do(func() {
				g := x.proxy.router.group("s")
				g.closeIdle("a")
			})
			x.memberEnds[0].Close()
			time.Sleep(time.Second)
			fmt.Fprint(x.client, "QUERY q1 STORE a 1\r\n")
			line, err := x.replies.ReadMessage()
			fmt.Fprintln(&b, "queued, then:", line, err)
		}},
	} {
		var frames *[]string
		runTranscript(t, "db", func(x *transcript) {
			frames = x.connectAgent()
			c.run(x)
		})
		fmt.Fprintf(&b, "== %s\n%s\n", c.name, strings.Join(*frames, "\n"))
	}
	compareWithGolden(t, "reports.golden", b.String())
}
