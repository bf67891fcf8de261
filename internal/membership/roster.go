package membership

// This file owns the roster: the names that majorities are counted in, and how the drivers agree on another one. It must
// never let a loss change it, or let two rosters of one version come of votes.
//
// A roster is founded when as many drivers as there are to be see the same fleet, each of which says so. From there on a
// change (some names more, some fewer) is decided by Paxos, one instance a version: the acceptors are the drivers of the
// roster that holds, and a change needs a majority of the names before and of those after it, so that any two majorities
// of neighbouring versions share a driver. A driver that was started again has forgotten what it voted for: it votes again
// after a time that is longer than any vote takes.

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Roster is one that was agreed on. Names are sorted.
type Roster struct {
	Version uint64   `cbor:"1,keyasint" json:"version"`
	Lineage uint64   `cbor:"2,keyasint" json:"lineage"` // the run that founded it
	Names   []string `cbor:"3,keyasint" json:"names"`

	sum uint64
}

func (r *Roster) has(name string) bool {
	_, found := slices.BinarySearch(r.Names, name)
	return found
}

// Change makes a roster out of the one before it; the first one has no base, and its names are those whose sum it bears.
type Change struct {
	Version uint64   `cbor:"1,keyasint"`
	Lineage uint64   `cbor:"2,keyasint"`
	Base    uint64   `cbor:"3,keyasint,omitempty"` // sum of the names before
	Sum     uint64   `cbor:"4,keyasint"`           // and after
	Add     []string `cbor:"5,keyasint,omitempty"`
	Remove  []string `cbor:"6,keyasint,omitempty"`
}

func (c *Change) size() int {
	n := 48
	for _, name := range append(slices.Clone(c.Add), c.Remove...) {
		n += 2 + len(name)
	}
	return n
}

// Ballot orders attempts at one change.
type Ballot struct {
	Number uint32 `cbor:"1,keyasint"`
	Name   string `cbor:"2,keyasint"`
}

// Compare orders ballots, as cmp.Compare does.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), strings.Compare(b.Name, o.Name))
}

// Step of a vote.
type Step uint8

const (
	Found    Step = iota + 1 // the sender would found a roster of the names that it sees
	Join                     // the receiver of Found sees the same
	Prepare                  // of a ballot
	Promise                  // no lower one is taken; what was taken last comes with it
	Accept                   // this change
	Accepted                 // it is taken
	Refuse                   // a higher ballot was promised
)

// Vote is one step between two drivers.
type Vote struct {
	Step    Step    `cbor:"1,keyasint"`
	Version uint64  `cbor:"2,keyasint"` // of the roster to come
	Base    uint64  `cbor:"3,keyasint,omitempty"`
	Ballot  Ballot  `cbor:"4,keyasint"`
	Taken   Ballot  `cbor:"5,keyasint"` // of the change in a promise
	Change  *Change `cbor:"6,keyasint,omitempty"`
	Sum     uint64  `cbor:"7,keyasint,omitempty"` // of a founding
}

const (
	mostChange = 16 // names in one change
	forced     = 1 << 32
)

// In periods.
const (
	calm      = 4.0  // the fleet that is founded has been the same for so long
	settled   = 3.0  // one that came or left is known for so long before it is voted on
	roundTime = 4.0  // one ballot
	rankPause = 8.0  // before the next in order proposes as well
	forgetful = 20.0 // a driver started again does not vote
)

// round is a ballot that this driver leads.
type round struct {
	ballot   Ballot
	until    float64
	accept   bool
	promised map[string]bool
	taken    Ballot
	change   *Change
	accepted map[string]bool
}

// council is a driver's part in agreeing.
type council struct {
	roster *Roster

	votesAt   float64 // it may have forgotten a vote: none before
	version   uint64  // that what follows is about
	promised  Ballot
	taken     Ballot
	change    *Change // accepted, and not known to be decided
	takenAt   float64
	turn      uint32
	round     *round
	wantedAt  float64 // since when a change is wanted
	retry     float64
	forgotten map[string]uint64 // by operators: run
	unsaved   bool              // something is to be kept
	saveAt    float64           // not before
	unsafe    bool              // what was voted could not be kept

	founding  map[string]bool // who sees the same
	foundSum  uint64
	foundAt   float64
	joined    uint64 // a founding that this driver agreed to, until
	joinUntil float64

	decided     *Change
	decidedLeft int
}

