package consensus

import (
	"maps"
	"slices"
)

// Propose appends an entry with a new value. It returns false if this node isn't an established leader, is shutting
// down, or has an entry in flight.
func (n *Node) Propose(value []byte, now float64) (Entry, bool) {
	if !n.Established() || n.InFlight() || n.leaving() {
		return Entry{}, false
	}
	n.appendEntry(n.HardState.Last.Voters, value, now)
	return n.HardState.Last, true
}

// appendEntry replaces the leader's last entry by its successor and sends that to all peers.
func (n *Node) appendEntry(voters []Voter, value []byte, now float64) {
	n.recordRemoved(voters, now)
	n.HardState.Last = Entry{Term: n.HardState.Term, Index: n.HardState.Last.Index + 1, Voters: voters, Value: value,
		Former: n.formerVoters(voters, now)}
	n.unsynced = true
	n.broadcastAppend(now)
}

// broadcastAppend starts a heartbeat round: to voters, to joining machines and, in some rounds, to removed voters.
func (n *Node) broadcastAppend(now float64) {
	n.round++
	n.roundTimes.record(n.round, now)
	n.startContactRound(now)
	n.nextHeartbeatAt = now + n.options.HeartbeatInterval
	for _, v := range n.HardState.Last.Voters {
		if v.ID != n.HardState.ID {
			n.sendAppend(v, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.joiners)) {
		candidate := n.joiners[id]
		if now-candidate.requestedAt > 10*n.options.HeartbeatInterval {
			delete(n.joiners, id)
		} else if !n.isVoter(id) {
			n.sendAppend(candidate.voter, now)
		}
	}
	if n.round%removedHeartbeatRounds == 0 {
		n.notifyRemoved(now)
	}
}

// sendAppend sends a heartbeat, with the last entry if the peer lacks it and it isn't already in flight to the peer.
func (n *Node) sendAppend(to Voter, now float64) {
	p := n.progress[to.ID]
	if p == nil {
		p = &progress{lastResponse: now}
		n.progress[to.ID] = p
	}
	last := &n.HardState.Last
	msg := Message{Kind: AppendEntries, Term: n.HardState.Term, LastTerm: last.Term, LastIndex: last.Index, Round: n.round,
		Contact: n.contactFor(p), Incarnation: p.clock.incarnation}
	if n.HardState.CommitTerm == last.Term {
		msg.Commit = n.HardState.Commit
	}
	if n.lacksLastEntry(p) && (p.inflight.index != last.Index || now-p.inflight.sentAt > 4*n.options.HeartbeatInterval) {
		msg.Entry = last
		p.inflight = inflightEntry{index: last.Index, round: n.round, sentAt: now}
	}
	n.send(to.Addr, msg)
}

func (n *Node) handleAppendResponse(msg *Message, now float64) {
	if msg.Term > n.HardState.Term {
		n.observeTerm(msg.Term, now)
		return
	}
	if n.role != Leader || msg.Term != n.HardState.Term {
		return
	}
	p := n.progress[msg.From.ID]
	if p == nil { // a machine with a new ID, or a voter that was removed while the heartbeat was in transit
		n.addJoiner(msg.From, now)
		return
	}
	p.recordResponse(msg, now)
	n.observeClock(p, msg, now)
	n.setLeaving(msg.From.ID, msg.senderLeaving(), now)
	n.advance(now)
	if n.role != Leader || !n.lacksLastEntry(p) {
		return
	}
	if p.inflight.index != n.HardState.Last.Index || msg.Round >= p.inflight.round {
		p.inflight.index = 0 // an answer to the message with the entry, or to a later one, shows that it was lost
		n.sendAppend(msg.From, now)
	}
}

// advance steps down if a majority is silent (Raft's CheckQuorum), and otherwise commits what a majority has synced.
func (n *Node) advance(now float64) {
	if !n.quorumActive(now) {
		n.becomeFollower(Voter{}, now)
		return
	}
	if n.canCommitLast() {
		n.commitLast(now)
	}
	n.endContactRound()
}

// quorumActive reports whether a majority has answered within two election timeouts.
func (n *Node) quorumActive(now float64) bool {
	limit := 2 * n.options.ElectionTimeout
	return n.quorumOf(n.HardState.Last.Voters, func(peer *progress) bool { return peer.silentFor(now) < limit })
}

// canCommitLast reports whether the last entry is of this leader's own term and synced by a majority of the voters that
// it names.
func (n *Node) canCommitLast() bool {
	last := &n.HardState.Last
	if n.HardState.lastCommitted() || last.Term != n.HardState.Term {
		return false
	}
	return hasMajority(last.Voters, func(v Voter) bool {
		if v.ID == n.HardState.ID {
			return !n.unsynced
		}
		p := n.progress[v.ID]
		return p != nil && p.match == last.id()
	})
}

// commitLast commits the last entry. A leader that the entry removes from the voters steps down.
func (n *Node) commitLast(now float64) {
	last := &n.HardState.Last
	n.HardState.Commit, n.HardState.CommitTerm, n.termCommitted = last.Index, last.Term, true
	n.committed = *last
	n.nextHeartbeatAt = now // followers are notified at the next Tick
	if !n.isVoter(n.HardState.ID) {
		n.transferLeadership(now)
		n.becomeFollower(Voter{}, now)
	}
}

// handleAppend follows the leader of the term, accepts its entry if that is newer, and answers with the ID of this
// node's last entry. The answer waits for the sync, as all messages do.
func (n *Node) handleAppend(msg *Message, now float64) {
	if msg.Term > n.HardState.Term {
		n.setTerm(msg.Term, "")
		n.becomeFollower(msg.From, now)
	} else if msg.Term == n.HardState.Term && (n.role != Follower || n.leader.ID != msg.From.ID) {
		n.becomeFollower(msg.From, now)
	}
	if msg.Term == n.HardState.Term {
		n.lastLeaderMessage = now
		n.lastFollowed = followedLeader{msg.From, now}
		n.resetElectionDeadline(now)
		n.acceptEntry(msg, now)
		n.updateContact(msg, now)
	}
	n.send(msg.From.Addr, Message{Kind: AppendEntriesResponse, Term: n.HardState.Term, LastTerm: n.HardState.Last.Term,
		LastIndex: n.HardState.Last.Index, Round: msg.Round, Granted: n.leaving(), Clock: now, Incarnation: n.incarnation})
}

// acceptEntry processes the entry and the commit index of the leader's message.
func (n *Node) acceptEntry(msg *Message, now float64) {
	last := &n.HardState.Last
	if last.Term == msg.LastTerm && last.Index > n.committed.Index && msg.Commit >= last.Index {
		n.committed = *last // committed before it is replaced below: the leader wrote its next entry only after that
	}
	if e := msg.Entry; e != nil && e.id().newerThan(last.id()) {
		n.recordRemoved(e.Voters, now)
		*last, n.unsynced = *e, true
	}
	if last.id() == msg.lastID() && msg.Commit >= last.Index {
		// Not synced on its own: after a restart the node learns it again from the leader.
		n.HardState.Commit, n.HardState.CommitTerm = last.Index, last.Term
		n.committed = *last
	}
}
