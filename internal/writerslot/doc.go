// Package writerslot is a replication group's writer slot, which names the believed primary.
//
// The slot holds the member that writes are sent to, or none; while it holds none, its owner queues writes and
// never guesses. The driver's decision module (logic) and the proxy's routing (internal/dataplane/group) share
// these rules; deploy/balancer.toml lists slot.go among the files that decide.
//
// # What fills the slot
//
// Evidence that a member is the primary: its heartbeat, its answer to a request that only a primary answers, or its
// answer to a health check. Takes accepts it if
//
//   - the member isn't draining: the control plane is about to promote another one, and a write that it still takes
//     could be lost;
//   - the evidence is newer than the newest for any earlier holder (Seen), so that of two members that both claim to be
//     the primary the later claim counts;
//   - it isn't older than the newest evidence that the member is a replica;
//   - the member wasn't itself emptied out of the slot later than that. The exception is a slot that was emptied only
//     because nothing was heard of the member (Silent): if the member itself answers, that is undone.
//
// # What empties the slot
//
// Its owner calls Clear when the holder drains, is removed, refuses a write as read-only or reports that it is a
// replica (silent false: evidence of the member or the control plane), and when it doesn't answer or takes no
// connection (silent true: nothing is known but that).
package writerslot
