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
	roundBeats     = 4.0  // one ballot
	rankBeats      = 4.0  // before the next voter in order leads
	forgetBeats    = 10.0 // a driver that may have forgotten a vote gives none
	completeBeats  = 3.0  // the fleet is whole before a first plan
	bootstrapBeats = 20.0 // all have to answer to one
)

// consensus is a driver's part in agreeing.
type consensus struct {
	name      string
	heartbeat float64
	lease     float64

	plan      *Plan // the newest decided that is known
	planSum   uint64
	confirmed float64 // the latest time at which that was certainly the newest, on the own clock

	mayVoteAt     float64              // may have forgotten a vote: none before
	vote          paxos.Acceptor[Plan] // on the plan behind it
	acceptedAt    float64
	ballotNumber  uint32
	round         *round
	retryAt       float64
	completeSince float64 // since when the fleet is; 0: it is not

	confirmNonce   uint64 // nonce of the renewal that is out
	confirmAskedAt float64
	confirmedBy    map[string]bool
	confirmAt      float64
	leading        bool
	candidateSince float64
	leaderSeenAt   float64 // a peer that leads was heard of
	nonce          uint64

	persistent, unsaved, saveFailed bool
	saveAt                          float64

	sends []Envelope
	notes []Event
}

func (c *consensus) send(to string, w Message) { c.sends = append(c.sends, Envelope{to, w}) }
func (c *consensus) note(reason, name, text string) {
	c.notes = append(c.notes, Event{reason, name, text})
}

func (c *consensus) mayVote(now float64) bool { return now >= c.mayVoteAt && !c.saveFailed }

func (c *consensus) epoch() uint64 {
	if c.plan == nil {
		return 0
	}
	return c.plan.Epoch
}

// inForce says whether the plan held is certainly the newest, or was less than a lease ago.
func (c *consensus) inForce(now float64) bool { return c.plan != nil && now < c.confirmed+c.lease }

// age is how long ago the plan was certainly the newest.
func (c *consensus) age(now float64) float64 {
	if c.plan == nil || math.IsInf(c.confirmed, -1) {
		return math.Inf(1)
	}
	return max(now-c.confirmed, 0)
}

// isVoter says whether this driver is one.
func (c *consensus) isVoter() bool { return c.plan != nil && slices.Contains(c.plan.Voters, c.name) }

// rank is this driver's among the voters that live: 0 leads. -1: it is no voter.
func (c *consensus) rank(f *Fleet) int {
	if !c.isVoter() {
		return -1
	}
	rank := 0
	for _, v := range c.plan.Voters {
		if v == c.name {
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
	case math.IsInf(c.confirmed, -1):
		c.leading = c.candidateFor(now) > float64(rank)*rankBeats*c.heartbeat
	default:
		stale := now - max(c.confirmed, c.leaderSeenAt)
		c.leading = stale > (2+float64(rank)*rankBeats)*c.heartbeat
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
	if c.round != nil && now >= c.round.deadline {
		c.round, c.retryAt = nil, now+c.heartbeat*(1+float64(c.nameHash()%7)/7)
	}
	if c.plan == nil {
		c.bootstrap(now, f, first)
		return
	}
	// A late answer counts from when it was asked for.
	answered := c.confirmedBy == nil || paxos.Majority(c.plan.Voters, c.confirmedBy)
	done := answered || now-c.confirmAskedAt > roundBeats*c.heartbeat
	if c.mayLead(now, f) && now >= c.confirmAt && done {
		c.confirmAt = now + c.heartbeat
		c.nonce++
		c.confirmNonce, c.confirmAskedAt, c.confirmedBy = c.nonce, now, map[string]bool{}
		c.broadcast(now, c.plan.Voters, Message{Kind: Confirm, Epoch: c.plan.Epoch, Sum: c.planSum, Nonce: c.nonce})
	}
}

func (c *consensus) nameHash() (n uint32) {
	for _, b := range []byte(c.name) {
		n = 31*n + uint32(b)
	}
	return n
}

// broadcast sends a message to some drivers, this one included.
func (c *consensus) broadcast(now float64, to []string, w Message) {
	for _, n := range to {
		if n != c.name {
			c.send(n, w)
		}
	}
	if slices.Contains(to, c.name) {
		c.receive(now, c.name, &w, nil)
	}
}

// adopt makes a plan the one that is held. It is in force once it is confirmed.
func (c *consensus) adopt(now float64, p *Plan) {
	c.plan, c.planSum, c.confirmed = p, p.sum(), math.Inf(-1)
	c.vote, c.round, c.confirmedBy = paxos.Acceptor[Plan]{}, nil, nil
	c.unsaved, c.candidateSince, c.confirmAt = true, 0, now
	c.note("plan", c.name, describe(p))
}

// learn takes a plan that was decided, and says whether it is newer than the one held.
func (c *consensus) learn(now float64, p *Plan) bool {
	if !p.valid() || p.Epoch <= c.epoch() {
		return false
	}
	if c.plan == nil && slices.Contains(p.Voters, c.name) && !c.persistent { // an earlier run may have voted
		c.mayVoteAt = max(c.mayVoteAt, now+forgetBeats*c.heartbeat)
	}
	c.adopt(now, p)
	return true
}

// receiveHeld takes what a peer answered: it holds this plan, which was certainly the newest so long before it
// answered; asked is when it was asked, on the own clock. It says whether the plan was news.
func (c *consensus) receiveHeld(now, asked float64, p *Plan, epoch, sum uint64, age float64) (news bool) {
	if p != nil {
		news = c.learn(now, p)
	}
	if c.plan != nil && epoch == c.plan.Epoch && sum == c.planSum && age >= 0 && !math.IsInf(age, 1) {
		c.confirmed = max(c.confirmed, min(asked-age, now))
	}
	return news
}
