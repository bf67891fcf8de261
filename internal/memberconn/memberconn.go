// Package memberconn is a connection to a member: how it is made, and how texts and answers go over it.
//
// This file owns its socket. The proxy's pools, its probes and the core's questions use it; it decides nothing.
package memberconn

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/directory"
	"weirwind/internal/transport"
	"weirwind/internal/wire"
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
}

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
	if _, err = io.WriteString(nc, wire.Attach+" "+m.Svc+" "+who+" "+m.ID+"\r\n"); err != nil {
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

// Write sends a batch.
func (c *Conn) Write(batch string, until time.Time) error {
	c.C.SetDeadline(until)
	_, err := io.WriteString(c.C, batch)
	return err
}

// Read reads one answer. spill takes rows that are too many to keep; nil: they are kept.
func (c *Conn) Read(spill func([]string) error) (Reply, error) {
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
	Query(&b, "-", text)
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
