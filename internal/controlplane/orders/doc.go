// Package orders implements the queue of requests at the leader of the control plane. It decides in which sequence
// changes are proposed to consensus, and how each caller is answered.
//
// An Order is a request that some machine of the control plane received and forwarded to the leader: a change of the
// configuration, of the shard map, of the site map or of the roster, a read of the configuration, or a site's request
// for a lease. The package does no I/O and reads no clock: its owner, the consensus loop, submits orders (Queue.Submit)
// and calls Queue.Step whenever time has passed, a message was received, or an entry was committed.
//
// # Phases of an order
//
//	             evaluate: a read, a lease, a rejection
//	phaseQueued ------------------------------------------> phaseConfirming ---> answered
//	     |  \                                                     |          a quorum has confirmed the leader
//	     |   `---> answered: already applied, undecided           | evaluate: a change after all
//	     | evaluate: a change                                     v
//	     `--------------------------------------------------> phaseProposed ---> answered
//	                                                                         the entry is committed or lost
//
// In every phase an order is answered with ErrNotLeader once the machine is no longer the leader, and with ErrTimeout
// at its deadline. Orders are decided in order of arrival, and one entry is in flight at a time: while an order is
// proposed, those that arrived after it wait.
//
// # Why retries are safe
//
// The following holds no matter how often, and at which machines, an order is sent:
//
//   - A change applies on exactly one version, its base, and a version has at most one successor. Applied changes are
//     recognized by their digests in the replicated state itself, so that every later leader recognizes them too.
//   - OutcomeApplied is returned only for a committed change: its entry, of the proposer's term, is at or before the
//     commit index. An entry of another term at the same index does not belong to the order.
//   - OutcomeRejected is returned only for a change that no later state would accept (config.RejectedError), and only
//     once a quorum has confirmed the leader since the order was evaluated, as a deposed leader's state may be stale.
//   - Each read waits for the same confirmation, which makes reads linearizable (like ReadIndex in etcd).
//   - In all other cases the outcome is OutcomeUnknown, and the caller has to retry.
//   - A change whose base version does not exist yet waits, as the change that creates the base may be in flight. It
//     does not block the orders after it.
package orders
