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

// attempt is one request to a member, for an op or a health check. It is sent at most once, and none of it is written
// after cancel or forbidWrites has returned.
type attempt struct {
	pool          *pool
	member        string
	statement     *pgwire.Statement // nil for a health check
	deadline      time.Time
	staleAt       time.Time // when the decision expires, as it depends on members' positions; zero if it doesn't
	ctx           context.Context
	cancelContext context.CancelFunc

	writeMu         sync.Mutex  // held while the request is written; mu may be held when it is taken, never the reverse
	mu              sync.Mutex  // guards what follows
	conn            *memberConn // set only while this attempt owns it
	cancelled       bool
	writesForbidden bool // never reset
}

func (p *pool) newAttempt(member string, statement *pgwire.Statement, timeout time.Duration) *attempt {
	a := &attempt{pool: p, member: member, statement: statement, deadline: time.Now().Add(timeout)}
	a.ctx, a.cancelContext = context.WithDeadline(context.Background(), a.deadline)
	return a
}

// cancel ends an attempt. It must not touch a connection that has gone back to the pool: another op may be using it.
func (a *attempt) cancel() {
	a.cancelContext()
	a.mu.Lock()
	a.cancelled = true
	if a.conn != nil {
		a.conn.SetDeadline(time.Unix(1, 0))
	}
	a.mu.Unlock()
	a.forbidWrites()
}

// forbidWrites prevents the request from being written, and ends a write in progress; an answer may still arrive.
func (a *attempt) forbidWrites() {
	a.mu.Lock()
	a.writesForbidden = true
	if a.conn != nil {
		a.conn.SetWriteDeadline(time.Unix(1, 0))
	}
	a.mu.Unlock()
	a.writeMu.Lock() // waits for a write in progress to end
	defer a.writeMu.Unlock()
}

// setConn sets the connection that the attempt owns and cancel may interrupt; nil if it owns none any more.
func (a *attempt) setConn(conn *memberConn) {
	a.mu.Lock()
	a.conn = conn
	a.mu.Unlock()
}

// limitAnswerTime limits the time for the rest of an answer that has begun to the connect timeout. An answer that
// doesn't end in that time is malformed, but one that lacks only ReadyForQuery is still used.
func (a *attempt) limitAnswerTime() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if limit := time.Now().Add(a.pool.connectTimeout); !a.cancelled && limit.Before(a.deadline) {
		a.conn.SetReadDeadline(limit)
	}
}

// run makes the attempt and returns its result.
func (a *attempt) run() result {
	defer a.cancelContext()
	a.pool.counters.Sends.Add(1)
	r := a.exchange()
	if r.member = a.member; a.statement == nil {
		r.parseUsage(r.value)
	}
	if c := a.pool.counters.forOutcome(r.outcome); c != nil {
		c.Add(1)
	}
	return r
}

// exchange sends the request and reads the answer. The connection goes back to the pool only if nothing of the request
// was written, or the answer ended cleanly.
func (a *attempt) exchange() result {
	c := a.pool.takeIdle(a.member)
	if c != nil {
		a.pool.counters.Reused.Add(1)
	} else {
		var outcome logic.Outcome
		if c, outcome = a.pool.dial(a.ctx, a.member); c == nil {
			return result{outcome: a.outcomeUnlessCancelled(outcome)}
		}
	}
	c.requests++
	a.setConn(c)
	if started, err := a.write(c); err != nil {
		a.setConn(nil)
		if started {
			a.pool.closeConn(c, memberWriteFailed)
		} else {
			c.requests--
			c.SetDeadline(time.Time{})
			a.pool.putIdle(c)
		}
		return result{outcome: a.outcomeUnlessCancelled(logic.ConnectFailed)}
	}
	r, clean, err := readAnswer(c.reader, a.limitAnswerTime)
	r.connOpenedAt = c.openedAt
	a.setConn(nil)
	if clean {
		c.SetDeadline(time.Time{})
		a.pool.putIdle(c)
		return r
	}
	var reason memberClose
	r.outcome, reason = a.incompleteAnswerOutcome(r.outcome, err)
	a.pool.closeConn(c, reason)
	return r
}

// incompleteAnswerOutcome returns the outcome of an answer that did not end cleanly, and why its connection is closed.
func (a *attempt) incompleteAnswerOutcome(outcome logic.Outcome, err error) (logic.Outcome, memberClose) {
	switch {
	case outcome != noOutcome: // the connection ended after the answer
		return outcome, memberClosedAfterAnswer
	case errors.Is(err, os.ErrDeadlineExceeded):
		outcome = a.outcomeUnlessCancelled(logic.TimedOut)
		if outcome == logic.TimedOut && time.Now().Before(a.deadline) {
			outcome = logic.Fault // the limit of limitAnswerTime expired: the answer had begun
		}
		return outcome, closeReason(outcome)
	case errors.Is(err, pgwire.ErrFraming):
		return logic.Fault, memberMalformed
	}
	return logic.Reset, memberReset
}

func closeReason(outcome logic.Outcome) memberClose {
	switch outcome {
	case logic.Cancelled:
		return memberCancelled
	case logic.Fault:
		return memberMalformed
	}
	return memberTimedOut
}

// outcomeUnlessCancelled returns outcome, unless the attempt was cancelled, forbidden to write or out of time.
func (a *attempt) outcomeUnlessCancelled(outcome logic.Outcome) logic.Outcome {
	a.mu.Lock()
	defer a.mu.Unlock()
	switch {
	case a.cancelled:
		return logic.Cancelled
	case (a.writesForbidden || a.ctx.Err() != nil) && outcome == logic.ConnectFailed:
		return logic.Moot // the attempt ran out of time, which is not the member's fault
	}
	return outcome
}

// write sends the request, unless that is forbidden. Without an error the whole request was written; started reports
// whether a part of it may have been written.
func (a *attempt) write(conn *memberConn) (started bool, err error) {
	a.mu.Lock()
	a.writesForbidden = a.writesForbidden || !a.staleAt.IsZero() && time.Now().After(a.staleAt)
	if a.writesForbidden || a.ctx.Err() != nil {
		a.mu.Unlock()
		return false, os.ErrDeadlineExceeded
	}
	a.writeMu.Lock()
	defer a.writeMu.Unlock()
	conn.SetDeadline(a.deadline)
	a.mu.Unlock()
	var buffers net.Buffers
	if a.statement != nil {
		buffers = a.statement.Query(time.Until(a.deadline).Milliseconds())
	} else {
		buffers = net.Buffers{pgwire.AppendQuery(nil, a.pool.healthCheckQuery)}
	}
	_, err = buffers.WriteTo(conn.Conn)
	return true, err
}
