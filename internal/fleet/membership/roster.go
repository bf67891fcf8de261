package membership

import (
	"cmp"
	"fmt"
	"slices"

	"weirwind/internal/fleet/paxos"
)

// Roster is the names that majorities are counted in. Names are sorted.
type Roster struct {
	Version uint64   `cbor:"1,keyasint" json:"version"`
	Lineage uint64   `cbor:"2,keyasint" json:"lineage"` // the run of the driver that founded it
	Names   []string `cbor:"3,keyasint" json:"names"`

	hash uint64 // of the names
}

func newRoster(version, lineage uint64, names []string) Roster {
	return Roster{Version: version, Lineage: lineage, Names: names, hash: namesHash(names)}
}

func (r *Roster) has(name string) bool {
	_, found := slices.BinarySearch(r.Names, name)
	return found
}

// Change makes a roster out of the one before it. The first one has no base, and adds nobody: its names are
// those whose hash it bears.
type Change struct {
	Version  uint64   `cbor:"1,keyasint"` // of the roster that it makes
	Lineage  uint64   `cbor:"2,keyasint"`
	BaseHash uint64   `cbor:"3,keyasint,omitempty"` // of the names before
	Hash     uint64   `cbor:"4,keyasint"`           // of the names after
	Add      []string `cbor:"5,keyasint,omitempty"`
	Remove   []string `cbor:"6,keyasint,omitempty"`
}

func (c *Change) names() int { return len(c.Add) + len(c.Remove) }

// size is about how many bytes it takes in a message.
func (c *Change) size() int {
	n := 48
	for _, name := range c.Add {
		n += 2 + len(name)
	}
	for _, name := range c.Remove {
		n += 2 + len(name)
	}
	return n
}

const (
	maxChange         = 16      // names in one change
	forcedVersionStep = 1 << 32 // by which a forced roster's version is above all that can have been agreed on
)

// Of agreements on a roster, in periods.
const (
	bootstrapPeriods = 4.0  // the fleet that founds a roster has been the same for so long
	settledPeriods   = 3.0  // a driver that came or left is known for so long before a change is proposed
	roundPeriods     = 4.0  // one ballot
	rankPeriods      = 8.0  // before the next driver in order proposes as well
	maxRank          = 8    // that is counted so
	forgetPeriods    = 20.0 // a driver that may have forgotten a vote gives none; longer than any ballot takes
)

// rosterState is a driver's part in agreements on the roster.
type rosterState struct {
	roster            *Roster // nil: none is known
	rosterBehindSince float64 // a peer has a newer one; 0: none is known to have

	mayVoteAt    float64                // no votes before: an earlier process may have given some
	voteVersion  uint64                 // that acceptor is about
	acceptor     paxos.Acceptor[Change] // this driver's votes on that version
	acceptedAt   float64                // when the acceptor's value was accepted
	ballotNumber uint32                 // highest known
	round        *round                 // nil: this driver leads none

	changeWantedSince float64 // 0: the roster is as it should be
	nextProposal      float64 // none before

	// decidedChange made the roster; it is passed on decidedTransmissions times more.
	decidedChange        *Change
	decidedTransmissions int

	saveState
	bootstrapState
}

// abandon forgets what this driver leads, as it may be over.
func (s *rosterState) abandon() {
	s.round, s.bootstrapConfirmedBy, s.bootstrapConfirmedUntil = nil, nil, 0
}

func (f *Fleet) onRoster(name string) bool { return f.roster != nil && f.roster.has(name) }

// aliveNames are those of all drivers that are alive, or also of those that are suspected, sorted.
func (f *Fleet) aliveNames(suspects bool) []string {
	names := append(make([]string, 0, len(f.peers)+1), f.self.Name)
	for _, p := range f.peers {
		if p.State == Alive || suspects && p.State == Suspect {
			names = append(names, p.Name)
		}
	}
	slices.Sort(names)
	return names
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
			f.backOff()
		}
		return
	}
	change := f.wantedChange()
	if change == nil {
		f.changeWantedSince = 0
		return
	}
	if f.changeWantedSince == 0 {
		f.changeWantedSince = f.now
	}
	if f.mayPropose() {
		f.propose(change)
	}
}

// mayPropose says that it is this driver's turn to propose: the drivers of the roster do it in the order of
// their names.
func (f *Fleet) mayPropose() bool {
	rank := 0
	for _, p := range f.peers {
		if p.Name < f.self.Name && p.State == Alive && p.onRoster {
			rank++
		}
	}
	wait := float64(min(rank, maxRank)) * rankPeriods * f.options.Period
	if f.now < f.nextProposal || f.now-f.changeWantedSince < wait || !f.mayVote() || !f.roster.has(f.self.Name) {
		return false
	}
	allowed, _ := Allowed(f.partition, ChangeRoster)
	return allowed
}

