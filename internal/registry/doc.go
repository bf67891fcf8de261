// Package registry holds clients of the key-value registries in which members are registered: etcd's v3 API through its
// JSON gateway, and Consul's HTTP API. It does I/O alone. Which endpoint is called next, after which delay and from
// which revision is roster.Scheduler's decision, and what an update means is roster.Roster's.
//
// # From a call to an update
//
// Watcher asks the Scheduler for the next call and carries it out with a Client: a List gives the members as
// snapshots, a Watch gives what changes from a revision on. Both deliver roster.Update values in order of their
// revisions, and Watcher hands each to its owner, whose verdict decides whether the call goes on:
//
//   - applied, fragment: it goes on. The fragments of one revision are applied together, or not at all.
//   - stale: a watch goes on; a list is tried again elsewhere.
//   - gap, unconfirmed: the call is ended, what else it brings is dropped, and the next call is a list.
//
// # Invariants
//
// A revision is delivered as reached only after everything up to it has been delivered: a watch that is resumed from
// there omits nothing. An entry that can't be parsed is delivered as invalid, beside the others, with the phase that
// it states where that can be read; so it never hides a drain, nor another member.
//
// Every call ends: a list by a timeout, a watch when the registry gives no sign of life for Options.WatchTimeout, and
// both with their context. The error of a call is mapped to a roster.CallResult by ResultOf and to a
// roster.PresenceResult by PresenceResultOf, and nowhere else.
//
// # Leases
//
// LeaseClient registers a key under a lease (etcd) or a session (Consul). It writes the key only where it does not
// exist, so it never takes another driver's name, and never renews a lease that has expired.
package registry
