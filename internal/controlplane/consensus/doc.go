// Package consensus replicates one value among a cluster of machines, and the set of machines that vote on it.
//
// The value is opaque to the package; the control plane, its caller, keeps the operators' configuration in it. The
// package implements Raft (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, 2014; section
// numbers below refer to that paper, and "thesis" to Ongaro's Consensus: Bridging Theory and Practice) with the
// departures listed below. It does no I/O, starts no goroutine and reads no clock, so that tests can run whole
// clusters in virtual time.
//
// # How to drive a node
//
// One goroutine owns a [Node]. It calls [New] with the [HardState] read from disk, or with that of [Bootstrap],
// [Restore] or [Empty] if the disk has none, and from then on, where now is the reading of a monotonic clock in
// milliseconds:
//
//	n.Tick(now)              // several times per heartbeat interval
//	n.Step(&message, now)    // for each message received
//	n.Propose(value, now)    // on an established leader, to change the value
//
// After each call, or after several:
//
//	for {
//		if n.Dirty() {
//			save(&n.HardState)   // returns when it is synced
//			n.Synced(now)
//		}
//		for _, e := range n.Messages() {
//			send(e.To, &e.Message)
//		}
//		entry, ok := n.Committed() // apply it if it is new
//		if !n.Dirty() {
//			break
//		}
//	}
//
// The order matters: no message that depends on HardState may be sent before HardState is synced. If a save fails,
// drop the messages and don't call Synced: a node that sends nothing about state it hasn't stored is merely slow.
// Messages may be lost, delayed or duplicated. Message.Entry points into the sender's state; encode it before the
// next call of the node.
//
// A change is acknowledged to a client once [Node.Committed] returns an entry of the proposal's term with the
// proposal's index or a higher one. A linearizable read is answered once [Node.ReadConfirmed] reports true for the
// round that [Node.ReadIndex] returned. A process that shuts down calls [Node.Leave] and drives the node until
// [Node.LeaveDone] reports true.
//
// # Departures from Raft
//
// The log is one entry. Each [Entry] holds the whole value and the whole set of voters, so an entry replaces its
// predecessor, and there is no log to compare, truncate or compact: AppendEntries carries the leader's last entry if
// the receiver may lack it, and a follower accepts it if it is newer by (term, index). The leader proposes an entry
// only when the previous one is committed ([Node.InFlight]), so each entry of a term follows from everything
// committed before. A newly elected leader rewrites its last entry in its own term and proposes nothing else until
// that entry is committed (section 5.4.2); only then is the leader established.
//
// Voters change one at a time (thesis, section 4.1), after a committed entry of the leader's own term. A new set of
// voters takes effect as soon as the entry that holds it is accepted, committed or not. The majorities of two sets
// that differ by one voter overlap. Only a voter that returns with an empty disk is replaced, by the same machine
// under a new ID, in one step: the old ID no longer answers, so every later majority of the old set consists of other
// voters and overlaps each majority of the new set. This assumes that no vote of the old ID is still in transit.
//
// The leader changes the voters by itself. It replaces a voter whose disk was lost by the same machine under its new
// ID, adds machines that send Join, and removes voters that leave or are silent for RemoveAfter, but never below
// MinVoters unless another machine joins at once. A removal waits until a majority of the remaining voters has
// answered a heartbeat sent for it: a set whose majority is already dead when it becomes the configuration could
// never elect or commit again. See maintainVoters for the order of the steps.
//
// A machine that lost its disk is a new voter. A voter's ID is drawn at random when its disk is first used, so that a
// machine which lost the record of its vote can't vote again under the same ID. It grants no vote until it has an
// entry, and joins like any new machine.
//
// Elections begin with a pre-vote (thesis, section 9.6), and voters that hear from a leader vote for nobody else
// (section 6), so that a returning machine doesn't disrupt a working leader. If two pre-candidates with equal entries
// start at the same time, the one with the lower ID goes first.
//
// A leader that no majority has answered for two election timeouts steps down (CheckQuorum; thesis, section 6.2).
//
// A leadership transfer uses TimeoutNow (thesis, section 3.10). A leader that shuts down has itself removed from the
// voters if enough others remain, and transfers its leadership otherwise.
//
// Contact is a lease on knowledge, not on leadership: it tells every node, followers included, up to which moment it
// knows everything that was acknowledged. See [ContactLease] and contact.go.
//
// # Invariants
//
//   - At most one node leads in a term. A node votes once per term, and syncs the vote before it sends it.
//   - All nodes that know an entry with some index to be committed know the same entry, and a leader's last entry is at
//     least as new as every entry that was committed in earlier terms.
//   - HardState.Term and the (term, index) of the last entry never decrease during the lifetime of the disk, nor does
//     the last contact during that of the process.
//   - The entry that a leader records as stored by a peer (progress.match) is never newer than what the peer synced.
//   - A node knows everything that was acknowledged anywhere before its last contact.
//
// # Failures
//
// Of 2f+1 voters, f may be down or partitioned at a time: the others elect, commit and, if MinVoters allows it,
// remove the silent ones. A minority commits nothing, and the age of its contact exceeds ContactLease. A voter that
// returns votes again if it was not removed, and joins otherwise; leaders send heartbeats to the addresses of removed
// voters for two minutes, as those may know no other address of a current voter. A machine whose disk was wiped joins
// as a new voter in place of its old ID. If a majority of the disks is lost permanently, [Restore] bootstraps the
// cluster again from an exported entry.
//
// # Files
//
//   - state.go: the stored state: voters, entries, HardState
//   - message.go: messages
//   - node.go: Node, its roles, and the calls that drive it
//   - election.go: pre-votes, votes, leaders
//   - replication.go: heartbeats, entries, commits
//   - progress.go, quorum.go: a leader's view of its peers, and majorities
//   - contact.go, clockrate.go: confirmed reads and contact, and the check of clock rates that contact relies on
//   - join.go, confchange.go, former.go: joining machines, changes of the voters, and former voters
//   - shutdown.go: processes that shut down, leadership transfers
//
// testdata/transcripts shows an election, a partition, a lost disk, joins and removals, and shutdowns, message by
// message.
package consensus
