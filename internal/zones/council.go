package zones

// This file owns agreement: which plan follows which, and until when a driver may take the one that it holds for the newest.
// It must never let two plans follow one, or let word that was late on its way lengthen a lease.
//
// The voters that a plan names decide on the next one, by Paxos, an instance a plan; a majority of the new plan's voters
// accepts it as well. The first plan, which moves nothing, needs all drivers of the roster once. A plan is confirmed when a
// majority of its voters said, after they were asked, that they had taken no later one: from then on it holds for a lease.
// Ages are counted from when an answer was asked for, on the asker's own clock, so that clocks need not agree and late word
// only shortens a lease.

import (
	"math"
	"slices"
	"strings"

	"weirwind/internal/membership"
)

// Step of a word between drivers.
type Step uint8

const (
	Prepare  Step = iota + 1 // of a ballot for the plan behind Base
	Promise                  // no lower one is taken; what was taken last comes with it
	Accept                   // this plan
	Accepted                 // it is taken
	Refuse                   // a higher ballot was promised
	Found                    // this first plan, to all of the roster
	Founded                  // the sender agrees
	Renew                    // is this plan still the newest taken?
	Renewed                  // it is
	Newest                   // here is the newest decided; also the answer to who holds an older one
	Tell                     // a report
	Holds                    // the answer to it: what the sender holds, and since when that is certainly the newest
	Say                      // an order of operators, passed on to who leads
)

// Word goes between two drivers.
type Word struct {
	Step   Step              `cbor:"1,keyasint"`
	Epoch  uint64            `cbor:"2,keyasint,omitempty"` // of the plan in question; in Prepare to Refuse of the one before
	Sum    uint64            `cbor:"3,keyasint,omitempty"` // and its sum
	Ballot membership.Ballot `cbor:"4,keyasint"`
	Taken  membership.Ballot `cbor:"5,keyasint"`
	Plan   *Plan             `cbor:"6,keyasint,omitempty"`
	Nonce  uint64            `cbor:"7,keyasint,omitempty"`
	Roster uint64            `cbor:"8,keyasint,omitempty"`
	Report *Report           `cbor:"9,keyasint,omitempty"`
	Order  *Saying           `cbor:"10,keyasint,omitempty"`
	Held   *Summary          `cbor:"11,keyasint,omitempty"`
}

// Send is a word that is to go to a driver.
type Send struct {
	To   string
	Word Word
}

// Note is a line for the log.
type Note struct {
	Reason, Name, Text string
}

// Fellow is a living driver.
type Fellow struct{ Name, Zone string }

// Fleet is what membership tells, at the moment.
type Fleet struct {
	Standing membership.Standing
	Roster   uint64   // version
	Names    []string // of the roster, sorted
	Living   []Fellow // by name, this driver among them
	Zones    []string // of which a driver was ever known, sorted
}

// complete says that all of the roster live, as far as is seen here. Some may be suspected: among many there always is one.
func (f *Fleet) complete() bool {
	return most(f.Standing) && len(f.Names) > 0 &&
		!slices.ContainsFunc(f.Names, func(n string) bool { return !f.lives(n) })
}

func (f *Fleet) lives(name string) bool {
	_, ok := slices.BinarySearchFunc(f.Living, name, func(o Fellow, n string) int { return strings.Compare(o.Name, n) })
	return ok
}

// In beats.
const (
	roundBeats  = 4.0  // one ballot
	rankBeats   = 4.0  // before the next voter in order leads
	forgetBeats = 10.0 // a driver that may have forgotten a vote gives none
	wholeBeats  = 3.0  // the fleet is whole before a first plan
	foundBeats  = 20.0 // all have to answer to one
)

// round is a ballot that this driver leads.
type round struct {
	ballot   membership.Ballot
	until    float64
	found    bool
	again    float64 // those that did not answer are asked
	accept   bool
	promised map[string]bool
	accepted map[string]bool
	taken    membership.Ballot
	plan     *Plan
}

