// Package switchover decides how a driver handles announced changes of a group's primary. Hooks of the topology manager
// announce them, and drivers pass them on to their peers. Such notifications may be late, duplicated, reordered or
// lost.
//
// A [Tracker] has the changes of all groups at one driver. It takes notifications from hooks ([Tracker.HandleHook]) and
// from peers ([Tracker.HandleNotification]) and the driver's observations of members ([Tracker.ObservePrimary],
// [Tracker.ObserveRole]), and returns an [Outcome] for the driver to apply. The package does no I/O and reads no clock;
// all times are milliseconds of the caller's clock. A Tracker must not be used concurrently.
//
// # Stages
//
// A change has an epoch and goes through stages in a fixed order. In the stage "held" the old primary is marked as
// draining, so that the driver has no writer for the group: writes wait, health checks continue, and the first other
// member that is observed as primary gets the waiting writes.
//
//	stage      action                                    ends
//	announced  query the new primary for its role        at once: no writes are held
//	held       mark the old primary as draining          by a release, an abort, or the expiry of its lease
//	released   query the new primary for its role;       once another member is primary and the old one replies that
//	           keep the mark                             it is a replica, or doesn't reply; or after ReleaseTimeout
//	                                                     if no other member is observed as primary
//	aborted    remove the mark                           at once
//
// The mark is kept after a release because a member list may name the old primary for minutes, and a deposed primary
// that still claims the role must get no writes. A finished change is kept for Retention, for drivers that missed it.
//
// # Invariants
//
//   - A driver's state of a group is the highest (epoch, stage, renewals) that it was notified of. States merge by
//     taking the maximum, which is commutative and idempotent, so drivers that got the same notifications agree.
//   - A notification of an older change never undoes a newer one. Epochs increase: they are derived from the clock, the
//     last epoch of the group, and the driver's origin, so that no two drivers create the same epoch.
//   - No hold outlasts its lease, which each driver measures by its own clock, nor MaxHold including all renewals. An
//     expired hold can't be renewed.
//
// # Hazards
//
//   - A lease is passed on as its remaining time, without the network latency: a peer may hold that much longer.
//   - A hook without an epoch refers to the open change. Two simultaneous hooks for different changes of a group at
//     different drivers create two epochs; the higher one wins.
package switchover
