package driver

// This file owns the connections to members: opening, keeping and closing them, and one exchange on one of them,
// be it a send or a probe. It must never send anything twice, never share a connection between two requests,
// and never keep one whose last exchange did not end cleanly.

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"log/slog"
	"math"
	"net"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/pgwire"
	"weirwind/logic"
)

const (
	user, database = "svc", "main"
	idleShare      = 0.9 // of the time after which a member closes an idle connection: then this side does
	linkBuffer     = 4096
	settleTime     = 10 * time.Millisecond // after which the end of a connection that a member closed has come
	forgetTime     = time.Minute           // from when a removed member's address is not wanted any more
)

// result is how a send or a probe ended.
type result struct {
	member                   string
	outcome                  logic.Outcome
	opened                   time.Time // when the connection was
	rows                     []byte    // a good answer's messages, as they came
	value                    []byte    // the value in it
	role, reportRole         logic.Role
	position, reportPosition float64 // Unix ms; 0 for unknown
}

// members knows where members listen and keeps connections that can serve again.
type members struct {
	connectTime, idleTime time.Duration
	budget                *budget
	count                 *counters
	log                   *slog.Logger
	probeQuery            string

	mu    sync.Mutex
	hosts map[string]*host
}

type host struct {
	address string
	idle    []*link   // the newest last
	removed time.Time // by the list; zero while it is there
	used    time.Time // when a connection was last asked for since
}

// link is one connection to a member.
type link struct {
	net.Conn
	raw       syscall.RawConn
	r         *bufio.Reader
	member    string
	address   string
	opened    time.Time
	idleSince time.Time
	rested    time.Duration // before its last request
	served    int
}

// list takes down where members listen, in a whole list or in changes; connections to those that are removed are
// let go, and in time the member itself (see reap).
func (m *members) list(entries []discovery.Entry, whole bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := map[*host]bool{}
	for _, e := range entries {
		h := m.hosts[e.ID]
		if e.Phase == discovery.PhaseRemoved {
			m.remove(h)
			continue
		}
		if h == nil {
			h = &host{}
			m.hosts[e.ID] = h
		}
		if e.HostPort != h.address {
			m.letGo(h, "moved")
			h.address = e.HostPort
		}
		named[h], h.removed = true, time.Time{}
	}
	if whole {
		for _, h := range m.hosts {
			if !named[h] {
				m.remove(h)
			}
		}
	}
}

// remove notes that a member has left the list; the caller holds the lock.
func (m *members) remove(h *host) {
	if h != nil && h.removed.IsZero() {
		h.removed = time.Now()
		m.letGo(h, "removed")
	}
}

// letGo closes a member's idle connections; the caller holds the lock.
func (m *members) letGo(h *host, why string) {
	for _, l := range h.idle {
		m.end(l, why)
	}
	h.idle = nil
}

// reap closes connections that have been idle for long, until the context ends, and then all.
func (m *members) reap(ctx context.Context) {
	tick := time.NewTicker(max(m.idleTime/20, 10*time.Millisecond))
	defer tick.Stop()
	for done := false; !done; {
		limit := m.idleTime
		select {
		case <-ctx.Done():
			done, limit = true, -1
		case <-tick.C:
		}
		m.mu.Lock()
		for id, h := range m.hosts {
			if !h.removed.IsZero() && time.Since(h.removed) > forgetTime && time.Since(h.used) > forgetTime {
				m.letGo(h, "removed")
				delete(m.hosts, id)
			}
			n := 0
			for n < len(h.idle) && time.Since(h.idle[n].idleSince) > limit {
				m.count.IdleClosed.Add(1)
				m.end(h.idle[n], "idle")
				n++
			}
			h.idle = h.idle[n:]
		}
		m.mu.Unlock()
	}
}

// end closes a connection and leaves its line in the log.
func (m *members) end(l *link, why string) {
	l.Close()
	m.budget.give(1)
	m.count.Open.Add(-1)
	m.log.Info("member_closed", "member", l.member, "reason", why, "served", l.served,
		"age_ms", time.Since(l.opened).Milliseconds(), "rested_ms", l.rested.Milliseconds())
}

