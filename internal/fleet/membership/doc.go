// Package membership decides who a driver's peers are, which of them have failed, and which actions are allowed while
// that is unknown. It does no I/O and reads no clock: its caller passes in messages and the current time, and sends the
// messages that it returns. Times are milliseconds on one monotonic clock everywhere.
//
// # Usage
//
// One goroutine owns a [Fleet], one driver's view of the fleet. It calls Tick several times per probe period, Receive
// for each datagram and Merge for each peer's snapshot, and carries out the [Output] of each call: it makes Save
// durable first, if there is one, and reports the result by Saved; then it sends Messages, exchanges snapshots with the
// addresses in SyncWith, and logs Events. Messages are datagrams: they may be lost, delayed or duplicated.
//
// # Failure detection
//
// It is SWIM (Das, Gupta, Motivala: SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol, DSN 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey: Lifeguard: Local Health Awareness
// for More Accurate Failure Detection, 2017). Each period a driver pings one peer; if no ack arrives in time it asks
// other peers to ping it (ping request), and then suspects it. A suspect that does not refute the suspicion in time, by
// a higher incarnation, is marked as failed. That takes less time the more drivers confirm the suspicion, and more time
// the worse this driver's own health is. Records spread by gossip on every message, and by full snapshots if two views
// still differ although nothing has been gossiped for a while.
//
// It departs from SWIM in these points:
//
//   - The peer that a driver pings is derived from the period's number, so that each driver is pinged by one other per
//     period.
//   - A failed peer stays known and is pinged occasionally, because a partition may heal.
//   - A driver that notices a gap between two ticks assumes that it was paused itself: it drops its probe, gives
//     suspects more time, and treats its view as uncertain until a peer has answered.
//   - Drivers also gossip which peers they do not hear directly (Reachability), for operators and for routing. That
//     marks nobody as failed.
//   - A name belongs to the process that used it first. Of successive processes at one address, the one with the higher
//     Run is current.
//
// # The roster
//
// Majorities are counted in the roster, a set of names that the drivers agreed on. The failure of a driver never
// changes it. It is bootstrapped when the expected number of drivers see the same fleet and each confirms that. From
// then on each version is decided by one instance of Paxos (package paxos) among the drivers of the version before it,
// and needs a majority of the names before the change and of those after it. Operators can force a change if no
// majority is left (Forget).
//
// # Invariants
//
//   - An older record never replaces a newer one, and a record of one process never applies to another process of the
//     same name.
//   - Each roster version of a lineage has exactly one set of names.
//   - Two partitions of a fleet do not both have the status Majority for longer than failure detection takes.
//   - The shares of all drivers, 1/DriverCount each, never add up to more than one.
//   - A driver that may have lost the record of a vote does not vote.
//   - A drain ends only by a list that is at least as new as the one that announced it.
//
// # Failures
//
// docs/membership.md describes partitions, pauses, restarts and losses of disks, and which Action is allowed in which
// PartitionStatus. A driver whose status is Undetermined does nothing that needs a majority.
package membership
