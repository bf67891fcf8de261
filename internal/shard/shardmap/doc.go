// Package shardmap records which node owns each shard and moves shards between nodes. It does no I/O and reads no
// clock: callers pass the time in milliseconds, requests are returned as Actions, and their outcomes are passed back as
// Results.
//
// # Parts
//
//   - Map (map.go, apply.go) is the replicated state: each shard's owner and epoch, the tasks of the plan, and the
//     rules. The core, a Raft group, commits each Change; Apply is deterministic, so that all machines of the core have
//     the same map.
//   - Rebalancer (rebalancer.go) runs at the core's leader. It executes the tasks as transfers (transfer.go,
//     results.go), starts them within the rules and makes new plans (schedule.go), and reconciles the replicas that
//     nodes store with the map, including those left behind by an earlier leader (reconcile.go). It keeps nothing on
//     disk: a new leader starts with an empty Rebalancer, and each request is idempotent.
//   - RoutingTable (routing.go) is a proxy's view of the map.
//   - statements.go formats actions as statements of the line protocol and parses the answers into results.
//
// The other side of the protocol is package shardnode.
//
// # Epochs are fencing tokens
//
// Map.Shards assigns each shard an owner and an epoch. A hand-over and a roll-back both name the epoch e that they
// replace and set the owner's epoch to e+1, so that only the first of the two to be committed is applied. No epoch is
// assigned twice, and nodes refuse requests that carry any other epoch than the owner's current one.
//
// # A transfer
//
//	phase         requests of the rebalancer                          ends when
//	reserving     target: reserve disk space                          the target has reserved it
//	copying       target: fetch the log in chunks, at a limited rate  at most maxLagToClose entries remain
//	closing       source: close (after 80 ms: abort transactions);    the target has the source's final index,
//	              then target: fetch the remaining entries            sealed or not
//	sealing       target: seal the complete replica                   the target confirms
//	handing over  core: commit the target as owner with epoch e+1;    the source has dropped its replica
//	              then target: activate, and source: drop
//	rolling back  core: commit the source as owner with epoch e+1     the map has an owner with epoch e+1
//	done          core: record the task's status                      the task is no longer pending in the map
//
// A transfer that fails before the source closes is abandoned: the source never stopped serving. From closing on it
// ends with a hand-over or a roll-back, whichever is committed first; the shard isn't served between the close and the
// activation. The close is bounded: after closeTimeout the transfer rolls back.
//
// # Invariants
//
//   - A shard has one owner per epoch, and at most one replica ever opens with a given epoch.
//   - A hand-over is proposed only after the source has closed with its final index n and the target has sealed a
//     replica that ends at n. Change.LastIndex carries n into the map as Assignment.RequiredIndex, and the target
//     refuses to activate a shorter log. So no acknowledged write is lost; doc.go of package shardnode has the complete
//     argument.
//   - A deposed leader does no lasting damage: its proposals aren't committed, its requests to nodes carry an outdated
//     epoch or repeat a request that is valid anyway, and a close that arrives late is undone by the reconciliation.
//   - A transfer whose leader crashed leaves a receiving replica, a sealed replica or a closed shard. The next leader's
//     reconciliation discards a receiving replica. In the other two cases it first rolls the shard back to its owner
//     with a new epoch, because a hand-over may still be in flight.
package shardmap
