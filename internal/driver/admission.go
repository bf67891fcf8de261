package driver

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"weirwind/internal/pgwire"
)

const (
	silentEvictAfter = 30 * time.Millisecond  // a client that has sent no byte for this long may be evicted
	idleEvictAfter   = 100 * time.Millisecond // a client that has had no open op for this long may be evicted
	headroomInterval = 50 * time.Millisecond  // between checks of the free share of the budget
	headroomShare    = 0.65                   // share of the budget that is kept free as long as clients can be evicted
	maxEvictions     = 12                     // closing connections whose slot was reassigned; they exceed the budget
	maxRejections    = 8                      // connections that are being rejected with an answer; they exceed the budget
	acceptGrace      = 500 * time.Millisecond // minimum time for which connections are accepted after SIGTERM
	acceptQuiet      = 50 * time.Millisecond  // time without a new connection after which accepting then ends
)

// clientSet holds the admitted clients.
type clientSet struct {
	mu  sync.Mutex // also guards some of each client's fields
	all map[*client]bool
}

// accept admits connections until the context has ended and no new ones arrive.
func (s *Service) accept(ctx context.Context, ln *net.TCPListener) error {
	defer ln.Close()
	stop := context.AfterFunc(ctx, func() { ln.SetDeadline(time.Now().Add(acceptGrace)) })
	defer stop()
	for {
		conn, err := ln.AcceptTCP()
		switch {
		case err == nil:
			s.admit(conn)
			if ctx.Err() != nil {
				ln.SetDeadline(later(s.stopTime().Add(acceptGrace), time.Now().Add(acceptQuiet)))
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			close(s.acceptEnded)
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default: // such as no free file descriptors; open connections are not affected
			s.log.Warn("accept_failed", "error", err)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// admit admits a client while the budget has room, or in place of one that can be evicted. It never blocks.
func (s *Service) admit(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return
	}
	c := &client{
		service:      s,
		conn:         conn,
		rawConn:      raw,
		openedAt:     time.Now(),
		messages:     make(chan message, 1),
		disconnected: make(chan struct{}),
		serveEnded:   make(chan struct{}),
	}
	c.changedAt = c.openedAt
	if !s.clientBudget.acquire(1) && !s.evictClient(true) {
		s.rejectClient(c)
		return
	}
	s.counters.Clients.Add(1)
	s.counters.ClientsOpen.Add(1)
	c.reader = bufio.NewReaderSize(conn, clientBufferBytes)
	s.clients.mu.Lock()
	s.clients.all[c] = true
	s.clients.mu.Unlock()
	s.inFlight.Go(func() error { c.run(); return nil })
}

// removeClient frees the slot of a client whose connection is closed.
func (s *Service) removeClient(client *client) {
	s.clients.mu.Lock()
	if delete(s.clients.all, client); client.slotReassigned {
		<-s.evictions
	} else {
		s.clientBudget.release(1)
	}
	s.clients.mu.Unlock()
	s.counters.ClientsOpen.Add(-1)
}

// rejectClient answers "too many connections", to maxRejections clients at a time; others are closed without an answer.
func (s *Service) rejectClient(client *client) {
	s.counters.ClientsTurnedAway.Add(1)
	select {
	case s.rejections <- struct{}{}:
	default:
		client.conn.Close()
		client.logClosed(clientRejected)
		return
	}
	s.inFlight.Go(func() error {
		client.conn.SetDeadline(time.Now().Add(lingerTimeout / 5))
		_, _ = client.conn.Write(
			pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeTooManyConnections, "too many connections", ""))
		client.conn.CloseWrite()
		client.drain()
		client.conn.Close()
		client.logClosed(clientRejected)
		<-s.rejections
		return nil
	})
}

// evictClient evicts the client with the lowest rank among those that may be evicted, and reports whether there was
// one. Clients that have sent nothing are evicted first, then those with at most one op, then the others; within a
// rank, the client that has been idle for longest. Clients that connect and send nothing must not keep out those with
// ops. With reassign the client's slot is reassigned to another client at once, before the connection is closed.
//
// Clients that pause for a little longer than idleEvictAfter while many connections are open have to reconnect.
func (s *Service) evictClient(reassign bool) bool {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	var candidate *client
	now := time.Now()
	for c := range s.clients.all {
		limit := c.idleLimit()
		if !c.evicted && limit > 0 && now.Sub(c.changedAt) > limit && c.evictedBefore(candidate) &&
			unreadBytes(c.rawConn) == 0 {
			candidate = c
		}
	}
	if candidate == nil {
		return false
	}
	if reassign {
		select {
		case s.evictions <- struct{}{}:
		default:
			return false
		}
	}
	candidate.evicted, candidate.slotReassigned = true, reassign
	candidate.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// keepHeadroom evicts clients before their slots are needed: client processes have connection limits of their own, and
// one that closes its unused connections late, or not at all, reaches its limit long before the budget here is used up.
func (s *Service) keepHeadroom(ctx context.Context) {
	headroom := int64(float64(s.clientBudget.available.Load()) * headroomShare)
	runPeriodically(ctx, headroomInterval, func() {
		for n := headroom - s.clientBudget.available.Load(); n > 0 && s.evictClient(false); n-- {
		}
	})
}

// idleLimit returns how long a client may be idle before it may be evicted, or 0 for no limit. The caller holds the
// lock, as for evictedBefore and evictionRank.
func (c *client) idleLimit() time.Duration {
	switch {
	case c.openMessages > 0:
		return 0
	case c.finishedMessages == 0:
		return silentEvictAfter
	}
	return idleEvictAfter
}

// evictedBefore reports whether c is evicted before other, which may be nil.
func (c *client) evictedBefore(other *client) bool {
	if other == nil {
		return true
	}
	rank, otherRank := c.evictionRank(), other.evictionRank()
	return rank < otherRank || rank == otherRank && c.changedAt.Before(other.changedAt)
}

// evictionRank returns 0 for a client that has sent nothing, 1 after a startup and at most one op, 2 after more.
func (c *client) evictionRank() int {
	switch {
	case c.finishedMessages == 0:
		return 0
	case c.finishedMessages <= 2:
		return 1
	}
	return 2
}
