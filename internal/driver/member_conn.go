package driver

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// user and database are sent to members in the startup message.
const user, database = "svc", "main"

// memberConn is a connection to a member. It is owned by one attempt or by the pool, never by both.
type memberConn struct {
	net.Conn
	rawConn   syscall.RawConn
	reader    *bufio.Reader
	member    string
	address   string
	openedAt  time.Time
	idleSince time.Time
	idleTime  time.Duration // before its last request; for the log
	requests  int           // number of requests sent on it
}

// startup performs the startup and waits until the member is ready. For other outcomes than OK it returns a reason.
func (c *memberConn) startup() (outcome logic.Outcome, reason memberClose) {
	if _, err := c.Write(pgwire.AppendStartupMessage(nil, user, database)); err != nil {
		return logic.ConnectFailed, memberStartupFailed
	}
	for {
		kind, message, err := pgwire.Read(c.reader, nil)
		switch {
		case err != nil:
			return logic.ConnectFailed, memberStartupFailed
		case kind == 'E' && pgwire.ErrorCode(pgwire.Body(message)) == pgwire.CodeTooManyConnections:
			return logic.Full, memberRejected
		case kind == 'E':
			return logic.ConnectFailed, memberRejected
		case kind == 'Z':
			return logic.OK, ""
		}
	}
}

// broken reports whether an idle connection has ended or has received unexpected bytes.
func (c *memberConn) broken() bool { return unreadBytes(c.rawConn) != 0 }

// unreadBytes returns a positive number if unread bytes wait on a connection, 0 if there are none, and -1 if the
// connection has ended. Another goroutine may be reading from it.
func unreadBytes(raw syscall.RawConn) (count int) {
	var err error
	if raw.Control(func(fd uintptr) {
		count, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}) != nil || count <= 0 && err != syscall.EAGAIN {
		return -1
	}
	return max(count, 0)
}
