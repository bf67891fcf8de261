package zones

// This file owns the first plan: all drivers of the roster agree to it once, so that no fleet has two.

import (
	"weirwind/internal/fleet/paxos"
)

// bootstrap proposes a first plan once the fleet has been whole for a while: all drivers of the roster have to agree,
// so that no two first plans come of one fleet. The driver whose name comes first does it.
func (c *consensus) bootstrap(now float64, f *Fleet, first func() *Plan) {
	if !f.complete() {
		c.completeSince = 0
		return
	}
	if c.completeSince == 0 {
		c.completeSince = now
	}
	if r := c.proposal; r != nil && r.bootstrap && now >= r.resendAt { // word to or from some was lost
		r.resendAt = now + c.heartbeat
		for _, n := range f.Roster {
			if !r.HasAccepted(n) {
				c.send(n, Message{Kind: Bootstrap, Roster: f.RosterVersion, Ballot: r.Ballot, Plan: r.Value})
			}
		}
	}
	if now-c.completeSince < completeHeartbeats*c.heartbeat || f.Roster[0] != c.self || c.proposal != nil || now < c.proposeAfter ||
		!c.mayVote(now) {
		return
	}
	p := c.acceptor.Value
	if p == nil {
		p = first()
	}
	if p == nil {
		return
	}
	c.proposal = c.newProposal(p, now+bootstrapHeartbeats*c.heartbeat)
	c.proposal.bootstrap = true
	c.broadcast(now, f.Roster, Message{Kind: Bootstrap, Roster: f.RosterVersion, Ballot: c.proposal.Ballot, Plan: p})
}

// receiveBootstrap takes a step of a first plan.
func (c *consensus) receiveBootstrap(now float64, from string, w *Message, f *Fleet, answer func(Message)) {
	if c.plan != nil {
		if from != c.self && w.Kind == Bootstrap {
			c.send(from, Message{Kind: Decided, Plan: c.plan})
		}
		return
	}
	switch w.Kind {
	case Bootstrap:
		if w.Plan == nil || w.Plan.Epoch != 1 || !c.mayVote(now) || w.Ballot.Compare(c.acceptor.Promised) < 0 ||
			f != nil && (!f.complete() || f.RosterVersion != w.Roster || f.Roster[0] != from) {
			return
		}
		c.acceptor.Accept(w.Ballot, w.Plan)
		c.acceptedAt, c.unsaved = now, true
		c.highestNumber = max(c.highestNumber, min(w.Ballot.Number, paxos.MaxNumber))
		answer(Message{Kind: Bootstrapped, Ballot: w.Ballot, Roster: w.Roster})
	case Bootstrapped:
		r := c.proposal
		if r == nil || !r.bootstrap || w.Ballot.Compare(r.Ballot) != 0 {
			return
		}
		r.RecordAccepted(from)
	}
}

// finishBootstrap ends a founding that all of the roster agreed to.
func (c *consensus) finishBootstrap(now float64, f *Fleet) {
	r := c.proposal
	if r == nil || !r.bootstrap || !f.complete() {
		return
	}
	for _, n := range f.Roster {
		if !r.HasAccepted(n) {
			return
		}
	}
	c.proposal = nil
	c.adopt(now, r.Value)
	for _, n := range r.Value.Voters {
		if n != c.self {
			c.send(n, Message{Kind: Decided, Plan: c.plan})
		}
	}
}
