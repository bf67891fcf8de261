package membership

// This file owns the roster: the names that majorities are counted in, and how the drivers agree on another one. It
// must never let a loss change it, or let two rosters of one version come of votes.
//
// A roster is founded when as many drivers as there are to be see the same fleet, each of which says so. From there on
// a change (some names more, some fewer) is decided by Paxos, one instance a version: the acceptors are the drivers of
// the roster that holds, and a change needs a majority of the names before and of those after it, so that any two
// majorities of neighbouring versions share a driver. A driver that was started again has forgotten what it voted for:
// it votes again after a time that is longer than any vote takes.

import (
	"cmp"
	"fmt"
	"slices"

	"weirwind/internal/fleet/paxos"
)

// Roster is one that was agreed on. Names are sorted.
type Roster struct {
	Version uint64   `cbor:"1,keyasint" json:"version"`
	Lineage uint64   `cbor:"2,keyasint" json:"lineage"` // the run that founded it
	Names   []string `cbor:"3,keyasint" json:"names"`

	hash uint64
}

func (r *Roster) has(name string) bool {
	_, found := slices.BinarySearch(r.Names, name)
	return found
}

// Change makes a roster out of the one before it; the first one has no base, and its names are those whose sum it
// bears.
type Change struct {
	Version  uint64   `cbor:"1,keyasint"`
	Lineage  uint64   `cbor:"2,keyasint"`
	BaseHash uint64   `cbor:"3,keyasint,omitempty"` // sum of the names before
	Hash     uint64   `cbor:"4,keyasint"`           // and after
	Add      []string `cbor:"5,keyasint,omitempty"`
	Remove   []string `cbor:"6,keyasint,omitempty"`
}

func (c *Change) size() int {
	n := 48
	for _, name := range append(slices.Clone(c.Add), c.Remove...) {
		n += 2 + len(name)
	}
	return n
}

const (
	maxChange         = 16 // names in one change
	forcedVersionStep = 1 << 32
)

// In periods.
const (
	bootstrapPeriods = 4.0  // the fleet that is founded has been the same for so long
	settledPeriods   = 3.0  // one that came or left is known for so long before it is voted on
	roundPeriods     = 4.0  // one ballot
	rankPeriods      = 8.0  // before the next in order proposes as well
	forgetPeriods    = 20.0 // a driver started again does not vote
)

// rosterConsensus is a driver's part in agreeing.
type rosterConsensus struct {
	roster *Roster

	mayVoteAt         float64 // it may have forgotten a vote: none before
	voteVersion       uint64  // that what follows is about
	acceptor          paxos.Acceptor[Change]
	acceptedAt        float64
	ballotNumber      uint32
	round             *round
	changeWantedSince float64 // since when a change is wanted
	nextProposal      float64
	forgotten         map[string]uint64 // by operators: run
	unsavedVotes      bool              // something is to be kept
	nextSave          float64           // not before
	saveFailed        bool              // what was voted could not be kept

	bootstrapConfirmedBy    map[string]bool // who sees the same
	bootstrapHash           uint64
	nextBootstrapRequest    float64
	confirmedBootstrapHash  uint64 // a founding that this driver agreed to, until
	bootstrapConfirmedUntil float64

	decidedChange        *Change
	decidedTransmissions int
}

// abandon forgets what this driver leads, as it may be over.
func (c *rosterConsensus) abandon() {
	c.round, c.bootstrapConfirmedBy, c.bootstrapConfirmedUntil = nil, nil, 0
}

func (f *Fleet) onRoster(name string) bool { return f.roster != nil && f.roster.has(name) }

// names are those of all that live, sorted; doubted ones among them or not.
func (f *Fleet) names(doubted bool) []string {
	all := append(make([]string, 0, len(f.peers)+1), f.self.Name)
	for _, m := range f.peers {
		if m.State == Alive || doubted && m.State == Suspect {
			all = append(all, m.Name)
		}
	}
	slices.Sort(all)
	return all
}

