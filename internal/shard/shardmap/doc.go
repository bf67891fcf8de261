// Package shardmap decides which node owns each shard, and moves shards from one node to another. It does no I/O and
// reads no clock: time comes in as milliseconds, requests go out as Actions, and answers come back as Results.
//
// # Parts
//
//   - Map (map.go, apply.go) is the replicated state: each shard's owner and epoch, the tasks of the plan, the rules.
//     The core agrees on each Change; Apply is deterministic, so that all its machines have the same map.
//   - Rebalancer (rebalancer.go) runs at the core's leader. It carries out the tasks as transfers (transfer.go,
//     results.go), starts them within the rules and makes new plans (schedule.go), and brings what nodes store in line
//     with the map, whoever began it and died (reconcile.go). It keeps nothing on disk: a new leader begins with an
//     empty one, and each request may be repeated.
//   - RoutingTable (routing.go) is a proxy's view of the map.
//   - statements.go turns actions into statements of the line protocol, and answers into results.
//
// The other side of the protocol is package shardnode.
//
// # Epochs are fencing tokens
//
// Map.Shards gives each shard an owner by an epoch. A hand-over and a roll-back both name the epoch e that they replace
// and make the owner's epoch e+1, so that of the two only the first to be agreed on is applied. No epoch is given out
// twice, and nodes refuse requests by an epoch that is not the owner's present one.
//
// # A transfer
//
//	phase         the rebalancer has                                  ends with
//	reserving     the target reserve disk space                       its promise
//	copying       the target fetch the log in chunks, at a rate       few entries that remain
//	closing       the source close (80 ms on: abort transactions),    the source's final index at the target,
//	              then the target fetch the rest                      sealed or not
//	sealing       the target seal the complete replica                its confirmation
//	handing over  the core agree on the target as owner by e+1;       the source's replica dropped
//	              then the target activate, and the source drop
//	rolling back  the core agree on the source as owner by e+1        an owner by e+1, whoever it is
//	done          the core record the task's status                   the task no longer pending in the map
//
// Until the source closes a transfer ends by being abandoned: the source never stopped serving. From closing on it ends
// by a hand-over or a roll-back, whichever is agreed on first; the shard isn't served between the close and the
// activation. The close is bounded: after closeTimeout the transfer rolls back.
//
// # Invariants
//
//   - A shard has one owner by one epoch; at most one replica ever opens by an epoch.
//   - A hand-over is proposed only after the source had closed with its final index n and the target had sealed a
//     replica that ends at n. Change.LastIndex carries n into the map as Assignment.RequiredIndex, and the target
//     refuses to activate with less. So no acknowledged write is lost; package shardnode's doc.go has the whole
//     argument.
//   - A leader that was deposed can do no lasting harm: its proposals aren't agreed on, its requests to nodes bear an
//     epoch that is over or repeat what was asked for anyway, and a close that comes late is undone by the
//     reconciliation.
//   - A transfer whose leader died leaves a receiving or sealed replica, or a closed shard. The next leader's
//     reconciliation discards the first, and rolls the others back to the owner by a new epoch before it touches the
//     replica, since a hand-over may still be in flight.
package shardmap
