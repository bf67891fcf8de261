package hauteroute

// This file owns a member connection: how it is made, and how statements go over it.

import (
	"errors"
	"io"
	"net"
	"strings"
	"syscall"
	"time"

	"github.com/samber/oops"

	"weirwind/internal/altavia"
	"weirwind/internal/gr20"
	"weirwind/internal/monterosa"
	"weirwind/internal/viaalpina"
)

const (
	dialTime  = 700 * time.Millisecond
	probeTime = 500 * time.Millisecond
	who       = "weirwind"
	mostRows  = 256 << 10 // bytes of rows kept before they go on to the client
)

// conn is a connection to a member.
type conn struct {
	c       net.Conn
	r       *gr20.Reader
	carrier altavia.Carrier
	rested  float64
	pos     gr20.Position
}

var errRefused = errors.New("refused")

// dial makes one. An error that is not a refusal by name came of the network.
func dial(m monterosa.Member, until time.Time) (*conn, error) {
	step := oops.In("dial").With("peer", m.Addr)
	if most := time.Now().Add(dialTime); until.After(most) {
		until = most
	}
	nc, err := net.DialTimeout("tcp4", m.Addr, time.Until(until))
	if err != nil {
		return nil, step.Wrap(err)
	}
	viaalpina.Dark(nc, 4*time.Second)
	c := &conn{c: nc, r: gr20.NewReader(nc)}
	nc.SetDeadline(until)
	if _, err = io.WriteString(nc, gr20.Attach+" "+m.Svc+" "+who+" "+m.ID+"\r\n"); err != nil {
		nc.Close()
		return nil, step.Wrap(err)
	}
	line, err := c.r.Line()
	if err != nil {
		nc.Close()
		var ne net.Error
		if errors.As(err, &ne) && ne.Timeout() {
			return nil, step.Wrap(err)
		}
		return nil, step.Wrapf(errRefused, "ended before it was ready: %v", err) // it took the connection, and has no place for it
	}
	word, rest := gr20.Cut(line)
	if word != gr20.Ready {
		nc.Close()
		code, _ := gr20.Cut(rest)
		return nil, step.With("code", code).Wrapf(errRefused, "%s", line)
	}
	_, p := gr20.Cut(rest)
	c.pos, _ = gr20.ParsePosition(p)
	return c, nil
}

func (c *conn) close() { c.c.Close() }

// alive looks, without waiting, whether the member has ended the connection.
func (c *conn) alive() bool {
	t, ok := c.c.(*net.TCPConn)
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
	return alive && c.r.Buffered() == 0
}

// reply is one answer.
type reply struct {
	rows  []string
	done  bool
	text  string // stamp, or code and text
	code  string // of a failure
	state string
	pos   gr20.Position
}

// query adds one to a batch.
func query(b *strings.Builder, id string, parts ...string) {
	b.WriteString(gr20.Query)
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

func (c *conn) write(batch string, until time.Time) error {
	c.c.SetDeadline(until)
	_, err := io.WriteString(c.c, batch)
	return err
}

// read reads one answer. spill takes rows that are too many to keep; nil: they are kept.
func (c *conn) read(spill func([]string) error) (reply, error) {
	var a reply
	size, ended := 0, false
	for {
		line, err := c.r.Line()
		if err != nil {
			return a, err
		}
		word, rest := gr20.Cut(line)
		switch {
		case word == gr20.Row && !ended:
			a.rows = append(a.rows, line)
			if size += len(line); size > mostRows && spill != nil {
				if err := spill(a.rows); err != nil {
					return a, err
				}
				a.rows, size = nil, 0
			}
		case word == gr20.Done && !ended:
			a.done, a.text, ended = true, rest, true
		case word == gr20.Fail && !ended:
			a.text, ended = rest, true
			a.code, _ = gr20.Cut(rest)
		case word == gr20.Ready && ended:
			state, pos := gr20.Cut(rest)
			a.state = state
			a.pos, _ = gr20.ParsePosition(pos)
			if !a.pos.None() {
				c.pos = a.pos
			}
			return a, nil
		default:
			return a, oops.In("answer").Errorf("a member said %.40q", line)
		}
	}
}

// probe asks a member for its state over a connection of its own.
func probe(m monterosa.Member) (gr20.Status, error) {
	until := time.Now().Add(probeTime)
	c, err := dial(m, until)
	if err != nil {
		return gr20.Status{}, err
	}
	defer c.close()
	if err := c.write("QUERY - STAT\r\n", until); err != nil {
		return gr20.Status{}, err
	}
	a, err := c.read(nil)
	if err != nil {
		return gr20.Status{}, err
	}
	if len(a.rows) == 1 {
		if st, ok := gr20.ParseStatus(strings.TrimPrefix(a.rows[0], "ROW ")); ok {
			return st, nil
		}
	}
	return gr20.Status{}, oops.In("probe").With("peer", m.Addr).Errorf("no row: %s", a.text)
}
