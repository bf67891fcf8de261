package controlplane

import (
	"errors"
	"sync"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/idempotency"
)

// statusTimeout bounds a statement that is answered with a member's status.
const statusTimeout = 700 * time.Millisecond

// memberClient sends the control plane's own statements to members, and keeps an idle connection to each. Any goroutine
// may use it.
type memberClient struct {
	mu   sync.Mutex
	idle map[string]*memberconn.Conn // by member id; connections in use are not included
}

func newMemberClient() *memberClient { return &memberClient{idle: map[string]*memberconn.Conn{}} }

// closeAll closes the idle connections.
func (c *memberClient) closeAll() {
	c.mu.Lock()
	idle := c.idle
	c.idle = map[string]*memberconn.Conn{}
	c.mu.Unlock()
	for _, conn := range idle {
		conn.Close()
	}
}

// retain closes the idle connections to all members but the given ones.
func (c *memberClient) retain(ids map[string]bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, conn := range c.idle {
		if !ids[id] {
			conn.Close()
			delete(c.idle, id)
		}
	}
}

// acquire removes and returns the idle connection to a member, nil if there is none.
func (c *memberClient) acquire(id string) *memberconn.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn := c.idle[id]
	delete(c.idle, id)
	return conn
}

// release keeps a connection for the next statement, and closes another that was released meanwhile.
func (c *memberClient) release(id string, conn *memberconn.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if other := c.idle[id]; other != nil {
		other.Close()
	}
	c.idle[id] = conn
}

// queryStatus sends a statement that is answered with the member's status. refused reports whether the member's address
// refused the connection. The statements are idempotent: STAT changes nothing, PAUSE and STEPDOWN include their term,
// and CONT resumes replication only where that is allowed.
func (c *memberClient) queryStatus(member directory.Member,
	statement string) (status wire.MemberStatus, refused bool, err error) {
	deadline := time.Now().Add(statusTimeout)
	refused, err = c.do(member, deadline, idempotency.Idempotent, func(conn *memberconn.Conn) (err error) {
		status, err = conn.QueryStatus(statement, deadline)
		return err
	})
	if err != nil {
		err = oops.In("stat").With("peer", member.Addr).Wrap(err)
	}
	return status, refused, err
}

// query sends a statement that is answered with rows.
func (c *memberClient) query(member directory.Member, statement string, deadline time.Time) (rows []string, err error) {
	_, err = c.do(member, deadline, idempotency.Idempotent, func(conn *memberconn.Conn) (err error) {
		rows, err = conn.Query(statement, deadline)
		return err
	})
	return rows, err
}

// do makes a request over the idle connection, and repeats it over a new one if the idle connection turns out to be
// closed and the request may be retried. After an error reported by the member the connection is kept; after any other
// error it is reset, as a PAUSE or CONT that is still in flight could undo a later one.
func (c *memberClient) do(member directory.Member, deadline time.Time, effect idempotency.Kind,
	request func(*memberconn.Conn) error) (refused bool, err error) {
	conn := c.acquire(member.ID)
	for reused := conn != nil; ; reused = false {
		if conn == nil {
			if conn, refused, err = memberconn.Dial(member, deadline); err != nil {
				return refused, err
			}
		}
		err = request(conn)
		var memberError *memberconn.MemberError
		switch {
		case err == nil, errors.As(err, &memberError):
			c.release(member.ID, conn)
			return false, err
		case !reused || !effect.MayRetry(err) || !time.Now().Before(deadline):
			conn.Abort()
			return false, err
		}
		conn.Close()
		conn = nil
	}
}
