package consensus

import "slices"

// shutdownState is of a process that shuts down in order.
type shutdownState struct {
	leavingSince float64 // this process's own shutdown began, in milliseconds; 0: it did not
	nextTransfer float64 // a leader asks another successor
}

// Leave says that this process shuts down in order. It notifies all that it knows, and as leader lets go of
// its lead; it answers on until its process ends, so that what is in flight is decided. Tick on until
// LeaveDone.
func (n *Node) Leave(now float64) {
	if n.leaving() {
		return
	}
	n.leavingSince = max(now, 1)
	for _, addr := range n.knownAddrs() {
		n.send(addr, Message{Kind: Leave})
	}
	if n.role == Leader {
		n.transferOrLeave(now)
	}
}

// LeaveDone says that nothing waits for this process any more after Leave: it votes no longer, or the time
// is over in which the leader would have had it removed.
func (n *Node) LeaveDone(now float64) bool {
	if !n.leaving() || n.role == Leader {
		return false
	}
	return !n.isVoter(n.HardState.ID) || now-n.leavingSince > n.options.ElectionTimeout*2/3
}

// leaving says that this node's own process shuts down.
func (n *Node) leaving() bool { return n.leavingSince > 0 }

// setLeaving notes whether a voter's process shuts down. It answers on until it ends.
func (n *Node) setLeaving(id string, leaving bool, now float64) {
	if leaving && n.isVoter(id) {
		n.leavingVoters[id] = now
	} else {
		delete(n.leavingVoters, id)
	}
}

// isLeaving says that a voter told of its shutdown not long ago; after that its silence counts, as it may be
// back unheard.
func (n *Node) isLeaving(id string, now float64) bool {
	at, notified := n.leavingVoters[id]
	return notified && now-at < n.options.RemoveAfter
}

// transferOrLeave ends a leaving leader's part once no entry is in flight. Where it may be removed,
// the rest votes without it first (its successor could else need a vote that went with it); where not,
// another is asked to stand, and one more if that one did not.
func (n *Node) transferOrLeave(now float64) {
	if !n.mayTransfer(now) {
		return
	}
	last := &n.HardState.Last
	rest := slices.DeleteFunc(slices.Clone(last.Voters), func(v Voter) bool { return v.ID == n.HardState.ID })
	if _, joins := n.nextJoiner(now); n.mayRemove(joins) && n.quorumAnswers(rest, now) {
		n.appendEntry(rest, last.Value, now)
		return
	}
	n.transferLeadership(now)
}

// quorumAnswers says that a majority of voters answered one of the newest heartbeats. A leader that leaves
// has no time to ask anew: its successor may end with it.
func (n *Node) quorumAnswers(voters []Voter, now float64) bool {
	return n.quorumOf(voters, func(peer *progress) bool { return peer.silentFor(now) < 3*n.options.HeartbeatInterval })
}

// transferLeadership has the voter stand for election that answered last, of those that hold this leader's
// last entry and don't leave.
func (n *Node) transferLeadership(now float64) {
	n.nextTransfer = now + n.options.ElectionTimeout/3
	var successor Voter
	newest := 0.0
	for _, v := range n.HardState.Last.Voters {
		p := n.progress[v.ID]
		if v.ID == n.HardState.ID || p == nil || n.lacksLast(p) || n.isLeaving(v.ID, now) {
			continue
		}
		if p.lastResponse > newest {
			successor, newest = v, p.lastResponse
		}
	}
	if successor.ID == "" {
		return
	}
	n.send(successor.Addr, Message{Kind: TimeoutNow, Term: n.HardState.Term})
	n.progress[successor.ID].lastResponse = newest - 2*n.options.HeartbeatInterval // the next attempt is another's
}

// mayTransfer says that no entry is in flight, and that the last successor that was asked has had its time.
func (n *Node) mayTransfer(now float64) bool { return !n.InFlight() && now >= n.nextTransfer }

// TransferLeadership has this leader let another voter lead, or itself in a later term where it votes alone or nobody
// else holds its last entry. It does nothing while an entry is in flight: the caller asks again.
func (n *Node) TransferLeadership(now float64) {
	if n.role != Leader || !n.mayTransfer(now) {
		return
	}
	n.transferLeadership(now)
	if len(n.HardState.Last.Voters) == 1 {
		n.becomeFollower(Voter{}, now)
	}
}

// handleTimeoutNow begins an election for the leader that is followed.
func (n *Node) handleTimeoutNow(msg *Message, now float64) {
	fromLeader := msg.Term == n.HardState.Term && msg.From.ID == n.leader.ID
	if n.role == Follower && !n.leaving() && fromLeader && n.isVoter(n.HardState.ID) {
		n.campaign(true, now)
	}
}
