// Package transport carries frames between the system's own processes.
//
// This file owns sockets and the form of frames: CBOR behind four bytes of length, compressed where they are long. It decides nothing; what a frame says is its
// users'. A peer that doesn't read loses its link, never anybody's memory; a peer that goes dark loses it after SetUserTimeout.
package transport

import (
	"context"
	"encoding/binary"
	"errors"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/oops"
)

const (
	maxFrameBytes    = 8 << 20
	maxQueuedFrames  = 512                    // frames that wait to be written
	maxQueuedBytes   = 4 << 20                // and their bytes, beyond the first
	prefixBytes      = 4                      // of the length before each frame
	firstDialTimeout = 250 * time.Millisecond // of a first try: one whose packet was lost, or whose peer just starts, is begun anew
	maxDialTimeout   = 1500 * time.Millisecond
)

// Link is a connection over which frames of one type go both ways.
type Link[F any] struct {
	Peer     string // address that was dialled, or that it came from
	c        net.Conn
	counters *Counters
	deflates atomic.Bool // long frames are sent compressed: the peer said that it reads them
	mu       sync.Mutex
	wake     chan struct{}
	out      []wireFrame
	size     int
	done     chan struct{}
	once     sync.Once
}

// wireFrame is a frame as it is written: its length prefix and its bytes.
type wireFrame struct {
	prefix uint32
	bytes  []byte
}

// Encoded is a frame's bytes with its class, for a frame that goes to many.
type Encoded struct {
	bytes      []byte
	class      uint8
	compressed *compressed // nil: it is short
}

// Encode makes a frame's bytes. A frame that can't be encoded gives none, and is not sent.
func Encode[F any](f *F) Encoded {
	b, err := cbor.Marshal(f)
	if err != nil {
		return Encoded{}
	}
	e := Encoded{bytes: b, class: classOf(f)}
	if len(b) > compressAbove {
		e.compressed = &compressed{}
	}
	return e
}

// wire gives a frame's form on a link.
func (e Encoded) wire(deflate bool) wireFrame {
	if e.compressed != nil && deflate {
		if short := e.compressed.of(e.bytes); short != nil {
			return wireFrame{uint32(len(short)) | compressedFlag, short}
		}
	}
	return wireFrame{uint32(len(e.bytes)), e.bytes}
}

// EnableCompression has long frames sent compressed from now on. It is for links whose peer has said that it reads them; one of an earlier
// version would end the link. On one machine bytes cost less than compressing them.
func (l *Link[F]) EnableCompression() { l.deflates.Store(true) }

// SetCounters has the link's frames counted. It may be called only before the link's first frame: in the up callback.
func (l *Link[F]) SetCounters(c *Counters) { l.counters = c }

// Send queues a frame. False: the link is down.
func (l *Link[F]) Send(f *F) bool { return l.SendEncoded(Encode(f)) }

// SendEncoded queues a frame that Encode made. False: the link is down, or there are no bytes.
func (l *Link[F]) SendEncoded(e Encoded) bool {
	if len(e.bytes) == 0 {
		return false
	}
	frame := e.wire(l.deflates.Load())
	l.mu.Lock()
	full := len(l.out) >= maxQueuedFrames || l.size > maxQueuedBytes
	if !full {
		l.out = append(l.out, frame)
		l.size += len(frame.bytes)
	}
	l.mu.Unlock()
	if full {
		l.Close()
		return false
	}
	if l.counters != nil {
		l.counters.sent[e.class].add(prefixBytes + len(frame.bytes))
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// Close ends the link.
func (l *Link[F]) Close() {
	l.once.Do(func() {
		close(l.done)
		l.c.Close()
	})
}

// Up says that the link has not ended, as far as this end knows.
func (l *Link[F]) Up() bool {
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// Done is closed when the link has ended.
func (l *Link[F]) Done() <-chan struct{} { return l.done }

// SetUserTimeout sets how long a peer may leave bytes unacknowledged before the kernel gives the connection up.
func SetUserTimeout(c net.Conn, after time.Duration) {
	t, ok := c.(*net.TCPConn)
	if !ok {
		return
	}
	if raw, err := t.SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) {
			_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, 18 /* TCP_USER_TIMEOUT */, int(after.Milliseconds()))
		})
	}
}

