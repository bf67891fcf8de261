package membership

import (
	"math"

	"weirwind/internal/fleet/paxos"
	"weirwind/internal/util/enum"
)

// PartitionStatus is the size of the partition that a driver is in, relative to the roster. Logs call it the standing.
type PartitionStatus uint8

// The statuses, in ascending order.
const (
	Undetermined PartitionStatus = iota // too much is unknown, or the partition is exactly half of the roster
	Isolated                            // no other driver is reachable
	Minority                            // less than half of the roster is reachable
	Majority                            // more than half of the roster is alive
	Complete                            // the whole roster is alive
)

var partitionNames = enum.Names{"unsure", "alone", "smaller", "larger", "whole"}

// String returns the status's name as shown to operators.
func (s PartitionStatus) String() string { return partitionNames.Of(uint8(s)) }

// MarshalText returns the status's name.
func (s PartitionStatus) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText parses a status's name.
func (s *PartitionStatus) UnmarshalText(text []byte) error {
	return enum.Parse(partitionNames, "standing", text, s)
}

// hasMajority reports whether the driver may act for the fleet.
func (s PartitionStatus) hasMajority() bool { return s == Majority || s == Complete }

// Action is an operation that is harmful if drivers on both sides of a partition perform it.
type Action uint8

// The actions that Allowed decides on.
const (
	BeginWritePause Action = iota // pause a group's writes, or announce a pause
	RenewWritePause               // extend a pause in progress
	EndWritePause                 // release or abort a pause
	ChangeRoster
	ApplyDrain   // apply a drain announced by any peer
	ReduceCount  // leave failed drivers out of DriverCount
	LearnPrimary // accept a primary only on a peer's word
)

// Allowed reports whether an action is allowed in a status (docs/membership.md), and if not, the reason for the log and
// the caller.
func Allowed(status PartitionStatus, action Action) (allowed bool, reason string) {
	switch action {
	case BeginWritePause, ChangeRoster, ReduceCount:
		// A write pause must reach most drivers: hooks proceed with the takeover once it was accepted.
		if status.hasMajority() {
			return true, ""
		}
		return false, "not_with_the_larger_part"
	case RenewWritePause: // delayed writes are safe, and the lease ends the pause
		return true, ""
	case EndWritePause: // each driver determines the primary by itself
		return true, ""
	case ApplyDrain: // an extra drain only costs capacity, a missed one sends traffic to a draining member
		return true, ""
	case LearnPrimary: // only a member's own answer counts, in every status
		return false, "members_speak_for_themselves"
	}
	return false, "unknown"
}

// partitionState is the status with the bookkeeping of its assessment.
type partitionState struct {
	partition       PartitionStatus
	partitionReason string  // code of the reason; "" unless the status is Undetermined
	partitionSince  float64 // when the status, not just its reason, last changed
	nextAssessment  float64
	assessedVersion uint64 // stateVersion at the last assessment
}

// missedProbesUnheard is the number of consecutive missed probes after which a driver assumes that nobody hears it.
const missedProbesUnheard = 4

// updatePartition reassesses the status after a change of state, and periodically.
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

// census counts drivers by kind.
type census struct {
	onRoster  int // drivers on the roster
	alive     int // alive drivers on the roster, including this one
	suspects  int // suspects on the roster
	livePeers int // alive or suspected peers, on the roster or not
}

func (f *Fleet) census() census {
	c := census{onRoster: len(f.roster.Names)}
	if f.roster.has(f.self.Name) {
		c.alive++
	}
	for _, p := range f.peers {
		if !p.State.ended() {
			c.livePeers++
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

// assessPartition decides the status. It is pessimistic about what this driver may not know, because two partitions
// must never both regard themselves as the majority.
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
	maxReached := c.alive + c.suspects // at most
	switch {
	case c.alive == c.onRoster:
		return Complete, ""
	case 2*c.alive > c.onRoster && f.pendingChangeHasMajority():
		return Majority, ""
	case c.suspects == 0 && c.livePeers == 0:
		return Isolated, ""
	case 2*maxReached > c.onRoster:
		return Undetermined, "suspects"
	case 2*maxReached == c.onRoster:
		return Undetermined, "halves"
	}
	return Minority, ""
}

// uncertainty returns the reason why this driver's view may be wrong, or "".
func (f *Fleet) uncertainty(counts census) (reason string) {
	switch {
	case f.now < f.uncertainUntil || f.unconfirmed && counts.livePeers > 0:
		return "stood_still"
	case counts.livePeers > 0 && f.missedProbes >= missedProbesUnheard:
		return "unheard"
	case f.rosterBehindSince > 0 && f.now-f.rosterBehindSince > 6*f.options.Period:
		return "behind"
	}
	return ""
}

// pendingChangeHasMajority reports whether this driver also sees a majority of the next roster, if a change that it
// accepted may have been decided without its knowledge.
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

// PartitionStatus returns this driver's status, the code of its reason, and when the status last changed.
func (f *Fleet) PartitionStatus() (status PartitionStatus, reason string, since float64) {
	return f.partition, f.partitionReason, f.partitionSince
}

// minTakeoverAfter, in periods, exceeds the time in which the slowest driver detects that it lost the majority.
const minTakeoverAfter = 30

// DriverCount returns the number of drivers among which limits of the whole fleet are divided, such as connections to
// warm up, health checks and messages: each driver takes a share of 1/DriverCount. A failed driver may only be
// partitioned and still use its share. Drivers outside the majority count 2n drivers and so use half a share. When the
// majority takes over the other half, after TakeoverAfter, its a live drivers of n count the harmonic mean of both,
// 2an/(a+n), so that all shares add up to at most one. Without a roster the count is the expected number of drivers, or
// the alive ones if there are more.
func (f *Fleet) DriverCount() int {
	if f.roster == nil {
		return max(f.options.ExpectedDrivers, f.aliveCount(), 1)
	}
	total, live := f.countShares()
	mayReduce, _ := Allowed(f.partition, ReduceCount)
	wait := max(f.options.TakeoverAfter, minTakeoverAfter*f.options.Period)
	takeoverDue := f.now-max(f.partitionSince, f.liveSetChangedAt) >= wait
	switch {
	case f.partition == Complete, f.partitionReason == "leaving":
		return total
	case mayReduce && takeoverDue && live < total:
		return int(math.Ceil(2 * float64(live) * float64(total) / float64(live+total)))
	case mayReduce:
		return total
	}
	return 2 * total
}

// countShares returns how many drivers may use a share, by the roster and by this driver's view, and how many of them
// are live.
func (f *Fleet) countShares() (total, live int) {
	total, live = len(f.roster.Names), 1 // this one
	if !f.roster.has(f.self.Name) {
		total++
	}
	for _, p := range f.peers {
		if p.onRoster && p.State == Left {
			total--
		}
		if p.State.ended() {
			continue
		}
		live++
		if !p.onRoster {
			total++
		}
	}
	return max(total, 1), live
}
