package zones

import (
	"math"
	"testing"

	"weirwind/internal/fleet/paxos"
)

// newDecided returns a driver whose current plan is a first plan with three voters.
func newDecided(name string) *consensus {
	c := &consensus{name: name, heartbeat: 100, lease: 1000, confirmation: confirmation{confirmedAt: math.Inf(-1)}}
	c.adopt(0, &Plan{Epoch: 1, Voters: []string{"a", "b", "c"}})
	c.events, c.outbox = nil, nil
	return c
}

func (c *consensus) successor(what string) *Plan {
	return &Plan{Epoch: c.plan.Epoch + 1, BaseSum: c.planSum, Voters: c.plan.Voters, BindingConstraints: []string{what}}
}

func (c *consensus) takeOutbox() (all []Envelope) {
	all, c.outbox = c.outbox, nil
	return all
}

// TestLateSummaryDoesNotExtendLease checks that the age in a delayed summary counts from when the summary was
// requested, and that unsolicited summaries and those of other plans do not confirm the current plan.
func TestLateSummaryDoesNotExtendLease(t *testing.T) {
	c := newDecided("d")
	c.observeSummary(20000, 1000, &Summary{Epoch: 1, Sum: c.planSum, Age: 50})
	if c.confirmation.confirmedAt != 950 || c.inForce(2000) || !c.inForce(1900) {
		t.Errorf("confirmed at %v", c.confirmation.confirmedAt)
	}
	c.observeSummary(30000, math.Inf(-1), &Summary{Epoch: 1, Sum: c.planSum, Age: -1})
	c.observeSummary(30000, 30000, &Summary{Epoch: 1, Sum: c.planSum + 1, Age: 0})
	c.observeSummary(30000, 30000, &Summary{Epoch: 2, Sum: c.planSum, Age: 0})
	c.observeSummary(30000, 30000, &Summary{Epoch: 1, Sum: c.planSum, Age: math.NaN()})
	if c.confirmation.confirmedAt != 950 {
		t.Errorf("confirmed at %v", c.confirmation.confirmedAt)
	}
}

// TestNoConfirmationAfterVote checks that a voter that accepted the next plan no longer confirms the current one.
func TestNoConfirmationAfterVote(t *testing.T) {
	c := newDecided("b")
	confirm := &Message{Kind: Confirm, Epoch: 1, Sum: c.planSum, Nonce: 7}
	c.receive(10, "a", confirm, nil)
	if s := c.takeOutbox(); len(s) != 1 || s[0].Message.Kind != Confirmed {
		t.Fatalf("%+v", s)
	}
	c.receive(20, "a", &Message{Kind: Accept, Epoch: 1, Sum: c.planSum, Ballot: paxos.Ballot{Number: 1, Proposer: "a"},
		Plan: c.successor("x")}, nil)
	c.takeOutbox()
	c.receive(30, "a", confirm, nil)
	if s := c.takeOutbox(); len(s) != 0 {
		t.Errorf("%+v", s)
	}
}

// TestProposal checks that a decision needs two of three voters, that answers of non-voters and to other ballots are
// ignored, and that a plan that a voter accepted before takes precedence.
func TestProposal(t *testing.T) {
	c := newDecided("a")
	c.propose(10, c.successor("mine"))
	if s := c.takeOutbox(); len(s) != 2 || c.proposal == nil || c.proposal.Accepting {
		t.Fatalf("one promise counts as a majority: %+v", s)
	}
	promise := Message{Kind: Promise, Epoch: 1, Sum: c.planSum, Ballot: c.proposal.Ballot}
	c.receive(20, "x", &promise, nil)
	otherBallot := promise
	otherBallot.Ballot.Number--
	if c.receive(20, "b", &otherBallot, nil); c.proposal.Accepting {
		t.Fatal("a promise of a non-voter, or for another ballot, counts")
	}
	promise.Accepted, promise.Plan = paxos.Ballot{Number: 0, Proposer: "b"}, c.successor("before")
	c.receive(30, "b", &promise, nil)
	s := c.takeOutbox()
	if len(s) != 2 || s[0].Message.Kind != Accept || s[0].Message.Plan.BindingConstraints[0] != "before" {
		t.Fatalf("%+v", s)
	}
	accepted := Message{Kind: Accepted, Epoch: 1, Sum: c.planSum, Ballot: c.proposal.Ballot}
	if c.receive(40, "x", &accepted, nil); c.plan.Epoch != 1 {
		t.Fatal("a non-voter's vote counts")
	}
	if c.receive(40, "c", &accepted, nil); c.plan.Epoch != 2 || c.plan.BindingConstraints[0] != "before" {
		t.Errorf("%+v", c.plan)
	}
}

// TestUnsavedVotes checks that after a failed save a driver does not vote until a save succeeds.
func TestUnsavedVotes(t *testing.T) {
	c := newDecided("b")
	c.persistent = true
	c.receive(10, "a", &Message{Kind: Prepare, Epoch: 1, Sum: c.planSum,
		Ballot: paxos.Ballot{Number: 1, Proposer: "a"}}, nil)
	if c.save(10) == nil {
		t.Fatal("nothing to save")
	}
	c.takeOutbox() // not sent, as the save fails
	c.saved(10, false)
	if c.receive(20, "a", &Message{Kind: Prepare, Epoch: 1, Sum: c.planSum,
		Ballot: paxos.Ballot{Number: 2, Proposer: "a"}}, nil); len(c.takeOutbox()) != 0 {
		t.Error("it votes after a failed save")
	}
	state := c.save(300)
	if state == nil || state.Promised.Number != 1 {
		t.Fatalf("%+v", state)
	}
	c.saved(300, true)
	if c.receive(310, "a", &Message{Kind: Prepare, Epoch: 1, Sum: c.planSum,
		Ballot: paxos.Ballot{Number: 3, Proposer: "a"}}, nil); len(c.takeOutbox()) != 1 {
		t.Error("it does not vote after a successful save")
	}
	restarted := &consensus{name: "b", heartbeat: 100, persistent: true, confirmation: confirmation{confirmedAt: math.Inf(-1)}}
	restarted.restore(state)
	if restarted.receive(400, "c", &Message{Kind: Prepare, Epoch: 1, Sum: c.planSum,
		Ballot: paxos.Ballot{Number: 0, Proposer: "c"}}, nil); restarted.takeOutbox()[0].Message.Kind != Reject {
		t.Error("it forgot its promise")
	}
}