// wantedChange is the change of the roster to what this driver sees: who came is to be on it, who left is not.
// One that has failed stays. A change that was accepted and may have been decided goes first.
func (f *Fleet) wantedChange() *Change {
	pending := f.acceptor.Value != nil && f.voteVersion == f.roster.Version+1
	if pending && f.now-f.acceptedAt > roundPeriods*f.options.Period {
		return f.acceptor.Value
	}
	c := &Change{Version: f.roster.Version + 1, Lineage: f.roster.Lineage, BaseHash: f.roster.hash, Hash: f.roster.hash}
	if !f.roster.has(f.self.Name) {
		c.Add = append(c.Add, f.self.Name)
	}
	for _, p := range f.peers {
		if c.names() >= maxChange {
			break
		}
		if f.now-p.stateSince <= settledPeriods*f.options.Period {
			continue
		}
		switch {
		case p.onRoster && p.State == Left:
			c.Remove = append(c.Remove, p.Name)
		case !p.onRoster && p.State == Alive:
			c.Add = append(c.Add, p.Name)
		}
	}
	if c.names() == 0 {
		return nil
	}
	c.Hash ^= namesHash(c.Add) ^ namesHash(c.Remove)
	return c
}

// rosterAfter is the roster that a change makes of the one that holds.
func (f *Fleet) rosterAfter(change *Change) Roster {
	names := slices.DeleteFunc(f.voters(change), func(name string) bool { return slices.Contains(change.Remove, name) })
	slices.Sort(names)
	return newRoster(change.Version, change.Lineage, names)
}

// adoptChange makes the roster of a change that was decided, if it comes out as meant, and passes the change on.
func (f *Fleet) adoptChange(change Change, transmissions int) {
	if next := f.rosterAfter(&change); next.hash == change.Hash {
		f.adoptRoster(next)
		f.decidedChange, f.decidedTransmissions = &change, transmissions
	}
}

// adoptRoster makes a roster the one that holds.
func (f *Fleet) adoptRoster(r Roster) {
	f.roster, f.round, f.rosterBehindSince, f.unsavedVotes = &r, nil, 0, true
	for _, p := range f.peers {
		p.onRoster = r.has(p.Name)
	}
	if f.acceptor.Value != nil && f.voteVersion <= r.Version {
		f.acceptor.Value, f.acceptor.Accepted = nil, paxos.Ballot{}
	}
	f.stateVersion++
	f.emit("roster", f.self.Name, fmt.Sprintf("version %d, %d drivers", r.Version, len(r.Names)))
}

// receiveDecided takes a change that others decided, if it is one of the roster that holds here.
func (f *Fleet) receiveDecided(change Change) {
	if f.roster == nil {
		f.receiveBootstrapped(change)
		return
	}
	follows := change.Version == f.roster.Version+1 && change.Lineage == f.roster.Lineage
	if follows && change.BaseHash == f.roster.hash && change.names() <= maxChange {
		f.adoptChange(change, f.retransmitLimit())
	}
}

// receiveRoster takes a peer's roster where it is newer. Of two that were founded apart the one with more names
// holds.
func (f *Fleet) receiveRoster(r Roster) {
	if !f.validRoster(&r) {
		return
	}
	r = newRoster(r.Version, r.Lineage, slices.Compact(slices.Clone(r.Names)))
	switch current := f.roster; {
	case current == nil:
		if r.has(f.self.Name) { // an earlier run may have voted
			f.mayVoteAt = f.now + forgetPeriods*f.options.Period
		}
	case current.Lineage == r.Lineage:
		if r.Version <= current.Version {
			return
		}
	default:
		if cmp.Or(cmp.Compare(len(r.Names), len(current.Names)), cmp.Compare(current.Lineage, r.Lineage)) <= 0 {
			return
		}
		f.emit("two_rosters", f.self.Name, "founded apart; the larger one holds")
	}
	f.adoptRoster(r)
}

// validRoster says whether a peer's roster can be true at all.
func (f *Fleet) validRoster(r *Roster) bool {
	if r.Version == 0 || len(r.Names) == 0 || len(r.Names) > f.options.MaxDrivers || !slices.IsSorted(r.Names) {
		return false
	}
	return !slices.ContainsFunc(r.Names, func(name string) bool { return name == "" || len(name) > maxNameBytes })
}
