// Package directory is the soft state of the control plane: which members and which drivers there are.
//
// A member is a database process; its record is what its own heartbeats say, and what the control plane adds to that.
// A driver is a machine that takes clients, known by its agent's lease. Control plane machines, agents and proxies
// each have tables of their own: Members and Leases. The package does no I/O and reads no clock (times are
// milliseconds of the owner's clock), and a table belongs to one goroutine. Nothing is stored on disk: heartbeats and
// renewals fill a new table.
//
// # Order of a member's records
//
// Records of one member are totally ordered by (Incarnation, Seq, Revision), and Merge keeps the greater one, so that
// tables which exchange their records in any order converge:
//
//   - Seq counts the member's own heartbeats.
//   - Incarnation rises when that count starts again, as SWIM's incarnation numbers do: a heartbeat of a process that
//     ended can't replace the record of its successor. The control plane assigns it (Members.Heartbeat), as a member
//     doesn't remember its predecessors.
//   - Revision rises with each change that the control plane itself makes: a drain that takes effect, a tombstone.
//
// # Phases of a member
//
//	live --(its heartbeats say so)--> Leaving --(StartDraining)--> Leaving + Draining --(Leave, Expire)--> Tombstone
//
// Leaving is a wish of the member, Draining the decision on it: a primary that is leaving serves until its role has
// been handed over, and only Draining makes drivers stop using it. A member that leaves or expires without a word
// goes to Tombstone from any phase. Tombstones are kept for a while, so that late heartbeats and records from other
// tables don't revive the member; then they are purged.
//
// # Anti-entropy
//
// Changes are pushed as they happen; drivers pass them on to a few peers (GossipPeers). Tables that missed some find
// out by comparing digests (Members.Digest, Leases.Digest) and exchange their records whole. A digest covers only
// what matters to the reader, and its value is part of the protocol.
package directory
