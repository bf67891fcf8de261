package transport

// This file establishes links: accepting, dialling, and redialling with a backoff.

import (
	"context"
	"errors"
	"net"
	"time"
)

const (
	// initialDialTimeout bounds a first attempt, so that one whose packet was lost or whose peer is starting is retried
	// soon.
	initialDialTimeout = 250 * time.Millisecond
	maxDialTimeout     = 1500 * time.Millisecond
	maxDialDoublings   = 8 // keeps the shift small; the maximum is reached long before

	acceptRetryDelay = 20 * time.Millisecond // after a transient error, such as too many open files
)

// Serve accepts links at a listener until it is closed, and reads each on a goroutine of its own until it ends. onUp
// is called for each link before its first frame, onFrame for each frame, onDown when the link has ended. A link that
// receives nothing for the time idle is closed; 0 disables this.
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

// DialTimeout returns the timeout of an attempt to reach a peer; attempts are counted from 0.
func DialTimeout(attempt int) time.Duration {
	return min(initialDialTimeout<<min(attempt, maxDialDoublings), maxDialTimeout)
}

// Dial establishes one link and reads it until it ends; the error, an *Error, is the reason for its end. timeout bounds
// the connection attempt; 0 means the system's timeout. onUp is called when the link is established.
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

// Backoff configures KeepConnected. The delay between two attempts is Initial after the end of an established link or a
// failed first attempt, and doubles with each further failure, up to Max. DialTimeout returns the timeout of the nth
// attempt; the very first attempt is 0, the first after an established link is 1.
type Backoff struct {
	Initial, Max time.Duration
	DialTimeout  func(nth int) time.Duration
}

// KeepConnected keeps a link to a peer until ctx is done. It checks ctx only between two attempts, so that whoever
// cancels ctx must close the link too. onUp is called for each established link, onDown when it has ended.
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
