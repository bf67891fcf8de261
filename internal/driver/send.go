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
type attempt struct {
	pool      *pool
	member    string
	statement *pgwire.Statement // nil for a probe
	deadline  time.Time
	staleAt   time.Time // when what it was decided on is too old; zero where that does not age
	ctx       context.Context
	release   context.CancelFunc

	writing         sync.Mutex  // held while the request is written
	mu              sync.Mutex  // guards what follows
	conn            *memberConn // only while it is this send's
	cancelled       bool
	writesForbidden bool // nothing may be written any more
}

func (m *pool) newAttempt(member string, s *pgwire.Statement, wait time.Duration) *attempt {
	x := &attempt{pool: m, member: member, statement: s, deadline: time.Now().Add(wait)}
	x.ctx, x.release = context.WithDeadline(context.Background(), x.deadline)
	return x
}

// cancel stops waiting; once it returns nothing more is written. It must not touch a connection that has gone
// back: another op may be on it.
func (x *attempt) cancel() {
	x.release()
	x.mu.Lock()
	x.cancelled = true
	if x.conn != nil {
		x.conn.SetDeadline(time.Unix(1, 0))
	}
	x.mu.Unlock()
	x.forbidWrites()
}

// forbidWrites keeps a request from being written, and ends the writing of one that has begun.
func (x *attempt) forbidWrites() {
	x.mu.Lock()
	x.writesForbidden = true
	if x.conn != nil {
		x.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	x.mu.Unlock()
	x.writing.Lock() // a write under way has ended
	defer x.writing.Unlock()
}

// attach makes a connection the send's own, so that cancel can end it; attach(nil) ends that.
func (x *attempt) setConn(l *memberConn) {
	x.mu.Lock()
	x.conn = l
	x.mu.Unlock()
}

// limitAnswer leaves a member that has begun its answer only the time of a connect for the rest: one that does not
// end is spoilt, and one that is whole but for its end must not be lost for that.
func (x *attempt) limitAnswerTime() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if limit := time.Now().Add(x.pool.connectTimeout); !x.cancelled && limit.Before(x.deadline) {
		x.conn.SetReadDeadline(limit)
	}
}

// run carries the send out and tells how it ended.
func (x *attempt) run() result {
	defer x.release()
	x.pool.counters.Sends.Add(1)
	r := x.exchange()
	if r.member = x.member; x.statement == nil {
		r.parseUsage(r.value)
	}
	if c := x.pool.counters.forOutcome(r.outcome); c != nil {
		c.Add(1)
	}
	return r
}

func (x *attempt) exchange() result {
	l := x.pool.takeIdle(x.member)
	if l != nil {
		x.pool.counters.Reused.Add(1)
	} else {
		var outcome logic.Outcome
		if l, outcome = x.pool.dial(x.ctx, x.member); l == nil {
			return result{outcome: x.outcomeUnlessEnded(outcome)}
		}
	}
	l.served++
	x.setConn(l)
	begun, err := x.write(l)
	if err != nil {
		x.setConn(nil)
		if begun {
			x.pool.closeConn(l, "cut")
		} else {
			l.served--
			l.SetDeadline(time.Time{})
			x.pool.putIdle(l)
		}
		return result{outcome: x.outcomeUnlessEnded(logic.ConnectFailed)}
	}
	r, clean, err := readAnswer(l.reader, x.limitAnswerTime)
	r.connOpenedAt = l.openedAt
	x.setConn(nil)
	switch {
	case clean:
		l.SetDeadline(time.Time{})
		x.pool.putIdle(l)
		return r
	case r.outcome == noOutcome && errors.Is(err, os.ErrDeadlineExceeded):
		if r.outcome = x.outcomeUnlessEnded(logic.TimedOut); r.outcome == logic.TimedOut && time.Now().Before(x.deadline) {
			r.outcome = logic.Fault // the limit of answers was over: it had begun
		}
		x.pool.closeConn(l, closeReason(r.outcome))
	case r.outcome == noOutcome && errors.Is(err, pgwire.ErrFraming):
		r.outcome = logic.Fault
		x.pool.closeConn(l, "garbled")
	case r.outcome == noOutcome:
		r.outcome = logic.Reset
		x.pool.closeConn(l, "reset")
	default: // an outcome came, and then the connection ended
		x.pool.closeConn(l, "ended")
	}
	return r
}

// unlessEnded is the outcome, but for a send that was cancelled, barred or out of time.
func (x *attempt) outcomeUnlessEnded(outcome logic.Outcome) logic.Outcome {
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
func (x *attempt) write(l *memberConn) (begun bool, err error) {
	x.mu.Lock()
	x.writesForbidden = x.writesForbidden || !x.staleAt.IsZero() && time.Now().After(x.staleAt)
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
		b = net.Buffers{pgwire.AppendQuery(nil, x.pool.healthCheckQuery)}
	}
	_, err = b.WriteTo(l.Conn)
	return true, err
}

// of is the counter of an outcome; nil where a good answer needs none.
func (c *counters) forOutcome(o logic.Outcome) *atomic.Int64 {
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
