package zones

// This file implements the state of votes that survives a restart.

import "weirwind/internal/fleet/paxos"

// SavedState is the state that must survive a restart for the driver to vote again immediately.
type SavedState struct {
	Name         string       `cbor:"1,keyasint"` // of the driver; another driver's state is ignored
	Plan         *Plan        `cbor:"2,keyasint,omitempty"`
	Promised     paxos.Ballot `cbor:"3,keyasint"` // this and the following fields are votes on Plan's successor
	Accepted     paxos.Ballot `cbor:"4,keyasint"`
	AcceptedPlan *Plan        `cbor:"5,keyasint,omitempty"`
	Number       uint32       `cbor:"6,keyasint,omitempty"` // highest ballot number seen
}

// restore restores the state saved by an earlier process, which may be nil.
func (c *consensus) restore(state *SavedState) {
	if state == nil || state.Name != c.name || state.Plan != nil && !state.Plan.valid() ||
		state.AcceptedPlan != nil && !state.AcceptedPlan.valid() {
		return
	}
	if state.Plan != nil {
		c.plan, c.planSum = state.Plan, state.Plan.sum()
	}
	c.acceptor = paxos.Acceptor[Plan]{Promised: state.Promised, Accepted: state.Accepted, Value: state.AcceptedPlan}
	c.highestNumber, c.voteAfter = state.Number, 0
}

// save returns the state to save, or nil if nothing changed or a failed save is not yet to be retried.
func (c *consensus) save(now float64) *SavedState {
	if !c.persistent || !c.unsaved || now < c.saveAt {
		return nil
	}
	c.unsaved = false
	return &SavedState{
		Name:         c.name,
		Plan:         c.plan,
		Promised:     c.acceptor.Promised,
		Accepted:     c.acceptor.Accepted,
		AcceptedPlan: c.acceptor.Value,
		Number:       c.highestNumber,
	}
}

// saved handles the result of a save. A failed save is retried, and this driver does not vote until one succeeds.
func (c *consensus) saved(now float64, ok bool) {
	if !ok {
		c.unsaved, c.saveAt, c.proposal = true, now+2*c.heartbeat, nil
	}
	c.saveFailed = !ok
}
