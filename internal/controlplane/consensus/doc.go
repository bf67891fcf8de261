// Package consensus lets the machines of the core agree on one value, and on which of them vote on it.
//
// The value is opaque here; its caller, the control plane, keeps the operators' configuration in it. The
// package is Raft (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, 2014; section
// numbers below are of that paper, "thesis" is Ongaro's Consensus: Bridging Theory and Practice) with the
// departures that are listed here. It does no I/O, starts no goroutine and reads no clock, so that tests play
// whole clusters in virtual time.
//
// # How to drive a node
//
// One goroutine owns a [Node]. It makes one by [New] from the [HardState] on its disk (or [Bootstrap],
// [Restore] or [Empty] where there is none), and from then on, with now in milliseconds of a clock that never
// goes back:
//
//	n.Tick(now)              // several times a heartbeat interval
//	n.Step(&message, now)    // for each message that comes
//	n.Propose(value, now)    // at an established leader, for a change
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
// The order is the contract: nothing that follows from HardState may be sent before HardState is synced.
// Where a save fails, drop the messages and don't call Synced: a node that never speaks of what it doesn't
// hold is only slow. A message may be lost, late or come twice. Message.Entry points to the sender's own
// state; encode it before the node is called again.
//
// A change is acknowledged to a client once [Node.Committed] gives an entry of the proposal's term with its
// index or a higher one. A read of the newest value is answered once [Node.ReadConfirmed] says so of a
// [Node.ReadIndex]. A process that shuts down calls [Node.Leave] and goes on driving the node until
// [Node.LeaveDone].
//
// # Departures from Raft
//
// The log is one entry. Each [Entry] holds the whole value and the whole set of voters, so that an entry
// replaces the one before, and there is no log to compare, truncate or compact: AppendEntries bears the last
// entry where the receiver may lack it, and a follower takes it if it is newer by (term, index). The leader
// proposes an entry only when the one before is committed ([Node.InFlight]), so each entry of a term was
// written in the knowledge of all that was committed before. A newly elected leader writes its last entry
// anew in its own term, and proposes nothing else until that is committed (section 5.4.2); only then is it
// established.
//
// Voters change by one at a time (thesis, section 4.1), after a committed entry of the leader's own term,
// and with the entry that names them: from the moment at which it is accepted, whether or not it commits. The
// majorities of two sets that differ by one voter meet. Only a voter that comes back with an empty disk is
// exchanged for its new life in one step: the old one answers nobody any more, so every later majority of the
// old set is of the others, and meets each of the new set. That assumes that no vote of the old life is still
// on its way.
//
// The leader changes the voters by itself. It replaces a voter whose disk was lost by the new life of the
// same machine, adds machines that send Join, and removes voters that leave or are silent for RemoveAfter,
// but never below MinVoters unless another joins at once. A removal waits until a majority of those that
// remain has answered a heartbeat sent for it: a majority that is dead when it is made the quorum could never
// elect or commit again. See maintainVoters for the order of the steps.
//
// A lost disk is another voter. A voter's ID is drawn when its disk is first used, so that a machine which
// forgot its vote can't vote again under the same name. It gives no vote until it has an entry, and joins as
// a stranger.
//
// A candidate asks first (pre-vote, thesis section 9.6), and voters that hear a leader give no vote to others
// (section 6), so that a machine that comes back doesn't unseat a working leader. Of two that ask at once
// with equal entries, the lower ID goes first.
//
// A leader that no majority answered for two election timeouts steps down (CheckQuorum, thesis section 6.2).
//
// A leadership transfer is TimeoutNow (thesis, section 3.10). A leader that shuts down has itself voted out
// where there are voters to spare, and transfers its leadership where not.
//
// Contact is a lease on knowledge, not on leadership: it lets every node, followers too, say up to which
// moment it knows all that was acknowledged. See [ContactLease] and contact.go.
//
// # Invariants
//
//   - At most one node leads a term. A vote is synced before it is sent, and given once a term.
//   - The entries known committed under one index are the same everywhere, and a leader's last
//     entry is as new as every entry that was committed in earlier terms.
//   - HardState.Term and the last entry's (term, index) never fall while the disk lives, nor the last contact
//     while the process lives.
//   - What a leader knows of a peer's disk (progress.match) is never newer than what the peer has synced.
//   - A node knows all that was acknowledged anywhere before its last contact.
//
// # Failures
//
// Of 2f+1 voters f may be gone or apart at a time: the others elect, commit and, where MinVoters allows,
// remove the silent ones. A minority commits nothing, and its contact ages beyond ContactLease. A voter that
// comes back votes again if it was not removed, and else joins; for two minutes leaders send heartbeats to
// the addresses of voters that they removed, as those may know nobody else. A node that was wiped joins as a
// new voter in its old one's place. Where a majority of disks is lost for good, [Restore] founds the core
// anew from an exported entry.
//
// # Files
//
//   - state.go: what is stored: voters, entries, HardState
//   - message.go: what is sent
//   - node.go: Node, its roles, and how a caller drives it
//   - election.go: pre-votes, votes, leaders
//   - replication.go: heartbeats, entries, commits
//   - progress.go, quorum.go: what a leader knows of its peers, and majorities
//   - contact.go: reads and contact
//   - join.go, confchange.go: joiners, and changes of voters
//   - shutdown.go: processes that leave, leadership transfers
//
// testdata/transcripts shows an election, a partition, a lost disk, joins and removals, and shutdowns, message by
// message.
package consensus
