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
	// systemName is what the system attaches as for itself, and for clients without a tenant.
	systemName = "weirwind"
	// userTimeout is how long a member may leave bytes unacknowledged.
	userTimeout = 4 * time.Second
)

// ErrAttachRejected is the error of a member that accepted the connection and did not open a session on it.
var ErrAttachRejected = errors.New("refused")

// ErrWrongMember is the error of a server that says it is not the member that was dialled: the member is gone, and its
// address is another's now.
var ErrWrongMember = errors.New("another member's address")

// ErrInvalidName is the error of a name that is no single field of a message: it is not sent.
var ErrInvalidName = errors.New("the name is no single field")

// Dial connects to a member and opens a session of the system's own. Its results are those of DialAs.
func Dial(member directory.Member, deadline time.Time) (c *Conn, absent bool, err error) {
	return DialAs(member, systemName, deadline)
}

// DialAs connects to a member and opens a session in the name of a tenant. absent: the member is not at its address, as
// nothing accepts connections there, or another server does (ErrWrongMember). The deadline stays that of the connection
// until a batch sets another.
func DialAs(member directory.Member, name string, deadline time.Time) (c *Conn, absent bool, err error) {
	step := oops.In("dial").With("peer", member.Addr)
	if !wire.IsField(name) {
		return nil, false, step.Wrap(ErrInvalidName)
	}
	conn, err := net.DialTimeout("tcp4", member.Addr, time.Until(deadline))
	if err != nil {
		return nil, !isTimeout(err), step.Wrap(err)
	}
	transport.SetUserTimeout(conn, userTimeout)
	conn.SetDeadline(deadline)
	c = &Conn{NetConn: conn, Reader: wire.NewReader(conn)}
	if err := c.attach(member, name, step); err != nil {
		conn.Close()
		return nil, errors.Is(err, ErrWrongMember), err
	}
	return c, false, nil
}

// attach opens the session in a name. It tells the service and the member too, as other services reuse the addresses of
// members that are gone; a server that is not this member answers so, and no statement is sent to it.
func (c *Conn) attach(member directory.Member, name string, step oops.OopsErrorBuilder) error {
	request := wire.MsgAttach + " " + member.Service + " " + name + " " + member.ID + "\r\n"
	if _, err := io.WriteString(c.NetConn, request); err != nil {
		return step.Wrap(err)
	}
	line, err := c.Reader.ReadMessage()
	switch {
	case err == nil:
	case isTimeout(err):
		return step.Wrap(err)
	default:
		return step.Wrapf(ErrAttachRejected, "ended before it was ready: %v", err)
	}
	word, rest := wire.CutField(line)
	if word != wire.MsgReady {
		code, _ := wire.CutField(rest)
		if code == wire.CodeWrongHost {
			return step.With("code", code).Wrapf(ErrWrongMember, "%s", line)
		}
		return step.With("code", code).Wrapf(ErrAttachRejected, "%s", line)
	}
	_, position := wire.CutField(rest)
	c.Position, _ = wire.ParsePosition(position)
	return nil
}

func isTimeout(err error) bool {
	var netErr net.Error
	return errors.As(err, &netErr) && netErr.Timeout()
}
