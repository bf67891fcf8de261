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
type clients struct {
	mu  sync.Mutex
	all map[*client]bool
}

// closeForRoom asks the connection to leave that is of the least use: no byte has come on it, or it has asked at most
// once and stays, or else none has been without an op for longer. Clients that ask once and stay, or connect and
// say nothing, must not keep out those with ops. With give its place goes to another at once. It could harm
// clients that pause a little longer than idleTime while many connections are open: they connect anew.
func (v *Service) closeForRoom(give bool) bool {
	v.clients.mu.Lock()
	defer v.clients.mu.Unlock()
	var from *client
	now := time.Now()
	for c := range v.clients.all {
		if limit := c.limit(); !c.leaves && limit > 0 && now.Sub(c.since) > limit &&
			(from == nil || c.use() < from.use() || c.use() == from.use() && c.since.Before(from.since)) && unread(c.raw) == 0 {
			from = c
		}
	}
	if from == nil {
		return false
	}
	if give {
		select {
		case v.leaving <- struct{}{}:
		default:
			return false
		}
	}
	from.leaves, from.given = true, give
	from.conn.SetReadDeadline(time.Unix(1, 0))
	return true
}

// keepRoomLoop makes room beforehand: clients are limited too, and one that is slow to close connections which it has
// done with, or never does, is short of them long before the budget here is used up.
func (v *Service) keepRoomLoop(ctx context.Context) {
	enough := int64(float64(v.clientBudget.left.Load()) * roomShare)
	every(ctx, roomEvery, func() {
		for n := enough - v.clientBudget.left.Load(); n > 0 && v.closeForRoom(false); n-- {
		}
	})
}

// limit is how long a client may stay as it is before it has to make room; 0 for as long as it likes.
func (c *client) limit() time.Duration {
	switch {
	case c.open > 0:
		return 0
	case c.ended == 0:
		return silentTime
	}
	return idleTime
}

// use ranks clients by what has come from them: nothing, a startup and at most one op, more.
func (c *client) use() int {
	switch {
	case c.ended == 0:
		return 0
	case c.ended <= 2:
		return 1
	}
	return 2
}

// accept serves connections until the context ends and no more come.
func (v *Service) accept(ctx context.Context, ln *net.TCPListener) error {
	defer ln.Close()
	stop := context.AfterFunc(ctx, func() { ln.SetDeadline(time.Now().Add(acceptAfter)) })
	defer stop()
	for {
		conn, err := ln.AcceptTCP()
		switch {
		case err == nil:
			v.admit(conn)
			if ctx.Err() != nil {
				ln.SetDeadline(laterOf(v.stoppedAt().Add(acceptAfter), time.Now().Add(acceptQuiet)))
			}
		case errors.Is(err, os.ErrDeadlineExceeded):
			close(v.closing)
			return nil
		case errors.Is(err, net.ErrClosed):
			return err
		default: // out of descriptors, say: what is open goes on
			v.log.Warn("accept_failed", "error", err)
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func laterOf(a, b time.Time) time.Time {
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
	c := &client{v: v, conn: conn, raw: raw, opened: time.Now(), messages: make(chan message, 1),
		gone: make(chan struct{}), done: make(chan struct{})}
	c.since = c.opened
	if !v.clientBudget.take(1) && !v.closeForRoom(true) {
		v.tellFull(c)
		return
	}
	v.count.Clients.Add(1)
	v.count.ClientsOpen.Add(1)
	c.r = bufio.NewReaderSize(conn, clientBuffer)
	v.clients.mu.Lock()
	v.clients.all[c] = true
	v.clients.mu.Unlock()
	v.group.Go(func() error {
		var reader errgroup.Group
		why := c.serve(&reader)
		close(c.done)
		conn.CloseWrite()
		conn.SetReadDeadline(time.Now().Add(lingerTime))
		_ = reader.Wait() // its functions return no error
		conn.Close()
		v.clients.mu.Lock()
		if delete(v.clients.all, c); c.given {
			<-v.leaving
		} else {
			v.clientBudget.give(1)
		}
		v.clients.mu.Unlock()
		v.count.ClientsOpen.Add(-1)
		c.logEnd(why)
		select {
		case m := <-c.messages:
			v.bytes.give(m.weight)
		default:
		}
		return nil
	})
}

// tellFull says that there is no room, to so many at a time; the others are closed as they come.
func (v *Service) tellFull(c *client) {
	v.count.ClientsTurnedAway.Add(1)
	select {
	case v.turnAway <- struct{}{}:
	default:
		c.conn.Close()
		c.logEnd("too_many")
		return
	}
	v.group.Go(func() error {
		c.conn.SetDeadline(time.Now().Add(lingerTime / 5))
		_, _ = c.conn.Write(pgwire.AppendError(nil, "FATAL", pgwire.CodeBusy, "too many connections", ""))
		c.conn.CloseWrite()
		c.drain()
		c.conn.Close()
		c.logEnd("too_many")
		<-v.turnAway
		return nil
	})
}
