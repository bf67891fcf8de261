package zones

// This file owns a driver's part in agreeing: the plan that it holds, and what follows from one that was decided. It
// must never let two plans follow one.

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// In heartbeats.
const (
	proposalHeartbeats  = 4.0  // until a proposal is given up
	successionDelay     = 4.0  // for each rank, before the voter of that rank leads
	abstainHeartbeats   = 10.0 // that a driver which may have forgotten a vote gives none
	completeHeartbeats  = 3.0  // that the fleet is complete before a first plan is proposed
	bootstrapHeartbeats = 20.0 // until the proposal of a first plan is given up: all have to answer
)

// consensus is a driver's part in deciding on plans.
type consensus struct {
	name      string
	heartbeat float64 // milliseconds
	lease     float64 // milliseconds

	plan    *Plan  // the newest decided one that is known; its Epoch only grows
	planSum uint64 // its checksum

	// acceptor is this driver's vote on plan's successor. It is durable before an answer by it is sent, or voteAfter
	// covers the time in which an earlier process of this name may have voted.
	acceptor      paxos.Acceptor[Plan]
	acceptedAt    float64 // when acceptor accepted last
	voteAfter     float64
	highestNumber uint32 // no lower than any ballot number seen, bounded by paxos.MaxNumber

	proposal      *proposal // that this driver leads; nil: none
	proposeAfter  float64   // no next one before
	completeSince float64   // since when the fleet is complete, without a plan; 0: it is not
	confirmation  confirmation

	leading          bool
	candidateSince   float64 // since when this driver could lead a plan that was never confirmed; 0: it can't
	peerLeaderSeenAt float64 // when another voter asked for a confirmation last

	persistent bool    // votes outlive the process
	unsaved    bool    // something has to be saved before outbox goes out
	saveFailed bool    // the last save: no votes until one succeeds
	saveAt     float64 // no save before

	outbox []Envelope // of the call under way
	events []Event
}

func (c *consensus) send(to string, msg Message) { c.outbox = append(c.outbox, Envelope{to, msg}) }

func (c *consensus) emit(reason, name, text string) {
	c.events = append(c.events, Event{reason, name, text})
}

// broadcast sends a message to some drivers; this one, if it is among them, takes it at once, as the last.
func (c *consensus) broadcast(now float64, to []string, msg Message) {
	for _, name := range to {
		if name != c.name {
			c.send(name, msg)
		}
	}
	if slices.Contains(to, c.name) {
		c.receive(now, c.name, &msg, nil)
	}
}

// announce sends the plan held to those named.
func (c *consensus) announce(to []string) {
	for _, name := range to {
		if name != c.name {
			c.send(name, Message{Kind: Decided, Plan: c.plan})
		}
	}
}

func (c *consensus) epoch() uint64 {
	if c.plan == nil {
		return 0
	}
	return c.plan.Epoch
}

// isVoter says whether this driver is a voter of the plan held.
func (c *consensus) isVoter() bool { return c.plan != nil && slices.Contains(c.plan.Voters, c.name) }

// mayVote says whether a vote of this driver would be kept, and none that it gave was forgotten.
func (c *consensus) mayVote(now float64) bool { return now >= c.voteAfter && !c.saveFailed }

// tick lets time pass: proposals end, the plan is confirmed again, or a first one is proposed. firstPlan makes that.
func (c *consensus) tick(now float64, fleet *Fleet, firstPlan func() *Plan) {
	if c.proposal != nil && now >= c.proposal.deadline {
		c.proposal, c.proposeAfter = nil, now+c.heartbeat*(1+c.jitter())
	}
	if c.plan == nil {
		c.bootstrap(now, fleet, firstPlan)
		return
	}
	done := c.confirmationDone(now)
	if c.updateLeading(now, fleet) && now >= c.confirmation.nextAt && done {
		c.confirm(now)
	}
}

// jitter is a fraction below 1 that differs between drivers, so that two proposers do not collide again and again.
func (c *consensus) jitter() float64 {
	var hash uint32
	for _, b := range []byte(c.name) {
		hash = 31*hash + uint32(b)
	}
	return float64(hash%7) / 7
}

// receive takes a message. fleet is the fleet as it is seen; nil where the message is this driver's own.
func (c *consensus) receive(now float64, from string, msg *Message, fleet *Fleet) {
	reply := func(answer Message) {
		if from == c.name {
			c.receive(now, from, &answer, fleet)
		} else {
			c.send(from, answer)
		}
	}
	if msg.Plan != nil && !msg.Plan.valid() {
		return
	}
	switch msg.Kind {
	case Bootstrap:
		c.receiveBootstrap(now, from, msg, fleet, reply)
		return
	case Bootstrapped:
		c.receiveBootstrapped(from, msg)
		return
	case Decided:
		if msg.Plan != nil {
			c.learn(now, msg.Plan)
		}
		return
	}
	if !c.concernsCurrentPlan(from, msg) {
		return
	}
	c.highestNumber = max(c.highestNumber, min(msg.Ballot.Number, paxos.MaxNumber))
	switch msg.Kind {
	case Prepare:
		c.receivePrepare(now, msg, reply)
	case Promise:
		c.receivePromise(now, from, msg)
	case Accept:
		c.receiveAccept(now, msg, reply)
	case Accepted:
		c.receiveAccepted(now, from, msg)
	case Reject:
		c.receiveReject(now, from, msg)
	case Confirm:
		c.receiveConfirm(now, from, msg, reply)
	case Confirmed:
		c.receiveConfirmed(from, msg)
	}
}

// concernsCurrentPlan says whether a message is about the plan that this driver holds. A sender that lags behind is
// sent the newest plan; one that is ahead is asked for its own.
func (c *consensus) concernsCurrentPlan(from string, msg *Message) bool {
	if msg.Epoch < c.epoch() {
		if from != c.name && msg.isRequest() {
			c.send(from, Message{Kind: Decided, Plan: c.plan})
		}
		return false
	}
	if c.plan != nil && msg.Epoch == c.plan.Epoch && msg.Sum == c.planSum {
		return true
	}
	if c.plan != nil && msg.Epoch == c.plan.Epoch {
		c.emit("two_plans", from, "founded apart")
	}
	if c.epoch() < msg.Epoch && msg.isRequest() {
		c.send(from, Message{Kind: Reject, Epoch: msg.Epoch, Sum: msg.Sum, Nonce: nonceWantsPlan})
	}
	return false
}

// adopt makes a decided plan the one that is held. It is in force once it is confirmed.
func (c *consensus) adopt(now float64, plan *Plan) {
	c.plan, c.planSum = plan, plan.sum()
	c.acceptor, c.proposal = paxos.Acceptor[Plan]{}, nil
	c.confirmation.restart(now)
	c.unsaved, c.candidateSince = true, 0
	c.emit("plan", c.name, describe(plan))
}

// learn takes a plan that was decided, and says whether it is newer than the one held.
func (c *consensus) learn(now float64, plan *Plan) bool {
	if !plan.valid() || plan.Epoch <= c.epoch() {
		return false
	}
	if c.plan == nil && slices.Contains(plan.Voters, c.name) && !c.persistent {
		// an earlier process of this name may have voted on its successor
		c.voteAfter = max(c.voteAfter, now+abstainHeartbeats*c.heartbeat)
	}
	c.adopt(now, plan)
	return true
}