// stood forgets what this driver leads, as it may be over.
func (c *council) stood(now float64) { c.round, c.founding, c.joinUntil = nil, nil, 0 }

func (f *Fleet) listed(name string) bool { return f.roster != nil && f.roster.has(name) }

// names are those of all that live, sorted; doubted ones among them or not.
func (f *Fleet) names(doubted bool) []string {
	all := append(make([]string, 0, len(f.list)+1), f.self.Name)
	for _, m := range f.list {
		if m.State == Alive || doubted && m.State == Suspect {
			all = append(all, m.Name)
		}
	}
	slices.Sort(all)
	return all
}

// counsel founds a roster, or proposes a change of the one that holds.
func (f *Fleet) counsel() {
	if f.contested > 0 || f.now < f.doubt {
		return
	}
	if f.roster == nil {
		f.found()
		return
	}
	if f.round != nil {
		if f.now >= f.round.until {
			f.round = nil
			f.retry = f.now + 2*f.r.Period*(0.5+f.draw.Float64())
		}
		return
	}
	want := f.wanted()
	if want == nil {
		f.wantedAt = 0
		return
	}
	if f.wantedAt == 0 {
		f.wantedAt = f.now
	}
	rank := 0
	for _, m := range f.list {
		if m.Name < f.self.Name && m.State == Alive && m.on {
			rank++
		}
	}
	if f.now < f.retry || !f.mayVote() || f.now-f.wantedAt < float64(min(rank, 8))*rankPause*f.r.Period || !f.roster.has(f.self.Name) {
		return
	}
	if allowed, _ := Allowed(f.standing, ChangeNames); allowed {
		f.propose(want)
	}
}

// propose begins a ballot for a change.
func (f *Fleet) propose(want *Change) {
	f.turn++
	f.round = &round{ballot: Ballot{f.turn, f.self.Name}, until: f.now + roundTime*f.r.Period, promised: map[string]bool{}, accepted: map[string]bool{}, change: want}
	f.retry = f.round.until
	f.poll(f.roster.Names, Vote{Step: Prepare, Version: f.roster.Version + 1, Base: f.roster.sum, Ballot: f.round.ballot})
}

// wanted is the change that is due by what this driver sees: who came is to be counted, who left is not. One that has
// failed stays.
func (f *Fleet) wanted() *Change {
	if f.change != nil && f.version == f.roster.Version+1 && f.now-f.takenAt > roundTime*f.r.Period {
		return f.change
	}
	c := &Change{Version: f.roster.Version + 1, Lineage: f.roster.Lineage, Base: f.roster.sum, Sum: f.roster.sum}
	wait := settled * f.r.Period
	if !f.roster.has(f.self.Name) {
		c.Add = append(c.Add, f.self.Name)
	}
	for _, m := range f.list {
		if len(c.Add)+len(c.Remove) >= mostChange {
			break
		}
		switch on := m.on; {
		case on && m.State == Left && f.now-m.since > wait:
			c.Remove = append(c.Remove, m.Name)
		case !on && m.State == Alive && f.now-m.since > wait:
			c.Add = append(c.Add, m.Name)
		}
	}
	c.Sum ^= sumOf(c.Add) ^ sumOf(c.Remove)
	if len(c.Add)+len(c.Remove) == 0 {
		return nil
	}
	return c
}

// poll sends a vote to drivers, this one included.
func (f *Fleet) poll(names []string, v Vote) {
	for _, n := range names {
		if m := f.byName[n]; m != nil && !m.State.ended() {
			f.send(m.Address, Message{Kind: Gossip, To: n, Vote: &v})
		}
	}
	if slices.Contains(names, f.self.Name) {
		f.voted(f.self.Name, "", v)
	}
}

// answer sends a vote back, or takes it where it came from here.
func (f *Fleet) answer(name, address string, v Vote) {
	if address == "" {
		f.voted(name, "", v)
		return
	}
	f.send(address, Message{Kind: Gossip, To: name, Vote: &v})
}

