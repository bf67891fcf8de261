package driver

import (
	"context"
	"errors"
	"net"
	"os"
	"sync"
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// attempt is one request to a member: an op's, or a health check. It is sent at most once, and nothing of it is written
// once cancel or forbidWrites has returned.
type attempt struct {
	pool      *pool
	member    string
	statement *pgwire.Statement // nil for a health check
	deadline  time.Time
	staleAt   time.Time // when the positions that it was decided by are too old; zero where that doesn't matter
	ctx       context.Context
	release   context.CancelFunc

	writing         sync.Mutex  // held while the request is written; taken with mu held, never the other way round
	mu              sync.Mutex  // guards what follows
	conn            *memberConn // only while it is this attempt's alone
	cancelled       bool
	writesForbidden bool // never reset
}

func (p *pool) newAttempt(member string, statement *pgwire.Statement, timeout time.Duration) *attempt {
	x := &attempt{pool: p, member: member, statement: statement, deadline: time.Now().Add(timeout)}
	x.ctx, x.release = context.WithDeadline(context.Background(), x.deadline)
	return x
}

// cancel ends an attempt. It must not touch a connection that has gone back to the pool: another op may be on it.
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

// forbidWrites keeps the request from being written, and ends a write under way; an answer may still come.
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

// setConn makes a connection the attempt's own, so that cancel can end it; nil ends that.
func (x *attempt) setConn(conn *memberConn) {
	x.mu.Lock()
	x.conn = conn
	x.mu.Unlock()
}

// limitAnswerTime leaves a member that has begun its answer only the connect timeout for the rest. An answer that
// doesn't end in that time is malformed; one that is complete but for its end must not be lost for it.
func (x *attempt) limitAnswerTime() {
	x.mu.Lock()
	defer x.mu.Unlock()
	if limit := time.Now().Add(x.pool.connectTimeout); !x.cancelled && limit.Before(x.deadline) {
		x.conn.SetReadDeadline(limit)
	}
}

// run makes the attempt and says how it ended.
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

// exchange sends the request and reads the answer. The connection goes back to the pool only if nothing of the request
// was written, or the answer ended cleanly.
func (x *attempt) exchange() result {
	c := x.pool.takeIdle(x.member)
	if c != nil {
		x.pool.counters.Reused.Add(1)
	} else {
		var outcome logic.Outcome
		if c, outcome = x.pool.dial(x.ctx, x.member); c == nil {
			return result{outcome: x.outcomeUnlessEnded(outcome)}
		}
	}
	c.served++
	x.setConn(c)
	if begun, err := x.write(c); err != nil {
		x.setConn(nil)
		if begun {
			x.pool.closeConn(c, memberCut)
		} else {
			c.served--
			c.SetDeadline(time.Time{})
			x.pool.putIdle(c)
		}
		return result{outcome: x.outcomeUnlessEnded(logic.ConnectFailed)}
	}
	r, clean, err := readAnswer(c.reader, x.limitAnswerTime)
	r.connOpenedAt = c.openedAt
	x.setConn(nil)
	if clean {
		c.SetDeadline(time.Time{})
		x.pool.putIdle(c)
		return r
	}
	var reason memberClose
	r.outcome, reason = x.brokenOutcome(r.outcome, err)
	x.pool.closeConn(c, reason)
	return r
}

// brokenOutcome is the outcome of an answer that did not end cleanly, and why its connection is closed.
func (x *attempt) brokenOutcome(outcome logic.Outcome, err error) (logic.Outcome, memberClose) {
	switch {
	case outcome != noOutcome: // it came, and then the connection ended
		return outcome, memberEnded
	case errors.Is(err, os.ErrDeadlineExceeded):
		outcome = x.outcomeUnlessEnded(logic.TimedOut)
		if outcome == logic.TimedOut && time.Now().Before(x.deadline) {
			outcome = logic.Fault // limitAnswerTime's limit was over: the answer had begun
		}
		return outcome, closeReason(outcome)
	case errors.Is(err, pgwire.ErrFraming):
		return logic.Fault, memberGarbled
	}
	return logic.Reset, memberReset
}

func closeReason(outcome logic.Outcome) memberClose {
	switch outcome {
	case logic.Cancelled:
		return memberCancelled
	case logic.Fault:
		return memberGarbled
	}
	return memberTimedOut
}

// outcomeUnlessEnded is the outcome, but for an attempt that was cancelled, forbidden to write or out of time.
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

// write sends the request, unless that is forbidden. Without an error its last byte is written; begun says whether its
// first may be.
func (x *attempt) write(conn *memberConn) (begun bool, err error) {
	x.mu.Lock()
	x.writesForbidden = x.writesForbidden || !x.staleAt.IsZero() && time.Now().After(x.staleAt)
	if x.writesForbidden || x.ctx.Err() != nil {
		x.mu.Unlock()
		return false, os.ErrDeadlineExceeded
	}
	x.writing.Lock()
	defer x.writing.Unlock()
	conn.SetDeadline(x.deadline)
	x.mu.Unlock()
	var b net.Buffers
	if x.statement != nil {
		b = x.statement.Query(time.Until(x.deadline).Milliseconds())
	} else {
		b = net.Buffers{pgwire.AppendQuery(nil, x.pool.healthCheckQuery)}
	}
	_, err = b.WriteTo(conn.Conn)
	return true, err
}
