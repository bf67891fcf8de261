package lab

// This file owns the load's connections to drivers.

import (
	"bufio"
	"errors"
	"fmt"
	"net"
	"slices"
	"sync"
	"time"

	"weirwind/internal/pgwire"
)

// codeCannotConnectNow is PostgreSQL's error code of a server that is shutting down.
const codeCannotConnectNow = "57P03"

// errNoAnswer is the error of a connection that broke before the startup message was answered.
var errNoAnswer = errors.New("no answer to the startup message")

// connPool is a pool of connections to one driver.
type connPool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

// clientConn is a connection to a driver.
type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

// close closes all connections; the caller makes sure that they are idle.
func (p *connPool) close() {
	for _, c := range p.idle {
		c.Close()
	}
}

// query sends one op and waits for its answer until the op's timeout, counted from the intended time, plus the slack.
func (p *connPool) query(kind OpKind, id string, group int, intended time.Time, slack time.Duration) (Outcome, string) {
	due := intended.Add(kind.Timeout)
	limit := due.Add(slack)
	c, err := p.get(limit)
	if err != nil {
		return Lost, ""
	}
	c.SetDeadline(limit)
	statement := "SELECT v FROM records WHERE k = 'a1'"
	if kind.Write {
		statement = `INSERT INTO records (k, v) VALUES ('a1', '\x9f03') RETURNING v`
	}
	_, _ = c.Write(pgwire.AppendQuery(nil, fmt.Sprintf("%s /* id=%s,c=%s,d=%d,cluster=%d */", statement, id, kind.Name,
		max(time.Until(due).Milliseconds(), 1), group))) // an error is noticed by the following read
	value, code, ok := c.readAnswer()
	if !ok {
		c.Close()
		return Lost, ""
	}
	p.put(c)
	switch code {
	case "":
		return Acked, value
	case pgwire.CodeTooManyConnections, codeCannotConnectNow:
		return Refused, ""
	}
	return Failed, ""
}

// get returns the most recently used idle connection, or opens a new one.
func (p *connPool) get(limit time.Time) (*clientConn, error) {
	p.mu.Lock()
	if n := len(p.idle); n > 0 {
		defer p.mu.Unlock()
		c := p.idle[n-1]
		p.idle = slices.Delete(p.idle, n-1, n)
		return c, nil
	}
	p.mu.Unlock()
	conn, err := net.DialTimeout("tcp", p.address, time.Until(limit))
	if err != nil {
		return nil, err
	}
	c := &clientConn{conn, bufio.NewReader(conn)}
	conn.SetDeadline(limit)
	_, _ = conn.Write(pgwire.AppendStartupMessage(nil, "svc", "main")) // an error is noticed by the following read
	if _, _, ok := c.readAnswer(); !ok {
		conn.Close()
		return nil, errNoAnswer
	}
	return c, nil
}

// put returns a connection to the pool.
func (p *connPool) put(c *clientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.idle = append(p.idle, c)
}

// readAnswer reads one complete answer and returns its value or error code; ok is false if the connection broke.
func (c *clientConn) readAnswer() (value, code string, ok bool) {
	for {
		kind, m, err := pgwire.Read(c.reader, nil)
		if err != nil {
			return "", "", false
		}
		switch kind {
		case 'D':
			b, _ := pgwire.ParseDataRow(pgwire.Body(m))
			value = string(b)
		case 'E':
			code = pgwire.ErrorCode(pgwire.Body(m))
		case 'Z':
			return value, code, true
		}
	}
}
