// Package shardnode is a database node's side of shards: which replicas it stores, by which epoch it serves them,
// and how much of its disk they may take. It does no I/O and reads no clock: its runner calls a method of Store,
// syncs the store, and sends the answer.
//
// # Roles
//
// Each shard has one owner, the node that the shard map (package shardmap) names. The owner's replica is open: it
// runs reads, writes and transactions. A transfer makes a second replica on the target node, which the rebalancer
// fills from the source's log and which becomes the open one when the map names the target. Nothing else is
// replicated here: a node is itself a replicated service.
//
// # Epochs are fencing tokens
//
// The core gives each change of a shard's owner the next epoch of that shard, and never gives an epoch to two
// owners. A statement carries the epoch of the map that routed it, and an open replica runs it only if the epoch is
// its own. A node keeps the highest epoch that it has observed of each shard (Store.HighestEpochs), also of shards
// that it does not store, and refuses whatever is older. A refusal by the epoch is a MovedError and tells the
// highest epoch: who sent by an older one needs a newer map, and who sent by a newer one has to wait until the node
// has heard of it.
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
// Reserve promises disk space for the shard's size and growth. AppendEntries takes the source's log in order. Seal
// succeeds only with the whole log up to the source's last index. Close stops new work at the source; the log's end
// is final once no transaction is open. Activate opens a replica by an epoch that the core has agreed on: at the
// target that of the hand-over, at the source that of the roll-back. Drop removes what a newer owner has made
// redundant.
//
// # Why no write is lost, and none runs twice
//
// A write is acknowledged only by an open replica, after it stands in the replica's log and the store is synced. Let
// the core agree on a hand-over by epoch e+1, with the log's last index n. It proposes one only after the source had
// closed by epoch e with n as its final index and the target had sealed a replica that ends at n:
//
//   - A closed replica appends nothing and opens again only by a newer epoch. So n covers every write that the source
//     ever acknowledges by e.
//   - A sealed replica is neither evicted for space nor discarded; only Drop or Reserve by a newer epoch of the
//     owner removes it. So when the target is activated with required index n it has all of these writes, or
//     refuses with ErrIncomplete.
//   - The source is activated by e+1 only if the core agreed on the roll-back instead. Both changes name e as the
//     epoch that they replace, so only one of them can be agreed on, and at most one replica ever opens by e+1.
//
// Each write bears the id of its attempt, and the id is in its log entry, so it moves with the shard: an attempt
// that is repeated, at whichever owner, is answered with the entry of the first. An attempt whose answer was lost is
// resolved at the present owner (ResolveAttempt): its entry is found, or an entry that marks it as aborted is
// appended, and from then on the attempt never runs, however late it arrives.
//
// # Files
//
//   - store.go: what is stored, and the disk's capacity
//   - serve.go: reads, writes and transactions of the owner
//   - transfer.go: the steps of a transfer, at the source and at the target
//   - statements.go: the statements of the line protocol that call them
//   - report.go: what the node reports of itself
//   - errors.go: refusals and their codes on the wire
package shardnode
