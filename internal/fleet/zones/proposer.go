package zones

// This file implements the Paxos proposer: a leading driver brings the successor of a plan to a decision.

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// proposal is an attempt of this driver to get one plan decided.
type proposal struct {
	paxos.Proposer[Plan]
	deadline  float64 // when it is abandoned
	bootstrap bool    // set for a first plan: the whole roster must accept it, without a prepare phase
	resendAt  float64 // for a bootstrap: when it is resent to drivers that have not accepted
}

// newProposal returns a proposal with a ballot above all ballots seen.
func (c *consensus) newProposal(plan *Plan, deadline float64) *proposal {
	c.highestNumber++
	ballot := paxos.Ballot{Number: c.highestNumber, Proposer: c.name}
	return &proposal{Proposer: paxos.NewProposer(ballot, plan), deadline: deadline}
}

// propose starts the prepare phase for a next plan, if no proposal is in progress.
func (c *consensus) propose(now float64, plan *Plan) {
	if c.proposal != nil || now < c.proposeAfter || c.plan == nil {
		return
	}
	c.proposal = c.newProposal(plan, now+proposalHeartbeats*c.heartbeat)
	c.broadcast(now, c.plan.Voters,
		Message{Kind: Prepare, Epoch: c.plan.Epoch, Sum: c.planSum, Ballot: c.proposal.Ballot})
}

// undecided returns a plan that this driver accepted and that is not known to be decided, or nil. It must be brought to
// a decision before another plan is proposed.
func (c *consensus) undecided() *Plan { return c.acceptor.Value }

// answeredProposal returns the proposal that a message answers, or nil if it has ended or is another driver's.
func (c *consensus) answeredProposal(msg *Message) *proposal {
	if p := c.proposal; p != nil && !p.bootstrap && msg.Ballot.Compare(p.Ballot) == 0 {
		return p
	}
	return nil
}

// receivePromise counts a promise. A majority of promises starts the accept phase.
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

// receiveAccepted counts an acceptance. A plan is decided by majorities of the previous plan's voters and of its own.
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
	// No successor of the plan can have been decided before the plan was proposed.
	c.confirmation.confirmedAt = max(c.confirmation.confirmedAt, startedAt)
	c.announce(voters)
}

// receiveReject abandons a proposal if a higher ballot was promised, or sends the plan that the sender lacks.
func (c *consensus) receiveReject(now float64, from string, msg *Message) {
	if msg.Nonce == nonceWantsPlan && from != c.name {
		c.send(from, Message{Kind: Decided, Plan: c.plan})
		return
	}
	if p := c.proposal; p != nil && msg.Ballot.Compare(p.Ballot) > 0 {
		c.proposal, c.proposeAfter = nil, now+c.heartbeat*(0.5+c.jitter())
	}
}

// union returns the sorted union of two sets of names.
func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
