// Package config is the operators' configuration: its parts, what is valid, and the replicated state that a change of
// it yields.
//
// It does no I/O, reads no clock and holds no locks: every function gives a new value and leaves its arguments alone.
//
// # The configuration
//
// A Config is one JSON document: routes, which lead the clients of a host to a service; services, which are the
// replication groups; and limits on clients. Parse reads and validates one. The document itself is kept as it was sent,
// fields unknown to this version included, so that what operators read back is what they wrote.
//
// # The replicated state
//
// A State is what the control plane agrees on: each entry of the consensus log is one State, whole. It holds the
// newest configuration, the history of the changes that led to it, the maps of shards and sites, and the roster of
// members that may hold an acknowledged commit.
//
// # Optimistic concurrency
//
// A Change names the version that it is built on, its base. State.Apply maintains two invariants:
//
//   - Each version has at most one successor: a change applies only where its base is the version in place.
//   - Versions increase.
//
// A change that is sent again is recognized by its digest in State.History (HasApplied), so that a retry of one that
// was applied can be acknowledged and not rejected for its base. The history is bounded: a change on a base older
// than what it reaches back to is neither acknowledged nor rejected.
//
// # Errors
//
// Apply and the With functions return a RejectedError, which holds in every state that can follow this one, or an
// UndecidedError, which says nothing of later states. Both wrap one of the sentinels Err..., by which errors.Is tells
// them apart.
package config
