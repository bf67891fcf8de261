package membership

// This file owns what a driver may do in each standing: what it may not know decides, never what it can see. It must
// never let two parts of a fleet that can't reach each other both act as the larger one, or count drivers that may
// still be at work out of a share that all of them together must not exceed.

import (
	"math"

	"weirwind/internal/fleet/paxos"
	"weirwind/internal/util/enum"
)

// PartitionStatus is a driver's place in the fleet, by the roster that was agreed on.
type PartitionStatus uint8

// The standings, from the least that is known to the most.
const (
	Undetermined PartitionStatus = iota // too much is unknown, or two halves are alike
	Isolated                            // it reaches nobody of the roster
	Minority                            // it is with less than half
	Majority                            // it is with more than half
	Complete                            // it is with all
)

var standingNames = enum.Names{"unsure", "alone", "smaller", "larger", "whole"}

func (s PartitionStatus) String() string { return standingNames.Of(uint8(s)) }

// MarshalText gives a standing its name.
func (s PartitionStatus) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText takes a standing's name.
func (s *PartitionStatus) UnmarshalText(text []byte) error {
	return enum.Parse(standingNames, "standing", text, s)
}

// Action is something that several drivers could do to each other's harm.
type Action uint8

// What Allowed is asked for.
const (
	BeginWritePause Action = iota // of a group's writes, or announce one
	RenewWritePause               // one that goes on
	EndWritePause                 // release or abort it
	ChangeRoster                  // of the roster
	ApplyDrain                    // told by any peer, at any time
	ReduceCount                   // count fewer drivers than there were, since some have failed
	LearnPrimary                  // take a primary from a peer's word alone
)

// Allowed is the table of what holds in each standing (docs/membership.md). The reason is for the log and for who
// asked.
func Allowed(s PartitionStatus, a Action) (allowed bool, reason string) {
	switch a {
	case BeginWritePause: // hooks go on with the takeover when it was taken: most drivers must hear of it
		if s == Complete || s == Majority {
			return true, ""
		}
		return false, "not_with_the_larger_part"
	case RenewWritePause: // writes that wait break no rule, and the lease ends it
		return true, ""
	case EndWritePause: // each driver looks itself for who is primary
		return true, ""
	case ChangeRoster, ReduceCount:
		if s == Complete || s == Majority {
			return true, ""
		}
		return false, "not_with_the_larger_part"
	case ApplyDrain: // too many drains lose capacity, one too few breaks a rule
		return true, ""
	case LearnPrimary: // a member's own word decides, in every standing
		return false, "members_speak_for_themselves"
	}
	return false, "unknown"
}

// updatePartition brings the standing up to date, where something has changed and from time to time.
func (f *Fleet) updatePartition() {
	if f.assessedVersion == f.stateVersion && f.now < f.nextAssessment {
		return
	}
	f.nextAssessment = f.now + checkInterval*f.options.Period
	s, why := f.assessPartition()
	if s != f.partition || why != f.partitionReason {
		f.stateVersion++
	}
	if s != f.partition {
		f.partitionSince = f.now
		f.emit("standing", f.self.Name, s.String()+" "+why)
	}
	f.partition, f.partitionReason, f.assessedVersion = s, why, f.stateVersion
}

func (f *Fleet) assessPartition() (PartitionStatus, string) {
	switch {
	case f.leaving:
		return Undetermined, "leaving"
	case f.nameTakenAt > 0:
		return Undetermined, "name_taken"
	case f.roster == nil:
		return Undetermined, "no_roster"
	}
	others := 0 // that do not count as ended
	living, doubted, n := 0, 0, len(f.roster.Names)
	if f.roster.has(f.self.Name) {
		living++
	}
	for _, m := range f.peers {
		if !m.State.ended() {
			others++
		}
		if !m.onRoster {
			continue
		}
		switch m.State {
		case Alive:
			living++
		case Suspect:
			doubted++
		}
	}
	switch {
	case f.now < f.uncertainUntil || f.unconfirmed && others > 0:
		return Undetermined, "stood_still"
	case others > 0 && f.missedProbes >= 4:
		return Undetermined, "unheard"
	case f.rosterBehindSince > 0 && f.now-f.rosterBehindSince > 6*f.options.Period:
		return Undetermined, "behind"
	case living == n:
		return Complete, ""
	case 2*living > n && f.pendingChangeHasMajority():
		return Majority, ""
	case doubted == 0 && others == 0:
		return Isolated, ""
	case 2*(living+doubted) > n:
		return Undetermined, "suspects"
	case 2*(living+doubted) == n:
		return Undetermined, "halves"
	}
	return Minority, ""
}

