package zones

// This file owns the table of what a driver may do (docs/zones.md).

import "weirwind/internal/fleet/membership"

// Action is something that a driver could do to others' harm by itself.
type Action uint8

// The actions that Allowed decides on.
const (
	MovePrimary Action = iota // ask for a primary in another zone
	SpillToZone               // send a zone more than its drivers' own reads
	FollowPlan                // go by the plan held
	AvoidZone                 // send nothing new to a zone that the plan has ejected
	ConfirmPlan               // lead, and confirm the plan held
)

// withMajority says whether a driver is on the side of most of them.
func withMajority(partition membership.PartitionStatus) bool {
	return partition == membership.Complete || partition == membership.Majority
}

// Allowed says whether a driver may do something, by the side of a partition that it is on and by whether its plan is
// in force.
func Allowed(partition membership.PartitionStatus, inForce bool, action Action) bool {
	switch action {
	case MovePrimary: // at one place only: with most drivers, under a plan that is the newest
		return withMajority(partition) && inForce
	case SpillToZone, FollowPlan: // for a lease, on any side: a majority of voters confirmed the plan
		return inForce
	case AvoidZone: // sending less breaks no rule, and lasts beyond the lease
		return true
	case ConfirmPlan: // a majority of the voters has to agree in any case
		return true
	}
	return false
}
