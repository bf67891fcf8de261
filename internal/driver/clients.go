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
	clientBufferBytes  = 2048
	messageTimeout     = 2500 * time.Millisecond // for a first query, and from the first byte of a message to its last
	silentEvictAfter   = 30 * time.Millisecond   // who has not sent a byte by then may have to make room
	idleEvictAfter     = 100 * time.Millisecond  // as who has had no op open for so long
	headroomInterval   = 50 * time.Millisecond   // room is made beforehand
	headroomShare      = 0.65                    // of the budget: while less is free
	clientWriteTimeout = 2500 * time.Millisecond // for a client to take an answer
	lingerTimeout      = 500 * time.Millisecond  // for a client to see the last answer before the connection is closed
	maxDrainBytes      = 1 << 20                 // bytes that are read away meanwhile
	maxPipelined       = 16                      // messages that may wait for those before them
	largeMessageBytes  = 8 << 10                 // bytes from which a message counts toward the budget of bytes
	maxEvictions       = 12                      // connections beside the budget that make room
	maxRejections      = 8                       // and that are being told that there is none
	acceptGrace        = 500 * time.Millisecond  // how long new connections are taken after SIGTERM
	acceptQuiet        = 50 * time.Millisecond   // and none may have come for so long
)

// message is what the reader of a connection hands on: a message, or why framing is lost.
type message struct {
	kind          byte
	body          []byte
	budgetBytes   int64 // taken from the budget of bytes
	overBudget    bool  // there was no room for its body
	overPipelined bool  // too many came at once
	framingErr    error
}

type client struct {
	service       *Service
	conn          *net.TCPConn
	raw           syscall.RawConn
	reader        *bufio.Reader
	openedAt      time.Time
	messages      chan message
	disconnected  chan struct{} // closed when the client has left; why says how
	endReason     string
	answered      chan struct{} // closed when this side is through
	ops           int
	pipelined     int  // the reader's: messages in a row that came before the answer to the one before
	skipUntilSync bool // until Sync, after a message of the extended protocol

	// under the clients' lock
	openMessages     int       // messages begun and not yet answered; the startup is one
	finishedMessages int       // messages that are through
	changedAt        time.Time // the last change of either
	evicted          bool      // it makes room
	slotHandedOver   bool      // and its place is already another's
}

// begins notes that a client has begun a message; false where it has had to make room.
func (c *client) beginMessage() bool {
	c.service.clients.mu.Lock()
	defer c.service.clients.mu.Unlock()
	c.openMessages++
	c.changedAt = time.Now()
	return !c.evicted
}

// ends notes that a message is through.
func (c *client) finishMessage() {
	c.service.clients.mu.Lock()
	defer c.service.clients.mu.Unlock()
	c.openMessages--
	c.finishedMessages++
	c.changedAt = time.Now()
}

func (c *client) logClosed(reason string) {
	c.service.log.Info("client_closed", "client", c.conn.RemoteAddr().String(), "reason", reason, "ops", c.ops,
		"age_ms", time.Since(c.openedAt).Milliseconds())
}

// drain reads away what a client still sends, so that it sees the last answer; not without end.
func (c *client) drain() { _, _ = io.CopyN(io.Discard, c.conn, maxDrainBytes) }

// serve lets a client in and answers what it sends, one after the other. It returns the reason for the end.
func (c *client) serve(reader *errgroup.Group) string {
	if why := c.startup(); why != "" {
		return why
	}
	reader.Go(func() error { c.readLoop(); return nil })
	for {
		var m message
		select {
		case m = <-c.messages:
		default:
			select {
			case m = <-c.messages:
			case <-c.disconnected:
				return c.endReason
			case <-c.service.acceptEnded:
				return "shutdown"
			}
		}
		if m.framingErr != nil {
			c.service.counters.BadInput.Add(1)
			c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeProtocolViolation, m.framingErr.Error(), ""))
			return "framing"
		}
		answer, why := c.answer(m)
		c.service.messageBudget.release(m.budgetBytes)
		if why == "" && answer != nil {
			why = c.write(answer)
		}
		if c.finishMessage(); why == "" && c.service.stopping() && m.kind == 'Q' {
			why = "shutdown"
		}
		if why != "" {
			return why
		}
	}
}

// startup answers requests for encryption by No and welcomes anybody.
func (c *client) startup() string {
	c.conn.SetDeadline(c.openedAt.Add(messageTimeout))
	if _, err := c.reader.Peek(1); !c.beginMessage() {
		return "made_room"
	} else if err != nil {
		return "no_startup"
	}
	for range 3 {
		kind, minor, err := pgwire.ReadStartup(c.reader)
		switch {
		case errors.Is(err, pgwire.ErrFraming):
			c.service.counters.BadInput.Add(1)
			c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeProtocolViolation, err.Error(), ""))
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
		why := c.write(pgwire.AppendStartupResponse(nil, minor))
		c.conn.SetReadDeadline(c.openedAt.Add(messageTimeout)) // up to the first byte of a query
		c.finishMessage()
		return why
	}
	return "no_startup"
}

