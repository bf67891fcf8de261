package agent

// This file sends members the statements that the core's leader can't send itself, as it doesn't reach them.

import (
	"errors"
	"time"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/member/memberconn"
)

const (
	// statementTimeout bounds a statement to a member that is sent for the leader.
	statementTimeout  = 500 * time.Millisecond
	busyRetryInterval = 50 * time.Millisecond // between tries at a member that rejects the statement
)

// relayStatement sends a member a statement, and sends the outcome on the link that the statement came from. It runs
// on a goroutine of its own for the time that the statement takes.
func relayStatement(core *controlLink, statement *controlmsg.RelayedStatement) {
	reply := &controlmsg.RelayedReply{Number: statement.Number, Driver: statement.Driver,
		Status: queryStatus(statement)}
	core.Send(&controlmsg.Frame{Reply: reply})
}

// queryStatus sends the statement over a connection of its own, and again while the member is busy. It returns nil if
// there is no reply.
func queryStatus(statement *controlmsg.RelayedStatement) *controlmsg.RelayedStatus {
	deadline := time.Now().Add(statementTimeout)
	conn, _, err := memberconn.DialAs(statement.Member, memberconn.AgentName, deadline)
	if err != nil {
		return nil
	}
	for {
		status, err := conn.QueryStatus(statement.Statement, deadline)
		var busy *memberconn.MemberError
		switch {
		case err == nil:
			conn.Close()
			return controlmsg.NewRelayedStatus(status)
		case !errors.As(err, &busy) || time.Until(deadline) < busyRetryInterval:
			conn.Abort() // the statement may still be on its way
			return nil
		}
		time.Sleep(busyRetryInterval)
	}
}
