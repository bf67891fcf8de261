package transport

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"math/rand/v2"
	"net"
	"strings"
	"syscall"
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

type testFrame struct {
	Class uint8  `cbor:"1,keyasint,omitempty"`
	Text  string `cbor:"2,keyasint,omitempty"`
}

func (f *testFrame) TrafficClass() uint8 { return f.Class }

// serveEcho returns the address of a listener that echoes each frame, and counts frames in counters.
func serveEcho(t *testing.T, counters *Counters) string {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	go Serve(ln, 0, func(l *Link[testFrame]) {
		l.SetCounters(counters)
		l.EnableCompression()
	}, func(l *Link[testFrame], f *testFrame) { l.Send(f) }, func(*Link[testFrame]) {})
	return ln.Addr().String()
}

// exchange sends frames one at a time and returns the replies.
func exchange(t *testing.T, addr string, counters *Counters, frames []testFrame) []testFrame {
	t.Helper()
	var back []testFrame
	_ = Dial(addr, 0, 0, func(l *Link[testFrame]) {
		l.SetCounters(counters)
		l.EnableCompression()
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
		back := exchange(t, serveEcho(t, &server), &client, frames)
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

func TestLongFramesAreCompressed(t *testing.T) {
	noise := make([]byte, 3*compressAbove)
	for i := range noise {
		noise[i] = byte(' ' + rand.IntN(90))
	}
	Convey("a short frame, a long compressible one, and a long incompressible one", t, func() {
		frames := []testFrame{
			{Class: 1, Text: strings.Repeat("a", compressAbove/2)},
			{Class: 2, Text: strings.Repeat(`"type":"primary",`, 4000)},
			{Class: 3, Text: string(noise)},
		}
		var client, server Counters
		So(exchange(t, serveEcho(t, &server), &client, frames), ShouldResemble, frames)
		So(client.Sent(1).Bytes, ShouldEqual, prefixBytes+len(Encode(&frames[0]).bytes))
		So(client.Sent(2).Bytes, ShouldBeLessThan, len(frames[1].Text)/10)
		So(client.Sent(3).Bytes, ShouldBeLessThanOrEqualTo, prefixBytes+len(Encode(&frames[2]).bytes))
		So(server.Received(2), ShouldResemble, client.Sent(2))
	})
	Convey("a frame that is sent on many links is compressed once", t, func() {
		e := Encode(&testFrame{Text: strings.Repeat("abc", compressAbove)})
		first, second := e.wire(true), e.wire(true)
		So(&first.bytes[0], ShouldEqual, &second.bytes[0])
		So(e.wire(false).prefix, ShouldEqual, len(e.bytes))
	})
	Convey("a link whose peer has not announced support for compression", t, func() {
		frame := testFrame{Class: 2, Text: strings.Repeat("abc", compressAbove)}
		addr, counters, back := serveEcho(t, &Counters{}), Counters{}, testFrame{}
		_ = Dial(addr, 0, 0, func(l *Link[testFrame]) {
			l.SetCounters(&counters)
			l.Send(&frame)
		}, func(l *Link[testFrame], f *testFrame) {
			back = *f
			l.Close()
		})
		So(back, ShouldResemble, frame)
		So(counters.Sent(2).Bytes, ShouldEqual, prefixBytes+len(Encode(&frame).bytes))
	})
}

// A compressed frame that would decompress to more than maxFrameBytes, or that is not valid DEFLATE, ends the link.
func TestBadCompressedFramesEndTheLink(t *testing.T) {
	bomb := (&compressed{}).form(bytes.Repeat([]byte{0}, maxFrameBytes+1))
	Convey("frames that must be rejected", t, func() {
		for name, frame := range map[string][]byte{
			"longer than a frame": bomb,
			"no compressed frame": []byte("not deflated"),
			"cut short":           bomb[:len(bomb)/2],
		} {
			Convey(name, func() {
				ours, theirs := net.Pipe()
				go func() {
					theirs.Write(append(binary.BigEndian.AppendUint32(nil, uint32(len(frame))|compressedFlag), frame...))
					theirs.Close()
				}()
				taken := 0
				err := start[testFrame](ours, "pipe").read(0, func(*testFrame) { taken++ })
				So(err, ShouldNotBeNil)
				So(taken, ShouldEqual, 0)
			})
		}
	})
}

// A peer that reads nothing is disconnected once the queue is full, which bounds the memory of its frames.
func TestAPeerThatDoesNotReadLosesItsLink(t *testing.T) {
	ours, theirs := net.Pipe()
	t.Cleanup(func() { theirs.Close() })
	l := start[testFrame](ours, "pipe")
	sent := 0
	for l.Send(&testFrame{Text: "abc"}) {
		if sent++; sent > 2*maxQueuedFrames { // the writer may have dequeued a full queue once, and is blocked writing it
			t.Fatal("the link is still up")
		}
	}
	<-l.Done()
	if l.Up() || l.Send(&testFrame{}) {
		t.Error("a frame was accepted after the link's end")
	}
}

// An error names the step and the peer, and its cause is found by errors.Is.
func TestErrorsNameStepAndPeer(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := ln.Addr().String()
	go func() {
		if c, err := ln.Accept(); err == nil {
			c.Close()
		}
	}()
	ignoreLink := func(*Link[testFrame]) {}
	ignoreFrame := func(*Link[testFrame], *testFrame) {}
	ended := Dial(addr, 0, 0, ignoreLink, ignoreFrame)
	ln.Close()
	refused := Dial(addr, 0, 0, ignoreLink, ignoreFrame)
	for _, c := range []struct {
		err   error
		step  Step
		cause error
	}{{ended, StepRead, io.EOF}, {refused, StepDial, syscall.ECONNREFUSED}} {
		var e *Error
		if !errors.As(c.err, &e) || e.Step != c.step || e.Peer != addr || !errors.Is(c.err, c.cause) {
			t.Errorf("%v: want step %s, peer %s, cause %v", c.err, c.step, addr, c.cause)
		}
	}
}

func TestCountingAllocatesNothing(t *testing.T) {
	var counters Counters
	frame := &testFrame{Class: 3}
	if n := testing.AllocsPerRun(100, func() { counters.received[classOf(frame)].add(10) }); n != 0 {
		t.Errorf("%v allocations a frame", n)
	}
}
