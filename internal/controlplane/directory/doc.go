// Package directory is the soft state of the control plane: the tables of members and drivers.
//
// A member is a database process. Its record consists of the data in its heartbeats and of what the control plane adds.
// A driver is a machine that serves clients; it is listed while its agent renews a lease. Control plane machines,
// agents and proxies each have tables of their own: Members and Leases. The package does no I/O and reads no clock
// (times are in milliseconds on the owner's clock), and a table must be used by one goroutine only. Nothing is stored
// on disk: a new table is filled by heartbeats and renewals.
//
// # Order of a member's records
//
// Records of one member are totally ordered by (Incarnation, Seq, Revision), and Merge keeps the greater one, so that
// tables that exchange their records in any order converge. One exception: within an incarnation, the record of a
// member that announced its departure supersedes all others.
//
//   - Seq counts the member's own heartbeats.
//   - Incarnation rises when that count starts again, as SWIM's incarnation numbers do: a heartbeat of a process that
//     ended can't replace the record of its successor. The control plane assigns it (Members.Heartbeat), as a member
//     doesn't know its predecessors.
//   - Revision rises with each change that the control plane itself makes: a drain that takes effect, a tombstone.
//
// # Phases of a member
//
//	live --(its heartbeats say so)--> Leaving --(StartDraining)--> Leaving + Draining --(Leave, Expire)--> Tombstone
//
// Leaving is the member's request, Draining the control plane's decision on it: a primary that is leaving serves until
// its role has been handed over, and only Draining makes drivers stop using it. A member that announces its departure
// (Leave) or stops sending heartbeats (Expire) becomes a tombstone from any phase. Tombstones are kept for a while, so
// that late heartbeats and records from other tables don't revive the member; then they are purged.
//
// # Anti-entropy
//
// Changes are pushed as they happen; drivers forward them to a few peers (GossipPeers). Tables that missed a change
// detect that by comparing digests (Members.Digest, Leases.Digest), and then exchange all their records. A digest
// covers only the fields that matter to the reader, and its value is part of the protocol.
package directory
