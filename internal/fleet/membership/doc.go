// Package membership decides who a driver's peers are, which of them have failed, and what may be done while
// that can't be known. It does no I/O and reads no clock: it takes messages and the passing of time, and gives
// messages to be sent. Times are milliseconds on one steady clock everywhere.
//
// # How to drive it
//
// One goroutine owns a [Fleet], one driver's view. It calls Tick several times a period, Receive for each
// datagram and Merge for each peer's snapshot, and carries out the [Output] of each call: it makes Save durable
// first, if there is one, and says so by Saved; then it sends Messages, exchanges snapshots with the addresses
// in SyncWith, and logs Events. Messages are datagrams: they may be lost, late or doubled.
//
// # Failure detection
//
// It is SWIM (Das, Gupta, Motivala: SWIM: Scalable Weakly-consistent Infection-style Process Group Membership
// Protocol, DSN 2002) with Lifeguard's extensions (Dadgar, Phillips, Currey: Lifeguard: Local Health Awareness
// for More Accurate Failure Detection, 2017). Each period a driver pings one peer; where no ack comes in time
// it has others ping it (ping request) and then suspects it. A suspicion that its subject doesn't refute in
// time, by a higher incarnation, makes it failed: the sooner the more drivers confirm it, the later the worse
// this driver's own health is. Records spread by gossip on every message, and by whole snapshots where two
// views differ though nothing was gossiped for a while.
//
// It departs from SWIM in these points:
//
//   - Whom a driver pings follows from the period's number, so that each is pinged by one other a period.
//   - A failed peer stays known, and is pinged now and then: a partition may heal.
//   - A driver that notices a gap between two ticks blames itself: it forgets its probe, gives suspects more time, and
//     takes its view for uncertain until a peer has answered.
//   - Who doesn't hear whom directly is gossiped too (Reachability), for operators and for choices of a route: it fails
//     nobody.
//   - A name belongs to the process that had it first. Of one process after another at an address, the later Run holds.
//
// # The roster
//
// Majorities are counted in the roster: names that the drivers agreed on. A loss never changes it. It is
// founded when the expected number of drivers see the same fleet and each confirms that; from there on each
// version is decided by one instance of Paxos (package paxos) among the drivers of the version before it, and
// needs a majority of the names before and of those after the change. Operators can force a change where no
// majority is left (Forget).
//
// # Invariants
//
//   - An older record never undoes a newer one, and a record of one process never counts for another of its name.
//   - One version of a roster of one lineage has one set of names.
//   - Two parts of a fleet that can't reach each other are not both in the Majority for longer than it takes to find
//     out.
//   - The shares of all drivers, one part in DriverCount each, never add up to more than one.
//   - A driver that may have forgotten a vote gives none.
//   - A drain ends only by a list that is at least as new as the one that announced it.
//
// # Failures
//
// docs/membership.md has what happens in partitions, pauses, restarts and losses of disks, and which Action is
// allowed in which PartitionStatus. A driver whose status is Undetermined can't know: nothing that needs a
// majority is done then.
package membership
