// Package writerslot implements the writer slot of a replication group: the record of the member that is believed to
// be the primary.
//
// The slot holds the member that writes are sent to, or none. While it is empty, its owner queues writes instead of
// guessing a primary. The driver's routing module (package logic) and the proxy's routing (internal/dataplane/group)
// share these rules; deploy/balancer.toml lists slot.go among the files that hold the decision logic.
//
// # What fills the slot
//
// The slot is filled on evidence that a member is the primary: its heartbeat, its answer to a request that only a
// primary answers, or its answer to a health check. Accepts accepts the evidence if
//
//   - the member isn't draining: the control plane is about to promote another one, and a write that the draining
//     member still takes could be lost;
//   - the evidence is newer than the newest evidence for any earlier holder (SeenAt): if two members both claim to be
//     the primary, the later claim counts;
//   - the evidence isn't older than the newest evidence that the member is a replica;
//   - the member wasn't itself removed from the slot later than the evidence. The exception is a removal only because
//     the member was unresponsive (Unresponsive): if the member itself responds, the removal is undone.
//
// # What empties the slot
//
// The owner calls Clear with unresponsive = false when the holder drains, is removed, rejects a write as read-only or
// reports that it is a replica: the evidence comes from the member or the control plane. It calls Clear with
// unresponsive = true when the holder doesn't respond or can't be connected to: its role is then unknown.
package writerslot
