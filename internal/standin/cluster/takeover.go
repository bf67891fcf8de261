package cluster

// This file simulates the reuse of crashed members' addresses by other members.

import (
	"fmt"
	"io"
	"net"
	"strings"

	"weirwind/internal/member/wire"
)

// successor is a member that has taken over the address of another one.
type successor struct{ service, member string }

// MisdirectedConnections counts the connections to addresses of crashed members after others had taken these over.
type MisdirectedConnections struct {
	Rejected int      // connections that named a member that is no longer there, and were rejected
	Unnamed  []string // first lines of connections that named no service and member, and would have got a session
}

// TakeOver makes a member of a service, which may be this one, answer at the address of a crashed member of this
// service.
func (s *Service) TakeOver(id, service, member string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successors[id] = successor{service, member}
}

// serve answers a connection as a member does that the caller did not mean.
func (o successor) serve(former *Service, conn net.Conn) {
	defer conn.Close()
	line, err := wire.NewReader(conn).ReadMessage()
	if err != nil {
		return
	}
	fields := strings.Fields(line)
	rejected := len(fields) == 4 && fields[0] == wire.MsgAttach && (fields[1] != o.service || fields[3] != o.member)
	former.mu.Lock()
	if rejected {
		former.Misdirected.Rejected++
	} else {
		former.Misdirected.Unnamed = append(former.Misdirected.Unnamed, line)
	}
	former.mu.Unlock()
	_, _ = io.WriteString(conn, fmt.Sprintf("FAIL %s\r\n", wire.CodeWrongHost)) // the caller may have disconnected
}
