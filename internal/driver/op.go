package driver

import (
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// staleAfter is the validity of a decision that depends on how old a member's data is. Its attempt is sent within that
// time or, after a slow connect or a pause of the machine, not at all: the module then decides again.
const staleAfter = 50 * time.Millisecond

// op is one statement of a client, from its submission until its answer.
type op struct {
	id        string // assigned by the driver
	opType    int    // index in the module's opening
	statement pgwire.Statement
	ready     chan struct{} // signaled when there are actions or an answer; buffers one signal

	// Guarded by the decider's lock.
	pending      []decidedAction // decided but not yet carried out
	finished     bool            // its answer is decided or its client has disconnected; never reset
	rows         []byte          // the first successful answer, as the member sent it
	zoneAttempts []zoneAttempt   // by attempt; used if decisions about zones are enabled
}

// zoneAttempt is the member of an attempt, and when it was decided on the module's clock.
type zoneAttempt struct {
	member    string
	decidedAt float64
}

// decidedAction is an action of the module for an op, and when it was decided.
type decidedAction struct {
	logic.Action
	decidedAt time.Time
}

func newOp(opType int, statement pgwire.Statement) *op {
	return &op{opType: opType, statement: statement, ready: make(chan struct{}, 1)}
}

func (o *op) push(action logic.Action) {
	o.pending = append(o.pending, decidedAction{action, time.Now()})
	o.signal()
}

func (o *op) signal() {
	select {
	case o.ready <- struct{}{}:
	default:
	}
}

// opEnd is how an op ended.
type opEnd uint8

const (
	endNotStarted opEnd = iota // no attempt was made
	endAcked
	endBusy
	endFailed
	endClientDisconnected // while attempts were in flight
)

// perform executes an op and returns its complete answer, or nil if the client disconnected, which closes disconnected.
// A write that must not run twice and has an idempotency key goes through the ledger, if there is one.
func (s *Service) perform(op *op, disconnected <-chan struct{}) []byte {
	if s.ledger != nil && op.statement.Write && op.statement.IdempotencyKey != nil && s.ledger.covers(op) {
		return s.ledger.perform(op, disconnected)
	}
	answer, _ := s.execute(op, disconnected)
	return answer
}

// execute submits an op to the module, carries out the module's actions until the op is finished, and returns the
// answer and how the op ended. All retries, choices of members and timeouts are decided by the module.
func (s *Service) execute(op *op, disconnected <-chan struct{}) ([]byte, opEnd) {
	if !s.decider.submit(op) {
		return duplicateID, endNotStarted
	}
	s.counters.Ops.Add(1)
	var attempts []*attempt // by their index in actions; local, so that a few need no allocation on the heap
	for {
		clientDisconnected := false
		select {
		case <-op.ready:
		case <-disconnected:
			s.decider.clientDisconnected(op)
			clientDisconnected = true
		}
		actions, rows := s.decider.takeActions(op)
		var answer []byte
		var end opEnd
		for _, a := range actions {
			if a.Kind == logic.ActSend {
				attempts = append(attempts, s.startAttempt(op, a, len(attempts)))
			} else if reply, replyEnd := s.applyAction(a, attempts); reply != nil {
				answer, end = reply, replyEnd
			}
		}
		if answer != nil || rows != nil || clientDisconnected {
			for _, started := range attempts {
				started.forbidWrites() // nothing is sent for an op once its answer is decided
			}
		}
		switch {
		case answer != nil:
			return answer, end
		case rows != nil:
			s.counters.Acked.Add(1)
			return pgwire.AppendReadyForQuery(rows), endAcked
		case clientDisconnected:
			s.counters.Left.Add(1)
			if len(attempts) == 0 {
				return nil, endNotStarted
			}
			return nil, endClientDisconnected
		}
	}
}

// applyAction carries out an action for an op, other than a new attempt. It returns an answer if the module decided on
// one, or nil.
func (s *Service) applyAction(action decidedAction, attempts []*attempt) (answer []byte, end opEnd) {
	switch action.Kind {
	case logic.ActCancel:
		if started := attempts[action.Send]; action.Wait > 0 {
			time.AfterFunc(duration(action.Wait), started.cancel)
		} else {
			started.cancel()
		}
	case logic.ActRefuse:
		s.counters.BusyReplied.Add(1)
		return busyAnswer(action.Wait), endBusy
	case logic.ActFail:
		s.counters.Errored.Add(1)
		return opFailed, endFailed
	}
	return nil, endNotStarted
}

// startAttempt starts the op's attempt with that index and passes its result to the decider.
func (s *Service) startAttempt(op *op, action decidedAction, index int) *attempt {
	attempt := s.pool.newAttempt(action.Member, &op.statement, duration(action.Wait))
	if s.decider.hasStalenessBound(op) {
		attempt.staleAt = action.decidedAt.Add(staleAfter)
	}
	s.inFlight.Go(func() error {
		s.decider.attemptEnded(op, index, attempt.run())
		return nil
	})
	return attempt
}
