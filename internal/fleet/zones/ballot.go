package zones

// This file owns one instance of Paxos: the voters of the plan that holds decide on the next one. It must never answer
// for a ballot below the one promised.

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// wantsPlan is the nonce of a Reject that asks for the plan in question.
const nonceWantsPlan = 1

// round is a ballot that this driver leads.
type proposal struct {
	paxos.Proposer[Plan]
	deadline  float64
	bootstrap bool
	resendAt  float64 // those that did not answer are asked
}

// newRound makes a round of the next ballot.
func (c *consensus) newProposal(p *Plan, deadline float64) *proposal {
	c.highestNumber++
	ballot := paxos.Ballot{Number: c.highestNumber, Proposer: c.self}
	return &proposal{Proposer: paxos.NewProposer(ballot, p), deadline: deadline}
}

// propose begins a ballot for a next plan.
func (c *consensus) propose(now float64, p *Plan) {
	if c.proposal != nil || now < c.proposeAfter || c.plan == nil {
		return
	}
	c.proposal = c.newProposal(p, now+proposalHeartbeats*c.heartbeat)
	c.broadcast(now, c.plan.Voters,
		Message{Kind: Prepare, Epoch: c.plan.Epoch, Sum: c.planSum, Ballot: c.proposal.Ballot})
}

// pending is a plan that this driver took and does not know to be decided: it is brought to an end before another is
// begun.
func (c *consensus) pending() *Plan { return c.acceptor.Value }

// receive takes a message. f is the fleet as it is seen; nil where the message is this driver's own.
func (c *consensus) receive(now float64, from string, w *Message, f *Fleet) {
	answer := func(back Message) {
		if from == c.self {
			c.receive(now, from, &back, f)
		} else {
			c.send(from, back)
		}
	}
	if w.Plan != nil && !w.Plan.valid() {
		return
	}
	switch w.Kind {
	case Bootstrap, Bootstrapped:
		c.receiveBootstrap(now, from, w, f, answer)
		return
	case Decided:
		if w.Plan != nil {
			c.learn(now, w.Plan)
		}
		return
	}
	if !c.concernsCurrentPlan(from, w) {
		return
	}
	c.highestNumber = max(c.highestNumber, min(w.Ballot.Number, paxos.MaxNumber))
	switch w.Kind {
	case Prepare:
		c.receivePrepare(now, w, answer)
	case Promise:
		c.receivePromise(now, from, w)
	case Accept:
		c.receiveAccept(now, w, answer)
	case Accepted:
		c.receiveAccepted(now, from, w)
	case Reject:
		c.receiveReject(now, from, w)
	case Confirm:
		c.receiveConfirm(now, from, w, answer)
	case Confirmed:
		c.receiveConfirmed(from, w)
	}
}

// concernsPlanHeld says whether a message is about the plan that this driver holds. A sender that lags behind is shown
// the newest plan; one that is ahead is asked for it.
func (c *consensus) concernsCurrentPlan(from string, w *Message) bool {
	request := w.Kind == Prepare || w.Kind == Accept || w.Kind == Confirm
	if w.Epoch < c.epoch() {
		if from != c.self && request {
			c.send(from, Message{Kind: Decided, Plan: c.plan})
		}
		return false
	}
	if c.plan != nil && w.Epoch == c.plan.Epoch && w.Sum == c.planSum {
		return true
	}
	if c.plan != nil && w.Epoch == c.plan.Epoch {
		c.emit("two_plans", from, "founded apart")
	}
	if c.epoch() < w.Epoch && request {
		c.send(from, Message{Kind: Reject, Epoch: w.Epoch, Sum: w.Sum, Nonce: nonceWantsPlan})
	}
	return false
}

// ownRound is the round that a message answers; nil where it is over or another's.
func (c *consensus) ownProposal(w *Message) *proposal {
	if r := c.proposal; r != nil && !r.bootstrap && w.Ballot.Compare(r.Ballot) == 0 {
		return r
	}
	return nil
}

