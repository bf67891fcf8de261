package driver

import (
	"bufio"
	"errors"
	"io"
	"net"
	"syscall"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/pgwire"
)

const (
	clientBufferBytes  = 2048
	messageTimeout     = 2500 * time.Millisecond // for a first query, and from the first byte of a message to its last
	clientWriteTimeout = 2500 * time.Millisecond // for a client to take an answer
	lingerTimeout      = 500 * time.Millisecond  // for a client to see the last answer before the connection is closed
	maxDrainBytes      = 1 << 20                 // read and dropped meanwhile
)

// client is a connection of a client. Its main goroutine (run) answers messages in order; its reader goroutine
// (readLoop) reads ahead by one message and notices when the client leaves.
type client struct {
	service  *Service
	conn     *net.TCPConn
	raw      syscall.RawConn
	reader   *bufio.Reader
	openedAt time.Time

	messages     chan message
	disconnected chan struct{} // closed by the reader when the client has left; endReason is set by then
	endReason    clientClose
	answered     chan struct{} // closed by the main goroutine when it answers no more
	ops          int           // the main goroutine's: for the log

	pipelined     int  // the reader's: messages in a row that came before the answer to the one before
	skipUntilSync bool // the main goroutine's: after a message of the extended protocol

	// Under the lock of the service's clients.
	openMessages     int       // begun and not yet answered; the startup is one
	finishedMessages int       // answered, with the startup
	changedAt        time.Time // the last change of either count
	evicted          bool      // it is being closed in favour of other clients
	slotReassigned   bool      // its place in the budget is another client's already
}

// beginMessage notes that a message is on its way; false where the client is evicted.
func (c *client) beginMessage() bool {
	c.service.clients.mu.Lock()
	defer c.service.clients.mu.Unlock()
	c.openMessages++
	c.changedAt = time.Now()
	return !c.evicted
}

// finishMessage notes that a message has been answered.
func (c *client) finishMessage() {
	c.service.clients.mu.Lock()
	defer c.service.clients.mu.Unlock()
	c.openMessages--
	c.finishedMessages++
	c.changedAt = time.Now()
}

// run serves a client that was admitted, up to the close of its connection.
func (c *client) run() {
	var reader errgroup.Group
	reason := c.serve(&reader)
	close(c.answered)
	c.conn.CloseWrite()
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_ = reader.Wait() // its functions return no error
	c.conn.Close()
	c.service.removeClient(c)
	c.logClosed(reason)
	select {
	case m := <-c.messages:
		c.service.messageBudget.release(m.budgetBytes)
	default:
	}
}

// serve answers what a client sends, one message after the other. It returns the reason for the end.
func (c *client) serve(reader *errgroup.Group) (reason clientClose) {
	if reason = c.startup(); reason != clientGoesOn {
		return reason
	}
	reader.Go(func() error { c.readLoop(); return nil })
	for {
		m, reason := c.nextMessage()
		if reason != clientGoesOn {
			return reason
		}
		if m.framingErr != nil {
			c.service.counters.BadInput.Add(1)
			c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeProtocolViolation, m.framingErr.Error(), ""))
			return clientFramingLost
		}
		answer, reason := c.answer(m)
		c.service.messageBudget.release(m.budgetBytes)
		if reason == clientGoesOn && answer != nil {
			reason = c.write(answer)
		}
		if c.finishMessage(); reason == clientGoesOn && c.service.stopping() && m.kind == 'Q' {
			reason = clientShutdown
		}
		if reason != clientGoesOn {
			return reason
		}
	}
}

// nextMessage waits for a message. One that has come is answered even if the client has left since or the service
// stops: it may have been sent before either.
func (c *client) nextMessage() (msg message, endReason clientClose) {
	select {
	case msg = <-c.messages:
		return msg, clientGoesOn
	default:
	}
	select {
	case msg = <-c.messages:
		return msg, clientGoesOn
	case <-c.disconnected:
		return msg, c.endReason
	case <-c.service.acceptEnded:
		return msg, clientShutdown
	}
}

// startup declines requests for encryption and welcomes any user.
func (c *client) startup() (endReason clientClose) {
	c.conn.SetDeadline(c.openedAt.Add(messageTimeout))
	if _, err := c.reader.Peek(1); !c.beginMessage() {
		return clientEvicted
	} else if err != nil {
		return clientNoStartup
	}
	for range 3 {
		kind, minor, err := pgwire.ReadStartup(c.reader)
		switch {
		case errors.Is(err, pgwire.ErrFraming):
			c.service.counters.BadInput.Add(1)
			c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeProtocolViolation, err.Error(), ""))
			return clientFramingLost
		case err != nil:
			return clientNoStartup
		case kind == pgwire.StartupCancel:
			return clientCancelRequest
		case kind == pgwire.StartupEncrypt:
			if endReason = c.write([]byte{'N'}); endReason != clientGoesOn {
				return endReason
			}
			continue
		}
		endReason = c.write(pgwire.AppendStartupResponse(nil, minor))
		c.conn.SetReadDeadline(c.openedAt.Add(messageTimeout)) // up to the first byte of a query
		c.finishMessage()
		return endReason
	}
	return clientNoStartup
}

func (c *client) write(b []byte) (endReason clientClose) {
	c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := c.conn.Write(b); err != nil {
		return clientWriteFailed
	}
	return clientGoesOn
}

// drain reads and drops what a client still sends, up to a limit: unread bytes would make the close a reset, by which
// the client could lose the last answer.
func (c *client) drain() { _, _ = io.CopyN(io.Discard, c.conn, maxDrainBytes) }

func (c *client) logClosed(reason clientClose) {
	c.service.log.Info("client_closed", "client", c.conn.RemoteAddr().String(), "reason", string(reason), "ops", c.ops,
		"age_ms", time.Since(c.openedAt).Milliseconds())
}
