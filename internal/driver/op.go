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
const slack = 50 * time.Millisecond

type op struct {
	id        string
	opType    int
	statement pgwire.Statement

	todo  []order // decided and not yet done; under the decider's lock, as are final and rows
	final bool    // its answer is settled, or its client has left
	rows  []byte  // the good answer, as the member gave it
	wake  chan struct{}
	to    []sentTo // its sends, where zones are decided on
}

// sentTo is where a send went, and when that was decided on the module's clock.
type sentTo struct {
	member string
	at     float64
}

// order is an action of the module for an op, and when it was decided.
type order struct {
	logic.Action
	at time.Time
}

func newOp(opType int, s pgwire.Statement) *op {
	return &op{opType: opType, statement: s, wake: make(chan struct{}, 1)}
}

func (o *op) push(a logic.Action) {
	o.todo = append(o.todo, order{a, time.Now()})
	o.awake()
}

func (o *op) awake() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}

// ending is how an op ended.
type ending uint8

const (
	endUntaken ending = iota // it never began
	endAcked
	endBusy
	endErrored
	endLeft // its client has gone, with sends out
)

// perform carries an op through and returns its answer, whole, or nil if the client left. gone is closed when it
// leaves. An op that must not run twice and names a key goes by the ledger, where there is one.
func (v *Service) perform(o *op, gone <-chan struct{}) []byte {
	if v.ledger != nil && o.statement.Write && o.statement.Token != nil && v.ledger.minds(o) {
		return v.ledger.perform(o, gone)
	}
	answer, _ := v.carryOut(o, gone)
	return answer
}

// carryOut does so without the ledger, and says how it ended.
func (v *Service) carryOut(o *op, gone <-chan struct{}) ([]byte, ending) {
	if !v.decide.take(o) {
		return repeated, endUntaken
	}
	v.count.Ops.Add(1)
	var sends []*send
	for {
		left := false
		select {
		case <-o.wake:
		case <-gone:
			v.decide.left(o)
			left = true
		}
		orders, rows := v.decide.next(o)
		var answer []byte
		end := endAcked
		for _, a := range orders {
			switch a.Kind {
			case logic.ActSend:
				sends = append(sends, v.send(o, a, len(sends)))
			case logic.ActCancel:
				if s := sends[a.Send]; a.Wait > 0 {
					time.AfterFunc(duration(a.Wait), s.cancel)
				} else {
					s.cancel()
				}
			case logic.ActRefuse:
				v.count.BusyReplied.Add(1)
				answer, end = busy(a.Wait), endBusy
			case logic.ActFail:
				v.count.Errored.Add(1)
				answer, end = failed, endErrored
			}
		}
		if answer != nil || rows != nil || left {
			for _, s := range sends {
				s.forbidWrites()
			}
		}
		switch {
		case answer != nil:
			return answer, end
		case rows != nil:
			v.count.Acked.Add(1)
			return pgwire.AppendReady(rows), endAcked
		case left:
			v.count.Left.Add(1)
			if len(sends) == 0 {
				return nil, endUntaken
			}
			return nil, endLeft
		}
	}
}

// send begins the op's n-th send; what comes of it goes to the decider.
func (v *Service) send(o *op, a order, n int) *send {
	s := v.members.send(a.Member, &o.statement, duration(a.Wait))
	if v.decide.ages(o) {
		s.writeBy = a.at.Add(slack)
	}
	v.group.Go(func() error {
		v.decide.answered(o, n, s.run())
		return nil
	})
	return s
}

var repeated = pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeProtocol, "an op of this id is open", ""))

var failed = pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeFailed,
	"the op failed and may have taken effect", ""))

// busy says that trying again is harmless, and after how many milliseconds if the module advises some.
func busy(wait float64) []byte {
	detail := ""
	if ms := duration(wait).Round(time.Millisecond).Milliseconds(); ms > 0 {
		detail = strconv.FormatInt(ms, 10)
	}
	return pgwire.AppendReady(pgwire.AppendError(nil, "ERROR", pgwire.CodeBusy, "busy, try again", detail))
}
