// Package shardnode implements a database node's side of sharding: which replicas the node stores, the epochs with
// which it serves them, and how much of its disk they may take. It does no I/O and reads no clock: its runner calls a
// method of Store, syncs the store to disk, and sends the answer.
//
// # Roles
//
// Each shard has one owner, the node that the shard map (package shardmap) names. The owner's replica is open: it
// runs reads, writes and transactions. A transfer creates a second replica on the target node, which the rebalancer
// fills from the source's log and which becomes the open replica when the map names the target as the owner. Shards are
// not replicated otherwise: a node is itself a replicated service.
//
// # Epochs are fencing tokens
//
// The core assigns the next epoch of a shard with each change of the shard's owner, and never assigns an epoch to two
// owners. A statement carries the epoch of the map that routed it, and an open replica runs it only if the replica has
// the same epoch. A node stores the highest epoch that it has observed of each shard (Store.HighestEpochs), including
// shards that it does not store, and refuses older ones. A request with the wrong epoch is refused with a MovedError,
// which holds the highest epoch: if the request's epoch is older its sender needs a newer map, and if it is newer the
// sender has to wait until the node has observed it.
//
// # A replica's states
//
//	(none)                 -- Reserve --------------------> receiving
//	receiving              -- Seal -----------------------> sealed
//	sealed                 -- Activate, hand-over --------> open
//	open                   -- Close ----------------------> closing
//	closing                -- the last transaction ends --> closed
//	open, closing, closed  -- Activate, roll-back --------> open
//	(none)                 -- Activate, new shard --------> open
//	receiving              -- Discard, Drop, evicted -----> (none)
//	sealed, closed         -- Drop -----------------------> (none)
//
// Reserve reserves disk space for the shard's size and growth. AppendEntries appends the source's log in order. Seal
// succeeds only with the complete log up to the source's last index. Close stops new work at the source; the log's last
// index is final once no transaction is open. Activate opens a replica with an epoch that the core has committed: that
// of the hand-over at the target, that of the roll-back at the source. Drop removes a replica that a newer owner has
// made redundant.
//
// # Why no write is lost or runs twice
//
// A write is acknowledged only by an open replica, after it has been appended to the replica's log and the store has
// been synced. Suppose that the core commits a hand-over to epoch e+1 with the log's last index n. The hand-over is
// proposed only after the source has closed with epoch e and final index n and the target has sealed a replica that
// ends at n:
//
//   - A closed replica appends nothing and opens again only with a newer epoch. So n covers every write that the source
//     ever acknowledges with epoch e.
//   - A sealed replica is neither evicted for space nor discarded; only a Drop or Reserve with a newer epoch of the
//     owner removes it. So when the target is activated with required index n it either has all of these writes or
//     refuses with ErrIncomplete.
//   - The source is activated with e+1 only if the core has committed the roll-back instead. Both changes name e as the
//     epoch that they replace, so only one of them can be committed, and at most one replica ever opens with e+1.
//
// Each write carries the id of its attempt, which is stored in the log entry and so moves with the shard: a repeated
// attempt, at any owner, is answered with the entry of the first one. An attempt whose answer was lost is resolved at
// the current owner (ResolveAttempt): either its entry is found, or an entry that marks it as aborted is appended,
// after which the attempt never runs, however late it arrives.
//
// # Files
//
//   - store.go: what is stored, and the disk's capacity
//   - serve.go: reads, writes and transactions of the owner
//   - transfer.go: the steps of a transfer, at the source and at the target
//   - statements.go: the statements of the line protocol that call them
//   - report.go: the node's report of its store
//   - errors.go: refusals and their codes on the wire
package shardnode
