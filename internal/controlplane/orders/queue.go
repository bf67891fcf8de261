package orders

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
)

// Order is a request that is waiting for its answer.
type Order struct {
	controlmsg.Request
	Reply func(Answer) // called exactly once, from Submit or Step

	phase    phase
	deadline float64 // in the queue's milliseconds

	round       uint64 // heartbeat round that confirms the leader; set from phaseConfirming on
	index, term uint64 // of the entry that the change was proposed in; set in phaseProposed

	// Evaluating a change parses its whole document, so the result is cached until the committed state changes.
	evaluatedState *config.State // state that the result is for; nil: not evaluated yet
	nextState      *config.State // state with the change applied; same as evaluatedState if it was already applied
	evaluationErr  error         // why there is no nextState
}

// Limits bounds a queue.
type Limits struct {
	Pending int     // maximum number of pending orders
	Timeout float64 // milliseconds from Submit until an order is answered with ErrTimeout
}

// Queue holds the pending orders, first in, first out. It is not safe for concurrent use.
type Queue struct {
	limits  Limits
	pending []*Order
}

// New returns an empty queue.
func New(limits Limits) *Queue { return &Queue{limits: limits} }

// Submit adds an order to the queue, or answers it with ErrQueueFull. now is in milliseconds of a monotonic clock.
func (q *Queue) Submit(order *Order, now float64) {
	if len(q.pending) >= q.limits.Pending {
		order.Reply(*unknown(ErrQueueFull, "too many calls wait"))
		return
	}
	order.deadline = now + q.limits.Timeout
	q.pending = append(q.pending, order)
}

// Step answers the orders that can be answered and proposes the next change to node. state is the committed state, nil
// if none is known yet. now is on the clock of Submit, wallMs is the Unix time in milliseconds.
func (q *Queue) Step(node *consensus.Node, state *config.State, now float64, wallMs int64) {
	s := &step{node: node, state: state, now: now, wallMs: wallMs}
	remaining := q.pending[:0]
	for _, order := range q.pending {
		if a := s.decide(order); a != nil {
			a.State = state
			order.Reply(*a)
			continue
		}
		remaining = append(remaining, order)
	}
	clear(q.pending[len(remaining):])
	q.pending = remaining
}
