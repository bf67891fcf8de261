package memberconn

import (
	"net"
	"syscall"

	"weirwind/internal/member/wire"
)

// Conn is a connection to a member with an open session.
type Conn struct {
	NetConn  net.Conn
	Reader   *wire.Reader
	Position wire.Position // the end of the member's log, by the latest reply with a position

	// pendingReplies has one element for each written query without a complete reply, in order. The element is true for
	// an internal query, whose reply bears no stamp.
	pendingReplies []bool
	// broken means that the next bytes can't be assigned to a query any more. It is never reset.
	broken bool
}

// Close closes the connection. The member rolls back a transaction that is open on it.
func (c *Conn) Close() { c.NetConn.Close() }

// Abort resets the connection. Written bytes that have not left this machine yet are discarded, so that an abandoned
// statement reaches the member only if it is already in flight.
func (c *Conn) Abort() {
	if tcp, ok := c.NetConn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection, which sends nothing
	}
	c.NetConn.Close()
}

// Reusable reports whether the connection may carry another batch: no reply is pending and no unread bytes were
// received.
func (c *Conn) Reusable() bool {
	return !c.broken && len(c.pendingReplies) == 0 && c.Reader.Buffered() == 0
}

// Alive reports, without blocking, whether the peer has neither closed the connection nor sent bytes that are unread.
func (c *Conn) Alive() bool {
	tcp, ok := c.NetConn.(*net.TCPConn)
	if !ok {
		return true
	}
	rawConn, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	var peeked [1]byte
	_ = rawConn.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), peeked[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
	})
	return alive && c.Reader.Buffered() == 0
}
