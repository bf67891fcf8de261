package transport

import (
	"net"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type testFrame struct {
	Class uint8  `cbor:"1,keyasint,omitempty"`
	Text  string `cbor:"2,keyasint,omitempty"`
}

func (f *testFrame) TrafficClass() uint8 { return f.Class }

// serveOnce gives the address of a listener that answers each frame by the same one, counted into counters.
func serveOnce(t *testing.T, counters *Counters) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go Serve(ln, 0, func(l *Link[testFrame]) { l.CountInto(counters) }, func(l *Link[testFrame], f *testFrame) { l.Send(f) }, func(*Link[testFrame]) {})
	return ln.Addr().String()
}

// exchange sends frames one at a time and gives what came back for each.
func exchange(t *testing.T, addr string, counters *Counters, frames []testFrame) []testFrame {
	t.Helper()
	var back []testFrame
	_ = Dial(addr, 0, 0, func(l *Link[testFrame]) {
		l.CountInto(counters)
		l.Send(&frames[0])
	}, func(l *Link[testFrame], f *testFrame) {
		if back = append(back, *f); len(back) == len(frames) {
			l.Close()
			return
		}
		l.Send(&frames[len(back)])
	})
	return back
}

func TestFramesAreCountedByClassAtBothEnds(t *testing.T) {
	Convey("frames of two classes, one of them beyond the bound", t, func() {
		var client, server Counters
		frames := []testFrame{{Class: 3, Text: "abc"}, {Class: 5}, {Class: 3, Text: "abcdef"}, {Class: 200}}
		back := exchange(t, serveOnce(t, &server), &client, frames)
		So(back, ShouldResemble, frames)

		size := func(f testFrame) uint64 { return uint64(prefixBytes + len(Encode(&f).bytes)) }
		Convey("each end counts frames and bytes by class, both directions", func() {
			So(client.Sent(3), ShouldResemble, Count{Frames: 2, Bytes: size(frames[0]) + size(frames[2])})
			So(client.Sent(5), ShouldResemble, Count{Frames: 1, Bytes: size(frames[1])})
			So(client.Sent(0), ShouldResemble, Count{Frames: 1, Bytes: size(frames[3])})
			for class := range uint8(MaxClasses) {
				So(client.Received(class), ShouldResemble, client.Sent(class))
				So(server.Received(class), ShouldResemble, client.Sent(class))
				So(server.Sent(class), ShouldResemble, client.Sent(class))
			}
		})
	})
}

func TestCountingAllocatesNothing(t *testing.T) {
	var counters Counters
	frame := &testFrame{Class: 3}
	if n := testing.AllocsPerRun(100, func() { counters.received[classOf(frame)].add(10) }); n != 0 {
		t.Errorf("%v allocations a frame", n)
	}
}
