package orders

import (
	"encoding/json"
	"errors"

	"github.com/fxamacker/cbor/v2"

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
	blocked bool  // a change before this order is in flight: nothing behind it is decided
}

// decide gives an order's answer, nil while it stays pending.
func (s *step) decide(o *Order) *Answer {
	switch o.phase {
	case phaseProposed:
		return s.stepProposed(o)
	case phaseConfirming:
		return s.stepConfirming(o)
	default:
		return s.stepQueued(o)
	}
}

func (s *step) stepQueued(o *Order) *Answer {
	if a := s.expired(o); a != nil || s.blocks() {
		return a
	}
	v := s.evaluate(o)
	if v == verdictConfirm {
		s.confirmLeader(o)
		return nil
	}
	return s.conclude(o, v)
}

// stepConfirming evaluates the order anew: the state may be another than the one when the confirmation began, and the
// answer is made by the state of now.
func (s *step) stepConfirming(o *Order) *Answer {
	if a := s.expired(o); a != nil || s.blocks() {
		return a
	}
	v := s.evaluate(o)
	if v != verdictConfirm {
		return s.conclude(o, v)
	}
	if !s.node.ReadConfirmed(o.round) {
		return nil
	}
	return s.confirmed(o)
}

// stepProposed answers once the order's entry is committed, or can't be known to be. An entry of the term in which this
// node proposed is this node's own, and it proposes none before the one before it is committed: so a committed entry of
// that term at or behind the order's index covers it.
func (s *step) stepProposed(o *Order) *Answer {
	if e, found := s.node.Committed(); found && e.Term == o.term && e.Index >= o.index {
		return succeeded(OutcomeApplied, []byte("taken\n"))
	}
	if s.node.HardState.Term != o.term {
		// It was deposed meanwhile, even if it leads again: another entry may have the place of the order's.
		return unknown(ErrNotLeader, "this machine led no longer as it was decided; ask again")
	}
	if a := s.expired(o); a != nil {
		return a
	}
	s.blocked = true
	return nil
}

// expired answers for an order that can't be decided here, or not in time.
func (s *step) expired(o *Order) *Answer {
	switch {
	case !s.node.Established():
		return unknown(ErrNotLeader, "this machine leads no longer; ask again")
	case s.now >= o.deadline:
		return unknown(ErrTimeout, "not decided in time; ask again")
	}
	return nil
}

// blocks says that nothing can be decided now, for this order and all behind it.
func (s *step) blocks() bool {
	s.blocked = s.blocked || s.node.InFlight() || s.state == nil
	return s.blocked
}

// confirmLeader asks a quorum whether this node still leads: only who leads for certain may reject or read.
func (s *step) confirmLeader(o *Order) {
	o.phase = phaseConfirming
	o.round = s.node.ReadIndex(s.now)
	s.node.Tick(s.now)
}

// confirmed answers for an order on which a quorum has confirmed this node as the leader.
func (s *step) confirmed(o *Order) *Answer {
	switch {
	case o.SiteLease != nil:
		return s.grantSiteLease(o)
	case o.ReadConfig:
		return s.readConfig()
	}
	return rejection(o.err)
}

func (s *step) readConfig() *Answer {
	if s.state.Version == 0 {
		return failed(OutcomeRead, ErrNoConfiguration, "there is no configuration yet")
	}
	return succeeded(OutcomeRead, s.state.Raw)
}

// grantSiteLease answers with the map of sites, which the site needs along with its lease.
func (s *step) grantSiteLease(o *Order) *Answer {
	known := s.state.Sites
	if known == nil || !isIn(known.Sites[o.SiteLease.Site], o.SiteLease.Incarnation) {
		a := failed(OutcomeRejected, ErrSiteNotIn, "this life of the site is over, or has not joined")
		a.Reason = "sites"
		return a
	}
	body, err := json.Marshal(known)
	if err != nil {
		return unknown(err, err.Error())
	}
	return succeeded(OutcomeRead, body)
}

func isIn(s sites.Site, incarnation uint64) bool {
	return s.Incarnation == incarnation && s.State != sites.StateRemoved
}

// propose has the node propose the state behind a change. Where the node can't now, the order stays as it was.
func (s *step) propose(o *Order) *Answer {
	value, err := cbor.Marshal(o.next)
	if err != nil {
		return unknown(err, err.Error())
	}
	if e, proposed := s.node.Propose(value, s.now); proposed {
		o.phase, o.index, o.term = phaseProposed, e.Index, e.Term
	}
	s.blocked = true
	return nil
}

// conclude carries out a verdict that needs no confirmation.
func (s *step) conclude(o *Order, v verdict) *Answer {
	switch v {
	case verdictAlreadyApplied:
		return succeeded(OutcomeAlreadyApplied, []byte("taken before\n"))
	case verdictPropose:
		return s.propose(o)
	case verdictUndecided:
		return unknown(o.err, o.err.Error())
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

func (s *step) evaluate(o *Order) verdict {
	if o.SiteLease != nil || o.ReadConfig {
		return verdictConfirm
	}
	if o.evaluated != s.state {
		o.next, o.err = s.apply(o)
		o.evaluated = s.state
	}
	var undecided *config.UndecidedError
	switch {
	case o.err == nil && o.next == s.state:
		return verdictAlreadyApplied
	case o.err == nil:
		return verdictPropose
	case errors.Is(o.err, config.ErrBaseVersionAhead):
		return verdictPending
	case errors.As(o.err, &undecided):
		return verdictUndecided
	}
	return verdictConfirm
}

// apply gives the state behind an order's change, the same state where the change was applied before.
func (s *step) apply(o *Order) (*config.State, error) {
	switch {
	case o.ShardChange != nil:
		return s.state.WithShards(o.ShardChange)
	case o.SiteChange != nil:
		return s.state.WithSites(o.SiteChange)
	case o.ForgetMember != "":
		return s.state.WithoutMember(o.ForgetMember), nil
	}
	c := &config.Change{Amend: o.Amend, BaseVersion: o.BaseVersion, Body: o.Body}
	if s.state.HasApplied(c) {
		return s.state, nil
	}
	return s.state.Apply(c, o.Origin, s.wall)
}
