package memberconn

import (
	"errors"
	"fmt"

	"github.com/samber/oops"

	"weirwind/internal/member/wire"
	"weirwind/internal/util/idempotency"
)

// maxBufferedRowBytes is how many bytes of rows are kept before they are spilled.
const maxBufferedRowBytes = 256 << 10

// Errors of replies.
var (
	// ErrNoReplyPending is the error of a reply that is read where none is pending.
	ErrNoReplyPending = errors.New("no answer is owed on this connection")
	// ErrNoStatus is the error of a reply that isn't one row of status.
	ErrNoStatus = errors.New("no row")
)

// UnexpectedMessageError is the error of a message that has no place in a reply.
type UnexpectedMessageError struct{ Message string }

// Error returns the beginning of the message.
func (e *UnexpectedMessageError) Error() string { return fmt.Sprintf("a member said %.40q", e.Message) }

// MisdirectedReplyError is the error of a reply to one of the system's own queries that bears a stamp: it belongs to
// another query.
type MisdirectedReplyError struct{ Stamp string }

// Error returns the beginning of the stamp.
func (e *MisdirectedReplyError) Error() string {
	return fmt.Sprintf("a member answered a question of ours as another's: %.40q", e.Stamp)
}

// Reply is a member's reply to one query.
type Reply struct {
	Rows     []string // whole messages; those that were spilled are not among them
	OK       bool     // DONE, not FAIL
	Text     string   // of DONE: the stamp; of FAIL: the code and what follows it
	Code     string   // of FAIL
	State    string   // of the session behind it
	Position wire.Position
}

// ReadReply reads the reply to the first query that has none. spill takes rows that are too many to keep; nil: all
// are kept.
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
	rowBytes, ended := 0, false
	for {
		line, err := c.Reader.ReadMessage()
		if err != nil {
			return reply, err
		}
		word, rest := wire.CutField(line)
		switch {
		case word == wire.MsgRow && !ended:
			reply.Rows = append(reply.Rows, line)
			rowBytes += len(line)
			if rowBytes > maxBufferedRowBytes && spill != nil {
				if err := spill(reply.Rows); err != nil {
					return reply, err
				}
				reply.Rows, rowBytes = nil, 0
			}
		case word == wire.MsgDone && !ended:
			reply.OK, reply.Text, ended = true, rest, true
		case word == wire.MsgFail && !ended:
			reply.Text, ended = rest, true
			reply.Code, _ = wire.CutField(rest)
		case word == wire.MsgReady && ended:
			c.endReply(&reply, rest)
			return reply, nil
		default:
			return reply, oops.In("answer").Wrap(&UnexpectedMessageError{Message: line})
		}
	}
}

// endReply takes the fields of READY.
func (c *Conn) endReply(reply *Reply, ready string) {
	state, position := wire.CutField(ready)
	reply.State = state
	reply.Position, _ = wire.ParsePosition(position)
	if !reply.Position.IsZero() {
		c.Position = reply.Position
	}
}
