package driver

// This file owns the life of one op, from its statement to the last byte of its answer. It reads from top to
// bottom: ask the module, send, hear the outcome, ask again, answer. It must never decide: no retry, no choice
// and no time-out of its own; and nothing is sent for an op once its answer is due.

import (
	"strconv"
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// slack is how much longer the limits of the rules are on sockets. A send whose data may be only so old goes out
// within it or, held up by a slow connect or a pause of the machine, not at all: the module then decides anew.
const sendSlack = 50 * time.Millisecond

type op struct {
	id        string
	opType    int
	statement pgwire.Statement

	pending []decidedAction // decided and not yet done; under the decider's lock, as are final and rows
	settled bool            // its answer is settled, or its client has left
	rows    []byte          // the good answer, as the member gave it
	ready   chan struct{}
	sentTo  []zoneAttempt // its sends, where zones are decided on
}

// sentTo is where a send went, and when that was decided on the module's clock.
type zoneAttempt struct {
	member string
	at     float64
}

// order is an action of the module for an op, and when it was decided.
type decidedAction struct {
	logic.Action
	decidedAt time.Time
}

func newOp(opType int, s pgwire.Statement) *op {
	return &op{opType: opType, statement: s, ready: make(chan struct{}, 1)}
}

func (o *op) push(a logic.Action) {
	o.pending = append(o.pending, decidedAction{a, time.Now()})
	o.signal()
}

func (o *op) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// ending is how an op ended.
type opEnd uint8

const (
	endNotStarted opEnd = iota // it never began
	endAcked
	endBusy
	endFailed
	endClientLeft // its client has gone, with sends out
)

// perform carries an op through and returns its answer, whole, or nil if the client left. gone is closed when it
// leaves. An op that must not run twice and names a key goes by the ledger, where there is one.
func (v *Service) perform(o *op, disconnected <-chan struct{}) []byte {
	if v.ledger != nil && o.statement.Write && o.statement.IdempotencyKey != nil && v.ledger.covers(o) {
		return v.ledger.perform(o, disconnected)
	}
	answer, _ := v.execute(o, disconnected)
	return answer
}

// carryOut does so without the ledger, and says how it ended.
func (v *Service) execute(o *op, disconnected <-chan struct{}) ([]byte, opEnd) {
	if !v.decider.submit(o) {
		return duplicateID, endNotStarted
	}
	v.counters.Ops.Add(1)
	var attempts []*attempt
	for {
		clientLeft := false
		select {
		case <-o.ready:
		case <-disconnected:
			v.decider.clientLeft(o)
			clientLeft = true
		}
		orders, rows := v.decider.takeActions(o)
		var answer []byte
		end := endAcked
		for _, a := range orders {
			switch a.Kind {
			case logic.ActSend:
				attempts = append(attempts, v.startAttempt(o, a, len(attempts)))
			case logic.ActCancel:
				if s := attempts[a.Send]; a.Wait > 0 {
					time.AfterFunc(duration(a.Wait), s.cancel)
				} else {
					s.cancel()
				}
			case logic.ActRefuse:
				v.counters.BusyReplied.Add(1)
				answer, end = busyAnswer(a.Wait), endBusy
			case logic.ActFail:
				v.counters.Errored.Add(1)
				answer, end = opFailed, endFailed
			}
		}
		if answer != nil || rows != nil || clientLeft {
			for _, s := range attempts {
				s.forbidWrites()
			}
		}
		switch {
		case answer != nil:
			return answer, end
		case rows != nil:
			v.counters.Acked.Add(1)
			return pgwire.AppendReadyForQuery(rows), endAcked
		case clientLeft:
			v.counters.Left.Add(1)
			if len(attempts) == 0 {
				return nil, endNotStarted
			}
			return nil, endClientLeft
		}
	}
}

// send begins the op's n-th send; what comes of it goes to the decider.
func (v *Service) startAttempt(o *op, a decidedAction, n int) *attempt {
	s := v.pool.newAttempt(a.Member, &o.statement, duration(a.Wait))
	if v.decider.staleDataMatters(o) {
		s.staleAt = a.decidedAt.Add(sendSlack)
	}
	v.inFlight.Go(func() error {
		v.decider.attemptEnded(o, n, s.run())
		return nil
	})
	return s
}

var duplicateID = pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeProtocolViolation, "an op of this id is open", ""))

var opFailed = pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeSystemError,
	"the op failed and may have taken effect", ""))

// busy says that trying again is harmless, and after how many milliseconds if the module advises some.
func busyAnswer(wait float64) []byte {
	detail := ""
	if ms := duration(wait).Round(time.Millisecond).Milliseconds(); ms > 0 {
		detail = strconv.FormatInt(ms, 10)
	}
	return pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeTooManyConnections, "busy, try again", detail))
}
