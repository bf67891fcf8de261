package zones

// This file owns the lease of a plan, and who leads. It must never let a message that was late on its way lengthen a
// lease: ages count from when an answer was asked for, on the asker's own clock.

import (
	"math"
	"slices"

	"weirwind/internal/fleet/paxos"
)

// confirmation is what is known of the plan held being the newest, and the round of Confirm messages that renews it.
type confirmation struct {
	at     float64         // the latest time at which the plan was certainly the newest; -Inf: it was never confirmed
	nonce  uint64          // of the round; each one has a higher one
	sentAt float64         // when the round began
	by     map[string]bool // who answered it; nil: there was none for this plan
	nextAt float64         // no round before
}

// restart is for another plan: nothing is known of it, and a round may begin at once.
func (c *confirmation) restart(now float64) { c.at, c.by, c.nextAt = math.Inf(-1), nil, now }

// known says whether the plan was ever confirmed.
func (c *confirmation) known() bool { return !math.IsInf(c.at, -1) }

// inForce says whether the plan held was certainly the newest less than a lease ago.
func (c *consensus) inForce(now float64) bool {
	return c.plan != nil && now < c.confirmation.at+c.lease
}

// age is how long ago the plan was certainly the newest; +Inf where that is not known.
func (c *consensus) age(now float64) float64 {
	if c.plan == nil || !c.confirmation.known() {
		return math.Inf(1)
	}
	return max(now-c.confirmation.at, 0)
}

// confirmationDone says whether the last round was answered by a majority, or is to be waited for no more.
func (c *consensus) confirmationDone(now float64) bool {
	answered := c.confirmation.by == nil || paxos.Majority(c.plan.Voters, c.confirmation.by)
	return answered || now-c.confirmation.sentAt > proposalHeartbeats*c.heartbeat
}

// confirm starts a round: it asks all voters whether the plan is still the newest that they accepted.
func (c *consensus) confirm(now float64) {
	c.confirmation.nextAt = now + c.heartbeat
	c.confirmation.nonce++
	c.confirmation.sentAt, c.confirmation.by = now, map[string]bool{}
	c.broadcast(now, c.plan.Voters,
		Message{Kind: Confirm, Epoch: c.plan.Epoch, Sum: c.planSum, Nonce: c.confirmation.nonce})
}

// receiveConfirm answers a leader, unless a successor of the plan was accepted here.
func (c *consensus) receiveConfirm(now float64, from string, msg *Message, reply func(Message)) {
	if from != c.name && slices.Contains(c.plan.Voters, from) {
		c.peerLeaderSeenAt = now
	}
	if c.isVoter() && c.mayVote(now) && c.acceptor.Value == nil {
		answer := msg.answer(Confirmed)
		answer.Nonce = msg.Nonce
		reply(answer)
	}
}

// receiveConfirmed counts an answer: with a majority the plan was the newest when the round began.
func (c *consensus) receiveConfirmed(from string, msg *Message) {
	round := &c.confirmation
	if msg.Nonce != round.nonce || round.by == nil || !slices.Contains(c.plan.Voters, from) {
		return
	}
	if round.by[from] = true; paxos.Majority(c.plan.Voters, round.by) {
		round.at = max(round.at, round.sentAt)
	}
}

// observeSummary takes what a peer answered, and says whether its plan was new here. requestedAt is when the peer was
// asked, on this driver's clock.
func (c *consensus) observeSummary(now, requestedAt float64, summary *Summary) (learned bool) {
	if summary.Plan != nil {
		learned = c.learn(now, summary.Plan)
	}
	samePlan := c.plan != nil && summary.Epoch == c.plan.Epoch && summary.Sum == c.planSum
	if samePlan && summary.Age >= 0 && !math.IsInf(summary.Age, 1) {
		c.confirmation.at = max(c.confirmation.at, min(requestedAt-summary.Age, now))
	}
	return learned
}

// rank is this driver's among the voters that are alive, the first of which leads; -1: it is no voter.
func (c *consensus) rank(fleet *Fleet) int {
	if !c.isVoter() {
		return -1
	}
	rank := 0
	for _, v := range c.plan.Voters {
		if v == c.name {
			break
		}
		if fleet.isAlive(v) {
			rank++
		}
	}
	return rank
}

// updateLeading decides whether this driver leads now: the first of the voters that are alive does, and each next one
// where the plan has not been confirmed for longer.
func (c *consensus) updateLeading(now float64, fleet *Fleet) bool {
	rank := c.rank(fleet)
	if rank < 0 || !c.mayVote(now) {
		c.candidateSince, c.leading = 0, false
		return false
	}
	delay := float64(rank) * successionDelay
	switch {
	case rank == 0:
		c.leading = true
	case !c.confirmation.known():
		c.leading = c.candidateFor(now) > delay*c.heartbeat
	default:
		stale := now - max(c.confirmation.at, c.peerLeaderSeenAt)
		c.leading = stale > (2+delay)*c.heartbeat
	}
	return c.leading
}

func (c *consensus) candidateFor(now float64) float64 {
	if c.candidateSince == 0 {
		c.candidateSince = now
	}
	return now - c.candidateSince
}
