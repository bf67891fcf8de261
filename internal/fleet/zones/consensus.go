package zones

// This file implements a driver's part in the consensus on plans: its current plan and the adoption of decided plans.
// It must never allow two successors of one plan.

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// Durations in heartbeats.
const (
	proposalHeartbeats  = 4.0  // timeout of a proposal
	successionDelay     = 4.0  // delay per rank before the voter of that rank takes over leadership
	abstainHeartbeats   = 10.0 // a driver that may have forgotten a vote abstains for this long
	completeHeartbeats  = 3.0  // the fleet must be complete for this long before a first plan is proposed
	bootstrapHeartbeats = 20.0 // timeout of the proposal of a first plan, which all drivers have to answer
)

// consensus is a driver's state in the consensus on plans.
type consensus struct {
	name      string
	heartbeat float64 // milliseconds
	lease     float64 // milliseconds

	plan    *Plan  // the newest known decided plan, called the current plan; its Epoch never decreases
	planSum uint64 // its checksum

	// acceptor is this driver's vote on the successor of plan. It is durable before its answer is sent, or voteAfter
	// covers the time in which an earlier process of this name may have voted.
	acceptor      paxos.Acceptor[Plan]
	acceptedAt    float64 // when acceptor last accepted
	voteAfter     float64
	highestNumber uint32 // highest ballot number seen, bounded by paxos.MaxNumber

	proposal      *proposal // this driver's own proposal; nil: none
	proposeAfter  float64   // earliest time of the next proposal
	completeSince float64   // since when the fleet has been complete without a plan; 0: it is not
	confirmation  confirmation

	leading          bool
	candidateSince   float64 // since when this driver could lead under a never confirmed plan; 0: it cannot
	peerLeaderSeenAt float64 // when another voter last sent a Confirm

	persistent bool    // votes survive a restart
	unsaved    bool    // there is state to save before outbox is sent
	saveFailed bool    // the last save failed: no votes until one succeeds
	saveAt     float64 // earliest time of the next save

	outbox []Envelope // collected during the current call
	events []Event
}

func (c *consensus) send(to string, msg Message) { c.outbox = append(c.outbox, Envelope{to, msg}) }

func (c *consensus) emit(reason, name, text string) {
	c.events = append(c.events, Event{reason, name, text})
}

// broadcast sends a message to drivers. If this driver is among them, it handles the message itself, as the last one.
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

// announce sends the current plan to the named drivers.
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

// isVoter reports whether this driver is a voter of the current plan.
func (c *consensus) isVoter() bool { return c.plan != nil && slices.Contains(c.plan.Voters, c.name) }

// mayVote reports whether votes of this driver can be saved, and none of its earlier votes was forgotten.
func (c *consensus) mayVote(now float64) bool { return now >= c.voteAfter && !c.saveFailed }

// tick expires proposals, renews the confirmation of the plan, or bootstraps a first one, returned by firstPlan.
func (c *consensus) tick(now float64, fleet *Fleet, firstPlan func() *Plan) {
	if c.proposal != nil && now >= c.proposal.deadline {
		c.proposal, c.proposeAfter = nil, now+c.heartbeat*(1+c.jitter())
	}
	if c.plan == nil {
		c.bootstrap(now, fleet, firstPlan)
		return
	}
	done := c.confirmationDone(now)
	if c.updateLeading(now, fleet) && now >= c.confirmation.nextRoundAt && done {
		c.confirm(now)
	}
}

// jitter returns a fraction below 1 that differs between drivers, so that two proposers do not collide repeatedly.
func (c *consensus) jitter() float64 {
	var hash uint32
	for _, b := range []byte(c.name) {
		hash = 31*hash + uint32(b)
	}
	return float64(hash%7) / 7
}

// receive handles a message. fleet is the current view of the fleet; nil if the message is this driver's own.
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

// concernsCurrentPlan reports whether a message is about this driver's current plan. It sends a sender with an older
// plan the current one, and asks a sender with a newer plan for that.
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

// adopt makes a decided plan the current one. It is in force once it is confirmed.
func (c *consensus) adopt(now float64, plan *Plan) {
	c.plan, c.planSum = plan, plan.sum()
	c.acceptor, c.proposal = paxos.Acceptor[Plan]{}, nil
	c.confirmation.restart(now)
	c.unsaved, c.candidateSince = true, 0
	c.emit("plan", c.name, describe(plan))
}

// learn adopts a decided plan if it is newer than the current one, and reports whether it is.
func (c *consensus) learn(now float64, plan *Plan) bool {
	if !plan.valid() || plan.Epoch <= c.epoch() {
		return false
	}
	if c.plan == nil && slices.Contains(plan.Voters, c.name) && !c.persistent {
		// An earlier process of this name may have voted on its successor.
		c.voteAfter = max(c.voteAfter, now+abstainHeartbeats*c.heartbeat)
	}
	c.adopt(now, plan)
	return true
}
