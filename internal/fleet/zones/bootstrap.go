package zones

// This file implements the bootstrap of the first plan. All drivers of the roster must accept it, so that no fleet has
// two.

import "weirwind/internal/fleet/paxos"

// bootstrap proposes a first plan once the fleet has been complete for a while. The first driver of the roster is the
// proposer.
func (c *consensus) bootstrap(now float64, fleet *Fleet, firstPlan func() *Plan) {
	if !fleet.complete() {
		c.completeSince = 0
		return
	}
	if c.completeSince == 0 {
		c.completeSince = now
	}
	c.resendBootstrap(now, fleet)
	if !c.mayBootstrap(now, fleet) {
		return
	}
	plan := c.undecided()
	if plan == nil {
		plan = firstPlan()
	}
	if plan == nil {
		return
	}
	c.proposal = c.newProposal(plan, now+bootstrapHeartbeats*c.heartbeat)
	c.proposal.bootstrap = true
	c.broadcast(now, fleet.Roster, c.bootstrapMessage(fleet))
}

func (c *consensus) mayBootstrap(now float64, fleet *Fleet) bool {
	return now-c.completeSince >= completeHeartbeats*c.heartbeat && fleet.Roster[0] == c.name &&
		c.proposal == nil && now >= c.proposeAfter && c.mayVote(now)
}

func (c *consensus) bootstrapMessage(fleet *Fleet) Message {
	return Message{Kind: Bootstrap, Roster: fleet.RosterVersion, Ballot: c.proposal.Ballot, Plan: c.proposal.Value}
}

// resendBootstrap resends the first plan to drivers that have not accepted it, as messages may have been lost.
func (c *consensus) resendBootstrap(now float64, fleet *Fleet) {
	p := c.proposal
	if p == nil || !p.bootstrap || now < p.resendAt {
		return
	}
	p.resendAt = now + c.heartbeat
	for _, name := range fleet.Roster {
		if !p.HasAccepted(name) {
			c.send(name, c.bootstrapMessage(fleet))
		}
	}
}

// receiveBootstrap accepts a first plan proposed by the first driver of the roster, if this driver has the same roster.
// fleet is nil if the message is this driver's own.
func (c *consensus) receiveBootstrap(now float64, from string, msg *Message, fleet *Fleet, reply func(Message)) {
	if c.plan != nil {
		if from != c.name {
			c.send(from, Message{Kind: Decided, Plan: c.plan})
		}
		return
	}
	if msg.Plan == nil || msg.Plan.Epoch != 1 || !c.mayVote(now) || msg.Ballot.Compare(c.acceptor.Promised) < 0 ||
		fleet != nil && (!fleet.complete() || fleet.RosterVersion != msg.Roster || fleet.Roster[0] != from) {
		return
	}
	c.acceptor.Accept(msg.Ballot, msg.Plan)
	c.acceptedAt, c.unsaved = now, true
	c.highestNumber = max(c.highestNumber, min(msg.Ballot.Number, paxos.MaxNumber))
	reply(Message{Kind: Bootstrapped, Ballot: msg.Ballot, Roster: msg.Roster})
}

func (c *consensus) receiveBootstrapped(from string, msg *Message) {
	p := c.proposal
	if c.plan != nil || p == nil || !p.bootstrap || msg.Ballot.Compare(p.Ballot) != 0 {
		return
	}
	p.RecordAccepted(from)
}

// finishBootstrap adopts a first plan once all drivers of the roster have accepted it.
func (c *consensus) finishBootstrap(now float64, fleet *Fleet) {
	p := c.proposal
	if p == nil || !p.bootstrap || !fleet.complete() {
		return
	}
	for _, name := range fleet.Roster {
		if !p.HasAccepted(name) {
			return
		}
	}
	c.adopt(now, p.Value)
	c.announce(p.Value.Voters)
}
