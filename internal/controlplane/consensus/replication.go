package consensus

import (
	"maps"
	"slices"
)

// Propose offers a value to follow the last one. False: this node is no established leader, shuts down, or has
// an entry in flight.
func (n *Node) Propose(value []byte, now float64) (Entry, bool) {
	if !n.Established() || n.InFlight() || n.leaving() {
		return Entry{}, false
	}
	n.appendEntry(n.HardState.Last.Voters, value, now)
	return n.HardState.Last, true
}

// appendEntry replaces the leader's last entry by the next, and sends it to all.
func (n *Node) appendEntry(voters []Voter, value []byte, now float64) {
	n.recordRemoved(voters, now)
	n.HardState.Last = Entry{Term: n.HardState.Term, Index: n.HardState.Last.Index + 1, Voters: voters, Value: value,
		Former: n.formerVoters(voters, now)}
	n.unsynced = true
	n.broadcastAppend(now)
}

// broadcastAppend begins a heartbeat round: to voters, to joiners, and now and then to removed ones.
func (n *Node) broadcastAppend(now float64) {
	n.round++
	n.roundTimes.record(n.round, now)
	n.startContactRound(now)
	n.nextHeartbeat = now + n.options.HeartbeatInterval
	for _, v := range n.HardState.Last.Voters {
		if v.ID != n.HardState.ID {
			n.sendAppend(v, now)
		}
	}
	for _, id := range slices.Sorted(maps.Keys(n.joiners)) {
		j := n.joiners[id]
		if now-j.requestedAt > 10*n.options.HeartbeatInterval {
			delete(n.joiners, id)
		} else if !n.isVoter(id) {
			n.sendAppend(j.voter, now)
		}
	}
	if n.round%removedHeartbeatEvery == 0 {
		n.notifyRemoved(now)
	}
}

// sendAppend sends a heartbeat, with the last entry if the peer lacks it and none is on its way.
func (n *Node) sendAppend(to Voter, now float64) {
	p := n.progress[to.ID]
	if p == nil {
		p = &progress{lastResponse: now}
		n.progress[to.ID] = p
	}
	last := &n.HardState.Last
	m := Message{Kind: AppendEntries, Term: n.HardState.Term, LastTerm: last.Term, LastIndex: last.Index, Round: n.round,
		Contact: n.contactFor(p), Incarnation: p.clock.incarnation}
	if n.HardState.CommitTerm == last.Term {
		m.Commit = n.HardState.Commit
	}
	if n.lacksLast(p) && (p.inflight.index != last.Index || now-p.inflight.sentAt > 4*n.options.HeartbeatInterval) {
		m.Entry = last
		p.inflight = inflightEntry{index: last.Index, round: n.round, sentAt: now}
	}
	n.send(to.Addr, m)
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
	if p == nil { // another life of a voter's disk, or one that was removed while the heartbeat was on its way
		n.addJoiner(msg.From, now)
		return
	}
	p.recordResponse(msg, now)
	n.observeClock(p, msg, now)
	n.setLeaving(msg.From.ID, msg.senderLeaving(), now)
	n.advance(now)
	if n.role != Leader || !n.lacksLast(p) {
		return
	}
	if p.inflight.index != n.HardState.Last.Index || msg.Round >= p.inflight.round {
		p.inflight.index = 0 // an answer to what was sent with the entry or later shows that it was lost
		n.sendAppend(msg.From, now)
	}
}

// advance steps down where a majority is silent (Raft's CheckQuorum), and else commits what a majority holds synced.
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

// quorumActive says that a majority has answered within two election timeouts.
func (n *Node) quorumActive(now float64) bool {
	limit := 2 * n.options.ElectionTimeout
	return n.quorumOf(n.HardState.Last.Voters, func(peer *progress) bool { return peer.silentFor(now) < limit })
}

// canCommitLast says that a majority of the voters that the last entry names hold it synced, and that it is
// of this leader's own term.
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

// commitLast commits the last entry, and ends a lead that it voted out.
func (n *Node) commitLast(now float64) {
	last := &n.HardState.Last
	n.HardState.Commit, n.HardState.CommitTerm, n.termCommitted = last.Index, last.Term, true
	n.committed = *last
	n.nextHeartbeat = now // followers learn of it at the next Tick
	if !n.isVoter(n.HardState.ID) {
		n.transferLeadership(now)
		n.becomeFollower(Voter{}, now)
	}
}

// handleAppend follows the leader of the term, takes its entry if that is newer, and answers with what this
// node holds. The answer waits for the sync, as all messages do.
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

// acceptEntry takes what the leader of the term says of its entry and of what is committed.
func (n *Node) acceptEntry(msg *Message, now float64) {
	last := &n.HardState.Last
	if last.Term == msg.LastTerm && last.Index > n.committed.Index && msg.Commit >= last.Index {
		n.committed = *last // the entry that is replaced below was committed: its leader wrote the next one after it
	}
	if e := msg.Entry; e != nil && e.id().newerThan(last.id()) {
		n.recordRemoved(e.Voters, now)
		*last, n.unsynced = *e, true
	}
	if last.id() == msg.lastID() && msg.Commit >= last.Index {
		// Not synced for its own sake: it is learned again.
		n.HardState.Commit, n.HardState.CommitTerm = last.Index, last.Term
		n.committed = *last
	}
}
