package transport

// This file has a link's sending half (its queue of frames and its writer) and its close.

import (
	"encoding/binary"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	maxQueuedFrames = 512              // frames in the queue of unwritten frames
	maxQueuedBytes  = 4 << 20          // their bytes, without the newest frame's
	writeTimeout    = 10 * time.Second // for one write of all queued frames
	userTimeout     = 3 * time.Second  // unacknowledged bytes end a link after this

	tcpUserTimeout = 18 // TCP_USER_TIMEOUT of <linux/tcp.h>, which package syscall lacks
)

// Link is a connection over which frames of one type are sent both ways. Its methods may be called from any goroutine.
type Link[Frame any] struct {
	Peer string // remote address: the one that was dialled, or that the connection came from

	conn       net.Conn
	counters   *Counters   // nil if frames are not counted; set before the first frame
	compresses atomic.Bool // whether long frames are sent compressed, as the peer has announced support

	mu          sync.Mutex
	queue       []wireFrame // frames that the writer has not dequeued yet, oldest first
	queuedBytes int         // sum of the queue's lengths, without prefixes

	wake      chan struct{} // has capacity for one: the queue is not empty
	done      chan struct{} // closed at the link's end
	closeOnce sync.Once
}

// start returns a link over a connection and starts its writer, which ends with the link. The caller runs the reader,
// with read.
func start[Frame any](conn net.Conn, peer string) *Link[Frame] {
	l := &Link[Frame]{Peer: peer, conn: conn, wake: make(chan struct{}, 1), done: make(chan struct{})}
	go l.write()
	return l
}

// EnableCompression enables compression of long frames from now on. It is for links whose peer has announced support; a
// peer of an earlier version would close the link. Within one machine, sending the bytes costs less than compressing
// them.
func (l *Link[Frame]) EnableCompression() { l.compresses.Store(true) }

// SetCounters sets the counters of the link's frames. It may be called only before the link's first frame, in the onUp
// callback.
func (l *Link[Frame]) SetCounters(counters *Counters) { l.counters = counters }

// Send queues a frame. It returns false if the link is down, or if its queue is full, which closes the link.
func (l *Link[Frame]) Send(frame *Frame) bool { return l.SendEncoded(Encode(frame)) }

// SendEncoded queues a frame that Encode returned. It returns false if the frame is empty, if the link is down, or if
// its queue is full, which closes the link.
func (l *Link[Frame]) SendEncoded(encoded Encoded) bool {
	if len(encoded.bytes) == 0 {
		return false
	}
	frame := encoded.wire(l.compresses.Load())
	if !l.enqueue(frame) {
		l.Close()
		return false
	}
	if l.counters != nil {
		l.counters.sent[encoded.class].add(prefixBytes + len(frame.bytes))
	}
	select {
	case l.wake <- struct{}{}:
	default:
	}
	return l.Up()
}

// enqueue adds a frame for the writer. It returns false if the queue is full.
func (l *Link[Frame]) enqueue(frame wireFrame) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.queue) >= maxQueuedFrames || l.queuedBytes > maxQueuedBytes {
		return false
	}
	l.queue = append(l.queue, frame)
	l.queuedBytes += len(frame.bytes)
	return true
}

// dequeue removes and returns all queued frames.
func (l *Link[Frame]) dequeue() []wireFrame {
	l.mu.Lock()
	defer l.mu.Unlock()
	frames := l.queue
	l.queue, l.queuedBytes = nil, 0
	return frames
}

// write sends queued frames until the link ends, all pending ones in one write.
func (l *Link[Frame]) write() {
	defer l.Close()
	for {
		select {
		case <-l.done:
			return
		case <-l.wake:
		}
		frames := l.dequeue()
		if len(frames) == 0 {
			continue
		}
		var batch []byte
		for _, frame := range frames {
			batch = append(binary.BigEndian.AppendUint32(batch, frame.prefix), frame.bytes...)
		}
		_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout)) // fails only on a closed connection, as the write then does
		if _, err := l.conn.Write(batch); err != nil {
			return
		}
	}
}

// Close ends the link and both of its goroutines. Queued frames are lost.
func (l *Link[Frame]) Close() {
	l.closeOnce.Do(func() {
		close(l.done)
		_ = l.conn.Close()
	})
}

// Up reports whether the link is open, as far as this end knows.
func (l *Link[Frame]) Up() bool {
	select {
	case <-l.done:
		return false
	default:
		return true
	}
}

// Done returns a channel that is closed when the link has ended.
func (l *Link[Frame]) Done() <-chan struct{} { return l.done }

// SetUserTimeout sets how long a peer may leave bytes unacknowledged before the kernel closes the connection.
func SetUserTimeout(conn net.Conn, after time.Duration) {
	tcp, ok := conn.(*net.TCPConn)
	if !ok {
		return
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) {
		_ = syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, tcpUserTimeout, int(after.Milliseconds()))
	})
}
