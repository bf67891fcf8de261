package driver

// This file owns the connections to members: opening, keeping and closing them, and one exchange on one of them,
// be it a send or a probe. It must never send anything twice, never share a connection between two requests,
// and never keep one whose last exchange did not end cleanly.

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/pgwire"
	"weirwind/logic"
)

const (
	user, database    = "svc", "main"
	idleTimeoutShare  = 0.9 // of the time after which a member closes an idle connection: then this side does
	memberBufferBytes = 4096
	settleTime        = 10 * time.Millisecond // after which the end of a connection that a member closed has come
	forgetAfter       = time.Minute           // from when a removed member's address is not wanted any more
)

// pool knows where members listen and keeps connections that can serve again.
type pool struct {
	connectTimeout, idleTimeout time.Duration
	budget                      *budget
	counters                    *counters
	log                         *slog.Logger
	healthCheckQuery            string

	mu      sync.Mutex
	members map[string]*memberConns
}

type memberConns struct {
	address    string
	idle       []*memberConn // the newest last
	removedAt  time.Time     // by the list; zero while it is there
	lastDialed time.Time     // when a connection was last asked for since
}

// link is one connection to a member.
type memberConn struct {
	net.Conn
	raw       syscall.RawConn
	reader    *bufio.Reader
	member    string
	address   string
	openedAt  time.Time
	idleSince time.Time
	idleFor   time.Duration // before its last request
	served    int
}

// setMembers takes down where members listen, in a whole list or in changes; connections to those that are removed are
// let go, and in time the member itself (see reap).
func (m *pool) setMembers(entries []discovery.Entry, complete bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	named := map[*memberConns]bool{}
	for _, e := range entries {
		h := m.members[e.ID]
		if e.Phase == discovery.PhaseRemoved {
			m.remove(h)
			continue
		}
		if h == nil {
			h = &memberConns{}
			m.members[e.ID] = h
		}
		if e.Address != h.address {
			m.closeIdle(h, "moved")
			h.address = e.Address
		}
		named[h], h.removedAt = true, time.Time{}
	}
	if complete {
		for _, h := range m.members {
			if !named[h] {
				m.remove(h)
			}
		}
	}
}

// remove notes that a member has left the list; the caller holds the lock.
func (m *pool) remove(h *memberConns) {
	if h != nil && h.removedAt.IsZero() {
		h.removedAt = time.Now()
		m.closeIdle(h, "removed")
	}
}

// closeIdle closes a member's idle connections; the caller holds the lock.
func (m *pool) closeIdle(h *memberConns, why string) {
	for _, l := range h.idle {
		m.closeConn(l, why)
	}
	h.idle = nil
}

// reap closes connections that have been idle for long, until the context ends, and then all.
func (m *pool) reap(ctx context.Context) {
	tick := time.NewTicker(max(m.idleTimeout/20, 10*time.Millisecond))
	defer tick.Stop()
	for done := false; !done; {
		limit := m.idleTimeout
		select {
		case <-ctx.Done():
			done, limit = true, -1
		case <-tick.C:
		}
		m.mu.Lock()
		for id, h := range m.members {
			if !h.removedAt.IsZero() && time.Since(h.removedAt) > forgetAfter && time.Since(h.lastDialed) > forgetAfter {
				m.closeIdle(h, "removed")
				delete(m.members, id)
			}
			n := 0
			for n < len(h.idle) && time.Since(h.idle[n].idleSince) > limit {
				m.counters.IdleClosed.Add(1)
				m.closeConn(h.idle[n], "idle")
				n++
			}
			h.idle = h.idle[n:]
		}
		m.mu.Unlock()
	}
}

// closeLink closes a connection and leaves its line in the log.
func (m *pool) closeConn(l *memberConn, why string) {
	l.Close()
	m.budget.release(1)
	m.counters.Open.Add(-1)
	m.log.Info("member_closed", "member", l.member, "reason", why, "served", l.served,
		"age_ms", time.Since(l.openedAt).Milliseconds(), "rested_ms", l.idleFor.Milliseconds())
}