// tickRoster founds a roster, or proposes a change of the one that holds.
func (f *Fleet) tickRoster() {
	if f.nameTakenAt > 0 || f.now < f.uncertainUntil {
		return
	}
	if f.roster == nil {
		f.bootstrap()
		return
	}
	if f.round != nil {
		if f.now >= f.round.deadline {
			f.round = nil
			f.nextProposal = f.now + 2*f.options.Period*(0.5+f.random.Float64())
		}
		return
	}
	want := f.wantedChange()
	if want == nil {
		f.changeWantedSince = 0
		return
	}
	if f.changeWantedSince == 0 {
		f.changeWantedSince = f.now
	}
	rank := 0
	for _, m := range f.peers {
		if m.Name < f.self.Name && m.State == Alive && m.onRoster {
			rank++
		}
	}
	if f.now < f.nextProposal || !f.mayVote() || f.now-f.changeWantedSince < float64(min(rank, 8))*rankPeriods*f.options.Period ||
		!f.roster.has(f.self.Name) {
		return
	}
	if allowed, _ := Allowed(f.partition, ChangeRoster); allowed {
		f.propose(want)
	}
}

// adoptRoster makes a roster the one that holds.
func (f *Fleet) adoptRoster(r Roster) {
	f.roster, f.round, f.rosterBehindSince, f.unsavedVotes = &r, nil, 0, true
	for _, m := range f.peers {
		m.onRoster = r.has(m.Name)
	}
	if f.acceptor.Value != nil && f.voteVersion <= r.Version {
		f.acceptor.Value, f.acceptor.Accepted = nil, paxos.Ballot{}
	}
	for name, run := range f.forgotten {
		if m := f.peersByName[name]; m == nil || m.Run != run || !r.has(name) {
			delete(f.forgotten, name)
		}
	}
	f.stateVersion++
	f.emit("roster", f.self.Name, fmt.Sprintf("version %d, %d drivers", r.Version, len(r.Names)))
}

// receiveDecided takes a change that others decided.
func (f *Fleet) receiveDecided(c Change) {
	switch {
	case f.roster == nil && c.Version == 1:
		if names := f.names(true); namesHash(names) == c.Hash {
			f.adoptRoster(Roster{Version: 1, Lineage: c.Lineage, Names: names, hash: c.Hash})
			f.decidedChange, f.decidedTransmissions = &c, f.retransmitLimit()
		}
	case f.roster != nil && c.Version == f.roster.Version+1 && c.BaseHash == f.roster.hash && c.Lineage == f.roster.Lineage &&
		len(c.Add)+len(c.Remove) <= maxChange:
		if next := f.rosterAfter(&c); next.hash == c.Hash {
			f.adoptRoster(next)
			f.decidedChange, f.decidedTransmissions = &c, f.retransmitLimit()
		}
	}
}

// receiveRoster takes a peer's roster where it is newer. Of two that were founded apart the one with more names holds.
func (f *Fleet) receiveRoster(r Roster) {
	if r.Version == 0 || len(r.Names) == 0 || len(r.Names) > f.options.MaxDrivers || !slices.IsSorted(r.Names) ||
		slices.ContainsFunc(r.Names, func(n string) bool {
			return n == "" || len(n) > maxNameBytes
		}) {
		return
	}
	r.Names = slices.Compact(slices.Clone(r.Names))
	r.hash = namesHash(r.Names)
	switch held := f.roster; {
	case held == nil:
		if r.has(f.self.Name) { // an earlier run may have voted
			f.mayVoteAt = f.now + forgetPeriods*f.options.Period
		}
	case held.Lineage == r.Lineage && r.Version <= held.Version:
		return
	case held.Lineage != r.Lineage:
		if cmp.Or(cmp.Compare(len(r.Names), len(held.Names)), cmp.Compare(held.Lineage, r.Lineage)) <= 0 {
			return
		}
		f.emit("two_rosters", f.self.Name, "founded apart; the larger one holds")
	}
	f.adoptRoster(r)
}
