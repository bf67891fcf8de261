package controlmsg

import (
	"net"
	"strings"
	"testing"

	"weirwind/internal/util/transport"
)

// A peer whose Hello accepts compressed frames is sent them; one of an earlier version, whose Hello lacks the field, is
// sent long frames uncompressed. The second case fails if compression is enabled at every Hello.
func TestOnlyPeersThatAcceptCompressionAreSentCompressedFrames(t *testing.T) {
	long := &Frame{Update: &StateUpdate{ConfigVersion: 1, Config: []byte(strings.Repeat(`"type":"primary",`, 1000))}}
	for _, hello := range []*Frame{NewHello("agent", "a", "addr"),
		{Hello: &Hello{Kind: "agent", Name: "a", Addr: "addr"}}} {
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
			l.Send(hello)
		}, func(l *transport.Link[Frame], f *Frame) {
			if f.Update != nil {
				l.Close()
			}
		})
		ln.Close()
		bytes := got.Received(long.TrafficClass()).Bytes
		if compressed := bytes < uint64(len(long.Update.Config)); compressed != hello.Hello.AcceptsCompressed {
			t.Errorf("AcceptsCompressed %v: %d bytes arrived", hello.Hello.AcceptsCompressed, bytes)
		}
	}
}
