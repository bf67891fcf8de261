package cluster

// This file owns addresses of crashed members that others take over.

import (
	"fmt"
	"io"
	"net"
	"strings"

	"weirwind/internal/member/wire"
)

// occupant is a member that has taken over the address of another one.
type successor struct{ service, member string }

// Strangers counts the connections that came to addresses of crashed members after others had taken them over.
type MisdirectedConnections struct {
	Rejected int      // they named a member that is no longer there
	Unnamed  []string // what connections said that named no service and member: a session would have been opened
}

// TakeOver has a member of a service, which may be this one, answer at the address of a crashed member of this one.
func (s *Service) TakeOver(id, service, member string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.successors[id] = successor{service, member}
}

// serve answers a connection as a member does that was not asked for.
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
	_, _ = io.WriteString(conn, fmt.Sprintf("FAIL %s\r\n", wire.CodeWrongHost)) // the caller may have left
}
