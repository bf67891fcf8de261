package orders

import (
	"errors"

	"weirwind/internal/controlplane/config"
)

// Outcome tells the caller what became of its order.
type Outcome uint8

// Outcomes.
const (
	OutcomeUnknown        Outcome = iota // the order may or may not be applied, now or later: the caller retries
	OutcomeApplied                       // applied by this order
	OutcomeAlreadyApplied                // applied by an earlier copy of this order
	OutcomeRejected                      // not applied, and it never will be
	OutcomeRead                          // a read succeeded, or a lease was granted
)

// Answer is the result of an order.
type Answer struct {
	Status  int // HTTP status code
	Body    []byte
	Outcome Outcome
	Err     error         // why the order failed, to be matched by errors.Is; nil on success
	Reason  string        // short reason of a rejection, for logs
	State   *config.State // committed state that the decision is based on; nil if none was known
}

func succeeded(outcome Outcome, body []byte) *Answer {
	return &Answer{Status: statusOf(nil), Body: body, Outcome: outcome}
}

func failed(outcome Outcome, err error, text string) *Answer {
	return &Answer{Status: statusOf(err), Body: []byte(text + "\n"), Outcome: outcome, Err: err}
}

// unknown returns the answer to an order that may be applied, now or later.
func unknown(err error, text string) *Answer { return failed(OutcomeUnknown, err, text) }

// rejection returns the answer to a change that fails with err. A RejectedError is final: no later state would accept
// the change. For any other error the outcome is unknown.
func rejection(err error) *Answer {
	var rejected *config.RejectedError
	if !errors.As(err, &rejected) {
		return unknown(err, err.Error())
	}
	a := failed(OutcomeRejected, rejected, rejected.Text)
	a.Reason = rejected.Reason
	return a
}