// Kept is what must outlive the process for its votes to count when it comes back.
type Kept struct {
	Name     string            `cbor:"1,keyasint"`
	Plan     *Plan             `cbor:"2,keyasint,omitempty"`
	Promised membership.Ballot `cbor:"3,keyasint"`
	Taken    membership.Ballot `cbor:"4,keyasint"`
	Offer    *Plan             `cbor:"5,keyasint,omitempty"`
	Turn     uint32            `cbor:"6,keyasint,omitempty"`
}

// council is a driver's part in agreeing.
type council struct {
	name  string
	beat  float64
	lease float64

	plan      *Plan // the newest decided that is known
	planSum   uint64
	confirmed float64 // the latest time at which that was certainly the newest, on the own clock

	votesAt  float64           // may have forgotten a vote: none before
	promised membership.Ballot // for the plan behind it
	taken    membership.Ballot
	offer    *Plan // taken, not known to be decided
	takenAt  float64
	turn     uint32
	round    *round
	retry    float64
	whole    float64 // since when the fleet is; 0: it is not

	renewal  uint64 // nonce of the renewal that is out
	asked    float64
	renewed  map[string]bool
	renewAt  float64
	leading  bool
	leadFrom float64
	ledAt    float64 // a fellow that leads was heard of
	nonce    uint64

	keeps, unsaved, unsafe bool
	saveAt                 float64

	sends []Send
	notes []Note
}

func (c *council) send(to string, w Word) { c.sends = append(c.sends, Send{to, w}) }
func (c *council) note(reason, name, text string) {
	c.notes = append(c.notes, Note{reason, name, text})
}

func (c *council) mayVote(now float64) bool { return now >= c.votesAt && !c.unsafe }

func (c *council) epoch() uint64 {
	if c.plan == nil {
		return 0
	}
	return c.plan.Epoch
}

// inForce says whether the plan held is certainly the newest, or was less than a lease ago.
func (c *council) inForce(now float64) bool { return c.plan != nil && now < c.confirmed+c.lease }

// age is how long ago the plan was certainly the newest.
func (c *council) age(now float64) float64 {
	if c.plan == nil || math.IsInf(c.confirmed, -1) {
		return math.Inf(1)
	}
	return max(now-c.confirmed, 0)
}

// voter says whether this driver is one.
func (c *council) voter() bool { return c.plan != nil && slices.Contains(c.plan.Voters, c.name) }

// rank is this driver's among the voters that live: 0 leads. -1: it is no voter.
func (c *council) rank(f *Fleet) int {
	if !c.voter() {
		return -1
	}
	rank := 0
	for _, v := range c.plan.Voters {
		if v == c.name {
			return rank
		}
		if f.lives(v) {
			rank++
		}
	}
	return rank
}

// lead says whether this driver is to lead now: the first of the voters that live, and behind it the next where nothing
// comes of that for a while.
func (c *council) lead(now float64, f *Fleet) bool {
	rank := c.rank(f)
	if rank < 0 || !c.mayVote(now) {
		c.leadFrom, c.leading = 0, false
		return false
	}
	stale := now - max(c.confirmed, c.ledAt)
	c.leading = rank == 0 || stale > (2+float64(rank)*rankBeats)*c.beat && !math.IsInf(c.confirmed, -1) || math.IsInf(c.confirmed, -1) && c.waited(now) > float64(rank)*rankBeats*c.beat
	return c.leading
}

func (c *council) waited(now float64) float64 {
	if c.leadFrom == 0 {
		c.leadFrom = now
	}
	return now - c.leadFrom
}