// kept takes the newest idle connection that is not broken, rather one that has settled: members close some right
// after an answer, and a request that crosses such an end may have run.
func (m *members) kept(member string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hosts[member]
	for h != nil && len(h.idle) > 0 {
		at := len(h.idle) - 1
		for i := at; i >= 0; i-- {
			if time.Since(h.idle[i].idleSince) > settleTime {
				at = i
				break
			}
		}
		l := h.idle[at]
		h.idle = slices.Delete(h.idle, at, at+1)
		switch l.rested = time.Since(l.idleSince); {
		case l.rested > m.idleTime:
			m.count.IdleClosed.Add(1)
			m.end(l, "idle")
		case l.broken():
			m.count.Broken.Add(1)
			m.end(l, "broken")
		default:
			return l
		}
	}
	return nil
}

func (m *members) keep(l *link) {
	l.idleSince = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hosts[l.member]
	if l.r.Buffered() > 0 || h == nil || h.address != l.address {
		m.end(l, "stale")
		return
	}
	h.idle = append(h.idle, l)
}

// broken says whether an idle connection has ended or holds bytes that nobody asked for.
func (l *link) broken() bool { return unread(l.raw) != 0 }

// unread says whether bytes wait on a connection: 0 for none, below if it has ended. Another may be reading there.
func unread(raw syscall.RawConn) (n int) {
	var err error
	if raw.Control(func(fd uintptr) {
		n, _, err = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	}) != nil || n <= 0 && err != syscall.EAGAIN {
		return -1
	}
	return max(n, 0)
}

// open connects to a member and waits for its welcome. The outcome tells why where there is none.
func (m *members) open(ctx context.Context, member string) (*link, logic.Outcome) {
	m.mu.Lock()
	address := ""
	if h := m.hosts[member]; h != nil {
		address, h.used = h.address, time.Now()
	}
	m.mu.Unlock()
	if !m.budget.take(1) && !m.spare() {
		return nil, logic.Full
	}
	m.count.Dials.Add(1)
	m.count.Open.Add(1)
	ctx, cancel := context.WithTimeout(ctx, m.connectTime)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		m.budget.give(1)
		m.count.Open.Add(-1)
		m.log.Info("member_closed", "member", member, "reason", "no_connection", "served", 0, "error", err)
		return nil, logic.ConnectFailed
	}
	l := &link{Conn: conn, r: bufio.NewReaderSize(conn, linkBuffer), member: member, address: address,
		opened: time.Now()}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if l.raw, err = conn.(*net.TCPConn).SyscallConn(); err != nil {
		m.end(l, "no_connection")
		return nil, logic.ConnectFailed
	}
	if _, err := conn.Write(pgwire.AppendStartup(nil, user, database)); err != nil {
		m.end(l, "no_welcome")
		return nil, logic.ConnectFailed
	}
	for {
		kind, message, err := pgwire.Read(l.r, nil)
		switch {
		case err != nil:
			m.end(l, "no_welcome")
			return nil, logic.ConnectFailed
		case kind == 'E':
			m.end(l, "turned_away")
			if pgwire.ErrorCode(pgwire.Body(message)) == pgwire.CodeBusy {
				return nil, logic.Full
			}
			return nil, logic.ConnectFailed
		case kind == 'Z':
			if stop() {
				return l, logic.OK
			}
			m.end(l, "no_welcome")
			return nil, logic.ConnectFailed
		}
	}
}

// spare closes the connection that has been idle the longest, to make room for another.
func (m *members) spare() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var from *host
	for _, h := range m.hosts {
		if len(h.idle) > 0 && (from == nil || h.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = h
		}
	}
	if from == nil {
		return false
	}
	m.end(from.idle[0], "spared")
	from.idle = from.idle[1:]
	return m.budget.take(1)
}

// send is one try at an op toward a member.
type send struct {
	m         *members
	member    string
	statement *pgwire.Statement // nil for a probe
	deadline  time.Time
	writeBy   time.Time // when what it was decided on is too old; zero where that does not age
	ctx       context.Context
	stop      context.CancelFunc

	writing   sync.Mutex // held while the request is written
	mu        sync.Mutex // guards what follows
	link      *link      // only while it is this send's
	cancelled bool
	barred    bool // nothing may be written any more
}

func (m *members) send(member string, s *pgwire.Statement, wait time.Duration) *send {
	x := &send{m: m, member: member, statement: s, deadline: time.Now().Add(wait)}
	x.ctx, x.stop = context.WithDeadline(context.Background(), x.deadline)
	return x
}

// cancel stops waiting; once it returns nothing more is written. It must not touch a connection that has gone
// back: another op may be on it.
func (x *send) cancel() {
	x.stop()
	x.mu.Lock()
	x.cancelled = true
	if x.link != nil {
		x.link.SetDeadline(time.Unix(1, 0))
	}
	x.mu.Unlock()
	x.bar()
}

