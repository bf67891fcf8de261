package driver

// This file owns one try at an op toward a member, and a probe. It must never send anything twice, and once cancel has
// returned it writes nothing more.

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// send is one try at an op toward a member.
type send struct {
	m         *pool
	member    string
	statement *pgwire.Statement // nil for a probe
	deadline  time.Time
	writeBy   time.Time // when what it was decided on is too old; zero where that does not age
	ctx       context.Context
	stop      context.CancelFunc

	writing         sync.Mutex // held while the request is written
	mu              sync.Mutex // guards what follows
	link            *link      // only while it is this send's
	cancelled       bool
	writesForbidden bool // nothing may be written any more
}

func (m *pool) send(member string, s *pgwire.Statement, wait time.Duration) *send {
	x := &send{m: m, member: member, statement: s, deadline: time.Now().Add(wait)}
	x.ctx, x.stop = context.WithDeadline(context.Background(), x.deadline)
	return x
}

// cancel stops waiting; once it returns nothing more is written. It must not touch a connection that has gone
// back: another op may be on it.
func (x *send) cancel() {
	x.stop()
	x.mu.Lock()
	x.cancelled = true
	if x.link != nil {
		x.link.SetDeadline(time.Unix(1, 0))
	}
	x.mu.Unlock()
	x.forbidWrites()
}

// forbidWrites keeps a request from being written, and ends the writing of one that has begun.
func (x *send) forbidWrites() {
	x.mu.Lock()
	x.writesForbidden = true
	if x.link != nil {
		x.link.SetWriteDeadline(time.Unix(1, 0))
	}
	x.mu.Unlock()
	x.writing.Lock() // a write under way has ended
	defer x.writing.Unlock()
}

// attach makes a connection the send's own, so that cancel can end it; attach(nil) ends that.
func (x *send) attach(l *link) {
	x.mu.Lock()
	x.link = l
	x.mu.Unlock()
}

// limitAnswer leaves a member that has begun its answer only the time of a connect for the rest: one that does not
// end is spoilt, and one that is whole but for its end must not be lost for that.
func (x *send) limitAnswer() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if limit := time.Now().Add(x.m.connectTime); !x.cancelled && limit.Before(x.deadline) {
		x.link.SetReadDeadline(limit)
	}
}

// run carries the send out and tells how it ended.
func (x *send) run() result {
	defer x.stop()
	x.m.count.Sends.Add(1)
	r := x.exchange()
	if r.member = x.member; x.statement == nil {
		r.usage(r.value)
	}
	if c := x.m.count.of(r.outcome); c != nil {
		c.Add(1)
	}
	return r
}

func (x *send) exchange() result {
	l := x.m.takeIdle(x.member)
	if l != nil {
		x.m.count.Reused.Add(1)
	} else {
		var outcome logic.Outcome
		if l, outcome = x.m.open(x.ctx, x.member); l == nil {
			return result{outcome: x.unlessEnded(outcome)}
		}
	}
	l.served++
	x.attach(l)
	begun, err := x.write(l)
	if err != nil {
		x.attach(nil)
		if begun {
			x.m.closeLink(l, "cut")
		} else {
			l.served--
			l.SetDeadline(time.Time{})
			x.m.putIdle(l)
		}
		return result{outcome: x.unlessEnded(logic.ConnectFailed)}
	}
	r, clean, err := readAnswer(l.r, x.limitAnswer)
	r.opened = l.opened
	x.attach(nil)
	switch {
	case clean:
		l.SetDeadline(time.Time{})
		x.m.putIdle(l)
		return r
	case r.outcome == noOutcome && errors.Is(err, os.ErrDeadlineExceeded):
		if r.outcome = x.unlessEnded(logic.TimedOut); r.outcome == logic.TimedOut && time.Now().Before(x.deadline) {
			r.outcome = logic.Fault // the limit of answers was over: it had begun
		}
		x.m.closeLink(l, closeReason(r.outcome))
	case r.outcome == noOutcome && errors.Is(err, pgwire.ErrFraming):
		r.outcome = logic.Fault
		x.m.closeLink(l, "garbled")
	case r.outcome == noOutcome:
		r.outcome = logic.Reset
		x.m.closeLink(l, "reset")
	default: // an outcome came, and then the connection ended
		x.m.closeLink(l, "ended")
	}
	return r
}

// unlessEnded is the outcome, but for a send that was cancelled, barred or out of time.
func (x *send) unlessEnded(outcome logic.Outcome) logic.Outcome {
	x.mu.Lock()
	defer x.mu.Unlock()
	switch {
	case x.cancelled:
		return logic.Cancelled
	case (x.writesForbidden || x.ctx.Err() != nil) && outcome == logic.ConnectFailed:
		return logic.Moot // its time ran out, which is not the member's fault
	}
	return outcome
}

// write sends the request, unless that has been forbidden. Without an error its last byte is written.
func (x *send) write(l *link) (begun bool, err error) {
	x.mu.Lock()
	x.writesForbidden = x.writesForbidden || !x.writeBy.IsZero() && time.Now().After(x.writeBy)
	if x.writesForbidden || x.ctx.Err() != nil {
		x.mu.Unlock()
		return false, os.ErrDeadlineExceeded
	}
	x.writing.Lock()
	defer x.writing.Unlock()
	l.SetDeadline(x.deadline)
	x.mu.Unlock()
	var b net.Buffers
	if x.statement != nil {
		b = x.statement.Query(time.Until(x.deadline).Milliseconds())
	} else {
		b = net.Buffers{pgwire.AppendQuery(nil, x.m.probeQuery)}
	}
	_, err = b.WriteTo(l.Conn)
	return true, err
}

// of is the counter of an outcome; nil where a good answer needs none.
func (c *counters) of(o logic.Outcome) *atomic.Int64 {
	return [...]*atomic.Int64{logic.OK: nil, logic.Miss: &c.Missed, logic.Full: &c.Full,
		logic.ConnectFailed: &c.NoConnection, logic.Moot: &c.Unsent, logic.Fault: &c.Faulted,
		logic.TimedOut: &c.TimedOut, logic.Reset: &c.Reset, logic.Cancelled: &c.Cancelled}[o]
}

func closeReason(o logic.Outcome) string {
	switch o {
	case logic.Cancelled:
		return "cancelled"
	case logic.Fault:
		return "garbled"
	}
	return "timed_out"
}
