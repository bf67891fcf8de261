package zones

// This file owns consensus: which plan follows which, and until when a driver may take the one that it holds for the
// newest. It must never let two plans follow one, or let word that was late on its way lengthen a lease.
//
// The voters that a plan names decide on the next one, by Paxos, an instance a plan; a majority of the new plan's
// voters accepts it as well. The first plan, which moves nothing, needs all drivers of the roster once. A plan is
// confirmed when a majority of its voters said, after they were asked, that they had taken no later one: from then on
// it holds for a lease. Ages are counted from when an answer was asked for, on the asker's own clock, so that clocks
// need not agree and late messages only shortens a lease.

import (
	"math"
	"slices"

	"weirwind/internal/fleet/paxos"
)

// In heartbeats.
const (
	proposalHeartbeats     = 4.0  // one ballot
	succession      = 4.0  // before the next voter in order leads
	forgottenVote    = 10.0 // a driver that may have forgotten a vote gives none
	completeHeartbeats  = 3.0  // the fleet is whole before a first plan
	bootstrapHeartbeats = 20.0 // all have to answer to one
)

// consensus is a driver's part in agreeing.
type consensus struct {
	self      string
	heartbeat float64
	lease     float64

	plan      *Plan // the newest decided that is known
	planSum   uint64
	confirmedAt float64 // the latest time at which that was certainly the newest, on the own clock

	voteAfter     float64              // may have forgotten a vote: none before
	acceptor          paxos.Acceptor[Plan] // on the plan behind it
	acceptedAt    float64
	highestNumber  uint32
	proposal         *proposal
	proposeAfter       float64
	completeSince float64 // since when the fleet is; 0: it is not

	confirmNonce   uint64 // nonce of the renewal that is out
	confirmAskedAt float64
	confirmedBy    map[string]bool
	confirmAt      float64
	leading        bool
	candidateSince float64
	peerLeaderSeenAt   float64 // a peer that leads was heard of
	lastNonce          uint64

	persistent, unsaved, saveFailed bool
	saveAt                          float64

	outbox []Envelope
	events []Event
}

func (c *consensus) send(to string, w Message) { c.outbox = append(c.outbox, Envelope{to, w}) }
func (c *consensus) emit(reason, name, text string) {
	c.events = append(c.events, Event{reason, name, text})
}

func (c *consensus) mayVote(now float64) bool { return now >= c.voteAfter && !c.saveFailed }

func (c *consensus) epoch() uint64 {
	if c.plan == nil {
		return 0
	}
	return c.plan.Epoch
}

// inForce says whether the plan held is certainly the newest, or was less than a lease ago.
func (c *consensus) inForce(now float64) bool { return c.plan != nil && now < c.confirmedAt+c.lease }

// age is how long ago the plan was certainly the newest.
func (c *consensus) age(now float64) float64 {
	if c.plan == nil || math.IsInf(c.confirmedAt, -1) {
		return math.Inf(1)
	}
	return max(now-c.confirmedAt, 0)
}

// isVoter says whether this driver is one.
func (c *consensus) isVoter() bool { return c.plan != nil && slices.Contains(c.plan.Voters, c.self) }

// rank is this driver's among the voters that live: 0 leads. -1: it is no voter.
func (c *consensus) rank(f *Fleet) int {
	if !c.isVoter() {
		return -1
	}
	rank := 0
	for _, v := range c.plan.Voters {
		if v == c.self {
			return rank
		}
		if f.isAlive(v) {
			rank++
		}
	}
	return rank
}

// mayLead says whether this driver is to lead now: the first of the voters that live, and behind it the next where
// nothing comes of that for a while.
func (c *consensus) mayLead(now float64, f *Fleet) bool {
	rank := c.rank(f)
	if rank < 0 || !c.mayVote(now) {
		c.candidateSince, c.leading = 0, false
		return false
	}
	switch {
	case rank == 0:
		c.leading = true
	case math.IsInf(c.confirmedAt, -1):
		c.leading = c.candidateFor(now) > float64(rank)*succession*c.heartbeat
	default:
		stale := now - max(c.confirmedAt, c.peerLeaderSeenAt)
		c.leading = stale > (2+float64(rank)*succession)*c.heartbeat
	}
	return c.leading
}

func (c *consensus) candidateFor(now float64) float64 {
	if c.candidateSince == 0 {
		c.candidateSince = now
	}
	return now - c.candidateSince
}

// tick lets time pass: rounds end, plans are confirmed anew, a first one is agreed on.
func (c *consensus) tick(now float64, f *Fleet, first func() *Plan) {
	if c.proposal != nil && now >= c.proposal.deadline {
		c.proposal, c.proposeAfter = nil, now+c.heartbeat*(1+float64(c.nameHash()%7)/7)
	}
	if c.plan == nil {
		c.bootstrap(now, f, first)
		return
	}
	// A late answer counts from when it was asked for.
	answered := c.confirmedBy == nil || paxos.Majority(c.plan.Voters, c.confirmedBy)
	done := answered || now-c.confirmAskedAt > proposalHeartbeats*c.heartbeat
	if c.mayLead(now, f) && now >= c.confirmAt && done {
		c.confirmAt = now + c.heartbeat
		c.lastNonce++
		c.confirmNonce, c.confirmAskedAt, c.confirmedBy = c.lastNonce, now, map[string]bool{}
		c.broadcast(now, c.plan.Voters, Message{Kind: Confirm, Epoch: c.plan.Epoch, Sum: c.planSum, Nonce: c.lastNonce})
	}
}

func (c *consensus) nameHash() (n uint32) {
	for _, b := range []byte(c.self) {
		n = 31*n + uint32(b)
	}
	return n
}

// broadcast sends a message to some drivers, this one included.
func (c *consensus) broadcast(now float64, to []string, w Message) {
	for _, n := range to {
		if n != c.self {
			c.send(n, w)
		}
	}
	if slices.Contains(to, c.self) {
		c.receive(now, c.self, &w, nil)
	}
}

// adopt makes a plan the one that is held. It is in force once it is confirmed.
func (c *consensus) adopt(now float64, p *Plan) {
	c.plan, c.planSum, c.confirmedAt = p, p.sum(), math.Inf(-1)
	c.acceptor, c.proposal, c.confirmedBy = paxos.Acceptor[Plan]{}, nil, nil
	c.unsaved, c.candidateSince, c.confirmAt = true, 0, now
	c.emit("plan", c.self, describe(p))
}

// learn takes a plan that was decided, and says whether it is newer than the one held.
func (c *consensus) learn(now float64, p *Plan) bool {
	if !p.valid() || p.Epoch <= c.epoch() {
		return false
	}
	if c.plan == nil && slices.Contains(p.Voters, c.self) && !c.persistent { // an earlier run may have voted
		c.voteAfter = max(c.voteAfter, now+forgottenVote*c.heartbeat)
	}
	c.adopt(now, p)
	return true
}

// receiveHeld takes what a peer answered: it holds this plan, which was certainly the newest so long before it
// answered; asked is when it was asked, on the own clock. It says whether the plan was news.
func (c *consensus) observeSummary(now, asked float64, p *Plan, epoch, sum uint64, age float64) (news bool) {
	if p != nil {
		news = c.learn(now, p)
	}
	if c.plan != nil && epoch == c.plan.Epoch && sum == c.planSum && age >= 0 && !math.IsInf(age, 1) {
		c.confirmedAt = max(c.confirmedAt, min(asked-age, now))
	}
	return news
}