// takeIdle takes the newest idle connection that is not broken, rather one that has settled: members close some right
// after an answer, and a request that crosses such an end may have run.
func (m *pool) takeIdle(member string) *memberConn {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.members[member]
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
		switch l.idleFor = time.Since(l.idleSince); {
		case l.idleFor > m.idleTimeout:
			m.counters.IdleClosed.Add(1)
			m.closeConn(l, "idle")
		case l.broken():
			m.counters.Broken.Add(1)
			m.closeConn(l, "broken")
		default:
			return l
		}
	}
	return nil
}

func (m *pool) putIdle(l *memberConn) {
	l.idleSince = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.members[l.member]
	if l.reader.Buffered() > 0 || h == nil || h.address != l.address {
		m.closeConn(l, "stale")
		return
	}
	h.idle = append(h.idle, l)
}

// broken says whether an idle connection has ended or holds bytes that nobody asked for.
func (l *memberConn) broken() bool { return unread(l.raw) != 0 }

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
func (m *pool) dial(ctx context.Context, member string) (*memberConn, logic.Outcome) {
	m.mu.Lock()
	address := ""
	if h := m.members[member]; h != nil {
		address, h.lastDialed = h.address, time.Now()
	}
	m.mu.Unlock()
	if !m.budget.acquire(1) && !m.closeOldestIdle() {
		return nil, logic.Full
	}
	m.counters.Dials.Add(1)
	m.counters.Open.Add(1)
	ctx, cancel := context.WithTimeout(ctx, m.connectTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		m.budget.release(1)
		m.counters.Open.Add(-1)
		m.log.Info("member_closed", "member", member, "reason", "no_connection", "served", 0, "error", err)
		return nil, logic.ConnectFailed
	}
	l := &memberConn{Conn: conn, reader: bufio.NewReaderSize(conn, memberBufferBytes), member: member, address: address,
		openedAt: time.Now()}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if l.raw, err = conn.(*net.TCPConn).SyscallConn(); err != nil {
		m.closeConn(l, "no_connection")
		return nil, logic.ConnectFailed
	}
	if _, err := conn.Write(pgwire.AppendStartupMessage(nil, user, database)); err != nil {
		m.closeConn(l, "no_welcome")
		return nil, logic.ConnectFailed
	}
	for {
		kind, message, err := pgwire.Read(l.reader, nil)
		switch {
		case err != nil:
			m.closeConn(l, "no_welcome")
			return nil, logic.ConnectFailed
		case kind == 'E':
			m.closeConn(l, "turned_away")
			if pgwire.ErrorCode(pgwire.Body(message)) == pgwire.CodeTooManyConnections {
				return nil, logic.Full
			}
			return nil, logic.ConnectFailed
		case kind == 'Z':
			if stop() {
				return l, logic.OK
			}
			m.closeConn(l, "no_welcome")
			return nil, logic.ConnectFailed
		}
	}
}

// closeOldestIdle closes the connection that has been idle the longest, to make room for another.
func (m *pool) closeOldestIdle() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	var from *memberConns
	for _, h := range m.members {
		if len(h.idle) > 0 && (from == nil || h.idle[0].idleSince.Before(from.idle[0].idleSince)) {
			from = h
		}
	}
	if from == nil {
		return false
	}
	m.closeConn(from.idle[0], "spared")
	from.idle = from.idle[1:]
	return m.budget.acquire(1)
}

// budget counts what may still be used: sockets, or bytes.
type budget struct {
	available atomic.Int64
}

func (b *budget) acquire(n int64) bool {
	if b.available.Add(-n) < 0 {
		b.available.Add(n)
		return false
	}
	return true
}

func (b *budget) release(n int64) { b.available.Add(n) }
