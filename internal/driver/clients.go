package driver

// This file owns the listener and the connections of clients: who is let in, the order of answers on a
// connection, and how it ends. It must never read an op that it can't answer, answer out of order, or let one
// connection's bad input touch another.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"os"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/pgwire"
)

const (
	clientBuffer = 2048
	startupTime  = 10 * time.Second
	bodyTime     = 10 * time.Second       // for the body of a big message
	writeTime    = 10 * time.Second       // for a client to take an answer
	lingerTime   = 500 * time.Millisecond // for a client to see the last answer before the connection is closed
	bigMessage   = 8 << 10                // bytes from which a message counts toward the budget of bytes
	turnAways    = 16                     // connections over the budget that are being told so
	acceptAfter  = 500 * time.Millisecond // how long new connections are taken after SIGTERM
	acceptQuiet  = 50 * time.Millisecond  // and none may have come for so long
)

// message is what the reader of a connection hands on: a message, or why framing is lost.
type message struct {
	kind   byte
	body   []byte
	weight int64 // taken from the budget of bytes
	full   bool  // there was no room for its body
	err    error
}

type client struct {
	v        *Service
	conn     *net.TCPConn
	r        *bufio.Reader
	messages chan message
	gone     chan struct{} // closed when the client has left; why says how
	why      string
	done     chan struct{} // closed when this side is through
	ops      int
	skipping bool // until Sync, after a message of the extended protocol
}

