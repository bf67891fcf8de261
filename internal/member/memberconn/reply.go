package memberconn

import (
	"errors"
	"fmt"

	"github.com/samber/oops"

	"weirwind/internal/member/wire"
	"weirwind/internal/util/idempotency"
)

// maxBufferedRowBytes is the number of bytes of rows beyond which the rows are passed to spill.
const maxBufferedRowBytes = 256 << 10

// Errors of replies.
var (
	// ErrNoReplyPending means that ReadReply was called while no reply was pending.
	ErrNoReplyPending = errors.New("no reply is pending on this connection")
	// ErrNoStatus means that a reply is not a single valid status row.
	ErrNoStatus = errors.New("the reply is not a status row")
)

// UnexpectedMessageError means that a message is not allowed at its position in a reply.
type UnexpectedMessageError struct{ Message string }

// Error returns a description with the first 40 characters of the message.
func (e *UnexpectedMessageError) Error() string {
	return fmt.Sprintf("unexpected message in a member's reply: %.40q", e.Message)
}

// MisdirectedReplyError means that the reply to an internal query bears a stamp, so it belongs to another query.
type MisdirectedReplyError struct{ Stamp string }

// Error returns a description with the first 40 characters of the stamp.
func (e *MisdirectedReplyError) Error() string {
	return fmt.Sprintf("the reply to an internal query has the stamp of another query: %.40q", e.Stamp)
}

// Reply is a member's reply to one query.
type Reply struct {
	Rows     []string      // complete ROW messages, without those that were passed to spill
	OK       bool          // true for DONE, false for FAIL
	Text     string        // the stamp of DONE, or the code of FAIL and the text after it
	Code     string        // the code of FAIL, "" for DONE
	State    string        // the session's state after the reply
	Position wire.Position // from READY, zero if it has none
}

// ReadReply reads the reply to the oldest query without one. Whenever the buffered rows exceed maxBufferedRowBytes, it
// passes them to spill; if spill is nil, it buffers all rows.
func (c *Conn) ReadReply(spill func([]string) error) (Reply, error) {
	if c.broken || len(c.pendingReplies) == 0 {
		c.broken = true
		return Reply{}, &idempotency.NoResponseError{Progress: idempotency.MaybeSent, Err: ErrNoReplyPending}
	}
	reply, err := c.readReply(spill)
	internal := c.pendingReplies[0]
	if err == nil && internal && reply.OK && reply.Text != wire.NoStamp {
		err = oops.In("answer").Wrap(&MisdirectedReplyError{Stamp: reply.Text})
	}
	if err != nil {
		c.broken = true
		return reply, &idempotency.NoResponseError{Progress: idempotency.MaybeSent, Err: err}
	}
	c.pendingReplies = c.pendingReplies[1:]
	return reply, nil
}

// readReply reads messages up to the READY that ends a reply.
func (c *Conn) readReply(spill func([]string) error) (Reply, error) {
	var reply Reply
	rowBytes, resultRead := 0, false
	for {
		line, err := c.Reader.ReadMessage()
		if err != nil {
			return reply, err
		}
		word, rest := wire.CutField(line)
		switch {
		case word == wire.MsgRow && !resultRead:
			reply.Rows = append(reply.Rows, line)
			rowBytes += len(line)
			if rowBytes > maxBufferedRowBytes && spill != nil {
				if err := spill(reply.Rows); err != nil {
					return reply, err
				}
				reply.Rows, rowBytes = nil, 0
			}
		case word == wire.MsgDone && !resultRead:
			reply.OK, reply.Text, resultRead = true, rest, true
		case word == wire.MsgFail && !resultRead:
			reply.Text, resultRead = rest, true
			reply.Code, _ = wire.CutField(rest)
		case word == wire.MsgReady && resultRead:
			c.applyReady(&reply, rest)
			return reply, nil
		default:
			return reply, oops.In("answer").Wrap(&UnexpectedMessageError{Message: line})
		}
	}
}

// applyReady parses the fields of READY into the reply and updates the connection's position.
func (c *Conn) applyReady(reply *Reply, ready string) {
	state, position := wire.CutField(ready)
	reply.State = state
	reply.Position, _ = wire.ParsePosition(position)
	if !reply.Position.IsZero() {
		c.Position = reply.Position
	}
}
