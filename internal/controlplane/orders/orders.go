// Package orders is the queue of operators' orders at the machine that leads the core: which is decided when, and
// what each caller is answered.
//
// It does no I/O and reads no clock. What makes its answers safe to send again for, whoever asks and wherever:
//
//   - An order is taken on exactly one version, its base, and a version has at most one successor. Orders that were taken are found
//     again by their digest in the state itself, which is what the core agrees on, so that every later leader knows them.
//   - "Taken" is said only of what is committed. "Refused" is said only of what no state that can follow may take: its base is
//     behind, or it is wrong on its own base for ever. Anything else is no answer (503), and the caller sends the order again.
//   - An order whose base is not in place yet is held, not refused: the order that brings its base may be under way.
package orders

import (
	"encoding/json"
	"errors"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/session/sites"
)

// Outcome is what an answer means to who asked.
type Outcome uint8

// Outcomes.
const (
	OutcomeUnknown        Outcome = iota // in force, or not, or not yet: the caller asks again
	OutcomeApplied                       // by this call
	OutcomeAlreadyApplied                // it had been taken before
	OutcomeRejected                      // it is not in force, and never will be
	OutcomeRead                          // a reading, or a lease that is granted
)

// Answer is what a caller is told. State is the committed one by which it was decided.
type Answer struct {
	Status  int
	Body    []byte
	Outcome Outcome
	Reason  string // of a refusal, a word for logs; NotLeading where another machine may decide at once
	State   *config.State
}

// NotLeading is the reason of an unclear answer of a machine that leads no longer.
const NotLeading = "not_leading"

// Order is a call that waits for its answer. Reply is called once.
type Order struct {
	controlmsg.Request
	Reply func(Answer)

	until       float64
	round       uint64 // of heartbeats that a refusal or a reading waits for; 0: not asked yet
	index, term uint64 // of the entry that it was proposed in; 0: it was not

	// What it makes of a state costs reading it whole: it is kept for as long as that state is in place.
	from, next *config.State
	wrong      error
}

// Limits of a queue.
type Limits struct {
	Pending int     // orders at a time
	Timeout float64 // milliseconds in which each is answered
}

// Queue holds orders in the order in which they came.
type Queue struct {
	limits  Limits
	waiting []*Order
}

// New gives an empty queue.
func New(l Limits) *Queue { return &Queue{limits: l} }

// Submit queues an order.
func (q *Queue) Submit(o *Order, now float64) {
	if len(q.waiting) >= q.limits.Pending {
		o.Reply(unclear("too many calls wait"))
		return
	}
	o.until = now + q.limits.Timeout
	q.waiting = append(q.waiting, o)
}

// step is one look at all that waits.
type step struct {
	node    *consensus.Node
	state   *config.State // committed; nil: none is known
	now     float64
	wall    int64 // the time of day in milliseconds, for people
	blocked bool  // an order before this one is under way: nothing is decided past it
}

// Step answers what can be answered, and has the node propose the next order.
func (q *Queue) Step(node *consensus.Node, state *config.State, now float64, wall int64) {
	s := &step{node: node, state: state, now: now, wall: wall}
	kept := q.waiting[:0]
	for _, o := range q.waiting {
		if a := s.decide(o); a != nil {
			a.State = state
			o.Reply(*a)
			continue
		}
		kept = append(kept, o)
	}
	clear(q.waiting[len(kept):])
	q.waiting = kept
}

// decide gives an order's answer; nil: it waits on.
func (s *step) decide(o *Order) *Answer {
	if a := s.proposed(o); a != nil {
		return a
	}
	switch {
	case !s.node.Established():
		return ref(notLeading("this machine leads no longer; ask again"))
	case s.now >= o.until:
		return ref(unclear("not decided in time; ask again"))
	case o.index > 0, s.blocked, s.node.InFlight(), s.state == nil:
		s.blocked = true
		return nil
	case o.SiteLease != nil:
		return s.confirmed(o, s.grant)
	case o.ReadConfig:
		return s.confirmed(o, s.show)
	}
	return s.change(o)
}

