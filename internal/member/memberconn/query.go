package memberconn

import (
	"errors"
	"io"
	"strings"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/member/wire"
	"weirwind/internal/util/idempotency"
)

// internalQueryID is the id of internal queries. Replies to them bear no stamp.
const internalQueryID = "-"

// ErrNotReusable means that a batch can't be written, as replies to the last one are pending or the connection is
// broken.
var ErrNotReusable = errors.New("the connection is not reusable: a reply is pending or was lost")

// AppendQuery appends a query to a batch. It skips empty parts.
func AppendQuery(batch *strings.Builder, id string, parts ...string) {
	batch.WriteString(wire.MsgQuery)
	batch.WriteByte(' ')
	batch.WriteString(id)
	for _, part := range parts {
		if part != "" {
			batch.WriteByte(' ')
			batch.WriteString(part)
		}
	}
	batch.WriteString("\r\n")
}

// WriteBatch sends a batch of queries and sets the deadline for reading their replies. After an error the member may
// have received some of the queries, unless the error is an idempotency.NoResponseError with NotSent: then no byte was
// sent.
func (c *Conn) WriteBatch(batch string, deadline time.Time) error {
	if !c.Reusable() {
		c.broken = true
		return &idempotency.NoResponseError{Progress: idempotency.NotSent, Err: ErrNotReusable}
	}
	for line := range strings.Lines(batch) {
		_, rest := wire.CutField(line)
		id, _ := wire.CutField(rest)
		c.pendingReplies = append(c.pendingReplies, id == internalQueryID)
	}
	c.NetConn.SetDeadline(deadline)
	written, err := io.WriteString(c.NetConn, batch)
	if err == nil {
		return nil
	}
	c.broken = true
	progress := idempotency.MaybeSent
	if written == 0 {
		progress = idempotency.NotSent
	}
	return &idempotency.NoResponseError{Progress: progress, Err: err}
}

// MemberError is a member's FAIL reply to a query.
type MemberError struct {
	Code string
	Text string // the code and the text after it
}

// Error returns the text.
func (e *MemberError) Error() string { return e.Text }

// Query sends one internal query and returns the fields of each row of the reply. For a FAIL it returns a *MemberError.
func (c *Conn) Query(text string, deadline time.Time) ([]string, error) {
	var batch strings.Builder
	AppendQuery(&batch, internalQueryID, text)
	if err := c.WriteBatch(batch.String(), deadline); err != nil {
		return nil, err
	}
	reply, err := c.ReadReply(nil)
	if err != nil {
		return nil, err
	}
	if !reply.OK {
		return nil, &MemberError{Code: reply.Code, Text: reply.Text}
	}
	for i, row := range reply.Rows {
		_, reply.Rows[i] = wire.CutField(row)
	}
	return reply.Rows, nil
}

// QueryStatus sends STAT, or another statement whose reply is a status row, and returns the status.
func (c *Conn) QueryStatus(text string, deadline time.Time) (wire.MemberStatus, error) {
	rows, err := c.Query(text, deadline)
	if err != nil {
		return wire.MemberStatus{}, err
	}
	if len(rows) == 1 {
		if status, ok := wire.ParseMemberStatus(rows[0]); ok {
			return status, nil
		}
	}
	return wire.MemberStatus{}, oops.In("stat").Wrap(ErrNoStatus)
}
