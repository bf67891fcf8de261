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

// internalQueryID is the id of the system's own queries, whose replies bear no stamp.
const internalQueryID = "-"

// ErrNotReusable is the error of a batch for a connection that has not replied to the last one, or never will.
var ErrNotReusable = errors.New("an answer is owed on this connection")

// AppendQuery appends a query to a batch. Empty parts are left out.
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

// WriteBatch sends a batch of queries, whose replies are to be read by the deadline. After an error the member may
// still have received some of them, unless it is an idempotency.NoResponseError with NotSent: not a byte was taken.
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
	n, err := io.WriteString(c.NetConn, batch)
	if err == nil {
		return nil
	}
	c.broken = true
	progress := idempotency.MaybeSent
	if n == 0 {
		progress = idempotency.NotSent
	}
	return &idempotency.NoResponseError{Progress: progress, Err: err}
}

// MemberError is a member's FAIL to a query.
type MemberError struct {
	Code string
	Text string // the code and what follows it
}

// Error returns the text.
func (e *MemberError) Error() string { return e.Text }

// Query sends one query of the system's own and returns the fields of each row of the reply. A FAIL is a *MemberError.
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

// QueryStatus queries the member's status by STAT, or by another statement that is replied to with the same row.
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