// accept serves connections until the context ends and no more come.
func (v *Service) accept(ctx context.Context, ln *net.TCPListener) error {
	defer ln.Close()
	stop := context.AfterFunc(ctx, func() { ln.SetDeadline(time.Now().Add(acceptAfter)) })
	defer stop()
	for {
		conn, err := ln.AcceptTCP()
		switch {
		case err == nil:
			v.admit(conn)
			if ctx.Err() != nil {
				ln.SetDeadline(laterOf(v.stoppedAt().Add(acceptAfter), time.Now().Add(acceptQuiet)))
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			close(v.closing)
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, say: what is open goes on
			v.log.Printf("event=accept_failed error=%q", err)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func laterOf(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func (v *Service) admit(conn *net.TCPConn) {
	if !v.clientBudget.take(1) {
		v.count.ClientsTurnedAway.Add(1)
		v.turnAway <- struct{}{}
		v.group.Go(func() error {
			conn.SetDeadline(time.Now().Add(lingerTime))
			conn.Write(pgwire.AppendError(nil, "FATAL", pgwire.CodeBusy, "too many connections", ""))
			conn.CloseWrite()
			io.Copy(io.Discard, conn)
			conn.Close()
			v.log.Printf("event=client_closed client=%s reason=too_many ops=0", conn.RemoteAddr())
			<-v.turnAway
			return nil
		})
		return
	}
	v.count.Clients.Add(1)
	v.count.ClientsOpen.Add(1)
	c := &client{v: v, conn: conn, r: bufio.NewReaderSize(conn, clientBuffer), messages: make(chan message, 1),
		gone: make(chan struct{}), done: make(chan struct{})}
	v.group.Go(func() error {
		opened := time.Now()
		var reader errgroup.Group
		why := c.serve(&reader)
		close(c.done)
		conn.CloseWrite()
		conn.SetReadDeadline(time.Now().Add(lingerTime))
		reader.Wait()
		conn.Close()
		select {
		case m := <-c.messages:
			v.bytes.give(m.weight)
		default:
		}
		v.clientBudget.give(1)
		v.count.ClientsOpen.Add(-1)
		v.log.Printf("event=client_closed client=%s reason=%s ops=%d age_ms=%d", conn.RemoteAddr(), why, c.ops,
			time.Since(opened).Milliseconds())
		return nil
	})
}

// serve lets a client in and answers what it sends, one after the other. It returns the reason for the end.
func (c *client) serve(reader *errgroup.Group) string {
	if why := c.startup(); why != "" {
		return why
	}
	reader.Go(func() error { c.read(); return nil })
	for {
		var m message
		select {
		case m = <-c.messages:
		default:
			select {
			case m = <-c.messages:
			case <-c.gone:
				return c.why
			case <-c.v.closing:
				return "shutdown"
			}
		}
		if m.err != nil {
			c.v.count.BadInput.Add(1)
			c.write(pgwire.AppendError(nil, "FATAL", pgwire.CodeProtocol, m.err.Error(), ""))
			return "framing"
		}
		answer, why := c.answer(m)
		c.v.bytes.give(m.weight)
		if why == "" && answer != nil {
			why = c.write(answer)
		}
		if why == "" && c.v.stopping() && m.kind == 'Q' {
			why = "shutdown"
		}
		if why != "" {
			return why
		}
	}
}

// startup answers requests for encryption by No and welcomes anybody.
func (c *client) startup() string {
	c.conn.SetDeadline(time.Now().Add(startupTime))
	for range 3 {
		kind, minor, err := pgwire.ReadStartup(c.r)
		switch {
		case errors.Is(err, pgwire.ErrFraming):
			c.v.count.BadInput.Add(1)
			c.write(pgwire.AppendError(nil, "FATAL", pgwire.CodeProtocol, err.Error(), ""))
			return "framing"
		case err != nil:
			return "no_startup"
		case kind == pgwire.StartupCancel:
			return "cancel_request"
		case kind == pgwire.StartupEncrypt:
			if why := c.write([]byte{'N'}); why != "" {
				return why
			}
			continue
		}
		why := c.write(pgwire.AppendWelcome(nil, minor))
		c.conn.SetReadDeadline(time.Time{})
		return why
	}
	return "no_startup"
}

// read hands on messages until the client leaves or framing is lost, and keeps watching while one is served.
func (c *client) read() {
	for {
		m, err := c.next()
		switch {
		case errors.Is(err, pgwire.ErrFraming):
			c.hand(message{err: err})
			io.Copy(io.Discard, c.conn) // until the client has seen why
			return
		case err != nil || m.kind == 'X':
			if c.why = "left"; m.kind == 'X' {
				c.why = "terminate"
			}
			close(c.gone)
			return
		}
		if !c.hand(m) {
			c.v.bytes.give(m.weight)
			io.Copy(io.Discard, c.conn)
			return
		}
	}
}

// next reads one message. A big one for which the budget of bytes has no room is read away.
func (c *client) next() (m message, err error) {
	kind, n, err := pgwire.ReadHead(c.r)
	if m.kind = kind; err != nil {
		return m, err
	}
	if n > bigMessage {
		c.conn.SetReadDeadline(time.Now().Add(bodyTime)) // it holds room that others want
		defer c.conn.SetReadDeadline(time.Time{})
		if !c.v.bytes.take(int64(n)) {
			m.full = true
			_, err = c.r.Discard(n)
			return m, err
		}
		m.weight = int64(n)
	}
	if m.body, err = pgwire.ReadBody(c.r, nil, n); err != nil {
		c.v.bytes.give(m.weight)
		m.weight = 0
	}
	return m, err
}

func (c *client) hand(m message) bool {
	select {
	case c.messages <- m:
		return true
	case <-c.done:
		return false
	}
}

func (c *client) write(b []byte) string {
	c.conn.SetWriteDeadline(time.Now().Add(writeTime))
	if _, err := c.conn.Write(b); err != nil {
		return "write"
	}
	return ""
}

var unsupported = pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocol, "only simple queries are served", "")

// answer finds the answer to one message; nil where there is none, with a reason where the connection ends.
func (c *client) answer(m message) (answer []byte, why string) {
	switch m.kind {
	case 'Q':
		if c.skipping = false; m.full {
			c.v.count.BusyReplied.Add(1)
			return busy(0), ""
		}
		return c.query(m.body)
	case 'P', 'B', 'D', 'E', 'C': // the extended protocol: one error, then silence up to Sync
		if c.skipping {
			return nil, ""
		}
		c.skipping = true
		c.v.count.BadInput.Add(1)
		return unsupported, ""
	case 'S':
		c.skipping = false
		return pgwire.AppendReady(nil), ""
	case 'F':
		c.v.count.BadInput.Add(1)
		return pgwire.AppendReady(bytes.Clone(unsupported)), ""
	case 'H', 'd', 'c', 'f':
		return nil, ""
	}
	c.v.count.BadInput.Add(1)
	c.write(pgwire.AppendError(nil, "FATAL", pgwire.CodeProtocol, "unknown kind of message", ""))
	return nil, "framing"
}

func (c *client) query(body []byte) (answer []byte, why string) {
	text, ok := pgwire.QueryText(body)
	if !ok {
		return c.bad(pgwire.CodeProtocol, "a query's text ends in one zero byte")
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return pgwire.AppendReady(pgwire.AppendEmptyQuery(nil)), ""
	}
	statement, err := pgwire.ParseStatement(text)
	if err != nil {
		return c.bad(pgwire.CodeProtocol, err.Error())
	}
	opType, ok := c.v.decide.known(statement.OpType, statement.Group)
	if !ok {
		return c.bad(pgwire.CodeUnknown, "unknown op type or group")
	}
	c.ops++
	if answer = c.v.perform(newOp(opType, statement), c.gone); answer == nil {
		return nil, c.why
	}
	return answer, ""
}

func (c *client) bad(code, why string) ([]byte, string) {
	c.v.count.BadInput.Add(1)
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", code, why, "")), ""
}
