package transport

// This file owns the making of links: accepting, dialling, and dialling again with a backoff.

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// initialDialTimeout bounds a first attempt: one whose packet was lost, or whose peer is just starting, is begun anew.
	initialDialTimeout = 250 * time.Millisecond
	maxDialTimeout     = 1500 * time.Millisecond
	maxDialDoublings   = 8 // keeps the shift small; the maximum is reached long before

	acceptRetryDelay = 20 * time.Millisecond // after an error that may pass, such as too many open files
)

// Serve accepts links at a listener until it is closed, and reads each on a goroutine of its own until it ends. up is
// called for each before its frames come, take for each frame, down when the link has ended. A link over which
// nothing comes for idle is ended; 0: none is.
func Serve[Frame any](ln net.Listener, idle time.Duration,
	up func(*Link[Frame]), take func(*Link[Frame], *Frame), down func(*Link[Frame]),
) {
	for {
		conn, err := ln.Accept()
		if err != nil {
			if errors.Is(err, net.ErrClosed) {
				return
			}
			time.Sleep(acceptRetryDelay)
			continue
		}
		go func() {
			SetUserTimeout(conn, userTimeout)
			l := start[Frame](conn, conn.RemoteAddr().String())
			up(l)
			_ = l.read(idle, func(frame *Frame) { take(l, frame) })
			down(l)
		}()
	}
}

// DialTimeout is how long the nth attempt to reach a peer, counted from 0, may take.
func DialTimeout(nth int) time.Duration {
	return min(initialDialTimeout<<min(nth, maxDialDoublings), maxDialTimeout)
}

// Dial makes one link and reads it until it ends; the error, an *Error, says why it did. timeout bounds its making;
// 0: the system's own timeout does. up is called when it stands.
func Dial[Frame any](addr string, timeout, idle time.Duration,
	up func(*Link[Frame]), take func(*Link[Frame], *Frame),
) error {
	conn, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		return &Error{Step: StepDial, Peer: addr, Err: err}
	}
	SetUserTimeout(conn, userTimeout)
	l := start[Frame](conn, addr)
	up(l)
	if err := l.read(idle, func(frame *Frame) { take(l, frame) }); err != nil {
		return &Error{Step: StepRead, Peer: addr, Err: err}
	}
	return nil
}

// Backoff says how long KeepConnected waits between two attempts: Initial after a link that stood or a first attempt
// that failed, then twice as long after each further attempt that fails, up to Max. DialTimeout is how long the nth
// attempt may take; the first of all is 0, the first after a link that stood 1.
type Backoff struct {
	Initial, Max time.Duration
	DialTimeout  func(nth int) time.Duration
}

// KeepConnected keeps a link to a peer until ctx ends; it looks at ctx between two attempts only, so that whoever
// ends ctx closes the link too. up is called for each link that stands, down when it has ended.
func KeepConnected[Frame any](ctx context.Context, addr string, backoff Backoff,
	up func(*Link[Frame]), take func(*Link[Frame], *Frame), down func(),
) {
	pause := backoff.Initial
	for nth := 0; ctx.Err() == nil; nth++ {
		stood := false
		_ = Dial(addr, backoff.DialTimeout(nth), 0, func(l *Link[Frame]) {
			stood, pause, nth = true, backoff.Initial, 0
			up(l)
		}, take)
		if stood {
			down()
		}
		select {
		case <-time.After(pause):
		case <-ctx.Done():
		}
		pause = min(2*pause, backoff.Max)
	}
}
