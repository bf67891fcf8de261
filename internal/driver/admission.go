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
	silentEvictAfter = 30 * time.Millisecond  // a client that has not sent a byte for so long may be evicted
	idleEvictAfter   = 100 * time.Millisecond // as one without an open op for so long
	headroomInterval = 50 * time.Millisecond  // between checks whether enough places are free
	headroomShare    = 0.65                   // of the budget that is kept free, where clients can be evicted for it
	maxEvictions     = 12                     // connections beside the budget that close after their place was reassigned
	maxRejections    = 8                      // and connections that get an answer that there is no room
	acceptGrace      = 500 * time.Millisecond // new connections are accepted for so long after SIGTERM
	acceptQuiet      = 50 * time.Millisecond  // and until none has come for so long
)

// clientSet is the connections that were admitted.
type clientSet struct {
	mu  sync.Mutex // also guards some of each client's fields
	all map[*client]bool
}

// accept admits connections until the context ends and no more come.
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
		default: // out of descriptors, say: what is open goes on
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

// admit admits a client while there is room, or in place of one that can be evicted. It never waits.
func (s *Service) admit(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return
	}
	c := &client{
		service:      s,
		conn:         conn,
		raw:          raw,
		openedAt:     time.Now(),
		messages:     make(chan message, 1),
		disconnected: make(chan struct{}),
		answered:     make(chan struct{}),
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

// removeClient frees the place of a client whose connection is closed.
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

// rejectClient tells a client that there is no room, so many at a time; others are closed without an answer.
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

// evictClient closes the least useful connection that may be evicted, if there is one: a client that has sent nothing,
// else one that stays after at most one op, else the one without an op for longest. Clients that connect and say
// nothing must not keep out those with ops. With reassign the client's place is given to another at once, before the
// connection is closed.
//
// It could harm clients that pause for a little longer than idleEvictAfter while many connections are open: they
// connect again.
func (s *Service) evictClient(reassign bool) bool {
	s.clients.mu.Lock()
	defer s.clients.mu.Unlock()
	var victim *client
	now := time.Now()
	for c := range s.clients.all {
		limit := c.idleLimit()
		if !c.evicted && limit > 0 && now.Sub(c.changedAt) > limit && c.goesBefore(victim) && unread(c.raw) == 0 {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	if reassign {
		select {
		case s.evictions <- struct{}{}:
		default:
			return false
		}
	}
	victim.evicted, victim.slotReassigned = true, reassign
	victim.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// keepHeadroom evicts clients before their places are needed: clients have limits too, and a client process that is
// slow to close connections which it no longer uses, or never closes them, runs out of them long before the budget here
// is used up.
func (s *Service) keepHeadroom(ctx context.Context) {
	headroom := int64(float64(s.clientBudget.available.Load()) * headroomShare)
	every(ctx, headroomInterval, func() {
		for n := headroom - s.clientBudget.available.Load(); n > 0 && s.evictClient(false); n-- {
		}
	})
}

// idleLimit is how long a client may stay unchanged before it may be evicted; 0 for as long as it likes. The caller
// holds the lock, as for what follows.
func (c *client) idleLimit() time.Duration {
	switch {
	case c.openMessages > 0:
		return 0
	case c.finishedMessages == 0:
		return silentEvictAfter
	}
	return idleEvictAfter
}

// goesBefore says whether a client is evicted rather than another, nil for none.
func (c *client) goesBefore(other *client) bool {
	if other == nil {
		return true
	}
	own, others := c.usefulness(), other.usefulness()
	return own < others || own == others && c.changedAt.Before(other.changedAt)
}

// usefulness ranks clients by what has come from them: nothing, a startup and at most one op, more.
func (c *client) usefulness() int {
	switch {
	case c.finishedMessages == 0:
		return 0
	case c.finishedMessages <= 2:
		return 1
	}
	return 2
}
