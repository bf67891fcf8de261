// Package roster merges the member lists of several sources, each with its own revisions, into the one membership that
// the decision module gets. It does no I/O and reads no clock; docs/registry.md describes the reasons.
//
// # From updates to the published membership
//
// Roster keeps a view of each source: the platform's discovery, a key-value registry, and the list that was known at
// the start. An update is a snapshot or the changes of one revision, possibly in fragments. Roster.Apply
//
//  1. assembles the fragments, so that a revision is applied completely or not at all;
//  2. orders the update within its source's history (view.order). An older update is stale, changes that continue from
//     an unknown revision leave a gap, and a linearizable snapshot whose revision went back begins a new epoch;
//  3. applies it to the view, except that a snapshot without most of the members must be confirmed by a later one;
//  4. elects the leading source: the preferred one while it is connected and for some time after, or else a connected
//     one;
//  5. publishes the leader's view, restricted by tombstones, and returns the changes.
//
// # The invariant of tombstones
//
// Information that is older than a member's drain or removal never makes the member usable again. Each entry that
// drains or removes a member, from any source, leaves a tombstone. A tombstone is lifted only by newer information: a
// later revision of the same source, a later start of the member, or, in a new epoch, a write since that epoch began.
// So a registry that is restored from a backup, a lagging follower, and a change of the leading source all leave a
// drain in force. An update after a gap can't make members usable, but its drains and removals count at once.
//
// # Reading a source
//
// Scheduler chooses the next call to a source: its time, its endpoint, and whether it is a read of all members or a
// watch from some revision. Registry clients carry out the calls. Presence does the same for the driver's own lease in
// the registry, and Peers counts the drivers by their leases.
package roster
