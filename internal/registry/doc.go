// Package registry implements clients of the key-value registries in which members are registered: etcd's v3 API
// through its JSON gateway, and Consul's HTTP API. It only does I/O: roster.Scheduler decides the endpoint, delay and
// first revision of each call, and roster.Roster interprets the updates.
//
// # From a call to an update
//
// Watcher asks the Scheduler for the next call and carries it out with a Client: a List reads the members as snapshots,
// a Watch reads the changes from a revision on. Both deliver roster.Update values in the order of their revisions.
// Watcher passes each to Apply, whose verdict decides how the call continues:
//
//   - applied, fragment: the call continues. The fragments of one revision are applied together, or not at all.
//   - stale: a watch continues; a list is retried at another endpoint.
//   - gap, unconfirmed: the call ends, its further updates are dropped, and the next call is a list.
//
// # Invariants
//
// A watch reports a revision as reached only after it has delivered everything up to it, so a watch that resumes from
// there omits nothing. An entry that can't be parsed is delivered as invalid, beside the valid ones, with its phase if
// that can be read; so it hides neither a drain nor another member.
//
// Every call ends: a list by a timeout, a watch after Options.WatchTimeout without a message from the registry, and
// both with their context. Only ResultOf maps the error of a call to a roster.CallResult, and only PresenceResultOf to
// a roster.PresenceResult.
//
// # Leases
//
// LeaseClient registers a key under a lease (etcd) or a session (Consul). It writes the key only if the key does not
// exist, so it never takes another driver's name, and it never renews a lease that has expired.
package registry
