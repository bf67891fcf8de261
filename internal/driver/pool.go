package driver

import (
	"bufio"
	"context"
	"log/slog"
	"net"
	"slices"
	"sync"
	"time"

	"weirwind/internal/discovery"
	"weirwind/logic"
)

const (
	idleTimeoutShare  = 0.9 // of the time after which a member closes an idle connection: then this side does
	memberBufferBytes = 4096
	settleTime        = 10 * time.Millisecond // after which the end of a connection that a member closed has come
	forgetAfter       = time.Minute           // from when a removed member's address isn't needed any more
)

// pool knows where members listen and keeps connections that can be used again. No connection is shared between two
// requests, and none is kept whose last exchange did not end cleanly.
type pool struct {
	connectTimeout, idleTimeout time.Duration
	budget                      *budget // of sockets
	counters                    *counters
	log                         *slog.Logger
	healthCheckQuery            string

	mu      sync.Mutex // guards what follows
	members map[string]*poolMember
}

// poolMember is a member's address and its idle connections.
type poolMember struct {
	address    string
	idle       []*memberConn // the newest last
	removedAt  time.Time     // by the list; zero while it is listed
	lastDialed time.Time
}

// setMembers takes where members listen, from a complete list or changes. Connections to removed members are closed;
// their addresses go later (see reap), as an attempt that was decided before may still need one.
func (p *pool) setMembers(entries []discovery.Entry, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := map[*poolMember]bool{}
	for _, e := range entries {
		m := p.members[e.ID]
		if e.Phase == discovery.PhaseRemoved {
			p.remove(m)
			continue
		}
		if m == nil {
			m = &poolMember{}
			p.members[e.ID] = m
		}
		if e.Address != m.address {
			p.closeIdle(m, memberMoved)
			m.address = e.Address
		}
		listed[m], m.removedAt = true, time.Time{}
	}
	if complete {
		for _, m := range p.members {
			if !listed[m] {
				p.remove(m)
			}
		}
	}
}

// remove notes that a member has left the list; nil for one that is not known. The caller holds the lock.
func (p *pool) remove(member *poolMember) {
	if member != nil && member.removedAt.IsZero() {
		member.removedAt = time.Now()
		p.closeIdle(member, memberRemoved)
	}
}

// closeIdle closes a member's idle connections. The caller holds the lock.
func (p *pool) closeIdle(member *poolMember, reason memberClose) {
	for _, c := range member.idle {
		p.closeConn(c, reason)
	}
	member.idle = nil
}

// reap closes connections that have been idle for too long until the context ends, and then all.
func (p *pool) reap(ctx context.Context) {
	tick := time.NewTicker(max(p.idleTimeout/20, 10*time.Millisecond))
	defer tick.Stop()
	for done := false; !done; {
		limit := p.idleTimeout
		select {
		case <-ctx.Done():
			done, limit = true, -1
		case <-tick.C:
		}
		p.mu.Lock()
		for id, m := range p.members {
			if !m.removedAt.IsZero() && time.Since(m.removedAt) > forgetAfter && time.Since(m.lastDialed) > forgetAfter {
				p.closeIdle(m, memberRemoved)
				delete(p.members, id)
			}
			n := 0
			for n < len(m.idle) && time.Since(m.idle[n].idleSince) > limit {
				p.counters.IdleClosed.Add(1)
				p.closeConn(m.idle[n], memberIdle)
				n++
			}
			m.idle = m.idle[n:]
		}
		p.mu.Unlock()
	}
}

// closeConn closes a connection, frees its place in the budget and logs it.
func (p *pool) closeConn(conn *memberConn, reason memberClose) {
	conn.Close()
	p.budget.release(1)
	p.counters.Open.Add(-1)
	p.log.Info("member_closed", "member", conn.member, "reason", string(reason), "served", conn.served,
		"age_ms", time.Since(conn.openedAt).Milliseconds(), "rested_ms", conn.idleFor.Milliseconds())
}

// takeIdle takes the newest idle connection that isn't broken, preferably one that has settled: members close some
// right after an answer, and a request that crosses such a close may have been executed. nil for none.
func (p *pool) takeIdle(member string) *memberConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[member]
	for m != nil && len(m.idle) > 0 {
		at := len(m.idle) - 1
		for i := at; i >= 0; i-- {
			if time.Since(m.idle[i].idleSince) > settleTime {
				at = i
				break
			}
		}
		c := m.idle[at]
		m.idle = slices.Delete(m.idle, at, at+1)
		switch c.idleFor = time.Since(c.idleSince); {
		case c.idleFor > p.idleTimeout:
			p.counters.IdleClosed.Add(1)
			p.closeConn(c, memberIdle)
		case c.broken():
			p.counters.Broken.Add(1)
			p.closeConn(c, memberBroken)
		default:
			return c
		}
	}
	return nil
}

// putIdle takes back a connection whose last exchange ended cleanly.
func (p *pool) putIdle(conn *memberConn) {
	conn.idleSince = time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[conn.member]
	if conn.reader.Buffered() > 0 || m == nil || m.address != conn.address {
		p.closeConn(conn, memberStale)
		return
	}
	m.idle = append(m.idle, conn)
}

// dial connects to a member and waits until it is ready. Where there is no connection the outcome says why.
func (p *pool) dial(ctx context.Context, member string) (*memberConn, logic.Outcome) {
	p.mu.Lock()
	address := ""
	if m := p.members[member]; m != nil {
		address, m.lastDialed = m.address, time.Now()
	}
	p.mu.Unlock()
	if !p.budget.acquire(1) && !p.closeOldestIdle() {
		return nil, logic.Full
	}
	p.counters.Dials.Add(1)
	p.counters.Open.Add(1)
	ctx, cancel := context.WithTimeout(ctx, p.connectTimeout)
	defer cancel()
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		p.budget.release(1)
		p.counters.Open.Add(-1)
		p.log.Info("member_closed", "member", member, "reason", string(memberNoConnection), "served", 0, "error", err)
		return nil, logic.ConnectFailed
	}
	c := &memberConn{Conn: conn, reader: bufio.NewReaderSize(conn, memberBufferBytes), member: member, address: address,
		openedAt: time.Now()}
	stop := context.AfterFunc(ctx, func() { conn.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	if c.raw, err = conn.(*net.TCPConn).SyscallConn(); err != nil {
		p.closeConn(c, memberNoConnection)
		return nil, logic.ConnectFailed
	}
	outcome, reason := c.startup()
	if outcome == logic.OK && !stop() { // the deadline in the past is on the connection
		outcome, reason = logic.ConnectFailed, memberNoWelcome
	}
	if outcome != logic.OK {
		p.closeConn(c, reason)
		return nil, outcome
	}
	return c, logic.OK
}

// closeOldestIdle closes the connection that has been idle for longest, and takes its place in the budget.
func (p *pool) closeOldestIdle() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	var oldest *poolMember
	for _, m := range p.members {
		if len(m.idle) > 0 && (oldest == nil || m.idle[0].idleSince.Before(oldest.idle[0].idleSince)) {
			oldest = m
		}
	}
	if oldest == nil {
		return false
	}
	p.closeConn(oldest.idle[0], memberSpared)
	oldest.idle = oldest.idle[1:]
	return p.budget.acquire(1)
}
