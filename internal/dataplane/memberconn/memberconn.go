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
	who      = "weirwind"
	mostRows = 256 << 10 // bytes of rows kept before they go on
	dark     = 4 * time.Second
)

// Conn is a connection to a member.
type Conn struct {
	C   net.Conn
	R   *wire.Reader
	Pos wire.Position // by its last answer

	owed   []bool // questions that wait for their answer, in order: whether one is the system's own
	broken bool   // an answer was lost, cut short or not understood
}

// own is the id of the system's own questions, whose answers bear no stamp.
const own = "-"

// ErrRefused is the error of a member that took the connection and has no place for it.
var ErrRefused = errors.New("refused")

// Dial makes one. refused: nothing takes connections there at all.
func Dial(m directory.Member, until time.Time) (c *Conn, refused bool, err error) {
	step := oops.In("dial").With("peer", m.Addr)
	nc, err := net.DialTimeout("tcp4", m.Addr, time.Until(until))
	if err != nil {
		return nil, !timeout(err), step.Wrap(err)
	}
	transport.SetUserTimeout(nc, dark)
	c = &Conn{C: nc, R: wire.NewReader(nc)}
	nc.SetDeadline(until)
	if _, err = io.WriteString(nc, wire.Attach+" "+m.Service+" "+who+" "+m.ID+"\r\n"); err != nil {
		nc.Close()
		return nil, false, step.Wrap(err)
	}
	line, err := c.R.Line()
	if err != nil {
		nc.Close()
		if timeout(err) {
			return nil, false, step.Wrap(err)
		}
		return nil, false, step.Wrapf(ErrRefused, "ended before it was ready: %v", err)
	}
	word, rest := wire.Cut(line)
	if word != wire.Ready {
		nc.Close()
		code, _ := wire.Cut(rest)
		return nil, false, step.With("code", code).Wrapf(ErrRefused, "%s", line)
	}
	_, p := wire.Cut(rest)
	c.Pos, _ = wire.ParsePosition(p)
	return c, false, nil
}

func timeout(err error) bool {
	var ne net.Error
	return errors.As(err, &ne) && ne.Timeout()
}

// Close ends it; what a transaction left open there is rolled back.
func (c *Conn) Close() { c.C.Close() }

// Alive looks, without waiting, whether the member has ended the connection.
func (c *Conn) Alive() bool {
	t, ok := c.C.(*net.TCPConn)
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
	return alive && c.R.Buffered() == 0
}

// Reply is one answer.
type Reply struct {
	Rows  []string // whole lines
	Done  bool
	Text  string // stamp, or code and text
	Code  string // of a failure
	State string
	Pos   wire.Position
}

// Query adds one to a batch.
func Query(b *strings.Builder, id string, parts ...string) {
	b.WriteString(wire.Query)
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

// ErrUnsettled is the error of a batch for a connection that has not answered the last one, or never will.
var ErrUnsettled = errors.New("an answer is owed on this connection")

// Settled says whether the connection may carry another's questions: nothing is owed, and nothing came that nobody
// asked for.
func (c *Conn) Settled() bool { return !c.broken && len(c.owed) == 0 && c.R.Buffered() == 0 }

// Write sends a batch of questions. What fails may have come to the member all the same, but where not a byte was
// taken.
func (c *Conn) Write(batch string, until time.Time) error {
	if !c.Settled() {
		c.broken = true
		return &idempotency.Unanswered{Progress: idempotency.Unsent, Err: ErrUnsettled}
	}
	for line := range strings.Lines(batch) {
		_, rest := wire.Cut(line)
		id, _ := wire.Cut(rest)
		c.owed = append(c.owed, id == own)
	}
	c.C.SetDeadline(until)
	n, err := io.WriteString(c.C, batch)
	if err == nil {
		return nil
	}
	c.broken = true
	progress := idempotency.Sent
	if n == 0 {
		progress = idempotency.Unsent
	}
	return &idempotency.Unanswered{Progress: progress, Err: err}
}

// Read reads the answer to the first question that waits for one. spill takes rows that are too many to keep; nil:
// they are kept.
func (c *Conn) Read(spill func([]string) error) (Reply, error) {
	if c.broken || len(c.owed) == 0 {
		c.broken = true
		return Reply{}, &idempotency.Unanswered{Progress: idempotency.Sent, Err: errors.New("no answer is owed on this connection")}
	}
	a, err := c.read(spill)
	if mine := c.owed[0]; err == nil && mine && a.Done && a.Text != wire.NoStamp {
		err = oops.In("answer").Errorf("a member answered a question of ours as another's: %.40q", a.Text)
	}
	if err != nil {
		c.broken = true
		return a, &idempotency.Unanswered{Progress: idempotency.Sent, Err: err}
	}
	c.owed = c.owed[1:]
	return a, nil
}

func (c *Conn) read(spill func([]string) error) (Reply, error) {
	var a Reply
	size, ended := 0, false
	for {
		line, err := c.R.Line()
		if err != nil {
			return a, err
		}
		word, rest := wire.Cut(line)
		switch {
		case word == wire.Row && !ended:
			a.Rows = append(a.Rows, line)
			if size += len(line); size > mostRows && spill != nil {
				if err := spill(a.Rows); err != nil {
					return a, err
				}
				a.Rows, size = nil, 0
			}
		case word == wire.Done && !ended:
			a.Done, a.Text, ended = true, rest, true
		case word == wire.Fail && !ended:
			a.Text, ended = rest, true
			a.Code, _ = wire.Cut(rest)
		case word == wire.Ready && ended:
			state, pos := wire.Cut(rest)
			a.State = state
			a.Pos, _ = wire.ParsePosition(pos)
			if !a.Pos.None() {
				c.Pos = a.Pos
			}
			return a, nil
		default:
			return a, oops.In("answer").Errorf("a member said %.40q", line)
		}
	}
}

// Ask puts one question of the system's own and gives its rows' fields; a refusal is an error.
func (c *Conn) Ask(text string, until time.Time) ([]string, error) {
	var b strings.Builder
	Query(&b, own, text)
	if err := c.Write(b.String(), until); err != nil {
		return nil, err
	}
	a, err := c.Read(nil)
	if err != nil {
		return nil, err
	}
	if !a.Done {
		return nil, &Refusal{a.Code, a.Text}
	}
	for i, r := range a.Rows {
		_, a.Rows[i] = wire.Cut(r)
	}
	return a.Rows, nil
}

// Refusal is a member's FAIL to a question.
type Refusal struct{ Code, Text string }

func (r *Refusal) Error() string { return r.Text }

// Stat asks for the member's state by STAT, or by a word that is answered with the same row.
func (c *Conn) Stat(text string, until time.Time) (wire.Status, error) {
	rows, err := c.Ask(text, until)
	if err != nil {
		return wire.Status{}, err
	}
	if len(rows) == 1 {
		if st, ok := wire.ParseStatus(rows[0]); ok {
			return st, nil
		}
	}
	return wire.Status{}, oops.In("stat").Errorf("no row")
}