// tick lets time pass: rounds end, plans are confirmed anew, a first one is founded.
func (c *council) tick(now float64, f *Fleet, first func() *Plan) {
	if c.round != nil && now >= c.round.until {
		c.round, c.retry = nil, now+c.beat*(1+float64(c.rankName()%7)/7)
	}
	if c.plan == nil {
		c.found(now, f, first)
		return
	}
	done := c.renewed == nil || membership.Majority(c.plan.Voters, c.renewed) || now-c.asked > roundBeats*c.beat // a late answer counts from when it was asked for
	if c.lead(now, f) && now >= c.renewAt && done {
		c.renewAt = now + c.beat
		c.nonce++
		c.renewal, c.asked, c.renewed = c.nonce, now, map[string]bool{}
		c.poll(now, c.plan.Voters, Word{Step: Renew, Epoch: c.plan.Epoch, Sum: c.planSum, Nonce: c.nonce})
	}
}

func (c *council) rankName() (n uint32) {
	for _, b := range []byte(c.name) {
		n = 31*n + uint32(b)
	}
	return n
}

// poll sends a word to some drivers, this one included.
func (c *council) poll(now float64, to []string, w Word) {
	for _, n := range to {
		if n != c.name {
			c.send(n, w)
		}
	}
	if slices.Contains(to, c.name) {
		c.got(now, c.name, &w, nil)
	}
}

// found proposes a first plan once the fleet has been whole for a while: all drivers of the roster have to agree, so that
// no two first plans come of one fleet. The driver whose name comes first does it.
func (c *council) found(now float64, f *Fleet, first func() *Plan) {
	if !f.complete() {
		c.whole = 0
		return
	}
	if c.whole == 0 {
		c.whole = now
	}
	if r := c.round; r != nil && r.found && now >= r.again { // word to or from some was lost
		r.again = now + c.beat
		for _, n := range f.Names {
			if !r.accepted[n] {
				c.send(n, Word{Step: Found, Roster: f.Roster, Ballot: r.ballot, Plan: r.plan})
			}
		}
	}
	if now-c.whole < wholeBeats*c.beat || f.Names[0] != c.name || c.round != nil || now < c.retry || !c.mayVote(now) {
		return
	}
	p := c.offer
	if p == nil {
		p = first()
	}
	if p == nil {
		return
	}
	c.turn++
	c.round = &round{ballot: membership.Ballot{Turn: c.turn, Name: c.name}, until: now + foundBeats*c.beat, found: true, accepted: map[string]bool{}, plan: p}
	c.poll(now, f.Names, Word{Step: Found, Roster: f.Roster, Ballot: c.round.ballot, Plan: p})
}

// propose begins a ballot for a next plan.
func (c *council) propose(now float64, p *Plan) {
	if c.round != nil || now < c.retry || c.plan == nil {
		return
	}
	c.turn++
	c.round = &round{ballot: membership.Ballot{Turn: c.turn, Name: c.name}, until: now + roundBeats*c.beat, promised: map[string]bool{}, accepted: map[string]bool{}, plan: p}
	c.poll(now, c.plan.Voters, Word{Step: Prepare, Epoch: c.plan.Epoch, Sum: c.planSum, Ballot: c.round.ballot})
}

// pending is a plan that this driver took and does not know to be decided: it is brought to an end before another is begun.
func (c *council) pending() *Plan { return c.offer }

