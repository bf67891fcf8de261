package consensus

import "slices"

// shutdownState is the state of a process that shuts down gracefully, and of its leadership transfers.
type shutdownState struct {
	leavingSince   float64 // when this process began to shut down, in milliseconds; 0 if it doesn't
	nextTransferAt float64 // when a leader may ask another voter to take over
}

// Leave begins the graceful shutdown of this process. The node notifies all machines that it knows and, if it leads,
// gives up its leadership. It keeps answering messages until the process ends, so that entries in flight are decided.
// Tick must be called until LeaveDone reports true.
func (n *Node) Leave(now float64) {
	if n.leaving() {
		return
	}
	n.leavingSince = max(now, 1)
	for _, addr := range n.knownAddrs() {
		n.send(addr, Message{Kind: Leave})
	}
	if n.role == Leader {
		n.removeSelfOrTransfer(now)
	}
}

// LeaveDone reports whether the process may end after Leave: the node doesn't lead, and either no longer votes or has
// given the leader enough time to remove it.
func (n *Node) LeaveDone(now float64) bool {
	if !n.leaving() || n.role == Leader {
		return false
	}
	return !n.isVoter(n.HardState.ID) || now-n.leavingSince > n.options.ElectionTimeout*2/3
}

// leaving reports whether this node's own process shuts down.
func (n *Node) leaving() bool { return n.leavingSince > 0 }

// setLeaving records whether a voter's process shuts down. Such a voter still answers until its process ends.
func (n *Node) setLeaving(id string, leaving bool, now float64) {
	if leaving && n.isVoter(id) {
		n.leavingVoters[id] = now
	} else {
		delete(n.leavingVoters, id)
	}
}

// isLeaving reports whether a voter announced its shutdown within RemoveAfter. After that only its silence counts, as
// its process may have been restarted without this node noticing.
func (n *Node) isLeaving(id string, now float64) bool {
	at, notified := n.leavingVoters[id]
	return notified && now-at < n.options.RemoveAfter
}

// removeSelfOrTransfer ends the leadership of a node that shuts down, once no entry is in flight. If the node may be
// removed, it first removes itself from the voters: otherwise its successor could need the vote of a process that has
// ended. If not, it asks another voter to take over, and if that one doesn't, a different one after a while.
func (n *Node) removeSelfOrTransfer(now float64) {
	if !n.canTransfer(now) {
		return
	}
	last := &n.HardState.Last
	remaining := slices.DeleteFunc(slices.Clone(last.Voters), func(v Voter) bool { return v.ID == n.HardState.ID })
	if _, hasJoiner := n.nextJoiner(now); n.canRemove(hasJoiner) && n.quorumResponsive(remaining, now) {
		n.appendEntry(remaining, last.Value, now)
		return
	}
	n.transferLeadership(now)
}

// quorumResponsive reports whether a majority of voters answered one of the latest heartbeats. A leader that shuts down
// has no time for a new round: its successor may be shutting down as well.
func (n *Node) quorumResponsive(voters []Voter, now float64) bool {
	return n.quorumOf(voters, func(peer *progress) bool { return peer.silentFor(now) < 3*n.options.HeartbeatInterval })
}

// transferLeadership sends TimeoutNow to the voter that answered last among those that hold this leader's last entry
// and are not shutting down.
func (n *Node) transferLeadership(now float64) {
	n.nextTransferAt = now + n.options.ElectionTimeout/3
	var successor Voter
	latestResponse := 0.0
	for _, v := range n.HardState.Last.Voters {
		p := n.progress[v.ID]
		if v.ID == n.HardState.ID || p == nil || n.lacksLastEntry(p) || n.isLeaving(v.ID, now) {
			continue
		}
		if p.lastResponse > latestResponse {
			successor, latestResponse = v, p.lastResponse
		}
	}
	if successor.ID == "" {
		return
	}
	n.send(successor.Addr, Message{Kind: TimeoutNow, Term: n.HardState.Term})
	// The next attempt picks another voter.
	n.progress[successor.ID].lastResponse = latestResponse - 2*n.options.HeartbeatInterval
}

// canTransfer reports whether no entry is in flight and the voter that was last asked to take over has had enough time.
func (n *Node) canTransfer(now float64) bool { return !n.InFlight() && now >= n.nextTransferAt }

// TransferLeadership asks another voter to lead. If this node is the only voter, it steps down instead and is elected
// again in a later term. It does nothing while an entry is in flight or no other voter holds the last entry; the caller
// must call it again.
func (n *Node) TransferLeadership(now float64) {
	if n.role != Leader || !n.canTransfer(now) {
		return
	}
	n.transferLeadership(now)
	if len(n.HardState.Last.Voters) == 1 {
		n.becomeFollower(Voter{}, now)
	}
}

// handleTimeoutNow starts an election if the followed leader asked for it.
func (n *Node) handleTimeoutNow(msg *Message, now float64) {
	fromLeader := msg.Term == n.HardState.Term && msg.From.ID == n.leader.ID
	if n.role == Follower && !n.leaving() && fromLeader && n.isVoter(n.HardState.ID) {
		n.campaign(true, now)
	}
}
