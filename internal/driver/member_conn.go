package driver

import (
	"bufio"
	"net"
	"syscall"
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// user and database are named to members in the startup.
const user, database = "svc", "main"

// memberConn is a connection to a member. It belongs to one attempt or to the pool, never to both.
type memberConn struct {
	net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	member    string
	address   string
	openedAt  time.Time
	idleSince time.Time
	idleFor   time.Duration // before its last request
	served    int           // requests
}

// startup introduces the driver to the member and waits until it is ready. Without OK there is a reason for the log.
func (c *memberConn) startup() (outcome logic.Outcome, reason memberClose) {
	if _, err := c.Write(pgwire.AppendStartupMessage(nil, user, database)); err != nil {
		return logic.ConnectFailed, memberNoWelcome
	}
	for {
		kind, message, err := pgwire.Read(c.reader, nil)
		switch {
		case err != nil:
			return logic.ConnectFailed, memberNoWelcome
		case kind == 'E' && pgwire.ErrorCode(pgwire.Body(message)) == pgwire.CodeTooManyConnections:
			return logic.Full, memberTurnedAway
		case kind == 'E':
			return logic.ConnectFailed, memberTurnedAway
		case kind == 'Z':
			return logic.OK, ""
		}
	}
}

// broken says whether an idle connection has ended or holds bytes that nobody requested.
func (c *memberConn) broken() bool { return unread(c.raw) != 0 }

// unread says whether bytes wait on a connection: above 0 if so, 0 for none, below if it has ended. Another goroutine
// may be reading there.
func unread(raw syscall.RawConn) (count int) {
	var err error
	if raw.Control(func(fd uintptr) {
		count, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}) != nil || count <= 0 && err != syscall.EAGAIN {
		return -1
	}
	return max(count, 0)
}