// got takes a word. f is the fleet as it is seen; nil where the word is this driver's own.
func (c *council) got(now float64, from string, w *Word, f *Fleet) {
	answer := func(back Word) {
		if from == c.name {
			c.got(now, from, &back, f)
		} else {
			c.send(from, back)
		}
	}
	if w.Plan != nil && !w.Plan.sane() {
		return
	}
	switch w.Step {
	case Found, Founded:
		c.gotFounding(now, from, w, f, answer)
		return
	case Newest:
		if w.Plan != nil {
			c.learn(now, w.Plan)
		}
		return
	}
	if w.Epoch < c.epoch() { // it lags behind: it is shown the newest
		if from != c.name && (w.Step == Prepare || w.Step == Accept || w.Step == Renew) {
			c.send(from, Word{Step: Newest, Plan: c.plan})
		}
		return
	}
	if c.plan == nil || w.Epoch != c.plan.Epoch || w.Sum != c.planSum {
		if c.plan != nil && w.Epoch == c.plan.Epoch {
			c.note("two_plans", from, "founded apart")
		}
		if c.epoch() < w.Epoch && (w.Step == Prepare || w.Step == Accept || w.Step == Renew) { // it is to be shown the plan in question
			c.send(from, Word{Step: Refuse, Epoch: w.Epoch, Sum: w.Sum, Nonce: 1})
		}
		return
	}
	c.turn = max(c.turn, min(w.Ballot.Turn, 1<<30))
	back := Word{Epoch: w.Epoch, Sum: w.Sum, Ballot: w.Ballot}
	r := c.round
	mine := r != nil && !r.found && w.Ballot.Compare(r.ballot) == 0
	switch w.Step {
	case Prepare:
		switch {
		case !c.mayVote(now) || !c.voter():
			return
		case w.Ballot.Compare(c.promised) < 0:
			back.Step, back.Ballot = Refuse, c.promised
		default:
			c.promised, c.unsaved = w.Ballot, true
			back.Step, back.Taken, back.Plan = Promise, c.taken, c.offer
		}
		answer(back)
	case Promise:
		if !mine || r.accept || !slices.Contains(c.plan.Voters, from) {
			return
		}
		r.promised[from] = true
		if w.Plan != nil && w.Taken.Compare(r.taken) > 0 {
			r.taken, r.plan = w.Taken, w.Plan
		}
		if membership.Majority(c.plan.Voters, r.promised) {
			r.accept = true
			c.poll(now, union(c.plan.Voters, r.plan.Voters), Word{Step: Accept, Epoch: w.Epoch, Sum: w.Sum, Ballot: r.ballot, Plan: r.plan})
		}
	case Accept:
		switch {
		case w.Plan == nil || w.Plan.Epoch != c.plan.Epoch+1 || w.Plan.Base != c.planSum || !c.mayVote(now):
			return
		case w.Ballot.Compare(c.promised) < 0:
			back.Step, back.Ballot = Refuse, c.promised
		default:
			c.promised, c.taken, c.offer, c.takenAt, c.unsaved = w.Ballot, w.Ballot, w.Plan, now, true
			back.Step = Accepted
		}
		answer(back)
	case Accepted:
		if !mine || !r.accept {
			return
		}
		r.accepted[from] = true
		if membership.Majority(c.plan.Voters, r.accepted) && membership.Majority(r.plan.Voters, r.accepted) {
			c.round = nil
			told := union(c.plan.Voters, r.plan.Voters)
			began := r.until - roundBeats*c.beat
			c.hold(now, r.plan)
			c.confirmed = max(c.confirmed, began) // nothing behind it can have been decided before it was
			for _, n := range told {
				if n != c.name {
					c.send(n, Word{Step: Newest, Plan: c.plan})
				}
			}
			c.renewAt = now
		}
	case Refuse:
		if w.Nonce == 1 && from != c.name { // it does not know the plan that this one is behind
			c.send(from, Word{Step: Newest, Plan: c.plan})
			return
		}
		if r != nil && w.Ballot.Compare(r.ballot) > 0 {
			c.round, c.retry = nil, now+c.beat*(0.5+float64(c.rankName()%7)/7)
		}
	case Renew:
		if from != c.name && slices.Contains(c.plan.Voters, from) {
			c.ledAt = now
		}
		if c.voter() && c.mayVote(now) && c.offer == nil {
			answer(Word{Step: Renewed, Epoch: w.Epoch, Sum: w.Sum, Nonce: w.Nonce})
		}
	case Renewed:
		if w.Nonce != c.renewal || c.renewed == nil || !slices.Contains(c.plan.Voters, from) {
			return
		}
		if c.renewed[from] = true; membership.Majority(c.plan.Voters, c.renewed) {
			c.confirmed = max(c.confirmed, c.asked)
		}
	}
}

func union(a, b []string) []string {
	all := append(slices.Clone(a), b...)
	slices.Sort(all)
	return slices.Compact(all)
}

