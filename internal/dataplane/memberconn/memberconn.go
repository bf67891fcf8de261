// Package memberconn is a connection to a member: how it is made, and how texts and answers go over it.
//
// The proxy's pools, its probes and the core's questions use it; it decides nothing.
//
// Answers bear no id: which question one belongs to is told by their order on the connection alone. So a connection
// takes the next batch only once each question of the last one was answered in full; one on which anything went wrong
// takes none, and is no use but to be closed. Whoever pools connections asks Settled.
package memberconn

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/util/idempotency"
	"weirwind/internal/util/transport"
)

const (
	clientName          = "weirwind"
	maxBufferedRowBytes = 256 << 10 // bytes of rows kept before they go on
	userTimeout         = 4 * time.Second
)

// Conn is a connection to a member.
type Conn struct {
	NetConn  net.Conn
	Reader   *wire.Reader
	Position wire.Position // by its last answer

	pendingReplies []bool // questions that wait for their answer, in order: whether one is the system's own
	broken         bool   // an answer was lost, cut short or not understood
}

// internalQueryID is the id of the system's internalQueryID questions, whose answers bear no stamp.
const internalQueryID = "-"

// ErrAttachRejected is the error of a member that took the connection and has no place for it.
var ErrAttachRejected = errors.New("refused")

// Dial makes one. refused: nothing takes connections there at all.
func Dial(m directory.Member, until time.Time) (c *Conn, refused bool, err error) {
	step := oops.In("dial").With("peer", m.Addr)
	nc, err := net.DialTimeout("tcp4", m.Addr, time.Until(until))
	if err != nil {
		return nil, !timeout(err), step.Wrap(err)
	}
	transport.SetUserTimeout(nc, userTimeout)
	c = &Conn{NetConn: nc, Reader: wire.NewReader(nc)}
	nc.SetDeadline(until)
	if _, err = io.WriteString(nc, wire.MsgAttach+" "+m.Service+" "+clientName+" "+m.ID+"\r\n"); err != nil {
		nc.Close()
		return nil, false, step.Wrap(err)
	}
	line, err := c.Reader.ReadMessage()
	if err != nil {
		nc.Close()
		if timeout(err) {
			return nil, false, step.Wrap(err)
		}
		return nil, false, step.Wrapf(ErrAttachRejected, "ended before it was ready: %v", err)
	}
	word, rest := wire.CutField(line)
	if word != wire.MsgReady {
		nc.Close()
		code, _ := wire.CutField(rest)
		return nil, false, step.With("code", code).Wrapf(ErrAttachRejected, "%s", line)
	}
	_, p := wire.CutField(rest)
	c.Position, _ = wire.ParsePosition(p)
	return c, false, nil
}

func timeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Close ends it; what a transaction left open there is rolled back.
func (c *Conn) Close() { c.NetConn.Close() }

// Alive looks, without waiting, whether the member has ended the connection.
func (c *Conn) Alive() bool {
	t, ok := c.NetConn.(*net.TCPConn)
	if !ok {
		return true
	}
	raw, err := t.SyscallConn()
	if err != nil {
		return false
	}
	alive := false
	var b [1]byte
	_ = raw.Control(func(fd uintptr) {
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		alive = n < 0 && (err == syscall.EAGAIN || err == syscall.EWOULDBLOCK)
	})
	return alive && c.Reader.Buffered() == 0
}

// Reply is one answer.
type Reply struct {
	Rows     []string // whole lines
	OK       bool
	Text     string // stamp, or code and text
	Code     string // of a failure
	State    string
	Position wire.Position
}

// AppendQuery adds one to a batch.
func AppendQuery(b *strings.Builder, id string, parts ...string) {
	b.WriteString(wire.MsgQuery)
	b.WriteByte(' ')
	b.WriteString(id)
	for _, p := range parts {
		if p != "" {
			b.WriteByte(' ')
			b.WriteString(p)
		}
	}
	b.WriteString("\r\n")
}

// ErrNotReusable is the error of a batch for a connection that has not answered the last one, or never will.
var ErrNotReusable = errors.New("an answer is owed on this connection")