// pendingChangeHasMajority says that a change which may have been decided without this driver's knowing has its majority here too.
func (f *Fleet) pendingChangeHasMajority() bool {
	if f.acceptor.Value == nil || f.voteVersion != f.roster.Version+1 || f.now-f.acceptedAt < roundPeriods*f.options.Period {
		return true
	}
	next := f.rosterAfter(f.acceptor.Value)
	names := f.names(false)
	who := map[string]bool{}
	for _, n := range names {
		who[n] = true
	}
	return paxos.Majority(next.Names, who)
}

// PartitionStatus is this driver's, why, and since when.
func (f *Fleet) PartitionStatus() (s PartitionStatus, why string, since float64) {
	return f.partition, f.partitionReason, f.partitionSince
}

// DriverCount is how many drivers there are, for shares that all of them together must not exceed: cold members, probes,
// words. One that has failed may only be cut off, and goes on with its share. Where the larger part takes it over,
// after Yield, the others have given half of theirs up by then: a of n count the harmonic mean of both, 2an/(a+n), the
// others 2n, so that all shares add up to one. Without a roster, or where nothing can be known, as many count as were
// ever expected.
func (f *Fleet) DriverCount() int {
	if f.roster == nil {
		return max(f.options.ExpectedDrivers, f.aliveCount(), 1)
	}
	n, living := 0, 0
	if !f.roster.has(f.self.Name) {
		n, living = 1, 1
	}
	n += len(f.roster.Names)
	if f.roster.has(f.self.Name) {
		living++
	}
	for _, m := range f.peers {
		on := m.onRoster
		switch {
		case m.State == Left && on:
			n--
		case m.State == Left:
		case !m.State.ended():
			living++
			if !on {
				n++
			}
		}
	}
	n = max(n, 1)
	waited := f.now-max(f.partitionSince, f.liveSetChangedAt) >= max(f.options.TakeoverAfter, yieldLeast*f.options.Period)
	switch shrink, _ := Allowed(f.partition, ReduceCount); {
	case f.partition == Complete, f.partitionReason == "leaving":
		return n
	case shrink && waited && living < n:
		return int(math.Ceil(2 * float64(living) * float64(n) / float64(living+n)))
	case shrink:
		return n
	}
	return 2 * n
}

// yieldLeast, in periods, is longer than the slowest driver takes to find out that it is not with most.
const yieldLeast = 30

// View is what operators are shown of a peer.
type View struct {
	Name        string   `json:"name"`
	State       State    `json:"state"`
	Reachable   bool     `json:"heard"` // by this driver itself
	OnRoster    bool     `json:"listed"`
	Address     string   `json:"address"`
	Zone        string   `json:"zone,omitempty"`
	Run         uint64   `json:"run"`
	Incarnation uint32   `json:"inc"`
	For         float64  `json:"for_ms"` // in this state
	Unreachable []string `json:"does_not_hear,omitempty"`
}

// Status is a driver's view as operators are shown it.
type Status struct {
	Self      string          `json:"self"`
	Partition PartitionStatus `json:"standing"`
	Reason    string          `json:"reason,omitempty"`
	For       float64         `json:"for_ms"`
	Count     int             `json:"count"` // of drivers, as the module is told
	Address   string          `json:"address"`
	Run       uint64          `json:"run"`
	Health    int             `json:"health"` // 0: well
	Roster    *Roster         `json:"roster"`
	Refused   int64           `json:"frames_refused"` // that could not be taken: another secret, or damaged
	Sent      int64           `json:"bytes_sent"`     // by UDP
	Drivers   []View          `json:"drivers"`
}

// Status gives the view as it is now.
func (f *Fleet) Status() Status {
	s := Status{Self: f.self.Name, Partition: f.partition, Reason: f.partitionReason, For: f.now - f.partitionSince, Count: f.DriverCount(),
		Address: f.self.Address,
		Run:     f.self.Run, Health: f.health, Roster: f.roster, Drivers: []View{}}
	for _, m := range f.peers {
		s.Drivers = append(s.Drivers, View{Name: m.Name, State: m.State, Reachable: !m.State.ended() && !m.unreachable, OnRoster: m.onRoster,
			Address: m.Address, Zone: m.Zone, Run: m.Run, Incarnation: m.Incarnation, For: f.now - m.stateSince, Unreachable: m.reachability.Unreachable})
	}
	return s
}

// StateOf is what a driver is taken for; Left where it is not known.
func (f *Fleet) StateOf(name string) State {
	if m := f.peersByName[name]; m != nil {
		return m.Record.State
	}
	return Left
}

// AddressOf is where a peer is reached that does not count as ended; empty for none.
func (f *Fleet) AddressOf(name string) string {
	if m := f.peersByName[name]; m != nil && !m.State.ended() {
		return m.Record.Address
	}
	return ""
}

// LiveAddresses are the addresses of peers that do not count as ended.
func (f *Fleet) LiveAddresses() (all []string) {
	for _, m := range f.peers {
		if !m.State.ended() {
			all = append(all, m.Address)
		}
	}
	return all
}
