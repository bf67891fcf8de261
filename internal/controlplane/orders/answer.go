package orders

import (
	"errors"

	"weirwind/internal/controlplane/config"
)

// Outcome is what an answer means to the caller.
type Outcome uint8

// Outcomes.
const (
	OutcomeUnknown        Outcome = iota // applied, or not, or not yet: the caller retries
	OutcomeApplied                       // by this order
	OutcomeAlreadyApplied                // by an earlier copy of this order
	OutcomeRejected                      // not applied, and never will be
	OutcomeRead                          // a read, or a lease that is granted
)

// Answer is an order's result.
type Answer struct {
	Status  int // of HTTP
	Body    []byte
	Outcome Outcome
	Err     error         // nil, or why there is no result: told apart by errors.Is
	Reason  string        // of a rejection, a word for logs
	State   *config.State // the committed state by which it was decided; nil: none was known
}

func succeeded(outcome Outcome, body []byte) *Answer {
	return &Answer{Status: statusOf(nil), Body: body, Outcome: outcome}
}

func failed(outcome Outcome, err error, text string) *Answer {
	return &Answer{Status: statusOf(err), Body: []byte(text + "\n"), Outcome: outcome, Err: err}
}

// unknown is the answer of an order that may be applied, now or later.
func unknown(err error, text string) *Answer { return failed(OutcomeUnknown, err, text) }

// rejection is the answer to a change that no state to come would apply. An error of any other kind leaves it unknown.
func rejection(err error) *Answer {
	var rejected *config.RejectedError
	if !errors.As(err, &rejected) {
		return unknown(err, err.Error())
	}
	a := failed(OutcomeRejected, rejected, rejected.Text)
	a.Reason = rejected.Reason
	return a
}