// Reusable says whether the connection may carry another's questions: nothing is owed, and nothing came that nobody
// asked for.
func (c *Conn) Reusable() bool {
	return !c.broken && len(c.pendingReplies) == 0 && c.Reader.Buffered() == 0
}

// WriteBatch sends a batch of questions. What fails may have come to the member all the same, but where not a byte was
// taken.
func (c *Conn) WriteBatch(batch string, until time.Time) error {
	if !c.Reusable() {
		c.broken = true
		return &idempotency.NoResponseError{Progress: idempotency.NotSent, Err: ErrNotReusable}
	}
	for line := range strings.Lines(batch) {
		_, rest := wire.CutField(line)
		id, _ := wire.CutField(rest)
		c.pendingReplies = append(c.pendingReplies, id == internalQueryID)
	}
	c.NetConn.SetDeadline(until)
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

// ReadReply reads the answer to the first question that waits for one. spill takes rows that are too many to keep; nil:
// they are kept.
func (c *Conn) ReadReply(spill func([]string) error) (Reply, error) {
	if c.broken || len(c.pendingReplies) == 0 {
		c.broken = true
		return Reply{}, &idempotency.NoResponseError{Progress: idempotency.MaybeSent, Err: errors.New("no answer is owed on this connection")}
	}
	a, err := c.readReply(spill)
	if mine := c.pendingReplies[0]; err == nil && mine && a.OK && a.Text != wire.NoStamp {
		err = oops.In("answer").Errorf("a member answered a question of ours as another's: %.40q", a.Text)
	}
	if err != nil {
		c.broken = true
		return a, &idempotency.NoResponseError{Progress: idempotency.MaybeSent, Err: err}
	}
	c.pendingReplies = c.pendingReplies[1:]
	return a, nil
}

func (c *Conn) readReply(spill func([]string) error) (Reply, error) {
	var a Reply
	size, ended := 0, false
	for {
		line, err := c.Reader.ReadMessage()
		if err != nil {
			return a, err
		}
		word, rest := wire.CutField(line)
		switch {
		case word == wire.MsgRow && !ended:
			a.Rows = append(a.Rows, line)
			if size += len(line); size > maxBufferedRowBytes && spill != nil {
				if err := spill(a.Rows); err != nil {
					return a, err
				}
				a.Rows, size = nil, 0
			}
		case word == wire.MsgDone && !ended:
			a.OK, a.Text, ended = true, rest, true
		case word == wire.MsgFail && !ended:
			a.Text, ended = rest, true
			a.Code, _ = wire.CutField(rest)
		case word == wire.MsgReady && ended:
			state, pos := wire.CutField(rest)
			a.State = state
			a.Position, _ = wire.ParsePosition(pos)
			if !a.Position.IsZero() {
				c.Position = a.Position
			}
			return a, nil
		default:
			return a, oops.In("answer").Errorf("a member said %.40q", line)
		}
	}
}

// Query puts one question of the system's own and gives its rows' fields; a refusal is an error.
func (c *Conn) Query(text string, until time.Time) ([]string, error) {
	var b strings.Builder
	AppendQuery(&b, internalQueryID, text)
	if err := c.WriteBatch(b.String(), until); err != nil {
		return nil, err
	}
	a, err := c.ReadReply(nil)
	if err != nil {
		return nil, err
	}
	if !a.OK {
		return nil, &MemberError{a.Code, a.Text}
	}
	for i, r := range a.Rows {
		_, a.Rows[i] = wire.CutField(r)
	}
	return a.Rows, nil
}

// MemberError is a member's FAIL to a question.
type MemberError struct{ Code, Text string }

func (r *MemberError) Error() string { return r.Text }

// QueryStatus asks for the member's state by STAT, or by a word that is answered with the same row.
func (c *Conn) QueryStatus(text string, until time.Time) (wire.MemberStatus, error) {
	rows, err := c.Query(text, until)
	if err != nil {
		return wire.MemberStatus{}, err
	}
	if len(rows) == 1 {
		if st, ok := wire.ParseMemberStatus(rows[0]); ok {
			return st, nil
		}
	}
	return wire.MemberStatus{}, oops.In("stat").Errorf("no row")
}