// Majority says whether more than half of these names are among who.
func Majority(of []string, who map[string]bool) bool {
	n := 0
	for _, name := range of {
		if who[name] {
			n++
		}
	}
	return 2*n > len(of)
}

// voted takes a step of a fellow.
func (f *Fleet) voted(name, address string, v Vote) {
	if v.Change != nil && (len(v.Change.Add)+len(v.Change.Remove) > mostChange || v.Change.Version != v.Version) {
		return
	}
	switch v.Step {
	case Found, Join:
		f.votedFounding(name, address, v)
		return
	}
	if f.roster == nil || v.Version != f.roster.Version+1 || v.Base != f.roster.sum {
		if v.Step == Accept && f.roster == nil && v.Change != nil && slices.Contains(v.Change.Add, f.self.Name) { // it is to be counted from there on
			f.answer(name, address, Vote{Step: Accepted, Version: v.Version, Base: v.Base, Ballot: v.Ballot})
		}
		return
	}
	if f.version != v.Version {
		f.version, f.promised, f.taken, f.change = v.Version, Ballot{}, Ballot{}, nil
	}
	f.turn = max(f.turn, min(v.Ballot.Number, 1<<30))
	back := Vote{Version: v.Version, Base: v.Base, Ballot: v.Ballot}
	r := f.round
	mine := r != nil && v.Ballot.Compare(r.ballot) == 0
	switch v.Step {
	case Prepare:
		switch {
		case !f.mayVote() || !f.roster.has(f.self.Name):
			return
		case v.Ballot.Compare(f.promised) < 0:
			back.Step, back.Ballot = Refuse, f.promised
		default:
			f.promised, f.unsaved = v.Ballot, true
			back.Step, back.Taken, back.Change = Promise, f.taken, f.change
		}
		f.answer(name, address, back)
	case Promise:
		if !mine || r.accept || !f.roster.has(name) {
			return
		}
		r.promised[name] = true
		if v.Change != nil && v.Taken.Compare(r.taken) > 0 {
			r.taken, r.change = v.Taken, v.Change
		}
		if Majority(f.roster.Names, r.promised) {
			r.accept = true
			f.poll(f.voters(r.change), Vote{Step: Accept, Version: v.Version, Base: v.Base, Ballot: r.ballot, Change: r.change})
		}
	case Accept:
		switch {
		case v.Change == nil || v.Change.Base != f.roster.sum || !f.mayVote():
			return
		case v.Ballot.Compare(f.promised) < 0:
			back.Step, back.Ballot = Refuse, f.promised
		default:
			f.promised, f.taken, f.change, f.takenAt, f.unsaved = v.Ballot, v.Ballot, v.Change, f.now, true
			back.Step = Accepted
		}
		f.answer(name, address, back)
	case Accepted:
		if !mine || !r.accept {
			return
		}
		r.accepted[name] = true
		next := f.after(r.change)
		if Majority(f.roster.Names, r.accepted) && Majority(next.Names, r.accepted) {
			f.round = nil
			f.decide(*r.change)
		}
	case Refuse:
		if r != nil && v.Ballot.Compare(r.ballot) > 0 {
			f.round, f.retry = nil, f.now+2*f.r.Period*(0.5+f.draw.Float64())
		}
	}
}

// voters are the names before a change and after it.
func (f *Fleet) voters(c *Change) []string {
	all := slices.Clone(f.roster.Names)
	for _, n := range c.Add {
		if !f.roster.has(n) {
			all = append(all, n)
		}
	}
	return all
}

// after is the roster that a change makes of the one that holds.
func (f *Fleet) after(c *Change) Roster {
	names := slices.DeleteFunc(f.voters(c), func(n string) bool { return slices.Contains(c.Remove, n) })
	slices.Sort(names)
	return Roster{Version: c.Version, Lineage: c.Lineage, Names: names, sum: sumOf(names)}
}

// decide takes a change that was agreed on, and passes it on.
func (f *Fleet) decide(c Change) {
	if next := f.after(&c); next.sum == c.Sum {
		f.hold(next)
		f.decided, f.decidedLeft = &c, 4*f.times()
	}
}

