package zones

// This file owns what of the votes outlives the process.

import "weirwind/internal/fleet/paxos"

// SavedState is what must outlive the process for its votes to count when it comes back.
type SavedState struct {
	Name         string       `cbor:"1,keyasint"` // of the driver; another one's state is not taken
	Plan         *Plan        `cbor:"2,keyasint,omitempty"`
	Promised     paxos.Ballot `cbor:"3,keyasint"` // this and what follows is on Plan's successor
	Accepted     paxos.Ballot `cbor:"4,keyasint"`
	AcceptedPlan *Plan        `cbor:"5,keyasint,omitempty"`
	Number       uint32       `cbor:"6,keyasint,omitempty"` // highest ballot number seen
}

// restore takes over what an earlier process saved; nil for nothing.
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

// save gives what is to be saved; nil where nothing is new or a failed save is to be waited for.
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

// saved takes the outcome. After a failure it is tried again, and no votes are given until it succeeds.
func (c *consensus) saved(now float64, ok bool) {
	if !ok {
		c.unsaved, c.saveAt, c.proposal = true, now+2*c.heartbeat, nil
	}
	c.saveFailed = !ok
}
