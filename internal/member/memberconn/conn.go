package memberconn

import (
	"net"
	"syscall"

	"weirwind/internal/member/wire"
)

// Conn is a connection to a member, with a session open on it.
type Conn struct {
	NetConn  net.Conn
	Reader   *wire.Reader
	Position wire.Position // of the member's log, by its latest reply that reported one

	// pendingReplies has an element for each query that was written and has no complete reply, in order: whether it is
	// one of the system's own, whose reply bears no stamp.
	pendingReplies []bool
	// broken: it is not known any more which query the next bytes belong to. It stays set.
	broken bool
}

// Close ends the connection. The member rolls back a transaction that is open on it.
func (c *Conn) Close() { c.NetConn.Close() }

// Abort ends the connection with a reset: what was written and has not left this machine yet is discarded, so that a
// statement that is given up arrives no later than what is on its way already.
func (c *Conn) Abort() {
	if tcp, ok := c.NetConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // a connection that has ended sends nothing either
	}
	c.NetConn.Close()
}

// Reusable reports whether the connection may carry another batch: no reply is pending, and nothing was received that
// nobody asked for.
func (c *Conn) Reusable() bool {
	return !c.broken && len(c.pendingReplies) == 0 && c.Reader.Buffered() == 0
}

// Alive reports, without blocking, whether the peer has neither ended the connection nor sent anything.
func (c *Conn) Alive() bool {
	tcp, ok := c.NetConn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	var b [1]byte
	_ = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
	})
	return alive && c.Reader.Buffered() == 0
}