// gotFounding takes a step of a first plan.
func (c *council) gotFounding(now float64, from string, w *Word, f *Fleet, answer func(Word)) {
	if c.plan != nil {
		if from != c.name && w.Step == Found {
			c.send(from, Word{Step: Newest, Plan: c.plan})
		}
		return
	}
	switch w.Step {
	case Found:
		if w.Plan == nil || w.Plan.Epoch != 1 || !c.mayVote(now) || w.Ballot.Compare(c.promised) < 0 ||
			f != nil && (!f.complete() || f.Roster != w.Roster || f.Names[0] != from) {
			return
		}
		c.promised, c.taken, c.offer, c.takenAt, c.unsaved = w.Ballot, w.Ballot, w.Plan, now, true
		c.turn = max(c.turn, min(w.Ballot.Turn, 1<<30))
		answer(Word{Step: Founded, Ballot: w.Ballot, Roster: w.Roster})
	case Founded:
		r := c.round
		if r == nil || !r.found || w.Ballot.Compare(r.ballot) != 0 {
			return
		}
		r.accepted[from] = true
	}
}

// foundedBy ends a founding that all of the roster agreed to.
func (c *council) foundedBy(now float64, f *Fleet) {
	r := c.round
	if r == nil || !r.found || !f.complete() {
		return
	}
	for _, n := range f.Names {
		if !r.accepted[n] {
			return
		}
	}
	c.round = nil
	c.hold(now, r.plan)
	for _, n := range r.plan.Voters {
		if n != c.name {
			c.send(n, Word{Step: Newest, Plan: c.plan})
		}
	}
}

// hold makes a plan the one that is held. It is in force once it is confirmed.
func (c *council) hold(now float64, p *Plan) {
	c.plan, c.planSum, c.confirmed = p, p.sum(), math.Inf(-1)
	c.promised, c.taken, c.offer, c.round, c.renewed = membership.Ballot{}, membership.Ballot{}, nil, nil, nil
	c.unsaved, c.leadFrom, c.renewAt = true, 0, now
	c.note("plan", c.name, describe(p))
}

// learn takes a plan that was decided, and says whether it is newer than the one held.
func (c *council) learn(now float64, p *Plan) bool {
	if !p.sane() || p.Epoch <= c.epoch() {
		return false
	}
	if c.plan == nil && slices.Contains(p.Voters, c.name) && !c.keeps { // an earlier run may have voted
		c.votesAt = max(c.votesAt, now+forgetBeats*c.beat)
	}
	c.hold(now, p)
	return true
}

// heard takes what a fellow answered: it holds this plan, which was certainly the newest so long before it answered; asked
// is when it was asked, on the own clock. It says whether the plan was news.
func (c *council) heard(now, asked float64, p *Plan, epoch, sum uint64, age float64) (news bool) {
	if p != nil {
		news = c.learn(now, p)
	}
	if c.plan != nil && epoch == c.plan.Epoch && sum == c.planSum && age >= 0 && !math.IsInf(age, 1) {
		c.confirmed = max(c.confirmed, min(asked-age, now))
	}
	return news
}

// restore takes up what an earlier process kept.
func (c *council) restore(k *Kept) {
	if k == nil || k.Name != c.name || k.Plan != nil && !k.Plan.sane() || k.Offer != nil && !k.Offer.sane() {
		return
	}
	if k.Plan != nil {
		c.plan, c.planSum = k.Plan, k.Plan.sum()
	}
	c.promised, c.taken, c.offer, c.turn, c.votesAt = k.Promised, k.Taken, k.Offer, k.Turn, 0
}

// save gives what is to be kept, where there is something new.
func (c *council) save(now float64) *Kept {
	if !c.keeps || !c.unsaved || now < c.saveAt {
		return nil
	}
	c.unsaved = false
	return &Kept{c.name, c.plan, c.promised, c.taken, c.offer, c.turn}
}

// saved tells what became of that.
func (c *council) saved(now float64, ok bool) {
	if !ok {
		c.unsaved, c.saveAt, c.round = true, now+2*c.beat, nil
	}
	c.unsafe = !ok
}
