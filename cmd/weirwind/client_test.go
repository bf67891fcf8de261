package main

// This file owns a client of the program, and its statements.

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
	conn.SetDeadline(time.Now().Add(patience))
	return &client{p.t, conn, bufio.NewReader(conn)}
}

// dialTo connects to an address where the program may not listen yet, and is let in.
func dialTo(address string) (*client, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	conn.SetDeadline(time.Now().Add(patience))
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
		p.t.Fatalf("welcomed by %q", kinds)
	}
	return c
}

// receive reads up to ReadyForQuery or the end: the kinds of the messages, and the value or the error's code.
func (c *client) receive() (kinds, said string) {
	for !strings.HasSuffix(kinds, "Z") {
		kind, message, err := pgwire.Read(c.r, nil)
		if err != nil {
			return kinds + ".", said
		}
		kinds += string(kind)
		switch kind {
		case 'D':
			value, _ := pgwire.ParseDataRow(pgwire.Body(message))
			said = string(value)
		case 'E':
			said = pgwire.ErrorCode(pgwire.Body(message))
		}
	}
	return kinds, said
}

func (c *client) query(query string) (kinds, said string) {
	c.Write(pgwire.AppendQuery(nil, query))
	return c.receive()
}

var serial atomic.Uint32 // every op has an id of its own

func read(d int) string { return statement("read", d) }

func write(d int) string { return statement("write", d) }

func statement(opType string, d int) string {
	form := "SELECT v FROM records WHERE k = 'ab'"
	if opType == "write" {
		form = `INSERT INTO records (k, v) VALUES ('ab', '\x9f03') RETURNING v`
	}
	return fmt.Sprintf("%s /* id=9b1f03aa%08x,c=%s,d=%d,cluster=3 */", form, serial.Add(1), opType, d)
}
