package membership

import (
	"math"

	"weirwind/internal/fleet/paxos"
	"weirwind/internal/util/enum"
)

// PartitionStatus is how much of the roster a driver is with. Operators and logs call it its standing.
type PartitionStatus uint8

// The statuses, from the least that is known to the most.
const (
	Undetermined PartitionStatus = iota // too much is unknown, or two halves are alike
	Isolated                            // it reaches nobody
	Minority                            // it is with less than half
	Majority                            // it is with more than half
	Complete                            // it is with all
)

var partitionNames = enum.Names{"unsure", "alone", "smaller", "larger", "whole"}

// String is a status's name, as operators know it.
func (s PartitionStatus) String() string { return partitionNames.Of(uint8(s)) }

// MarshalText gives a status its name.
func (s PartitionStatus) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText takes a status's name.
func (s *PartitionStatus) UnmarshalText(text []byte) error {
	return enum.Parse(partitionNames, "standing", text, s)
}

// hasMajority says that the driver may act for the fleet.
func (s PartitionStatus) hasMajority() bool { return s == Majority || s == Complete }

// Action is something that several drivers could do to each other's harm.
type Action uint8

// What Allowed is asked for.
const (
	BeginWritePause Action = iota // of a group's writes, or announce one
	RenewWritePause               // one that goes on
	EndWritePause                 // release or abort it
	ChangeRoster
	ApplyDrain   // that any peer tells of, at any time
	ReduceCount  // count fewer drivers than there were, since some have failed
	LearnPrimary // take a primary from a peer's message alone
)

// Allowed is the table of what is allowed in each status (docs/membership.md). The reason is for the log and
// for who asked.
func Allowed(status PartitionStatus, action Action) (allowed bool, reason string) {
	switch action {
	case BeginWritePause, ChangeRoster, ReduceCount:
		// Of a write pause, most drivers must hear: hooks go on with the takeover once it was accepted.
		if status.hasMajority() {
			return true, ""
		}
		return false, "not_with_the_larger_part"
	case RenewWritePause: // writes that wait break no rule, and the lease ends it
		return true, ""
	case EndWritePause: // each driver finds out itself which member is primary
		return true, ""
	case ApplyDrain: // too many drains lose capacity, one too few breaks a rule
		return true, ""
	case LearnPrimary: // a member's own answer decides, in every status
		return false, "members_speak_for_themselves"
	}
	return false, "unknown"
}

// partitionState is the status and what it was assessed from.
type partitionState struct {
	partition       PartitionStatus
	partitionReason string  // a code; "" for Isolated and above, other than for a leaving driver
	partitionSince  float64 // when the status, apart from its reason, changed last
	nextAssessment  float64
	assessedVersion uint64 // stateVersion when it was last assessed
}

// missedProbesUnheard is how many probes in a row nobody answers to a driver that is not heard itself.
const missedProbesUnheard = 4

// updatePartition brings the status up to date, where something has changed and from time to time.
func (f *Fleet) updatePartition() {
	if f.assessedVersion == f.stateVersion && f.now < f.nextAssessment {
		return
	}
	f.nextAssessment = f.now + checkInterval*f.options.Period
	status, reason := f.assessPartition()
	if status != f.partition || reason != f.partitionReason {
		f.stateVersion++
	}
	if status != f.partition {
		f.partitionSince = f.now
		f.emit("standing", f.self.Name, status.String()+" "+reason)
	}
	f.partition, f.partitionReason, f.assessedVersion = status, reason, f.stateVersion
}

// census is how many drivers there are of each kind.
type census struct {
	listed   int // on the roster
	alive    int // of these, this driver with them
	suspects int // of these
	others   int // peers that do not count as ended, on the roster or not
}

func (f *Fleet) census() census {
	c := census{listed: len(f.roster.Names)}
	if f.roster.has(f.self.Name) {
		c.alive++
	}
	for _, p := range f.peers {
		if !p.State.ended() {
			c.others++
		}
		if !p.onRoster {
			continue
		}
		switch p.State {
		case Alive:
			c.alive++
		case Suspect:
			c.suspects++
		}
	}
	return c
}