func start[F any](c net.Conn, peer string) *Link[F] {
	l := &Link[F]{Peer: peer, c: c, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go l.write()
	return l
}

func (l *Link[F]) write() {
	defer l.Close()
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		}
		l.mu.Lock()
		out := l.out
		l.out, l.size = nil, 0
		l.mu.Unlock()
		if len(out) == 0 {
			continue
		}
		var all []byte
		for _, frame := range out {
			all = append(binary.BigEndian.AppendUint32(all, frame.prefix), frame.bytes...)
		}
		l.c.SetWriteDeadline(time.Now().Add(10 * time.Second))
		if _, err := l.c.Write(all); err != nil {
			return
		}
	}
}

// read hands frames on until the link ends; idle is how long nothing may come (0: for ever).
func (l *Link[F]) read(idle time.Duration, take func(*F)) error {
	defer l.Close()
	var head [prefixBytes]byte
	for {
		if idle > 0 {
			l.c.SetReadDeadline(time.Now().Add(idle))
		}
		if _, err := io.ReadFull(l.c, head[:]); err != nil {
			return err
		}
		prefix := binary.BigEndian.Uint32(head[:])
		n := prefix &^ compressedFlag
		if n > maxFrameBytes {
			return errFrameTooLong
		}
		b := make([]byte, n)
		if _, err := io.ReadFull(l.c, b); err != nil {
			return err
		}
		if prefix&compressedFlag != 0 {
			whole, err := decompress(b)
			if err != nil {
				return err
			}
			b = whole
		}
		f := new(F)
		if err := cbor.Unmarshal(b, f); err != nil {
			return err
		}
		if l.counters != nil {
			l.counters.received[classOf(f)].add(prefixBytes + int(n))
		}
		take(f)
	}
}

// Serve takes links at a listener until it is closed. up is told of each before its frames come, down when it has ended.
func Serve[F any](ln net.Listener, idle time.Duration, up func(*Link[F]), take func(*Link[F], *F), down func(*Link[F])) {
	for {
		c, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(20 * time.Millisecond)
			continue
		}
		go func() {
			SetUserTimeout(c, 3*time.Second)
			l := start[F](c, c.RemoteAddr().String())
			up(l)
			_ = l.read(idle, func(f *F) { take(l, f) })
			down(l)
		}()
	}
}

// DialTimeout is how long the nth try to reach a peer may take.
func DialTimeout(nth int) time.Duration { return min(firstDialTimeout<<min(nth, 8), maxDialTimeout) }

// Dial makes one link and reads it until it ends; wait bounds its making. up is told when it stands.
func Dial[F any](addr string, wait, idle time.Duration, up func(*Link[F]), take func(*Link[F], *F)) error {
	c, err := net.DialTimeout("tcp4", addr, wait)
	if err != nil {
		return oops.In("link").With("peer", addr).Wrapf(err, "dial")
	}
	SetUserTimeout(c, 3*time.Second)
	l := start[F](c, addr)
	up(l)
	err = l.read(idle, func(f *F) { take(l, f) })
	return oops.In("link").With("peer", addr).Wrapf(err, "read")
}

// Backoff says when a link is made anew: behind one that stood after First, then after twice as long each time, up to Most. DialTimeout
// is how long the nth try may take.
type Backoff struct {
	Initial, Max time.Duration
	DialTimeout  func(nth int) time.Duration
}

// KeepConnected keeps a link to a peer until ctx ends, between two tries. up is told of each that stands, down when it has ended.
func KeepConnected[F any](ctx context.Context, addr string, again Backoff, up func(*Link[F]), take func(*Link[F], *F), down func()) {
	pause := again.Initial
	for nth := 0; ctx.Err() == nil; nth++ {
		stood := false
		_ = Dial(addr, again.DialTimeout(nth), 0, func(l *Link[F]) {
			stood, pause, nth = true, again.Initial, 0
			up(l)
		}, take)
		if stood {
			down()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, again.Max)
	}
}
