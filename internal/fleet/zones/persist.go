package zones

// This file owns what of the votes outlives the process.

import (
	"weirwind/internal/fleet/paxos"
)

// SavedState is what must outlive the process for its votes to count when it comes back.
type SavedState struct {
	Name         string       `cbor:"1,keyasint"`
	Plan         *Plan        `cbor:"2,keyasint,omitempty"`
	Promised     paxos.Ballot `cbor:"3,keyasint"`
	Accepted     paxos.Ballot `cbor:"4,keyasint"`
	AcceptedPlan *Plan        `cbor:"5,keyasint,omitempty"`
	Number       uint32       `cbor:"6,keyasint,omitempty"`
}

// restore takes up what an earlier process kept.
func (c *consensus) restore(k *SavedState) {
	if k == nil || k.Name != c.self || k.Plan != nil && !k.Plan.valid() ||
		k.AcceptedPlan != nil && !k.AcceptedPlan.valid() {
		return
	}
	if k.Plan != nil {
		c.plan, c.planSum = k.Plan, k.Plan.sum()
	}
	c.acceptor = paxos.Acceptor[Plan]{Promised: k.Promised, Accepted: k.Accepted, Value: k.AcceptedPlan}
	c.highestNumber, c.voteAfter = k.Number, 0
}

// save gives what is to be kept, where there is something new.
func (c *consensus) save(now float64) *SavedState {
	if !c.persistent || !c.unsaved || now < c.saveAt {
		return nil
	}
	c.unsaved = false
	return &SavedState{c.self, c.plan, c.acceptor.Promised, c.acceptor.Accepted, c.acceptor.Value, c.highestNumber}
}

// saved tells what became of that.
func (c *consensus) saved(now float64, ok bool) {
	if !ok {
		c.unsaved, c.saveAt, c.proposal = true, now+2*c.heartbeat, nil
	}
	c.saveFailed = !ok
}