// assessPartition decides the status. What this driver may not know decides, never what it can see: two parts
// that can't reach each other must never both take themselves for the majority.
func (f *Fleet) assessPartition() (status PartitionStatus, reason string) {
	switch {
	case f.leaving:
		return Undetermined, "leaving"
	case f.nameTakenAt > 0:
		return Undetermined, "name_taken"
	case f.roster == nil:
		return Undetermined, "no_roster"
	}
	c := f.census()
	if reason := f.uncertainty(c); reason != "" {
		return Undetermined, reason
	}
	reached := c.alive + c.suspects // at most
	switch {
	case c.alive == c.listed:
		return Complete, ""
	case 2*c.alive > c.listed && f.pendingChangeHasMajority():
		return Majority, ""
	case c.suspects == 0 && c.others == 0:
		return Isolated, ""
	case 2*reached > c.listed:
		return Undetermined, "suspects"
	case 2*reached == c.listed:
		return Undetermined, "halves"
	}
	return Minority, ""
}

// uncertainty is why this driver's view may be wrong; "": it is not.
func (f *Fleet) uncertainty(seen census) (reason string) {
	switch {
	case f.now < f.uncertainUntil || f.unconfirmed && seen.others > 0:
		return "stood_still"
	case seen.others > 0 && f.missedProbes >= missedProbesUnheard:
		return "unheard"
	case f.rosterBehindSince > 0 && f.now-f.rosterBehindSince > 6*f.options.Period:
		return "behind"
	}
	return ""
}

// pendingChangeHasMajority says that a change which may have been decided without this driver's knowing has its
// majority here too.
func (f *Fleet) pendingChangeHasMajority() bool {
	pending := f.acceptor.Value != nil && f.voteVersion == f.roster.Version+1
	if !pending || f.now-f.acceptedAt < roundPeriods*f.options.Period {
		return true
	}
	alive := map[string]bool{}
	for _, name := range f.aliveNames(false) {
		alive[name] = true
	}
	next := f.rosterAfter(f.acceptor.Value)
	return paxos.Majority(next.Names, alive)
}

// PartitionStatus is this driver's, the reason's code, and since when, in milliseconds.
func (f *Fleet) PartitionStatus() (status PartitionStatus, reason string, since float64) {
	return f.partition, f.partitionReason, f.partitionSince
}

// minTakeoverAfter, in periods, is longer than the slowest driver takes to find out that it is not with the majority.
const minTakeoverAfter = 30

// DriverCount is how many drivers count for shares that all of them together must not exceed, such as
// connections to warm up, health checks and messages: each takes one part in DriverCount. One that has failed
// may only be partitioned off, and goes on with its share. Where the majority takes that over, after
// TakeoverAfter, the others have given half of theirs up by then: a of n count the harmonic mean of both,
// 2an/(a+n), the others 2n, so that all shares add up to one. Without a roster as many count as were ever
// expected.
func (f *Fleet) DriverCount() int {
	if f.roster == nil {
		return max(f.options.ExpectedDrivers, f.aliveCount(), 1)
	}
	n, living := f.sharers()
	reduce, _ := Allowed(f.partition, ReduceCount)
	wait := max(f.options.TakeoverAfter, minTakeoverAfter*f.options.Period)
	waited := f.now-max(f.partitionSince, f.liveSetChangedAt) >= wait
	switch {
	case f.partition == Complete, f.partitionReason == "leaving":
		return n
	case reduce && waited && living < n:
		return int(math.Ceil(2 * float64(living) * float64(n) / float64(living+n)))
	case reduce:
		return n
	}
	return 2 * n
}

// sharers counts the drivers that may use a share, by the roster and by what is seen, and those of them that
// are not taken for ended.
func (f *Fleet) sharers() (n, living int) {
	n, living = len(f.roster.Names), 1 // this one
	if !f.roster.has(f.self.Name) {
		n++
	}
	for _, p := range f.peers {
		if p.onRoster && p.State == Left {
			n--
		}
		if p.State.ended() {
			continue
		}
		living++
		if !p.onRoster {
			n++
		}
	}
	return max(n, 1), living
}