// hold makes a roster the one that holds.
func (f *Fleet) hold(r Roster) {
	f.roster, f.round, f.behind, f.unsaved = &r, nil, 0, true
	for _, m := range f.list {
		m.on = r.has(m.Name)
	}
	if f.change != nil && f.version <= r.Version {
		f.change, f.taken = nil, Ballot{}
	}
	for name, run := range f.forgotten {
		if m := f.byName[name]; m == nil || m.Run != run || !r.has(name) {
			delete(f.forgotten, name)
		}
	}
	f.statesGen++
	f.note("roster", f.self.Name, fmt.Sprintf("version %d, %d drivers", r.Version, len(r.Names)))
}

// learn takes a change that others decided.
func (f *Fleet) learn(c Change) {
	switch {
	case f.roster == nil && c.Version == 1:
		if names := f.names(true); sumOf(names) == c.Sum {
			f.hold(Roster{Version: 1, Lineage: c.Lineage, Names: names, sum: c.Sum})
			f.decided, f.decidedLeft = &c, f.times()
		}
	case f.roster != nil && c.Version == f.roster.Version+1 && c.Base == f.roster.sum && c.Lineage == f.roster.Lineage && len(c.Add)+len(c.Remove) <= mostChange:
		if next := f.after(&c); next.sum == c.Sum {
			f.hold(next)
			f.decided, f.decidedLeft = &c, f.times()
		}
	}
}

// adopt takes a fellow's roster where it is newer. Of two that were founded apart the one with more names holds.
func (f *Fleet) adopt(r Roster) {
	if r.Version == 0 || len(r.Names) == 0 || len(r.Names) > f.r.Most || !slices.IsSorted(r.Names) || slices.ContainsFunc(r.Names, func(n string) bool { return n == "" || len(n) > mostName }) {
		return
	}
	r.Names = slices.Compact(slices.Clone(r.Names))
	r.sum = sumOf(r.Names)
	switch held := f.roster; {
	case held == nil:
		if r.has(f.self.Name) { // an earlier run may have voted
			f.votesAt = f.now + forgetful*f.r.Period
		}
	case held.Lineage == r.Lineage && r.Version <= held.Version:
		return
	case held.Lineage != r.Lineage:
		if cmp.Or(cmp.Compare(len(r.Names), len(held.Names)), cmp.Compare(held.Lineage, r.Lineage)) <= 0 {
			return
		}
		f.note("two_rosters", f.self.Name, "founded apart; the larger one holds")
	}
	f.hold(r)
}

// found agrees on a first roster: the driver whose name comes first asks all that it sees whether they see the same.
func (f *Fleet) found() {
	if f.now-f.changed < calm*f.r.Period || len(f.list)+1 < f.r.Expect || f.unproved {
		f.founding = nil
		return
	}
	names := f.names(true) // each of them is to say that it sees the same: among many there is always one that is doubted
	if len(names) < f.r.Expect || names[0] != f.self.Name || len(f.seeds) > 0 && len(names) == 1 {
		f.founding = nil
		return
	}
	sum := sumOf(names)
	if f.founding == nil || f.foundSum != sum {
		f.founding, f.foundSum, f.foundAt = map[string]bool{f.self.Name: true}, sum, 0
	}
	if len(f.founding) == len(names) {
		f.founding = nil
		c := Change{Version: 1, Lineage: f.self.Run, Sum: sum}
		f.hold(Roster{Version: 1, Lineage: c.Lineage, Names: names, sum: sum})
		f.decided, f.decidedLeft = &c, 4*f.times()
		return
	}
	if f.now >= f.foundAt {
		f.foundAt = f.now + 2*f.r.Period
		for _, m := range f.list {
			if !m.State.ended() && !f.founding[m.Name] {
				f.send(m.Address, Message{Kind: Gossip, To: m.Name, Vote: &Vote{Step: Found, Version: 1, Sum: sum, Ballot: Ballot{Name: f.self.Name}}})
			}
		}
	}
}

func (f *Fleet) votedFounding(name, address string, v Vote) {
	if f.roster != nil {
		return // who asks learns of it by an exchange
	}
	names := f.names(true)
	switch v.Step {
	case Found:
		if sumOf(names) == v.Sum && name == names[0] && (f.joinUntil <= f.now || f.joined == v.Sum) && f.contested == 0 && f.now >= f.doubt {
			f.joined, f.joinUntil = v.Sum, f.now+6*f.r.Period
			f.answer(name, address, Vote{Step: Join, Version: 1, Sum: v.Sum, Ballot: v.Ballot})
		}
	case Join:
		if f.founding != nil && f.foundSum == v.Sum && slices.Contains(names, name) {
			f.founding[name] = true
		}
	}
}

