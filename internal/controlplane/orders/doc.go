// Package orders is the queue of operators' requests at the leader of the control plane: it decides in which order they
// are proposed, and what each caller is answered.
//
// An Order is a request that any machine received and forwarded to the leader: a change of the configuration, of the
// shard map, of the site map or of the roster, a read of the configuration, or a site's request for a lease. The
// package does no I/O and reads no clock: its owner, the consensus loop, submits orders (Queue.Submit) and calls
// Queue.Step whenever time has passed, a message was received, or an entry was committed.
//
// # Phases of an order
//
//	             evaluate: a read, a lease, a rejection
//	phaseQueued ------------------------------------------> phaseConfirming ---> answered
//	     |  \                                                     |          a quorum has confirmed the leader
//	     |   `---> answered: applied before, undecided            | evaluate: a change after all
//	     | evaluate: a change                                     v
//	     `--------------------------------------------------> phaseProposed ---> answered
//	                                                                         the entry is committed, or lost
//
// In every phase an order is answered with ErrNotLeader once the machine leads no longer, and with ErrTimeout at its
// deadline. Orders are decided in the order in which they arrived, and one entry is in flight at a time: an order
// that arrived after one that is proposed waits.
//
// # Why every answer is safe to retry for
//
// Whoever asks, at whichever machine and how often:
//
//   - A change applies on exactly one version, its base, and a version has at most one successor. Applied changes are
//     recognized by their digests in the replicated state itself, so that each later leader knows them.
//   - OutcomeApplied is answered only for what is committed: an entry of the proposer's term at or before the commit
//     index. An entry in its place from another term is not the order's.
//   - OutcomeRejected is answered only for what no state that can follow would apply (config.RejectedError), and only
//     once a quorum has confirmed the leader since the order was evaluated, as a deposed leader's state may be stale.
//   - The same confirmation precedes each read, which makes reads linearizable (etcd's ReadIndex).
//   - All else is OutcomeUnknown: the caller retries.
//   - A change whose base is not in place yet waits, as the change that brings its base may be in flight; it holds up
//     nobody.
package orders
