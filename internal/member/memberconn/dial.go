package memberconn

import (
	"errors"
	"io"
	"net"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/transport"
)

const (
	// systemName is the name in ATTACH for the system's own sessions, and for clients without a tenant.
	systemName = "weirwind"

	// AgentName is the name in ATTACH for statements that an agent sends for the control plane's leader.
	AgentName = "weirwind-agent"
	// userTimeout is the TCP user timeout: how long sent bytes may stay unacknowledged.
	userTimeout = 4 * time.Second
)

// ErrAttachRejected means that the member accepted the connection but opened no session.
var ErrAttachRejected = errors.New("refused")

// ErrWrongMember means that the server is not the member that was dialled: the member is gone, and another one has its
// address now.
var ErrWrongMember = errors.New("another member's address")

// ErrInvalidName means that the name is not a valid field of a message. It is not sent.
var ErrInvalidName = errors.New("the name is not a single field")

// Dial connects to a member and opens a session in the system's own name. Its results are those of DialAs.
func Dial(member directory.Member, deadline time.Time) (c *Conn, absent bool, err error) {
	return DialAs(member, systemName, deadline)
}

// DialAs connects to a member and opens a session in the name of a tenant. absent reports whether the member is not at
// its address: no connection is accepted there, or another server answers (ErrWrongMember). The deadline remains set on
// the connection until a batch sets another.
func DialAs(member directory.Member, name string, deadline time.Time) (c *Conn, absent bool, err error) {
	errContext := oops.In("dial").With("peer", member.Addr)
	if !wire.IsField(name) {
		return nil, false, errContext.Wrap(ErrInvalidName)
	}
	conn, err := net.DialTimeout("tcp4", member.Addr, time.Until(deadline))
	if err != nil {
		return nil, !isTimeout(err), errContext.Wrap(err)
	}
	transport.SetUserTimeout(conn, userTimeout)
	conn.SetDeadline(deadline)
	c = &Conn{NetConn: conn, Reader: wire.NewReader(conn)}
	if err := c.attach(member, name, errContext); err != nil {
		conn.Close()
		return nil, errors.Is(err, ErrWrongMember), err
	}
	return c, false, nil
}

// attach opens a session in the given name. The request names the service and the member too, as the address of a
// former member may be reused by another service. A server that is not this member then answers with WRONGHOST, and no
// statement is sent to it.
func (c *Conn) attach(member directory.Member, name string, errContext oops.OopsErrorBuilder) error {
	request := wire.MsgAttach + " " + member.Service + " " + name + " " + member.ID + "\r\n"
	if _, err := io.WriteString(c.NetConn, request); err != nil {
		return errContext.Wrap(err)
	}
	line, err := c.Reader.ReadMessage()
	switch {
	case err == nil:
	case isTimeout(err):
		return errContext.Wrap(err)
	default:
		return errContext.Wrapf(ErrAttachRejected, "ended before it was ready: %v", err)
	}
	word, rest := wire.CutField(line)
	if word != wire.MsgReady {
		code, _ := wire.CutField(rest)
		if code == wire.CodeWrongHost {
			return errContext.With("code", code).Wrapf(ErrWrongMember, "%s", line)
		}
		return errContext.With("code", code).Wrapf(ErrAttachRejected, "%s", line)
	}
	_, position := wire.CutField(rest)
	c.Position, _ = wire.ParsePosition(position)
	return nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