// bar keeps a request from being written, and ends the writing of one that has begun.
func (x *send) bar() {
	x.mu.Lock()
	x.barred = true
	if x.link != nil {
		x.link.SetWriteDeadline(time.Unix(1, 0))
	}
	x.mu.Unlock()
	x.writing.Lock() // a write under way has ended
	defer x.writing.Unlock()
}

// attach makes a connection the send's own, so that cancel can end it; attach(nil) ends that.
func (x *send) attach(l *link) {
	x.mu.Lock()
	x.link = l
	x.mu.Unlock()
}

// answers leaves a member that has begun its answer only the time of a connect for the rest: one that does not
// end is spoilt, and one that is whole but for its end must not be lost for that.
func (x *send) answers() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if limit := time.Now().Add(x.m.connectTime); !x.cancelled && limit.Before(x.deadline) {
		x.link.SetReadDeadline(limit)
	}
}

// run carries the send out and tells how it ended.
func (x *send) run() result {
	defer x.stop()
	x.m.count.Sends.Add(1)
	r := x.exchange()
	if r.member = x.member; x.statement == nil {
		r.usage(r.value)
	}
	if c := x.m.count.of(r.outcome); c != nil {
		c.Add(1)
	}
	return r
}

func (x *send) exchange() result {
	l := x.m.kept(x.member)
	if l != nil {
		x.m.count.Reused.Add(1)
	} else {
		var outcome logic.Outcome
		if l, outcome = x.m.open(x.ctx, x.member); l == nil {
			return result{outcome: x.unlessEnded(outcome)}
		}
	}
	l.served++
	x.attach(l)
	begun, err := x.write(l)
	if err != nil {
		x.attach(nil)
		if begun {
			x.m.end(l, "cut")
		} else {
			l.served--
			l.SetDeadline(time.Time{})
			x.m.keep(l)
		}
		return result{outcome: x.unlessEnded(logic.ConnectFailed)}
	}
	r, clean, err := read(l.r, x.answers)
	r.opened = l.opened
	x.attach(nil)
	switch {
	case clean:
		l.SetDeadline(time.Time{})
		x.m.keep(l)
		return r
	case r.outcome == noOutcome && errors.Is(err, os.ErrDeadlineExceeded):
		if r.outcome = x.unlessEnded(logic.TimedOut); r.outcome == logic.TimedOut && time.Now().Before(x.deadline) {
			r.outcome = logic.Fault // the limit of answers was over: it had begun
		}
		x.m.end(l, word(r.outcome))
	case r.outcome == noOutcome && errors.Is(err, pgwire.ErrFraming):
		r.outcome = logic.Fault
		x.m.end(l, "garbled")
	case r.outcome == noOutcome:
		r.outcome = logic.Reset
		x.m.end(l, "reset")
	default: // an outcome came, and then the connection ended
		x.m.end(l, "ended")
	}
	return r
}

// unlessEnded is the outcome, but for a send that was cancelled, barred or out of time.
func (x *send) unlessEnded(outcome logic.Outcome) logic.Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.cancelled:
		return logic.Cancelled
	case (x.barred || x.ctx.Err() != nil) && outcome == logic.ConnectFailed:
		return logic.Moot // its time ran out, which is not the member's fault
	}
	return outcome
}

// write sends the request, unless that has been forbidden. Without an error its last byte is written.
func (x *send) write(l *link) (begun bool, err error) {
	x.mu.Lock()
	x.barred = x.barred || !x.writeBy.IsZero() && time.Now().After(x.writeBy)
	if x.barred || x.ctx.Err() != nil {
		x.mu.Unlock()
		return false, os.ErrDeadlineExceeded
	}
	x.writing.Lock()
	defer x.writing.Unlock()
	l.SetDeadline(x.deadline)
	x.mu.Unlock()
	var b net.Buffers
	if x.statement != nil {
		b = x.statement.Query(time.Until(x.deadline).Milliseconds())
	} else {
		b = net.Buffers{pgwire.AppendQuery(nil, x.m.probeQuery)}
	}
	_, err = b.WriteTo(l.Conn)
	return true, err
}

const noOutcome = logic.Outcome(255)

