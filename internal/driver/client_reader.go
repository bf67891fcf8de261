package driver

import (
	"errors"
	"os"
	"time"

	"weirwind/internal/pgwire"
)

const (
	maxPipelined      = 16      // consecutive messages that may arrive before the previous answer
	largeMessageBytes = 8 << 10 // bodies larger than this are taken from the message budget
)

// message is what the reader passes to the main goroutine: a message, or a framing error.
type message struct {
	kind          byte
	body          []byte
	budgetBytes   int64 // taken from the message budget; the receiver of the message releases them
	overBudget    bool  // the budget had no room for its body, which was dropped
	overPipelined bool  // too many messages arrived before their answers
	framingErr    error
}

// readLoop delivers messages until the client disconnects or a framing error occurs. It keeps reading while a message
// is being answered, to detect a client that disconnects.
func (c *client) readLoop() {
	for first := true; ; first = false {
		c.updatePipelinedCount()
		_, err := c.reader.Peek(1)
		if !c.beginMessage() {
			c.disconnect(clientEvicted)
			return
		}
		if err == nil && first {
			c.conn.SetReadDeadline(time.Time{})
		}
		var msg message
		timeoutReason := clientNoQuery
		if err == nil {
			timeoutReason = clientIncompleteMessage
			msg, err = c.readMessage()
		}
		switch {
		case errors.Is(err, pgwire.ErrFraming):
			c.deliver(message{framingErr: err})
			c.drain() // until the client has received the error
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.disconnect(timeoutReason)
			return
		case err != nil:
			c.disconnect(clientClosed)
			return
		case msg.kind == 'X':
			c.disconnect(clientTerminated)
			return
		}
		msg.overPipelined = c.pipelinedCount > maxPipelined
		if !c.deliver(msg) {
			c.service.messageBudget.release(msg.budgetBytes)
			c.drain()
			return
		}
	}
}

// updatePipelinedCount counts consecutive messages whose first bytes have arrived before the reader waits for them.
func (c *client) updatePipelinedCount() {
	if c.reader.Buffered() > 0 || unreadBytes(c.rawConn) > 0 {
		c.pipelinedCount++
	} else {
		c.pipelinedCount = 0
	}
}

// readMessage reads one message, which must be complete within messageTimeout. A large message for which the message
// budget has no room is read and dropped.
func (c *client) readMessage() (msg message, err error) {
	if header, _ := c.reader.Peek(min(c.reader.Buffered(), 5)); !pgwire.Buffered(header, c.reader.Buffered()) {
		c.conn.SetReadDeadline(time.Now().Add(messageTimeout)) // an incomplete message occupies shared memory
		defer c.conn.SetReadDeadline(time.Time{})
	}
	kind, size, err := pgwire.ReadHeader(c.reader)
	if msg.kind = kind; err != nil {
		return msg, err
	}
	if size > largeMessageBytes {
		if !c.service.messageBudget.acquire(int64(size)) {
			msg.overBudget = true
			_, err = c.reader.Discard(size)
			return msg, err
		}
		msg.budgetBytes = int64(size)
	}
	if msg.body, err = pgwire.ReadBody(c.reader, nil, size); err != nil {
		c.service.messageBudget.release(msg.budgetBytes)
		msg.budgetBytes = 0
	}
	return msg, err
}

// deliver passes a message to the main goroutine. It returns false if that goroutine has ended serving.
func (c *client) deliver(msg message) bool {
	select {
	case c.messages <- msg:
		return true
	case <-c.serveEnded:
		return false
	}
}

// disconnect notifies the main goroutine, and the op that it waits for, that the client has disconnected.
func (c *client) disconnect(reason clientClose) {
	c.endReason = reason
	close(c.disconnected)
}
