package zones

// This file implements the table of allowed actions (docs/zones.md).

import "weirwind/internal/fleet/membership"

// Action is an operation that can harm the fleet if drivers perform it without agreement.
type Action uint8

// The actions that Allowed decides on.
const (
	MovePrimary Action = iota // request the move of a primary to another zone
	SpillToZone               // send a zone reads from other zones
	FollowPlan                // apply the current plan
	AvoidZone                 // send no new requests to a zone that the plan has ejected
	ConfirmPlan               // lead, and confirm the current plan
)

// withMajority reports whether a driver is in the majority partition.
func withMajority(partition membership.PartitionStatus) bool {
	return partition == membership.Complete || partition == membership.Majority
}

// Allowed reports whether a driver may perform an action, given its partition status and whether its plan is in force.
func Allowed(partition membership.PartitionStatus, inForce bool, action Action) bool {
	switch action {
	case MovePrimary: // in one partition only: in the majority, under the newest plan
		return withMajority(partition) && inForce
	case SpillToZone, FollowPlan: // in any partition during the lease: a majority of voters confirmed the plan
		return inForce
	case AvoidZone: // sending less is safe, also after the lease has expired
		return true
	case ConfirmPlan: // needs a majority of the voters anyway
		return true
	}
	return false
}