// read takes one answer up to ReadyForQuery. clean says that the connection can serve again; where it is not,
// err tells what ended it, and the outcome is the one that had come by then, or noOutcome. What is not exactly
// of the form is spoilt: it has no outcome, whatever it says, but for a good answer that was whole before.
// begins is called when the first byte has come.
func read(from *bufio.Reader, begins func()) (r result, clean bool, err error) {
	r.outcome = noOutcome
	if _, err := from.Peek(1); err != nil {
		return r, false, err
	}
	begins()
	spoilt := func() (result, bool, error) {
		if r.outcome != logic.OK {
			r = result{outcome: noOutcome}
		}
		return r, false, pgwire.ErrFraming
	}
	var rows []byte
	var last byte // of the messages that make an answer: T, D, then C or E
	for {
		before := len(rows)
		kind, message, err := pgwire.Read(from, rows)
		if errors.Is(err, pgwire.ErrFraming) || len(message) > 2*pgwire.MaxMessage { // no answer is so long
			return spoilt()
		}
		if err != nil {
			return r, false, err
		}
		body := pgwire.Body(message[before:])
		switch {
		case kind == 'T' && last == 0 && pgwire.RowDescription(body):
			rows, last = message, kind
		case kind == 'D' && last == 'T':
			var ok bool
			if r.value, ok = pgwire.DataRow(body); !ok {
				return spoilt()
			}
			rows, last = message, kind
		case kind == 'C' && last == 'D' && len(body) > 0 && body[len(body)-1] == 0:
			rows, last = message, kind
			r.outcome, r.rows = logic.OK, rows
		case kind == 'E' && (last == 0 || last == 'T' || last == 'D'):
			r.outcome = logic.Fault
			switch code := pgwire.ErrorCode(body); {
			case last != 0:
			case code == pgwire.CodeReadOnly || code == pgwire.CodeBehind:
				r.outcome = logic.Miss
			case code == pgwire.CodeBusy:
				r.outcome = logic.Full
			}
			last = kind
		case kind == 'S':
			r.note(body)
		case kind == 'Z' && (last == 'C' || last == 'E') && len(body) == 1:
			return r, true, nil
		case kind == 'N':
		default:
			return spoilt()
		}
	}
}

// note reads what a member tells of itself beside an answer. What does not parse is skipped.
func (r *result) note(body []byte) {
	name, value, ok := pgwire.Parameter(body)
	if !ok {
		return
	}
	switch string(name) {
	case "server_role":
		switch string(value) {
		case "writer":
			r.role = logic.Primary
		case "reader":
			r.role = logic.Replica
		}
	case "commit_clock":
		r.position, _ = figure(value)
	case "usage":
		r.usage(value)
	}
}

// usage reads a load report: x0 is a position, in seconds, and x1 is 1 from a primary, 0 from a replica. One that
// can't be read in full tells nothing. Only a note or a probe's row is one: an op's value is its client's,
// whatever it looks like.
func (r *result) usage(text []byte) {
	position, role := 0.0, logic.RoleUnknown
	for len(text) > 0 {
		var item []byte
		item, text, _ = bytes.Cut(text, []byte(","))
		name, value, _ := bytes.Cut(item, []byte("="))
		f, ok := figure(value)
		if !ok {
			return
		}
		switch {
		case string(name) == "x0":
			position = f * 1000
		case string(name) == "x1" && f == 1:
			role = logic.Primary
		case string(name) == "x1" && f == 0:
			role = logic.Replica
		}
	}
	r.reportPosition, r.reportRole = position, role
}

// figure reads a figure that a member wrote; 0 where it is none.
func figure(text []byte) (f float64, ok bool) {
	f, err := strconv.ParseFloat(string(text), 64)
	if err != nil || math.IsNaN(f) || math.IsInf(f, 0) {
		return 0, false
	}
	return f, true
}

// of is the counter of an outcome; nil where a good answer needs none.
func (c *counters) of(o logic.Outcome) *atomic.Int64 {
	return [...]*atomic.Int64{logic.OK: nil, logic.Miss: &c.Missed, logic.Full: &c.Full,
		logic.ConnectFailed: &c.NoConnection, logic.Moot: &c.Unsent, logic.Fault: &c.Faulted,
		logic.TimedOut: &c.TimedOut, logic.Reset: &c.Reset, logic.Cancelled: &c.Cancelled}[o]
}

func word(o logic.Outcome) string {
	switch o {
	case logic.Cancelled:
		return "cancelled"
	case logic.Fault:
		return "garbled"
	}
	return "timed_out"
}

// budget counts what may still be used: sockets, or bytes.
type budget struct {
	left atomic.Int64
}

func (b *budget) take(n int64) bool {
	if b.left.Add(-n) < 0 {
		b.left.Add(n)
		return false
	}
	return true
}

func (b *budget) give(n int64) { b.left.Add(n) }