// Errors of what operators ask for.
var (
	ErrUnknown = errors.New("no driver of this name is known")
	ErrLives   = errors.New("this driver lives: stop it, or let it leave")
	ErrPart    = errors.New("this driver is not with the larger part of the fleet: ask another one, or say that the forgotten one is certain not to run")
)

// Forget takes a failed driver for gone for good, so that majorities are no longer counted with it. With the larger part
// the rest agrees on that; otherwise operators must be certain that it does not run, as nobody else can be asked.
func (f *Fleet) Forget(now float64, name string, certain bool) (Out, error) {
	f.now = max(f.now, now)
	m := f.byName[name]
	switch {
	case m == nil && !f.listed(name) || name == f.self.Name:
		return Out{}, ErrUnknown
	case m != nil && !m.State.ended():
		return Out{}, ErrLives
	}
	agreed := f.standing == Whole || f.standing == Larger
	if !agreed && !certain {
		return Out{}, ErrPart
	}
	if m != nil && m.State == Failed {
		r := m.Record
		r.State, r.By = Left, f.self.Name
		f.apply(r)
	}
	if f.listed(name) && !agreed || f.listed(name) && m == nil {
		names := slices.DeleteFunc(slices.Clone(f.roster.Names), func(n string) bool { return n == name })
		if len(names) == 0 {
			return f.take(), ErrUnknown
		}
		f.hold(Roster{Version: f.roster.Version + forced, Lineage: f.roster.Lineage, Names: names, sum: sumOf(names)})
	}
	f.note("forgets", name, "as operators say")
	f.judge()
	return f.take(), nil
}

// Kept is what must outlive the process for its votes to count when it comes back.
type Kept struct {
	Name     string  `cbor:"1,keyasint"`
	Run      uint64  `cbor:"2,keyasint"`
	Roster   Roster  `cbor:"3,keyasint"`
	Version  uint64  `cbor:"4,keyasint,omitempty"` // of the roster to come that the votes are about
	Promised Ballot  `cbor:"5,keyasint"`
	Taken    Ballot  `cbor:"6,keyasint"`
	Change   *Change `cbor:"7,keyasint,omitempty"` // taken
	Turn     uint32  `cbor:"8,keyasint,omitempty"`
}

// mayVote says that no earlier vote of this driver can have been forgotten.
func (f *Fleet) mayVote() bool { return f.now >= f.votesAt && !f.unsafe }

// restore takes up what an earlier run under the name kept: that roster and those votes, so that it votes at once.
func (f *Fleet) restore(k *Kept) {
	if k == nil || k.Name != f.self.Name || k.Roster.Version == 0 {
		return
	}
	if k.Run >= f.self.Run && k.Run < mostRun-1 { // the clock went back
		f.rename(k.Run + 1)
	}
	f.adopt(k.Roster)
	f.version, f.promised, f.taken, f.change, f.takenAt, f.turn = k.Version, k.Promised, k.Taken, k.Change, f.now-roundTime*f.r.Period, k.Turn
	f.votesAt = 0
}

// save gives what is to be kept, where there is something new.
func (f *Fleet) save() *Kept {
	if !f.r.Keeps || !f.unsaved || f.roster == nil || f.now < f.saveAt {
		return nil
	}
	f.unsaved = false
	return &Kept{f.self.Name, f.self.Run, *f.roster, f.version, f.promised, f.taken, f.change, f.turn}
}

// Saved tells what became of the last Out.Save. Where it could not be kept, that Out's messages must not be sent, and this
// driver gives no votes until a later one could be.
func (f *Fleet) Saved(ok bool) {
	if !ok {
		f.unsaved, f.saveAt, f.round = true, f.now+settled*f.r.Period, nil
	}
	if f.unsafe == ok {
		f.unsafe = !ok
		f.note(map[bool]string{true: "votes_kept", false: "votes_not_kept"}[ok], f.self.Name, "")
	}
}
