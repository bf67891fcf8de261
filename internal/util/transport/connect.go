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
	onUp func(*Link[Frame]), onFrame func(*Link[Frame], *Frame), onDown func(*Link[Frame]),
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
			onUp(l)
			_ = l.read(idle, func(frame *Frame) { onFrame(l, frame) })
			onDown(l)
		}()
	}
}

// DialTimeout is how long the nth attempt to reach a peer, counted from 0, may take.
func DialTimeout(attempt int) time.Duration {
	return min(initialDialTimeout<<min(attempt, maxDialDoublings), maxDialTimeout)
}

// Dial makes one link and reads it until it ends; the error, an *Error, says why it did. timeout bounds its making;
// 0: the system's own timeout does. up is called when it stands.
func Dial[Frame any](addr string, timeout, idle time.Duration,
	onUp func(*Link[Frame]), onFrame func(*Link[Frame], *Frame),
) error {
	conn, err := net.DialTimeout("tcp4", addr, timeout)
	if err != nil {
		return &Error{Step: StepDial, Peer: addr, Err: err}
	}
	SetUserTimeout(conn, userTimeout)
	l := start[Frame](conn, addr)
	onUp(l)
	if err := l.read(idle, func(frame *Frame) { onFrame(l, frame) }); err != nil {
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
	onUp func(*Link[Frame]), onFrame func(*Link[Frame], *Frame), onDown func(),
) {
	delay := backoff.Initial
	for attempt := 0; ctx.Err() == nil; attempt++ {
		connected := false
		_ = Dial(addr, backoff.DialTimeout(attempt), 0, func(l *Link[Frame]) {
			connected, delay, attempt = true, backoff.Initial, 0
			onUp(l)
		}, onFrame)
		if connected {
			onDown()
		}
		select {
		case <-time.After(delay):
		case <-ctx.Done():
		}
		delay = min(2*delay, backoff.Max)
	}
}
