package membership

import (
	"cmp"
	"fmt"
	"slices"

	"weirwind/internal/fleet/paxos"
)

// Roster is the set of names in which majorities are counted. Names are sorted.
type Roster struct {
	Version uint64   `cbor:"1,keyasint" json:"version"`
	Lineage uint64   `cbor:"2,keyasint" json:"lineage"` // the run of the driver that bootstrapped it
	Names   []string `cbor:"3,keyasint" json:"names"`

	hash uint64 // namesHash of Names
}

func newRoster(version, lineage uint64, names []string) Roster {
	return Roster{Version: version, Lineage: lineage, Names: names, hash: namesHash(names)}
}

func (r *Roster) has(name string) bool {
	_, found := slices.BinarySearch(r.Names, name)
	return found
}

// Change turns a roster into its successor. The first change has no base and no names to add: its Hash identifies the
// names of the first roster.
type Change struct {
	Version  uint64   `cbor:"1,keyasint"` // of the resulting roster
	Lineage  uint64   `cbor:"2,keyasint"`
	BaseHash uint64   `cbor:"3,keyasint,omitempty"` // of the names before
	Hash     uint64   `cbor:"4,keyasint"`           // of the names after
	Add      []string `cbor:"5,keyasint,omitempty"`
	Remove   []string `cbor:"6,keyasint,omitempty"`
}

func (c *Change) nameCount() int { return len(c.Add) + len(c.Remove) }

// size returns the approximate number of bytes that c takes in a message.
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
	maxChangeNames    = 16      // maximum names in one change
	forcedVersionStep = 1 << 32 // puts the version of a forced roster above all that can have been agreed on
)

// Timing of roster changes, in periods.
const (
	bootstrapPeriods = 4.0  // the set of drivers must be stable this long before a bootstrap
	settledPeriods   = 3.0  // a driver's state must be stable this long before a change for it is proposed
	roundPeriods     = 4.0  // timeout of one ballot
	rankPeriods      = 8.0  // extra delay per rank before a driver proposes
	maxRank          = 8    // rank at which that delay stops growing
	forgetPeriods    = 20.0 // a driver that may have lost votes abstains this long; longer than any ballot
)

// rosterState is a driver's state in agreeing on the roster.
type rosterState struct {
	roster            *Roster // nil: none is known
	rosterBehindSince float64 // since when a peer has a newer roster; 0: none is known to

	mayVoteAt    float64                // no votes before this time: an earlier process may have voted
	voteVersion  uint64                 // roster version that acceptor votes on
	acceptor     paxos.Acceptor[Change] // this driver's votes on voteVersion
	acceptedAt   float64                // when acceptor last accepted
	ballotNumber uint32                 // highest ballot number seen
	round        *round                 // the ballot that this driver leads; nil: none

	changeWantedSince float64 // since when a change is needed; 0: none is
	nextProposal      float64 // earliest time of the next proposal

	// decidedChange led to the current roster; it is sent decidedTransmissions more times.
	decidedChange        *Change
	decidedTransmissions int

	saveState
	bootstrapState
}

// abandonRounds drops the ballot and the bootstrap that this driver leads or confirmed, as they may have ended.
func (s *rosterState) abandonRounds() {
	s.round, s.bootstrapConfirmedBy, s.bootstrapConfirmedUntil = nil, nil, 0
}

func (f *Fleet) onRoster(name string) bool { return f.roster != nil && f.roster.has(name) }

// aliveNames returns the sorted names of all alive drivers, and of suspects if asked to.
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

// tickRoster bootstraps a roster, or proposes a change of the current one.
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

// mayPropose reports whether this driver may propose now. The drivers of the roster propose in the order of their
// names, each with a longer delay.
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

// wantedChange returns the change that adds drivers that joined and removes those that left, or nil. Failed drivers
// stay on the roster. A change that was accepted, and so may have been decided, takes precedence.
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
		if c.nameCount() >= maxChangeNames {
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
	if c.nameCount() == 0 {
		return nil
	}
	c.Hash ^= namesHash(c.Add) ^ namesHash(c.Remove)
	return c
}

// rosterAfter returns the roster that results from applying a change to the current one.
func (f *Fleet) rosterAfter(change *Change) Roster {
	names := slices.DeleteFunc(f.voters(change), func(name string) bool { return slices.Contains(change.Remove, name) })
	slices.Sort(names)
	return newRoster(change.Version, change.Lineage, names)
}

// adoptChange applies a decided change if the result has the expected hash, and sends the change to peers.
func (f *Fleet) adoptChange(change Change, transmissions int) {
	if next := f.rosterAfter(&change); next.hash == change.Hash {
		f.adoptRoster(next)
		f.decidedChange, f.decidedTransmissions = &change, transmissions
	}
}

// adoptRoster makes a roster the current one.
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

// receiveDecided applies a change that others decided, if it is based on the current roster.
func (f *Fleet) receiveDecided(change Change) {
	if f.roster == nil {
		f.receiveBootstrapped(change)
		return
	}
	follows := change.Version == f.roster.Version+1 && change.Lineage == f.roster.Lineage
	if follows && change.BaseHash == f.roster.hash && change.nameCount() <= maxChangeNames {
		f.adoptChange(change, f.retransmitLimit())
	}
}

// receiveRoster adopts a peer's roster if it is newer. Of two rosters that were bootstrapped separately, the one with
// more names wins.
func (f *Fleet) receiveRoster(r Roster) {
	if !f.validRoster(&r) {
		return
	}
	r = newRoster(r.Version, r.Lineage, slices.Compact(slices.Clone(r.Names)))
	switch current := f.roster; {
	case current == nil:
		if r.has(f.self.Name) { // an earlier run of this driver may have voted
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

// validRoster reports whether a peer's roster is well-formed and within bounds.
func (f *Fleet) validRoster(r *Roster) bool {
	if r.Version == 0 || len(r.Names) == 0 || len(r.Names) > f.options.MaxDrivers || !slices.IsSorted(r.Names) {
		return false
	}
	return !slices.ContainsFunc(r.Names, func(name string) bool { return name == "" || len(name) > maxNameBytes })
}
