package orders

import (
	"encoding/json"
	"errors"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/session/sites"
)

// phase is the progress of an order. It never decreases.
type phase uint8

const (
	phaseQueued     phase = iota // no message to other machines has been sent for it
	phaseConfirming              // its read or rejection is waiting for a quorum to confirm the leader
	phaseProposed                // its change is in an entry of the log
)

// step is one pass over the pending orders.
type step struct {
	node    *consensus.Node
	state   *config.State // committed; nil if none is known
	now     float64
	wallMs  int64 // Unix time in milliseconds, recorded in the history for operators
	blocked bool  // an earlier change is in flight: no later order is decided
}

// decide returns an order's answer, or nil while it stays pending.
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
	if a := s.checkDecidable(order); a != nil || s.isBlocked() {
		return a
	}
	result := s.evaluate(order)
	if result == verdictConfirm {
		s.confirmLeader(order)
		return nil
	}
	return s.conclude(order, result)
}

// stepConfirming evaluates the order again, as the state may have changed since the confirmation began: the answer is
// based on the current state.
func (s *step) stepConfirming(order *Order) *Answer {
	if a := s.checkDecidable(order); a != nil || s.isBlocked() {
		return a
	}
	result := s.evaluate(order)
	if result != verdictConfirm {
		return s.conclude(order, result)
	}
	if !s.node.ReadConfirmed(order.round) {
		return nil
	}
	return s.answerConfirmed(order)
}

// stepProposed answers an order once its entry is committed, or once this node can no longer find out whether it is.
// This node proposed all entries of its term as leader, and proposes one only after the previous one was committed. So
// a committed entry of that term at or after the order's index implies that the order's entry is committed.
func (s *step) stepProposed(order *Order) *Answer {
	if e, found := s.node.Committed(); found && e.Term == order.term && e.Index >= order.index {
		return succeeded(OutcomeApplied, []byte("taken\n"))
	}
	if s.node.HardState.Term != order.term {
		// This node was deposed in the meantime, even if it is the leader again: another entry may have replaced the
		// order's.
		return unknown(ErrNotLeader, "this machine led no longer as it was decided; ask again")
	}
	if a := s.checkDecidable(order); a != nil {
		return a
	}
	s.blocked = true
	return nil
}

// checkDecidable returns nil if this node can decide an order, and otherwise its answer: the node is not the leader, or
// the deadline has passed.
func (s *step) checkDecidable(order *Order) *Answer {
	switch {
	case !s.node.Established():
		return unknown(ErrNotLeader, "this machine leads no longer; ask again")
	case s.now >= order.deadline:
		return unknown(ErrTimeout, "not decided in time; ask again")
	}
	return nil
}

// isBlocked reports whether this order and all later ones must wait, and records that for the rest of the step.
func (s *step) isBlocked() bool {
	s.blocked = s.blocked || s.node.InFlight() || s.state == nil
	return s.blocked
}

// confirmLeader starts a heartbeat round that confirms this node as the leader. Without one the node may have been
// deposed without knowing it, so it must neither reject a change nor answer a read.
func (s *step) confirmLeader(order *Order) {
	order.phase = phaseConfirming
	order.round = s.node.ReadIndex(s.now)
	s.node.Tick(s.now)
}

// answerConfirmed returns the answer to a read or a rejected change. A quorum has confirmed this node as the leader.
func (s *step) answerConfirmed(order *Order) *Answer {
	switch {
	case order.SiteLease != nil:
		return s.grantSiteLease(order)
	case order.ReadConfig:
		return s.readConfig()
	case order.ReadLog:
		return s.readLog()
	}
	return rejection(order.evaluationErr)
}

func (s *step) readConfig() *Answer {
	if s.state.Version == 0 {
		return failed(OutcomeRead, ErrNoConfiguration, "there is no configuration yet")
	}
	return succeeded(OutcomeRead, s.state.Raw)
}

// readLog returns the history as JSON, null before the first change.
func (s *step) readLog() *Answer {
	body, err := json.Marshal(s.state.History)
	if err != nil {
		return unknown(err, err.Error())
	}
	return succeeded(OutcomeRead, append(body, '\n'))
}

// grantSiteLease returns the site map as JSON, which the site needs along with its lease.
func (s *step) grantSiteLease(order *Order) *Answer {
	siteMap := s.state.Sites
	if siteMap == nil || !hasJoined(siteMap.Sites[order.SiteLease.Site], order.SiteLease.Incarnation) {
		a := failed(OutcomeRejected, ErrSiteNotJoined, "this life of the site is over, or has not joined")
		a.Reason = "sites"
		return a
	}
	body, err := json.Marshal(siteMap)
	if err != nil {
		return unknown(err, err.Error())
	}
	return succeeded(OutcomeRead, body)
}

func hasJoined(site sites.Site, incarnation uint64) bool {
	return site.Incarnation == incarnation && site.State != sites.StateRemoved
}

// propose proposes the state with the order's change. If the node can't propose at present, the order is left unchanged
// and tried again in a later step.
func (s *step) propose(order *Order) *Answer {
	value, err := order.nextState.Encode()
	if err != nil {
		return unknown(err, err.Error())
	}
	if e, proposed := s.node.Propose(value, s.now); proposed {
		order.phase, order.index, order.term = phaseProposed, e.Index, e.Term
	}
	s.blocked = true
	return nil
}

// conclude carries out a verdict that needs no confirmation of the leader.
func (s *step) conclude(order *Order, result verdict) *Answer {
	switch result {
	case verdictAlreadyApplied:
		return succeeded(OutcomeAlreadyApplied, []byte("taken before\n"))
	case verdictPropose:
		return s.propose(order)
	case verdictUndecided:
		return unknown(order.evaluationErr, order.evaluationErr.Error())
	}
	return nil
}

// verdict is the result of evaluating an order against the committed state.
type verdict uint8

const (
	verdictPending        verdict = iota // its base version does not exist yet: it waits without blocking others
	verdictPropose                       // the change can be applied
	verdictAlreadyApplied                // the state already includes the change
	verdictUndecided                     // the change can be neither applied nor rejected
	verdictConfirm                       // a read or a rejection, to be answered once the leader is confirmed
)

func (s *step) evaluate(order *Order) verdict {
	if order.SiteLease != nil || order.ReadConfig || order.ReadLog {
		return verdictConfirm
	}
	if order.evaluatedState != s.state {
		order.nextState, order.evaluationErr = s.apply(order)
		order.evaluatedState = s.state
	}
	var undecided *config.UndecidedError
	switch {
	case order.evaluationErr == nil && order.nextState == s.state:
		return verdictAlreadyApplied
	case order.evaluationErr == nil:
		return verdictPropose
	case errors.Is(order.evaluationErr, config.ErrBaseVersionAhead):
		return verdictPending
	case errors.As(order.evaluationErr, &undecided):
		return verdictUndecided
	}
	return verdictConfirm
}

// apply returns the state with an order's change, or the current state itself if the change was already applied.
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
	return s.state.Apply(c, order.Origin, s.wallMs)
}
