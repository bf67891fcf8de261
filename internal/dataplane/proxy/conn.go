package proxy

// This file owns what the proxy keeps with a member connection.

import (
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/dataplane/wire"
)

const (
	dialTime  = 700 * time.Millisecond
	probeTime = 500 * time.Millisecond
)

// conn is a connection to a member, with what it carries.
type conn struct {
	*memberconn.Conn
	carrier sessionstate.Conn
	rested  float64
}

func dial(m directory.Member, until time.Time) (*conn, error) {
	c, _, err := memberconn.Dial(m, until)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// probe asks a member for its state over a connection of its own.
func probe(m directory.Member) (wire.MemberStatus, error) {
	until := time.Now().Add(probeTime)
	c, _, err := memberconn.Dial(m, until)
	if err != nil {
		return wire.MemberStatus{}, err
	}
	defer c.Close()
	return c.QueryStatus("STAT", until)
}
