package orders

import (
	"encoding/json"
	"errors"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/session/sites"
)

// phase is how far an order has come. It only rises.
type phase uint8

const (
	phaseQueued     phase = iota // nothing was asked of other machines for it
	phaseConfirming              // its read or rejection waits for a quorum to confirm the leader
	phaseProposed                // its change is in an entry of the log
)

// step is one pass over the pending orders.
type step struct {
	node    *consensus.Node
	state   *config.State // committed; nil: none is known
	now     float64
	wall    int64 // time of day in milliseconds, for people
	blocked bool  // a change before this order is in flight: none that arrived later is decided
}

// decide gives an order's answer, nil while it stays pending.
func (s *step) decide(order *Order) *Answer {
	switch order.phase {
	case phaseProposed:
		return s.stepProposed(order)
	case phaseConfirming:
		return s.stepConfirming(order)
	default:
		return s.stepQueued(order)
	}
}

func (s *step) stepQueued(order *Order) *Answer {
	if a := s.expired(order); a != nil || s.blocks() {
		return a
	}
	result := s.evaluate(order)
	if result == verdictConfirm {
		s.confirmLeader(order)
		return nil
	}
	return s.conclude(order, result)
}

// stepConfirming evaluates the order anew: the state may be another than the one when the confirmation began, and the
// answer is made by the state of now.
func (s *step) stepConfirming(order *Order) *Answer {
	if a := s.expired(order); a != nil || s.blocks() {
		return a
	}
	result := s.evaluate(order)
	if result != verdictConfirm {
		return s.conclude(order, result)
	}
	if !s.node.ReadConfirmed(order.round) {
		return nil
	}
	return s.confirmed(order)
}

// stepProposed answers once the order's entry is committed, or can't be known to be. An entry of the term in which this
// node proposed is this node's own, and it proposes none before the one before it is committed: so a committed entry of
// that term at or after the order's index covers it.
func (s *step) stepProposed(order *Order) *Answer {
	if e, found := s.node.Committed(); found && e.Term == order.term && e.Index >= order.index {
		return succeeded(OutcomeApplied, []byte("taken\n"))
	}
	if s.node.HardState.Term != order.term {
		// It was deposed meanwhile, even if it leads again: another entry may have the place of the order's.
		return unknown(ErrNotLeader, "this machine led no longer as it was decided; ask again")
	}
	if a := s.expired(order); a != nil {
		return a
	}
	s.blocked = true
	return nil
}

// expired answers for an order that can't be decided here, or not in time.
func (s *step) expired(order *Order) *Answer {
	switch {
	case !s.node.Established():
		return unknown(ErrNotLeader, "this machine leads no longer; ask again")
	case s.now >= order.deadline:
		return unknown(ErrTimeout, "not decided in time; ask again")
	}
	return nil
}

// blocks says that nothing can be decided now, for this order and all after it.
func (s *step) blocks() bool {
	s.blocked = s.blocked || s.node.InFlight() || s.state == nil
	return s.blocked
}

// confirmLeader asks a quorum whether this node still leads: only who leads for certain may reject or read.
func (s *step) confirmLeader(order *Order) {
	order.phase = phaseConfirming
	order.round = s.node.ReadIndex(s.now)
	s.node.Tick(s.now)
}

// confirmed answers for an order on which a quorum has confirmed this node as the leader.
func (s *step) confirmed(order *Order) *Answer {
	switch {
	case order.SiteLease != nil:
		return s.grantSiteLease(order)
	case order.ReadConfig:
		return s.readConfig()
	case order.ReadLog:
		return s.readLog()
	}
	return rejection(order.err)
}

func (s *step) readConfig() *Answer {
	if s.state.Version == 0 {
		return failed(OutcomeRead, ErrNoConfiguration, "there is no configuration yet")
	}
	return succeeded(OutcomeRead, s.state.Raw)
}

// readLog answers with the history as JSON: null before the first change.
func (s *step) readLog() *Answer {
	body, err := json.Marshal(s.state.History)
	if err != nil {
		return unknown(err, err.Error())
	}
	return succeeded(OutcomeRead, append(body, '\n'))
}

// grantSiteLease answers with the map of sites, which the site needs along with its lease.
func (s *step) grantSiteLease(order *Order) *Answer {
	known := s.state.Sites
	if known == nil || !isIn(known.Sites[order.SiteLease.Site], order.SiteLease.Incarnation) {
		a := failed(OutcomeRejected, ErrSiteNotJoined, "this life of the site is over, or has not joined")
		a.Reason = "sites"
		return a
	}
	body, err := json.Marshal(known)
	if err != nil {
		return unknown(err, err.Error())
	}
	return succeeded(OutcomeRead, body)
}

func isIn(site sites.Site, incarnation uint64) bool {
	return site.Incarnation == incarnation && site.State != sites.StateRemoved
}

// propose has the node propose the state with a change. Where the node can't now, the order stays as it was.
func (s *step) propose(order *Order) *Answer {
	value, err := order.next.Encode()
	if err != nil {
		return unknown(err, err.Error())
	}
	if e, proposed := s.node.Propose(value, s.now); proposed {
		order.phase, order.index, order.term = phaseProposed, e.Index, e.Term
	}
	s.blocked = true
	return nil
}

// conclude carries out a verdict that needs no confirmation.
func (s *step) conclude(order *Order, result verdict) *Answer {
	switch result {
	case verdictAlreadyApplied:
		return succeeded(OutcomeAlreadyApplied, []byte("taken before\n"))
	case verdictPropose:
		return s.propose(order)
	case verdictUndecided:
		return unknown(order.err, order.err.Error())
	}
	return nil
}

// verdict is what an order comes to in the state in place.
type verdict uint8

const (
	verdictPending        verdict = iota // its base is not in place yet: it waits, and holds up nobody
	verdictPropose                       // it applies
	verdictAlreadyApplied                // the state has it already
	verdictUndecided                     // it can be neither applied nor rejected
	verdictConfirm                       // it is a read or is rejected, once the leader is confirmed
)

func (s *step) evaluate(order *Order) verdict {
	if order.SiteLease != nil || order.ReadConfig || order.ReadLog {
		return verdictConfirm
	}
	if order.evaluated != s.state {
		order.next, order.err = s.apply(order)
		order.evaluated = s.state
	}
	var undecided *config.UndecidedError
	switch {
	case order.err == nil && order.next == s.state:
		return verdictAlreadyApplied
	case order.err == nil:
		return verdictPropose
	case errors.Is(order.err, config.ErrBaseVersionAhead):
		return verdictPending
	case errors.As(order.err, &undecided):
		return verdictUndecided
	}
	return verdictConfirm
}

// apply gives the state with an order's change, the same state where the change was applied before.
func (s *step) apply(order *Order) (*config.State, error) {
	switch {
	case order.ShardChange != nil:
		return s.state.WithShards(order.ShardChange)
	case order.SiteChange != nil:
		return s.state.WithSites(order.SiteChange)
	case order.ForgetMember != "":
		return s.state.WithoutMember(order.ForgetMember), nil
	}
	c := &config.Change{Amend: order.Amend, BaseVersion: order.BaseVersion, Body: order.Body}
	if s.state.HasApplied(c) {
		return s.state, nil
	}
	return s.state.Apply(c, order.Origin, s.wall)
}