func (c *consensus) receivePrepare(now float64, w *Message, answer func(Message)) {
	if !c.mayVote(now) || !c.isVoter() {
		return
	}
	back := Message{Kind: Reject, Epoch: w.Epoch, Sum: w.Sum, Ballot: c.acceptor.Promised}
	if c.acceptor.Prepare(w.Ballot) {
		c.unsaved = true
		back.Kind, back.Ballot, back.Accepted, back.Plan = Promise, w.Ballot, c.acceptor.Accepted, c.acceptor.Value
	}
	answer(back)
}

func (c *consensus) receivePromise(now float64, from string, w *Message) {
	r := c.ownProposal(w)
	if r == nil || !slices.Contains(c.plan.Voters, from) {
		return
	}
	if r.RecordPromise(from, w.Accepted, w.Plan, c.plan.Voters) {
		c.broadcast(now, union(c.plan.Voters, r.Value.Voters),
			Message{Kind: Accept, Epoch: w.Epoch, Sum: w.Sum, Ballot: r.Ballot, Plan: r.Value})
	}
}

func (c *consensus) receiveAccept(now float64, w *Message, answer func(Message)) {
	if w.Plan == nil || w.Plan.Epoch != c.plan.Epoch+1 || w.Plan.BaseSum != c.planSum || !c.mayVote(now) {
		return
	}
	back := Message{Kind: Reject, Epoch: w.Epoch, Sum: w.Sum, Ballot: c.acceptor.Promised}
	if c.acceptor.Accept(w.Ballot, w.Plan) {
		c.acceptedAt, c.unsaved = now, true
		back.Kind, back.Ballot = Accepted, w.Ballot
	}
	answer(back)
}

// receiveAccepted counts an acceptance: a plan is decided by majorities of the voters before it and of its own.
func (c *consensus) receiveAccepted(now float64, from string, w *Message) {
	r := c.ownProposal(w)
	if r == nil || !r.Accepting {
		return
	}
	if r.RecordAccepted(from); !r.Decided(c.plan.Voters, r.Value.Voters) {
		return
	}
	c.proposal = nil
	told := union(c.plan.Voters, r.Value.Voters)
	began := r.deadline - proposalHeartbeats*c.heartbeat
	c.adopt(now, r.Value)
	c.confirmedAt = max(c.confirmedAt, began) // nothing behind it can have been decided before it was
	for _, n := range told {
		if n != c.self {
			c.send(n, Message{Kind: Decided, Plan: c.plan})
		}
	}
	c.confirmAt = now
}

func (c *consensus) receiveReject(now float64, from string, w *Message) {
	if w.Nonce == nonceWantsPlan && from != c.self {
		c.send(from, Message{Kind: Decided, Plan: c.plan})
		return
	}
	if r := c.proposal; r != nil && w.Ballot.Compare(r.Ballot) > 0 {
		c.proposal, c.proposeAfter = nil, now+c.heartbeat*(0.5+float64(c.nameHash()%7)/7)
	}
}

// receiveConfirm answers a leader that asks whether the plan is still the newest, unless a later one was accepted here.
func (c *consensus) receiveConfirm(now float64, from string, w *Message, answer func(Message)) {
	if from != c.self && slices.Contains(c.plan.Voters, from) {
		c.peerLeaderSeenAt = now
	}
	if c.isVoter() && c.mayVote(now) && c.acceptor.Value == nil {
		answer(Message{Kind: Confirmed, Epoch: w.Epoch, Sum: w.Sum, Nonce: w.Nonce})
	}
}

func (c *consensus) receiveConfirmed(from string, w *Message) {
	if w.Nonce != c.confirmNonce || c.confirmedBy == nil || !slices.Contains(c.plan.Voters, from) {
		return
	}
	if c.confirmedBy[from] = true; paxos.Majority(c.plan.Voters, c.confirmedBy) {
		c.confirmedAt = max(c.confirmedAt, c.confirmAskedAt)
	}
}

func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}
