package driver

// This file owns the listener and the connections of clients: who is let in, who makes room, the order of answers
// on a connection, and how it ends. It must never read an op that it can't answer, answer out of order, let one
// connection's bad input touch another, or wait for anybody where connections are accepted.

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"os"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/pgwire"
)

const (
	clientBuffer = 2048
	spokenTime   = 2500 * time.Millisecond // for a first query, and from the first byte of a message to its last
	silentTime   = 30 * time.Millisecond   // who has not sent a byte by then may have to make room
	idleTime     = 100 * time.Millisecond  // as who has had no op open for so long
	roomEvery    = 50 * time.Millisecond   // room is made beforehand
	roomShare    = 0.65                    // of the budget: while less is free
	writeTime    = 2500 * time.Millisecond // for a client to take an answer
	lingerTime   = 500 * time.Millisecond  // for a client to see the last answer before the connection is closed
	drainMost    = 1 << 20                 // bytes that are read away meanwhile
	pipelined    = 16                      // messages that may wait for those before them
	bigMessage   = 8 << 10                 // bytes from which a message counts toward the budget of bytes
	leavers      = 12                      // connections beside the budget that make room
	turnAways    = 8                       // and that are being told that there is none
	acceptAfter  = 500 * time.Millisecond  // how long new connections are taken after SIGTERM
	acceptQuiet  = 50 * time.Millisecond   // and none may have come for so long
)

// message is what the reader of a connection hands on: a message, or why framing is lost.
type message struct {
	kind   byte
	body   []byte
	weight int64 // taken from the budget of bytes
	full   bool  // there was no room for its body
	over   bool  // too many came at once
	err    error
}

type client struct {
	v        *Service
	conn     *net.TCPConn
	raw      syscall.RawConn
	r        *bufio.Reader
	opened   time.Time
	messages chan message
	gone     chan struct{} // closed when the client has left; why says how
	why      string
	done     chan struct{} // closed when this side is through
	ops      int
	ahead    int  // the reader's: messages in a row that came before the answer to the one before
	skipping bool // until Sync, after a message of the extended protocol

	// under the clients' lock
	open   int       // messages begun and not yet answered; the startup is one
	ended  int       // messages that are through
	since  time.Time // the last change of either
	leaves bool      // it makes room
	given  bool      // and its place is already another's
}

// begins notes that a client has begun a message; false where it has had to make room.
func (c *client) begins() bool {
	c.v.clients.mu.Lock()
	defer c.v.clients.mu.Unlock()
	c.open++
	c.since = time.Now()
	return !c.leaves
}

// ends notes that a message is through.
func (c *client) ends() {
	c.v.clients.mu.Lock()
	defer c.v.clients.mu.Unlock()
	c.open--
	c.ended++
	c.since = time.Now()
}

func (c *client) logEnd(why string) {
	c.v.log.Info("client_closed", "client", c.conn.RemoteAddr().String(), "reason", why, "ops", c.ops,
		"age_ms", time.Since(c.opened).Milliseconds())
}

// drain reads away what a client still sends, so that it sees the last answer; not without end.
func (c *client) drain() { _, _ = io.CopyN(io.Discard, c.conn, drainMost) }

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
		if c.ends(); why == "" && c.v.stopping() && m.kind == 'Q' {
			why = "shutdown"
		}
		if why != "" {
			return why
		}
	}
}

// startup answers requests for encryption by No and welcomes anybody.
func (c *client) startup() string {
	c.conn.SetDeadline(c.opened.Add(spokenTime))
	if _, err := c.r.Peek(1); !c.begins() {
		return "made_room"
	} else if err != nil {
		return "no_startup"
	}
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
		c.conn.SetReadDeadline(c.opened.Add(spokenTime)) // up to the first byte of a query
		c.ends()
		return why
	}
	return "no_startup"
}

// read hands on messages until the client leaves or framing is lost, and keeps watching while one is served.
func (c *client) read() {
	for first := true; ; first = false {
		if c.r.Buffered() > 0 || unread(c.raw) > 0 {
			c.ahead++
		} else {
			c.ahead = 0
		}
		_, err := c.r.Peek(1)
		if !c.begins() {
			c.leave("made_room")
			return
		}
		if err == nil && first {
			c.conn.SetReadDeadline(time.Time{})
		}
		var m message
		why := "silent"
		if err == nil {
			why = "unfinished"
			m, err = c.next()
		}
		switch {
		case errors.Is(err, pgwire.ErrFraming):
			c.hand(message{err: err})
			c.drain() // until the client has seen why
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.leave(why)
			return
		case err != nil:
			c.leave("left")
			return
		case m.kind == 'X':
			c.leave("terminate")
			return
		}
		m.over = c.ahead > pipelined
		if !c.hand(m) {
			c.v.bytes.give(m.weight)
			c.drain()
			return
		}
	}
}

func (c *client) leave(why string) {
	c.why = why
	close(c.gone)
}

// next reads one message, which must come whole in time. A big one for which the budget of bytes has no room is
// read away.
func (c *client) next() (m message, err error) {
	if head, _ := c.r.Peek(min(c.r.Buffered(), 5)); !pgwire.Whole(head, c.r.Buffered()) {
		c.conn.SetReadDeadline(time.Now().Add(spokenTime)) // it holds room that others want
		defer c.conn.SetReadDeadline(time.Time{})
	}
	kind, n, err := pgwire.ReadHead(c.r)
	if m.kind = kind; err != nil {
		return m, err
	}
	if n > bigMessage {
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
		if c.skipping = false; m.full || m.over {
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
