package controlmsg

import (
	"net"
	"strings"
	"testing"

	"weirwind/internal/util/transport"
)

// A peer that says that it reads compressed frames is sent them; one of an earlier version, whose Hello says nothing
// of them, is sent long frames as they are. It fails for the second with Compress called at every Hello.
func TestOnlyPeersThatReadThemAreSentCompressedFrames(t *testing.T) {
	long := &Frame{Update: &StateUpdate{ConfigVersion: 1, Config: []byte(strings.Repeat(`"type":"primary",`, 1000))}}
	for _, h := range []*Frame{NewHello("agent", "a", "addr"), {Hello: &Hello{Kind: "agent", Name: "a", Addr: "addr"}}} {
		ln, err := net.Listen("tcp4", "127.0.0.1:0")
		if err != nil {
			t.Fatal(err)
		}
		go transport.Serve(ln, 0, func(*transport.Link[Frame]) {}, func(l *transport.Link[Frame], f *Frame) {
			HandleHello(l, f.Hello)
			l.Send(long)
		}, func(*transport.Link[Frame]) {})
		var got transport.Counters
		_ = transport.Dial(ln.Addr().String(), 0, 0, func(l *transport.Link[Frame]) {
			l.SetCounters(&got)
			l.Send(h)
		}, func(l *transport.Link[Frame], f *Frame) {
			if f.Update != nil {
				l.Close()
			}
		})
		ln.Close()
		bytes := got.Received(long.TrafficClass()).Bytes
		if compressed := bytes < uint64(len(long.Update.Config)); compressed != h.Hello.AcceptsCompressed {
			t.Errorf("deflate %v: %d bytes came", h.Hello.AcceptsCompressed, bytes)
		}
	}
}
