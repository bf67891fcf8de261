package zones

// This file owns the proposer's part of Paxos: a driver that leads brings a plan's successor to a decision.

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// proposal is an attempt of this driver to have one plan decided.
type proposal struct {
	paxos.Proposer[Plan]
	deadline  float64 // it is given up then
	bootstrap bool    // of a first plan: all of the roster accept it, there is no prepare phase
	resendAt  float64 // of a bootstrap: those that have not accepted are asked again then
}

// newProposal makes a proposal with a ballot above all that were seen.
func (c *consensus) newProposal(plan *Plan, deadline float64) *proposal {
	c.highestNumber++
	ballot := paxos.Ballot{Number: c.highestNumber, Proposer: c.name}
	return &proposal{Proposer: paxos.NewProposer(ballot, plan), deadline: deadline}
}

// propose starts a proposal of a next plan with its prepare phase, if none is under way.
func (c *consensus) propose(now float64, plan *Plan) {
	if c.proposal != nil || now < c.proposeAfter || c.plan == nil {
		return
	}
	c.proposal = c.newProposal(plan, now+proposalHeartbeats*c.heartbeat)
	c.broadcast(now, c.plan.Voters,
		Message{Kind: Prepare, Epoch: c.plan.Epoch, Sum: c.planSum, Ballot: c.proposal.Ballot})
}

// undecided is a plan that this driver accepted and does not know to be decided: it is brought to a decision before
// another one is proposed.
func (c *consensus) undecided() *Plan { return c.acceptor.Value }

// answeredProposal is the proposal that a message answers; nil where it is over or another driver's.
func (c *consensus) answeredProposal(msg *Message) *proposal {
	if p := c.proposal; p != nil && !p.bootstrap && msg.Ballot.Compare(p.Ballot) == 0 {
		return p
	}
	return nil
}

// receivePromise counts a promise; with a majority of them the accept phase begins.
func (c *consensus) receivePromise(now float64, from string, msg *Message) {
	p := c.answeredProposal(msg)
	if p == nil || !slices.Contains(c.plan.Voters, from) {
		return
	}
	if p.RecordPromise(from, msg.Accepted, msg.Plan, c.plan.Voters) {
		accept := msg.answer(Accept)
		accept.Ballot, accept.Plan = p.Ballot, p.Value
		c.broadcast(now, union(c.plan.Voters, p.Value.Voters), accept)
	}
}

// receiveAccepted counts an acceptance: a plan is decided by majorities of the voters before it and of its own.
func (c *consensus) receiveAccepted(now float64, from string, msg *Message) {
	p := c.answeredProposal(msg)
	if p == nil || !p.Accepting {
		return
	}
	if p.RecordAccepted(from); !p.Decided(c.plan.Voters, p.Value.Voters) {
		return
	}
	voters := union(c.plan.Voters, p.Value.Voters)
	startedAt := p.deadline - proposalHeartbeats*c.heartbeat
	c.adopt(now, p.Value)
	// no successor of it can have been decided before it was proposed
	c.confirmation.at = max(c.confirmation.at, startedAt)
	c.announce(voters)
}

// receiveReject gives up a proposal where a higher ballot was promised, or sends the plan that the sender lacks.
func (c *consensus) receiveReject(now float64, from string, msg *Message) {
	if msg.Nonce == nonceWantsPlan && from != c.name {
		c.send(from, Message{Kind: Decided, Plan: c.plan})
		return
	}
	if p := c.proposal; p != nil && msg.Ballot.Compare(p.Ballot) > 0 {
		c.proposal, c.proposeAfter = nil, now+c.heartbeat*(0.5+c.jitter())
	}
}

// union is the names of both, sorted.
func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
