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
	idleTimeoutShare  = 0.9 // share of a member's idle timeout after which the pool closes an idle connection itself
	memberBufferBytes = 4096
	closeSettleTime   = 10 * time.Millisecond // time after an answer in which a close by the member may still arrive
	addressRetention  = time.Minute           // time for which a removed member's address is kept
)

// pool has the addresses of members and their idle connections. A connection is never shared by two requests, and is
// closed if its last exchange did not end cleanly.
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
	idle       []*memberConn // most recently used last
	removedAt  time.Time     // when it left the list; zero while it is listed
	lastDialed time.Time
}

// setMembers updates the members' addresses from a complete list or changes. Idle connections to removed members are
// closed; their addresses are deleted later (see reap), as an attempt that was decided before may still need one.
func (p *pool) setMembers(entries []discovery.Entry, complete bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	present := map[*poolMember]bool{}
	for _, entry := range entries {
		m := p.members[entry.ID]
		if entry.Phase == discovery.PhaseRemoved {
			p.remove(m)
			continue
		}
		if m == nil {
			m = &poolMember{}
			p.members[entry.ID] = m
		}
		if entry.Address != m.address {
			p.closeIdle(m, memberAddressChanged)
			m.address = entry.Address
		}
		present[m], m.removedAt = true, time.Time{}
	}
	if complete {
		for _, m := range p.members {
			if !present[m] {
				p.remove(m)
			}
		}
	}
}

// remove records that a member, nil if it is unknown, has left the list. The caller holds the lock.
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

// reap closes connections that have been idle for too long, until the context ends; then it closes all.
func (p *pool) reap(ctx context.Context) {
	tick := time.NewTicker(max(p.idleTimeout/20, 10*time.Millisecond))
	defer tick.Stop()
	for stopping := false; !stopping; {
		limit := p.idleTimeout
		select {
		case <-ctx.Done():
			stopping, limit = true, -1
		case <-tick.C:
		}
		p.mu.Lock()
		for name, m := range p.members {
			if !m.removedAt.IsZero() && time.Since(m.removedAt) > addressRetention &&
				time.Since(m.lastDialed) > addressRetention {
				p.closeIdle(m, memberRemoved)
				delete(p.members, name)
			}
			expired := 0
			for expired < len(m.idle) && time.Since(m.idle[expired].idleSince) > limit {
				p.counters.IdleClosed.Add(1)
				p.closeConn(m.idle[expired], memberIdleTimeout)
				expired++
			}
			m.idle = m.idle[expired:]
		}
		p.mu.Unlock()
	}
}

// closeConn closes a connection, frees its slot in the budget and logs the reason.
func (p *pool) closeConn(conn *memberConn, reason memberClose) {
	conn.Close()
	p.budget.release(1)
	p.counters.Open.Add(-1)
	p.log.Info("member_closed", "member", conn.member, "reason", string(reason), "served", conn.requests,
		"age_ms", time.Since(conn.openedAt).Milliseconds(), "rested_ms", conn.idleTime.Milliseconds())
}

// takeIdle takes the most recently used idle connection that isn't broken, preferably one that has been idle for longer
// than closeSettleTime: members close some connections right after an answer, and if a request crosses such a close it
// is unknown whether it was executed. It returns nil if there is none.
func (p *pool) takeIdle(member string) *memberConn {
	p.mu.Lock()
	defer p.mu.Unlock()
	m := p.members[member]
	for m != nil && len(m.idle) > 0 {
		index := len(m.idle) - 1
		for i := index; i >= 0; i-- {
			if time.Since(m.idle[i].idleSince) > closeSettleTime {
				index = i
				break
			}
		}
		c := m.idle[index]
		m.idle = slices.Delete(m.idle, index, index+1)
		switch c.idleTime = time.Since(c.idleSince); {
		case c.idleTime > p.idleTimeout:
			p.counters.IdleClosed.Add(1)
			p.closeConn(c, memberIdleTimeout)
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

// dial connects to a member and waits until it is ready. If that fails it returns nil and the outcome.
func (p *pool) dial(ctx context.Context, member string) (*memberConn, logic.Outcome) {
	p.mu.Lock()
	address := ""
	if m := p.members[member]; m != nil {
		address, m.lastDialed = m.address, time.Now()
	}
	p.mu.Unlock()
	if !p.budget.acquire(1) && !p.evictOldestIdle() {
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
	if c.rawConn, err = conn.(*net.TCPConn).SyscallConn(); err != nil {
		p.closeConn(c, memberNoConnection)
		return nil, logic.ConnectFailed
	}
	outcome, reason := c.startup()
	if outcome == logic.OK && !stop() { // the context has ended, and the connection has a deadline in the past
		outcome, reason = logic.ConnectFailed, memberStartupFailed
	}
	if outcome != logic.OK {
		p.closeConn(c, reason)
		return nil, outcome
	}
	return c, logic.OK
}

// evictOldestIdle closes the connection that has been idle for longest, and takes its slot in the budget.
func (p *pool) evictOldestIdle() bool {
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
	p.closeConn(oldest.idle[0], memberEvicted)
	oldest.idle = oldest.idle[1:]
	return p.budget.acquire(1)
}
