package driver

import (
	"errors"
	"os"
	"time"

	"weirwind/internal/pgwire"
)

const (
	maxPipelined      = 16      // messages in a row that may come before the answer to the one before
	largeMessageBytes = 8 << 10 // from here a message's body is taken from the message budget
)

// message is what the reader passes to the main goroutine: a message, or why framing is lost.
type message struct {
	kind          byte
	body          []byte
	budgetBytes   int64 // taken from the message budget; whoever takes the message releases them
	overBudget    bool  // there was no room for its body, which was dropped
	overPipelined bool  // too many came before their answers
	framingErr    error
}

// readLoop passes messages on until the client leaves or framing is lost. It goes on reading while a message is being
// answered, to notice a client that leaves.
func (c *client) readLoop() {
	for first := true; ; first = false {
		c.countPipelined()
		_, err := c.reader.Peek(1)
		if !c.beginMessage() {
			c.disconnect(clientEvicted)
			return
		}
		if err == nil && first {
			c.conn.SetReadDeadline(time.Time{})
		}
		var m message
		timeoutReason := clientSilent
		if err == nil {
			timeoutReason = clientUnfinished
			m, err = c.readMessage()
		}
		switch {
		case errors.Is(err, pgwire.ErrFraming):
			c.deliver(message{framingErr: err})
			c.drain() // until the client has seen why
			return
		case errors.Is(err, os.ErrDeadlineExceeded):
			c.disconnect(timeoutReason)
			return
		case err != nil:
			c.disconnect(clientLeft)
			return
		case m.kind == 'X':
			c.disconnect(clientTerminated)
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

// countPipelined counts messages whose first bytes are there before the reader waits for them.
func (c *client) countPipelined() {
	if c.reader.Buffered() > 0 || unread(c.raw) > 0 {
		c.pipelined++
	} else {
		c.pipelined = 0
	}
}

// readMessage reads one message, which must be complete in time. A large one for which the message budget has no room
// is read and dropped.
func (c *client) readMessage() (msg message, err error) {
	if head, _ := c.reader.Peek(min(c.reader.Buffered(), 5)); !pgwire.Buffered(head, c.reader.Buffered()) {
		c.conn.SetReadDeadline(time.Now().Add(messageTimeout)) // it holds memory that others want
		defer c.conn.SetReadDeadline(time.Time{})
	}
	kind, n, err := pgwire.ReadHeader(c.reader)
	if msg.kind = kind; err != nil {
		return msg, err
	}
	if n > largeMessageBytes {
		if !c.service.messageBudget.acquire(int64(n)) {
			msg.overBudget = true
			_, err = c.reader.Discard(n)
			return msg, err
		}
		msg.budgetBytes = int64(n)
	}
	if msg.body, err = pgwire.ReadBody(c.reader, nil, n); err != nil {
		c.service.messageBudget.release(msg.budgetBytes)
		msg.budgetBytes = 0
	}
	return msg, err
}

// deliver passes a message on; false where nobody takes messages any more.
func (c *client) deliver(msg message) bool {
	select {
	case c.messages <- msg:
		return true
	case <-c.answered:
		return false
	}
}

// disconnect tells the main goroutine, and the op that it waits for, that the client has left.
func (c *client) disconnect(reason clientClose) {
	c.endReason = reason
	close(c.disconnected)
}
