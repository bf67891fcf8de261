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
	maxDrainBytes      = 1 << 20                 // bytes read and dropped during lingerTimeout
)

// client is a connection of a client. Its main goroutine (run) answers messages in order; its reader goroutine
// (readLoop) reads one message ahead and detects when the client disconnects.
type client struct {
	service  *Service
	conn     *net.TCPConn
	rawConn  syscall.RawConn
	reader   *bufio.Reader
	openedAt time.Time

	messages     chan message
	disconnected chan struct{} // closed by the reader when the client has disconnected; endReason is set before
	endReason    clientClose
	serveEnded   chan struct{} // closed by the main goroutine when it has ended serving
	opCount      int           // for the log; used by the main goroutine only

	pipelinedCount int  // consecutive messages that arrived before the previous answer; used by the reader only
	skipUntilSync  bool // after a message of the extended protocol; used by the main goroutine only

	// Guarded by the lock of the service's clients.
	openMessages     int       // messages that were begun and not yet answered, including the startup
	finishedMessages int       // answered messages, including the startup
	changedAt        time.Time // the last change of either count
	evicted          bool      // it is being closed to make room for other clients
	slotReassigned   bool      // its slot in the budget already belongs to another client
}

// beginMessage records that a message is arriving. It returns false if the client has been evicted.
func (c *client) beginMessage() bool {
	c.service.clients.mu.Lock()
	defer c.service.clients.mu.Unlock()
	c.openMessages++
	c.changedAt = time.Now()
	return !c.evicted
}

// finishMessage records that a message has been answered.
func (c *client) finishMessage() {
	c.service.clients.mu.Lock()
	defer c.service.clients.mu.Unlock()
	c.openMessages--
	c.finishedMessages++
	c.changedAt = time.Now()
}

// run serves an admitted client until its connection is closed.
func (c *client) run() {
	var reader errgroup.Group
	reason := c.serve(&reader)
	close(c.serveEnded)
	c.conn.CloseWrite()
	c.conn.SetReadDeadline(time.Now().Add(lingerTimeout))
	_ = reader.Wait() // its functions return no error
	c.conn.Close()
	c.service.removeClient(c)
	c.logClosed(reason)
	select {
	case msg := <-c.messages:
		c.service.messageBudget.release(msg.budgetBytes)
	default:
	}
}

// serve answers a client's messages one after the other, and returns why the connection ends.
func (c *client) serve(reader *errgroup.Group) (reason clientClose) {
	if reason = c.startup(); reason != clientOpen {
		return reason
	}
	reader.Go(func() error { c.readLoop(); return nil })
	for {
		msg, reason := c.nextMessage()
		if reason != clientOpen {
			return reason
		}
		if msg.framingErr != nil {
			c.service.counters.BadInput.Add(1)
			c.write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeProtocolViolation, msg.framingErr.Error(), ""))
			return clientFramingError
		}
		answer, reason := c.answer(msg)
		c.service.messageBudget.release(msg.budgetBytes)
		if reason == clientOpen && answer != nil {
			reason = c.write(answer)
		}
		if c.finishMessage(); reason == clientOpen && c.service.stopping() && msg.kind == 'Q' {
			reason = clientShutdown
		}
		if reason != clientOpen {
			return reason
		}
	}
}

// nextMessage waits for a message. A message that has arrived is answered even if the client has disconnected or the
// service is stopping: it may have been sent before either.
func (c *client) nextMessage() (msg message, endReason clientClose) {
	select {
	case msg = <-c.messages:
		return msg, clientOpen
	default:
	}
	select {
	case msg = <-c.messages:
		return msg, clientOpen
	case <-c.disconnected:
		return msg, c.endReason
	case <-c.service.acceptEnded:
		return msg, clientShutdown
	}
}

// startup declines requests for encryption and accepts any user.
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
			return clientFramingError
		case err != nil:
			return clientNoStartup
		case kind == pgwire.StartupCancel:
			return clientCancelRequest
		case kind == pgwire.StartupEncrypt:
			if endReason = c.write([]byte{'N'}); endReason != clientOpen {
				return endReason
			}
			continue
		}
		endReason = c.write(pgwire.AppendStartupResponse(nil, minor))
		c.conn.SetReadDeadline(c.openedAt.Add(messageTimeout)) // until the first byte of a query
		c.finishMessage()
		return endReason
	}
	return clientNoStartup
}

func (c *client) write(data []byte) (endReason clientClose) {
	c.conn.SetWriteDeadline(time.Now().Add(clientWriteTimeout))
	if _, err := c.conn.Write(data); err != nil {
		return clientWriteFailed
	}
	return clientOpen
}

// drain reads and drops what a client still sends, up to a limit: closing a connection with unread bytes resets it, and
// the client could lose the last answer.
func (c *client) drain() { _, _ = io.CopyN(io.Discard, c.conn, maxDrainBytes) }

func (c *client) logClosed(reason clientClose) {
	c.service.log.Info("client_closed", "client", c.conn.RemoteAddr().String(), "reason", string(reason), "ops", c.opCount,
		"age_ms", time.Since(c.openedAt).Milliseconds())
}
