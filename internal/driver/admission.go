package driver

// This file owns which connections of clients are taken, and which are closed in favour of others.

import (
	"bufio"
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"weirwind/internal/pgwire"
)

// clients are the connections that are let in.
type clientSet struct {
	mu  sync.Mutex
	all map[*client]bool
}

// closeForRoom asks the connection to leave that is of the least use: no byte has come on it, or it has asked at most
// once and stays, or else none has been without an op for longer. Clients that ask once and stay, or connect and
// say nothing, must not keep out those with ops. With give its place goes to another at once. It could harm
// clients that pause a little longer than idleTime while many connections are open: they connect anew.
func (v *Service) evictClient(handOver bool) bool {
	v.clients.mu.Lock()
	defer v.clients.mu.Unlock()
	var victim *client
	now := time.Now()
	for c := range v.clients.all {
		if limit := c.idleLimit(); !c.evicted && limit > 0 && now.Sub(c.changedAt) > limit &&
			(victim == nil || c.usefulness() < victim.usefulness() || c.usefulness() == victim.usefulness() && c.changedAt.Before(victim.changedAt)) && unread(c.raw) == 0 {
			victim = c
		}
	}
	if victim == nil {
		return false
	}
	if handOver {
		select {
		case v.evictions <- struct{}{}:
		default:
			return false
		}
	}
	victim.evicted, victim.slotHandedOver = true, handOver
	victim.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// keepRoomLoop makes room beforehand: clients are limited too, and one that is slow to close connections which it has
// done with, or never does, is short of them long before the budget here is used up.
func (v *Service) keepHeadroom(ctx context.Context) {
	headroom := int64(float64(v.clientBudget.available.Load()) * headroomShare)
	every(ctx, headroomInterval, func() {
		for n := headroom - v.clientBudget.available.Load(); n > 0 && v.evictClient(false); n-- {
		}
	})
}

// limit is how long a client may stay as it is before it has to make room; 0 for as long as it likes.
func (c *client) idleLimit() time.Duration {
	switch {
	case c.openMessages > 0:
		return 0
	case c.finishedMessages == 0:
		return silentEvictAfter
	}
	return idleEvictAfter
}

// use ranks clients by what has come from them: nothing, a startup and at most one op, more.
func (c *client) usefulness() int {
	switch {
	case c.finishedMessages == 0:
		return 0
	case c.finishedMessages <= 2:
		return 1
	}
	return 2
}

// accept serves connections until the context ends and no more come.
func (v *Service) accept(ctx context.Context, ln *net.TCPListener) error {
	defer ln.Close()
	stop := context.AfterFunc(ctx, func() { ln.SetDeadline(time.Now().Add(acceptGrace)) })
	defer stop()
	for {
		conn, err := ln.AcceptTCP()
		switch {
		case err == nil:
			v.admit(conn)
			if ctx.Err() != nil {
				ln.SetDeadline(later(v.stopTime().Add(acceptGrace), time.Now().Add(acceptQuiet)))
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			close(v.acceptEnded)
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, say: what is open goes on
			v.log.Warn("accept_failed", "error", err)
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

// admit lets a client in: while there is room, or in place of one that makes room. It never waits: of those that
// find none so many at a time are told so, the others are closed as they come.
func (v *Service) admit(conn *net.TCPConn) {
	raw, err := conn.SyscallConn()
	if err != nil {
		conn.Close()
		return
	}
	c := &client{service: v, conn: conn, raw: raw, openedAt: time.Now(), messages: make(chan message, 1),
		disconnected: make(chan struct{}), answered: make(chan struct{})}
	c.changedAt = c.openedAt
	if !v.clientBudget.acquire(1) && !v.evictClient(true) {
		v.rejectClient(c)
		return
	}
	v.counters.Clients.Add(1)
	v.counters.ClientsOpen.Add(1)
	c.reader = bufio.NewReaderSize(conn, clientBufferBytes)
	v.clients.mu.Lock()
	v.clients.all[c] = true
	v.clients.mu.Unlock()
	v.inFlight.Go(func() error {
		var reader errgroup.Group
		why := c.serve(&reader)
		close(c.answered)
		conn.CloseWrite()
		conn.SetReadDeadline(time.Now().Add(lingerTimeout))
		_ = reader.Wait() // its functions return no error
		conn.Close()
		v.clients.mu.Lock()
		if delete(v.clients.all, c); c.slotHandedOver {
			<-v.evictions
		} else {
			v.clientBudget.release(1)
		}
		v.clients.mu.Unlock()
		v.counters.ClientsOpen.Add(-1)
		c.logClosed(why)
		select {
		case m := <-c.messages:
			v.messageBudget.release(m.budgetBytes)
		default:
		}
		return nil
	})
}

// tellFull says that there is no room, to so many at a time; the others are closed as they come.
func (v *Service) rejectClient(c *client) {
	v.counters.ClientsTurnedAway.Add(1)
	select {
	case v.rejections <- struct{}{}:
	default:
		c.conn.Close()
		c.logClosed("too_many")
		return
	}
	v.inFlight.Go(func() error {
		c.conn.SetDeadline(time.Now().Add(lingerTimeout / 5))
		_, _ = c.conn.Write(pgwire.AppendErrorResponse(nil, "FATAL", pgwire.CodeTooManyConnections, "too many connections", ""))
		c.conn.CloseWrite()
		c.drain()
		c.conn.Close()
		c.logClosed("too_many")
		<-v.rejections
		return nil
	})
}
