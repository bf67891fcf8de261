package main

// This file implements a client of the program, and its statements.

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"weirwind/internal/pgwire"
)

// client is a connection to the program.
type client struct {
	t *testing.T
	net.Conn
	r *bufio.Reader
}

func (p *program) dial() *client {
	p.t.Helper()
	conn, err := net.Dial("tcp", p.address)
	if err != nil {
		p.t.Fatal(err)
	}
	p.t.Cleanup(func() { conn.Close() })
	conn.SetDeadline(time.Now().Add(testTimeout))
	return &client{p.t, conn, bufio.NewReader(conn)}
}

// connectTo connects to an address where the program may not listen yet, and completes the startup.
func connectTo(address string) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(testTimeout))
	c := &client{nil, conn, bufio.NewReader(conn)}
	c.Write(pgwire.AppendStartupMessage(nil, "svc", "main"))
	c.receive()
	return c, nil
}

func (p *program) connect() *client {
	p.t.Helper()
	c := p.dial()
	c.Write(pgwire.AppendStartupMessage(nil, "svc", "main"))
	if kinds, _ := c.receive(); kinds != "RSSSSKZ" {
		p.t.Fatalf("startup answered by %q", kinds)
	}
	return c
}

// receive reads up to ReadyForQuery or the end of the connection. It returns the kinds of the messages, and the value
// of a row or the code of an error.
func (c *client) receive() (kinds, result string) {
	for !strings.HasSuffix(kinds, "Z") {
		kind, message, err := pgwire.Read(c.r, nil)
		if err != nil {
			return kinds + ".", result
		}
		kinds += string(kind)
		switch kind {
		case 'D':
			value, _ := pgwire.ParseDataRow(pgwire.Body(message))
			result = string(value)
		case 'E':
			result = pgwire.ErrorCode(pgwire.Body(message))
		}
	}
	return kinds, result
}

func (c *client) query(query string) (kinds, result string) {
	c.Write(pgwire.AppendQuery(nil, query))
	return c.receive()
}

var nextOpID atomic.Uint32 // each op has a unique id

func read(deadline int) string { return statement("read", deadline) }

func write(deadline int) string { return statement("write", deadline) }

func statement(opType string, deadline int) string {
	form := "SELECT v FROM records WHERE k = 'ab'"
	if opType == "write" {
		form = `INSERT INTO records (k, v) VALUES ('ab', '\x9f03') RETURNING v`
	}
	return fmt.Sprintf("%s /* id=9b1f03aa%08x,c=%s,d=%d,cluster=3 */", form, nextOpID.Add(1), opType, deadline)
}