// read hands on messages until the client leaves or framing is lost, and keeps watching while one is served.
func (c *client) readLoop() {
	for first := true; ; first = false {
		if c.reader.Buffered() > 0 || unread(c.raw) > 0 {
			c.pipelined++
		} else {
			c.pipelined = 0
		}
		_, err := c.reader.Peek(1)
		if !c.beginMessage() {
			c.disconnect("made_room")
			return
		}
		if err == nil && first {
			c.conn.SetReadDeadline(time.Time{})
		}
		var m message
		why := "silent"
		if err == nil {
			why = "unfinished"
			m, err = c.readMessage()
		}
		switch {
		case errors.Is(err, pgwire.ErrFraming):
			c.deliver(message{framingErr: err})
			c.drain() // until the client has seen why
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.disconnect(why)
			return
		case err != nil:
			c.disconnect("left")
			return
		case m.kind == 'X':
			c.disconnect("terminate")
			return
		}
		m.overPipelined = c.pipelined > maxPipelined
		if !c.deliver(m) {
			c.service.messageBudget.release(m.budgetBytes)
			c.drain()
			return
		}
	}
}

func (c *client) disconnect(why string) {
	c.endReason = why
	close(c.disconnected)
}

// next reads one message, which must come whole in time. A big one for which the budget of bytes has no room is
// read away.
func (c *client) readMessage() (m message, err error) {
	if head, _ := c.reader.Peek(min(c.reader.Buffered(), 5)); !pgwire.Buffered(head, c.reader.Buffered()) {
		c.conn.SetReadDeadline(time.Now().Add(messageTimeout)) // it holds room that others want
		defer c.conn.SetReadDeadline(time.Time{})
	}
	kind, n, err := pgwire.ReadHeader(c.reader)
	if m.kind = kind; err != nil {
		return m, err
	}
	if n > largeMessageBytes {
		if !c.service.messageBudget.acquire(int64(n)) {
			m.overBudget = true
			_, err = c.reader.Discard(n)
			return m, err
		}
		m.budgetBytes = int64(n)
	}
	if m.body, err = pgwire.ReadBody(c.reader, nil, n); err != nil {
		c.service.messageBudget.release(m.budgetBytes)
		m.budgetBytes = 0
	}
	return m, err
}

func (c *client) deliver(m message) bool {
	select {
	case c.messages <- m:
		return true
	case <-c.answered:
		return false
	}
}

func (c *client) write(b []byte) string {
	c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := c.conn.Write(b); err != nil {
		return "write"
	}
	return ""
}

var unsupportedAnswer = pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeProtocolViolation, "only simple queries are served", "")

// answer finds the answer to one message; nil where there is none, with a reason where the connection ends.
func (c *client) answer(m message) (answer []byte, why string) {
	switch m.kind {
	case 'Q':
		if c.skipUntilSync = false; m.overBudget || m.overPipelined {
			c.service.counters.BusyReplied.Add(1)
			return busyAnswer(0), ""
		}
		return c.query(m.body)
	case 'P', 'B', 'D', 'E', 'C': // the extended protocol: one error, then silence up to Sync
		if c.skipUntilSync {
			return nil, ""
		}
		c.skipUntilSync = true
		c.service.counters.BadInput.Add(1)
		return unsupportedAnswer, ""
	case 'S':
		c.skipUntilSync = false
		return pgwire.AppendReadyForQuery(nil), ""
	case 'F':
		c.service.counters.BadInput.Add(1)
		return pgwire.AppendReadyForQuery(bytes.Clone(unsupportedAnswer)), ""
	case 'H', 'd', 'c', 'f':
		return nil, ""
	}
	c.service.counters.BadInput.Add(1)
	c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeProtocolViolation, "unknown kind of message", ""))
	return nil, "framing"
}

func (c *client) query(body []byte) (answer []byte, why string) {
	text, ok := pgwire.QueryText(body)
	if !ok {
		return c.badInput(pgwire.CodeProtocolViolation, "a query's text ends in one zero byte")
	}
	if len(bytes.TrimSpace(text)) == 0 {
		return pgwire.AppendReadyForQuery(pgwire.AppendEmptyQuery(nil)), ""
	}
	statement, err := pgwire.ParseStatement(text)
	if err != nil {
		return c.badInput(pgwire.CodeProtocolViolation, err.Error())
	}
	opType, ok := c.service.decider.knows(statement.OpType, statement.Group)
	if !ok {
		return c.badInput(pgwire.CodeInvalidParameterValue, "unknown op type or group")
	}
	c.ops++
	if answer = c.service.perform(newOp(opType, statement), c.disconnected); answer == nil {
		return nil, c.endReason
	}
	return answer, ""
}

func (c *client) badInput(code, why string) ([]byte, string) {
	c.service.counters.BadInput.Add(1)
	return pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, "ERROR", code, why, "")), ""
}
