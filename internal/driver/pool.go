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
	user, database = "svc", "main"
	idleShare      = 0.9 // of the time after which a member closes an idle connection: then this side does
	linkBuffer     = 4096
	settleDuration = 10 * time.Millisecond // after which the end of a connection that a member closed has come
	forgetAfter    = time.Minute           // from when a removed member's address is not wanted any more
)

// pool knows where members listen and keeps connections that can serve again.
type pool struct {
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

// setMembers takes down where members listen, in a whole list or in changes; connections to those that are removed are
// let go, and in time the member itself (see reap).
func (m *pool) setMembers(entries []discovery.Entry, whole bool) {
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
			m.closeIdle(h, "moved")
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
func (m *pool) remove(h *host) {
	if h != nil && h.removed.IsZero() {
		h.removed = time.Now()
		m.closeIdle(h, "removed")
	}
}

// closeIdle closes a member's idle connections; the caller holds the lock.
func (m *pool) closeIdle(h *host, why string) {
	for _, l := range h.idle {
		m.closeLink(l, why)
	}
	h.idle = nil
}

// reap closes connections that have been idle for long, until the context ends, and then all.
func (m *pool) reap(ctx context.Context) {
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
			if !h.removed.IsZero() && time.Since(h.removed) > forgetAfter && time.Since(h.used) > forgetAfter {
				m.closeIdle(h, "removed")
				delete(m.hosts, id)
			}
			n := 0
			for n < len(h.idle) && time.Since(h.idle[n].idleSince) > limit {
				m.count.IdleClosed.Add(1)
				m.closeLink(h.idle[n], "idle")
				n++
			}
			h.idle = h.idle[n:]
		}
		m.mu.Unlock()
	}
}

// closeLink closes a connection and leaves its line in the log.
func (m *pool) closeLink(l *link, why string) {
	l.Close()
	m.budget.give(1)
	m.count.Open.Add(-1)
	m.log.Info("member_closed", "member", l.member, "reason", why, "served", l.served,
		"age_ms", time.Since(l.opened).Milliseconds(), "rested_ms", l.rested.Milliseconds())
}

// takeIdle takes the newest idle connection that is not broken, rather one that has settled: members close some right
// after an answer, and a request that crosses such an end may have run.
func (m *pool) takeIdle(member string) *link {
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hosts[member]
	for h != nil && len(h.idle) > 0 {
		at := len(h.idle) - 1
		for i := at; i >= 0; i-- {
			if time.Since(h.idle[i].idleSince) > settleDuration {
				at = i
				break
			}
		}
		l := h.idle[at]
		h.idle = slices.Delete(h.idle, at, at+1)
		switch l.rested = time.Since(l.idleSince); {
		case l.rested > m.idleTime:
			m.count.IdleClosed.Add(1)
			m.closeLink(l, "idle")
		case l.broken():
			m.count.Broken.Add(1)
			m.closeLink(l, "broken")
		default:
			return l
		}
	}
	return nil
}

func (m *pool) putIdle(l *link) {
	l.idleSince = time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	h := m.hosts[l.member]
	if l.r.Buffered() > 0 || h == nil || h.address != l.address {
		m.closeLink(l, "stale")
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
func (m *pool) open(ctx context.Context, member string) (*link, logic.Outcome) {
	m.mu.Lock()
	address := ""
	if h := m.hosts[member]; h != nil {
		address, h.used = h.address, time.Now()
	}
	m.mu.Unlock()
	if !m.budget.take(1) && !m.closeOldestIdle() {
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
		m.closeLink(l, "no_connection")
		return nil, logic.ConnectFailed
	}
	if _, err := conn.Write(pgwire.AppendStartup(nil, user, database)); err != nil {
		m.closeLink(l, "no_welcome")
		return nil, logic.ConnectFailed
	}
	for {
		kind, message, err := pgwire.Read(l.r, nil)
		switch {
		case err != nil:
			m.closeLink(l, "no_welcome")
			return nil, logic.ConnectFailed
		case kind == 'E':
			m.closeLink(l, "turned_away")
			if pgwire.ErrorCode(pgwire.Body(message)) == pgwire.CodeBusy {
				return nil, logic.Full
			}
			return nil, logic.ConnectFailed
		case kind == 'Z':
			if stop() {
				return l, logic.OK
			}
			m.closeLink(l, "no_welcome")
			return nil, logic.ConnectFailed
		}
	}
}

// closeOldestIdle closes the connection that has been idle the longest, to make room for another.
func (m *pool) closeOldestIdle() bool {
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
	m.closeLink(from.idle[0], "spared")
	from.idle = from.idle[1:]
	return m.budget.take(1)
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
