package driver

import (
	"time"

	"weirwind/internal/pgwire"
	"weirwind/logic"
)

// staleAfter is how much longer an attempt may be held up than it was decided for. One that depends on how old data is
// goes out within it or, behind a slow connect or a pause of the machine, not at all: the module then decides again.
const staleAfter = 50 * time.Millisecond

// op is one statement of a client, from its submission to its answer.
type op struct {
	id        string // the driver's own
	opType    int    // index in the module's opening
	statement pgwire.Statement
	ready     chan struct{} // signaled when there are actions or an answer; holds one signal

	// Under the decider's lock.
	pending  []decidedAction // decided and not yet carried out
	finished bool            // its answer is decided, or its client has left; never reset
	rows     []byte          // the first good answer, as the member gave it
	sentTo   []zoneAttempt   // by attempt, where zones are decided on
}

// zoneAttempt is where an attempt went, and when that was decided on the module's clock.
type zoneAttempt struct {
	member string
	at     float64
}

// decidedAction is an action of the module on an op, and when it was decided.
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
	endClientDisconnected // with attempts out
)

// perform carries an op through and returns its complete answer, or nil if the client left; disconnected is closed
// when it does. A write that must not run twice and has an idempotency key goes by the ledger, where there is one.
func (s *Service) perform(op *op, disconnected <-chan struct{}) []byte {
	if s.ledger != nil && op.statement.Write && op.statement.IdempotencyKey != nil && s.ledger.covers(op) {
		return s.ledger.perform(op, disconnected)
	}
	answer, _ := s.execute(op, disconnected)
	return answer
}

// execute submits an op to the module, carries out what it decides until the op is finished, and says how it ended. It
// decides nothing itself: no retry, no choice and no timeout.
func (s *Service) execute(op *op, disconnected <-chan struct{}) ([]byte, opEnd) {
	if !s.decider.submit(op) {
		return duplicateID, endNotStarted
	}
	s.counters.Ops.Add(1)
	var attempts []*attempt // by their index in actions; local, so that a few need no allocation
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
			for _, x := range attempts {
				x.forbidWrites() // nothing is sent for an op once its answer is due
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

// applyAction carries out an action on an op, other than a new attempt. There is an answer where the module decided on
// one.
func (s *Service) applyAction(action decidedAction, attempts []*attempt) (answer []byte, end opEnd) {
	switch action.Kind {
	case logic.ActCancel:
		if x := attempts[action.Send]; action.Wait > 0 {
			time.AfterFunc(duration(action.Wait), x.cancel)
		} else {
			x.cancel()
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

// startAttempt starts the op's attempt with that index; its result goes to the decider.
func (s *Service) startAttempt(op *op, action decidedAction, index int) *attempt {
	x := s.pool.newAttempt(action.Member, &op.statement, duration(action.Wait))
	if s.decider.staleDataMatters(op) {
		x.staleAt = action.decidedAt.Add(staleAfter)
	}
	s.inFlight.Go(func() error {
		s.decider.attemptEnded(op, index, x.run())
		return nil
	})
	return x
}
