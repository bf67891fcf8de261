// Package switchover decides what a driver makes of announced changes of a group's primary. Hooks of the topology
// manager announce them, and drivers pass them on to their peers; these notifications come late, twice, out of order,
// or not at all.
//
// A [Tracker] holds the changes of all groups at one driver. It takes hooks ([Tracker.HandleHook]), notifications of
// peers ([Tracker.HandleNotification]) and what the driver sees of members ([Tracker.ObservePrimary],
// [Tracker.ObserveRole]), and returns an [Outcome] that the driver carries out. The package does no I/O and reads no
// clock; all times are milliseconds of the caller's clock. A Tracker is used by one goroutine at a time.
//
// # Stages
//
// A change has an epoch, and goes through stages in one order. A hold marks the old primary as draining, which is how
// a driver empties a group's writer slot: writes wait, health checks go on, and the first member that is seen to be
// primary gets them.
//
//	stage      on it                                     ends
//	announced  the new primary is queried for its role   at once: nothing is held
//	held       the old primary is marked as draining     by a release, an abort, or the end of its lease
//	released   the new primary is queried for its role;  once another member is primary, and the old one says that
//	           the mark stays                            it is a replica, or nothing; or after ReleaseTimeout, if
//	                                                     no other member is seen as primary
//	aborted    the mark is taken off                     at once
//
// The mark stays behind a release as a member list may name the old primary for minutes, and a deposed primary that
// still answers as one is to get no writes. A change that has ended is remembered for Retention, for drivers that
// missed it.
//
// # Invariants
//
//   - What a driver knows of a group is the highest (epoch, stage, renewals) that it was notified of, so states merge
//     by taking the higher one, in whatever order and however often (a join). Drivers that were notified of the same
//     agree.
//   - A notification of an older change never undoes a newer one. Epochs grow: they are made from the clock, the last
//     epoch of the group, and the driver's origin, so that no two drivers begin the same one.
//   - No hold outlasts its lease, which each driver counts by its own clock, nor MaxHold with all its renewals. An
//     expired hold can't be renewed.
//
// # Hazards
//
//   - A lease is passed on as what is left of it, without the time under way: a peer may hold that much longer.
//   - A hook without an epoch means the change that is open. Two hooks for different changes of a group at different
//     drivers, at the same time, make two epochs; the higher one wins.
package switchover
