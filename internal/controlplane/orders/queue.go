package orders

import (
	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
)

// Order is a request that waits for its answer.
type Order struct {
	controlmsg.Request
	Reply func(Answer) // called once, from Submit or Step

	phase    phase
	deadline float64 // in the queue's milliseconds

	round       uint64 // of heartbeats that confirms the leader; set from phaseConfirming on
	index, term uint64 // of the entry that it was proposed in; set in phaseProposed

	// Evaluating a change reads its whole document: the result is kept for as long as the state is in place.
	evaluated *config.State // by which next and err were made; nil: neither was yet
	next      *config.State // with the change; the same as evaluated: it was applied before
	err       error         // why there is no next
}

// Limits of a queue.
type Limits struct {
	Pending int     // orders at a time
	Timeout float64 // milliseconds in which each is answered
}

// Queue holds the pending orders in the order in which they arrived. It belongs to one goroutine.
type Queue struct {
	limits  Limits
	pending []*Order
}

// New gives an empty queue.
func New(limits Limits) *Queue { return &Queue{limits: limits} }

// Submit queues an order, or rejects it with ErrQueueFull.
func (q *Queue) Submit(order *Order, now float64) {
	if len(q.pending) >= q.limits.Pending {
		order.Reply(*unknown(ErrQueueFull, "too many calls wait"))
		return
	}
	order.deadline = now + q.limits.Timeout
	q.pending = append(q.pending, order)
}

// Step answers what can be answered, and has the node propose the next change. state is the committed one, nil where
// none is known yet; now is in the milliseconds of Submit, wall is the time of day in milliseconds.
func (q *Queue) Step(node *consensus.Node, state *config.State, now float64, wall int64) {
	s := &step{node: node, state: state, now: now, wall: wall}
	kept := q.pending[:0]
	for _, order := range q.pending {
		if a := s.decide(order); a != nil {
			a.State = state
			order.Reply(*a)
			continue
		}
		kept = append(kept, order)
	}
	clear(q.pending[len(kept):])
	q.pending = kept
}
