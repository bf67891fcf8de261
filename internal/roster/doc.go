// Package roster decides which members there are: it turns the updates of several sources, each with revisions of
// its own, into the one membership that the module gets. It does no I/O and reads no clock; docs/registry.md gives
// the reasons.
//
// # From updates to the published membership
//
// Roster keeps a view for each source: the platform's discovery, a key-value registry, and what was known at the
// start. An update is a snapshot or the changes of one revision, possibly in fragments. Roster.Apply
//
//  1. assembles the fragments: half a revision is never applied;
//  2. orders the update within its source's history (view.order). An older one is stale, changes that continue from an
//     unknown revision leave a gap, and a linearizable snapshot whose revision went back begins a new epoch;
//  3. applies it to the view, or holds back a snapshot that lost most members until a later one confirms it;
//  4. elects the source that leads: the preferred one while it is connected and for some time more, or else a
//     connected one;
//  5. publishes the leader's view, less what tombstones forbid, and returns what changed.
//
// # The invariant of tombstones
//
// A member is never published as usable by something older than what said that it drains or is removed. Every such
// entry, of any source, leaves a tombstone, and one is lifted only by something newer: a later revision of the same
// source, a start since, or in a new epoch a write since that epoch began. So a registry that is restored from a
// backup, a follower that lags, and a change of the leading source all leave a drain in force. An update behind a
// gap can't make members usable, but what it forbids counts at once.
//
// # Reading a source
//
// Scheduler names the next call to a source: when, at which endpoint, a read of everything or a watch from which
// revision. Registry clients carry the calls out. Presence does the same for the driver's own lease in the
// registry, and Peers counts the drivers by theirs.
package roster
