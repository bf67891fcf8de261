// Package config defines the operators' configuration, its validation, and the replicated state that results from
// changes of it.
//
// It does no I/O, reads no clock and holds no locks: functions return new values and don't modify their arguments.
//
// # The configuration
//
// A Config is one JSON document: routes, which assign the clients of a host to a service; services, which are the
// replication groups; limits on clients; and tenants. Parse reads and validates one. The document itself is kept as it
// was sent, including fields unknown to this version of the software, so that operators read back what they wrote.
//
// # The replicated state
//
// A State is the value that the control plane's machines agree on: each entry of the consensus log is a whole State. It
// holds the newest configuration, the history of the changes that led to it, the maps of shards and sites, and the
// roster, which lists the members that may hold an acknowledged commit.
//
// # Optimistic concurrency
//
// A Change names the version that it is based on, its base. State.Apply maintains two invariants:
//
//   - Each version has at most one successor: a change applies only if its base is the current version.
//   - Versions increase.
//
// A change that is sent again is recognized by its digest in State.History (HasApplied), so that a retry of an applied
// change can be acknowledged instead of being rejected for its base. The history is bounded: a change on a base older
// than the oldest entry's is neither acknowledged nor rejected.
//
// # Errors
//
// Apply, WithShards and WithSites return a RejectedError if no later state can accept the change either, or an
// UndecidedError if a later state may. Both wrap one of the package's Err... values, to be matched by errors.Is.
package config
