package zones

// This file implements the lease of a plan, and leadership. A delayed message must never extend a lease: ages count
// from when an answer was requested, on the requester's own clock.

import (
	"math"
	"slices"

	"weirwind/internal/fleet/paxos"
)

// confirmation tracks until when the current plan was certainly the newest, and the Confirm round that renews it.
type confirmation struct {
	confirmedAt float64         // latest time at which the plan was certainly the newest; -Inf: never confirmed
	nonce       uint64          // of the round; increases with each round
	sentAt      float64         // when the round started
	answeredBy  map[string]bool // voters that answered the round; nil: no round for this plan yet
	nextRoundAt float64         // earliest time of the next round
}

// restart resets the confirmation for a new plan and allows a round immediately.
func (c *confirmation) restart(now float64) {
	c.confirmedAt, c.answeredBy, c.nextRoundAt = math.Inf(-1), nil, now
}

// known reports whether the plan was ever confirmed.
func (c *confirmation) known() bool { return !math.IsInf(c.confirmedAt, -1) }

// inForce reports whether the current plan was certainly the newest less than a lease ago.
func (c *consensus) inForce(now float64) bool {
	return c.plan != nil && now < c.confirmation.confirmedAt+c.lease
}

// age returns how long ago the plan was certainly the newest, or +Inf if that is unknown.
func (c *consensus) age(now float64) float64 {
	if c.plan == nil || !c.confirmation.known() {
		return math.Inf(1)
	}
	return max(now-c.confirmation.confirmedAt, 0)
}

// confirmationDone reports whether the last round was answered by a majority, or has timed out.
func (c *consensus) confirmationDone(now float64) bool {
	answered := c.confirmation.answeredBy == nil || paxos.Majority(c.plan.Voters, c.confirmation.answeredBy)
	return answered || now-c.confirmation.sentAt > proposalHeartbeats*c.heartbeat
}

// confirm starts a round: it asks all voters to confirm that they have accepted no successor of the plan.
func (c *consensus) confirm(now float64) {
	c.confirmation.nextRoundAt = now + c.heartbeat
	c.confirmation.nonce++
	c.confirmation.sentAt, c.confirmation.answeredBy = now, map[string]bool{}
	c.broadcast(now, c.plan.Voters,
		Message{Kind: Confirm, Epoch: c.plan.Epoch, Sum: c.planSum, Nonce: c.confirmation.nonce})
}

// receiveConfirm answers a leader, unless this driver accepted a successor of the plan.
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

// receiveConfirmed counts an answer. With a majority, the plan was certainly the newest when the round started.
func (c *consensus) receiveConfirmed(from string, msg *Message) {
	round := &c.confirmation
	if msg.Nonce != round.nonce || round.answeredBy == nil || !slices.Contains(c.plan.Voters, from) {
		return
	}
	if round.answeredBy[from] = true; paxos.Majority(c.plan.Voters, round.answeredBy) {
		round.confirmedAt = max(round.confirmedAt, round.sentAt)
	}
}

// observeSummary handles a peer's summary, and reports whether its plan was new to this driver. requestedAt is when the
// summary was requested, on this driver's clock.
func (c *consensus) observeSummary(now, requestedAt float64, summary *Summary) (learned bool) {
	if summary.Plan != nil {
		learned = c.learn(now, summary.Plan)
	}
	samePlan := c.plan != nil && summary.Epoch == c.plan.Epoch && summary.Sum == c.planSum
	if samePlan && summary.Age >= 0 && !math.IsInf(summary.Age, 1) {
		c.confirmation.confirmedAt = max(c.confirmation.confirmedAt, min(requestedAt-summary.Age, now))
	}
	return learned
}

// rank returns this driver's position among the live voters, the first of which leads, or -1 if it is no voter.
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

// updateLeading decides whether this driver leads: the first live voter does, and each following one after the plan has
// not been confirmed for a longer time.
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
		c.leading = c.candidateDuration(now) > delay*c.heartbeat
	default:
		stale := now - max(c.confirmation.confirmedAt, c.peerLeaderSeenAt)
		c.leading = stale > (2+delay)*c.heartbeat
	}
	return c.leading
}

func (c *consensus) candidateDuration(now float64) float64 {
	if c.candidateSince == 0 {
		c.candidateSince = now
	}
	return now - c.candidateSince
}