// proposed answers for an order whose entry is committed, or can't be known to be. An entry of the term in which this
// node proposed is this node's; each of its entries is behind the commit of the one before.
func (s *step) proposed(o *Order) *Answer {
	if o.index == 0 {
		return nil
	}
	if e, ok := s.node.Committed(); ok && e.Term == o.term && e.Index >= o.index {
		return &Answer{Status: 200, Body: []byte("taken\n"), Outcome: OutcomeApplied}
	}
	if s.node.HardState.Term != o.term { // it was deposed meanwhile, even if it leads again: another entry may have its place
		return ref(notLeading("this machine led no longer as it was decided; ask again"))
	}
	return nil
}

// change decides a change of the state.
func (s *step) change(o *Order) *Answer {
	next, err := s.next(o)
	var undecided *config.UndecidedError
	switch {
	case err == nil && next == s.state:
		return &Answer{Status: 200, Body: []byte("taken before\n"), Outcome: OutcomeAlreadyApplied}
	case err == nil:
		return s.propose(o, next)
	case errors.As(err, &undecided) && undecided.Later:
		return nil // it blocks nobody
	case errors.As(err, &undecided):
		return ref(unclear(undecided.Text))
	}
	return s.confirmed(o, func(*Order) *Answer { return refusal(err) })
}

// next gives the state that a change makes, the same one if it was taken before.
func (s *step) next(o *Order) (*config.State, error) {
	if o.from != s.state {
		o.next, o.wrong = s.apply(o)
		o.from = s.state
	}
	return o.next, o.wrong
}

func (s *step) apply(o *Order) (*config.State, error) {
	switch {
	case o.ShardChange != nil:
		return s.state.WithShards(o.ShardChange)
	case o.SiteChange != nil:
		return s.state.WithSites(o.SiteChange)
	case o.ForgetMember != "":
		return s.state.WithoutMember(o.ForgetMember)
	}
	c := &config.Change{Amend: o.Amend, BaseVersion: o.BaseVersion, Body: o.Body}
	if s.state.HasApplied(c) {
		return s.state, nil
	}
	return s.state.Apply(c, o.Origin, s.wall)
}

func (s *step) propose(o *Order, next *config.State) *Answer {
	value, err := cbor.Marshal(next)
	if err != nil {
		return ref(unclear(err.Error()))
	}
	if e, ok := s.node.Propose(value, s.now); ok {
		o.index, o.term = e.Index, e.Term
	}
	s.blocked = true
	return nil
}

// confirmed answers once a majority has followed this leader since it was asked to: only who leads for certain may
// refuse or read. The answer is made by the state of that moment.
func (s *step) confirmed(o *Order, answer func(*Order) *Answer) *Answer {
	if o.round > 0 && s.node.ReadConfirmed(o.round) {
		return answer(o)
	}
	if o.round == 0 {
		o.round = s.node.ReadIndex(s.now)
		s.node.Tick(s.now)
	}
	return nil
}

func (s *step) show(*Order) *Answer {
	if s.state.Version == 0 {
		return &Answer{Status: 404, Body: []byte("there is no configuration yet\n"), Outcome: OutcomeRead}
	}
	return &Answer{Status: 200, Body: s.state.Raw, Outcome: OutcomeRead}
}

// grant answers for a site's lease; the sites that are known come along.
func (s *step) grant(o *Order) *Answer {
	known := s.state.Sites
	if known == nil || known.Sites[o.SiteLease.Site].Life != o.SiteLease.Incarnation || known.Sites[o.SiteLease.Site].State == sites.Out {
		over := []byte("this life of the site is over, or has not joined\n")
		return &Answer{Status: 409, Body: over, Outcome: OutcomeRejected, Reason: "sites"}
	}
	body, err := json.Marshal(known)
	if err != nil {
		return ref(unclear(err.Error()))
	}
	return &Answer{Status: 200, Body: body, Outcome: OutcomeRead}
}

func refusal(err error) *Answer {
	var r *config.RejectedError
	if errors.As(err, &r) {
		return &Answer{Status: r.Status, Body: []byte(r.Text + "\n"), Outcome: OutcomeRejected, Reason: r.Reason}
	}
	return ref(unclear(err.Error()))
}

func unclear(text string) Answer {
	return Answer{Status: 503, Body: []byte(text + "\n"), Outcome: OutcomeUnknown}
}

func notLeading(text string) Answer {
	a := unclear(text)
	a.Reason = NotLeading
	return a
}

func ref(a Answer) *Answer { return &a }
