package consensus

import "slices"

// membershipState is a node's record of machines that join and leave. It lives as long as the process, across terms.
type membershipState struct {
	joiners           map[string]joiner  // machines that ask to vote, by ID; at most maxJoiners
	nextJoinRequestAt float64            // when this node sends Join again if it isn't a voter
	removedAddrs      map[string]float64 // addresses of removed voters, with the time until which leaders notify them
	removal           removalRound
	// leavingVoters holds the times at which voters last announced that their processes shut down, by ID.
	leavingVoters map[string]float64
}

// removalRound is the heartbeat round that confirms a removal.
type removalRound struct {
	number    uint64 // 0 if there is none
	startedAt float64
}

// maintainVoters changes the set of voters: one step at a time, and only after an entry of its own term is committed.
//
// A voter that must be removed is exchanged for a joining machine in two steps, the removal first. With 2f+1 voters of
// which one is down, the remaining 2f voters commit with as many disks as before (f+1), and neither step depends on the
// joining machine. In the other order there would be 2f+2 voters between the steps, and the voter that is down and the
// joining machine, if that fails too, would both count against the majority: for f = 1 they are half of the voters.
func (n *Node) maintainVoters(now float64) {
	if n.InFlight() {
		return
	}
	joiner, hasJoiner := n.nextJoiner(now)
	switch {
	case hasJoiner && n.replaceVoter(joiner, now):
	case n.removeVoter(hasJoiner, now):
	case hasJoiner && !n.removalExpected(now):
		n.addVoter(joiner, now)
	}
}

// replaceVoter puts a joining machine in the place of the voter at the same address: it is the same machine with
// another disk, so the old voter's disk is certainly gone.
func (n *Node) replaceVoter(joiner Voter, now float64) bool {
	i := indexOfAddr(n.HardState.Last.Voters, joiner.Addr)
	if i < 0 {
		return false
	}
	voters := slices.Clone(n.HardState.Last.Voters)
	voters[i] = joiner
	delete(n.joiners, joiner.ID)
	n.appendEntry(voters, n.HardState.Last.Value, now)
	return true
}

// removeVoter removes a voter that leaves or is silent, once a majority of the others has answered a heartbeat and so
// can continue without that voter.
func (n *Node) removeVoter(hasJoiner bool, now float64) bool {
	candidate := n.removalCandidate(now)
	if candidate < 0 || !n.canRemove(hasJoiner) {
		return false
	}
	remaining := slices.Delete(slices.Clone(n.HardState.Last.Voters), candidate, candidate+1)
	if !n.removalConfirmed(remaining, now) {
		return false
	}
	n.removal = removalRound{}
	n.appendEntry(remaining, n.HardState.Last.Value, now)
	return true
}

// addVoter appends a joining machine to the voters.
func (n *Node) addVoter(joiner Voter, now float64) {
	delete(n.joiners, joiner.ID)
	n.appendEntry(append(slices.Clone(n.HardState.Last.Voters), joiner), n.HardState.Last.Value, now)
}

// removalExpected reports whether voters can be removed only in exchange for a joining machine, and one has missed some
// heartbeats: the joining machine may be the replacement of that voter, and it is known soon whether it is.
func (n *Node) removalExpected(now float64) bool {
	voters := n.HardState.Last.Voters
	return len(voters) == n.minVoters() && slices.ContainsFunc(voters, func(v Voter) bool {
		p := n.progress[v.ID]
		return v.ID != n.HardState.ID && p != nil && p.silentFor(now) > 3*n.options.HeartbeatInterval
	})
}

func (n *Node) minVoters() int { return max(n.options.MinVoters, 1) }

// canRemove reports whether one voter fewer would be enough, or another machine is ready to join.
func (n *Node) canRemove(hasJoiner bool) bool {
	voters := len(n.HardState.Last.Voters)
	return voters > n.minVoters() || voters == n.minVoters() && voters > 1 && hasJoiner
}

// removalCandidate returns the position of the first voter that announced its shutdown, or else of the voter that has
// been silent longest, and for longer than RemoveAfter; -1 if there is none.
func (n *Node) removalCandidate(now float64) int {
	candidate, longestSilence := -1, n.options.RemoveAfter
	for i, v := range n.HardState.Last.Voters {
		p := n.progress[v.ID]
		if v.ID == n.HardState.ID || p == nil {
			continue
		}
		if n.isLeaving(v.ID, now) {
			return i
		}
		if silent := p.silentFor(now); silent > longestSilence {
			candidate, longestSilence = i, silent
		}
	}
	return candidate
}

// removalConfirmed reports whether a majority of the voters that would remain has answered a heartbeat sent for this
// removal. A recent answer is not enough: if one of them died since, the remaining set might never have a majority
// again, while the removed voter might have come back.
func (n *Node) removalConfirmed(voters []Voter, now float64) bool {
	if n.removal.number == 0 || now-n.removal.startedAt > n.responseWindow() {
		n.removal = removalRound{n.ReadIndex(now), now}
	}
	return n.quorumAcked(voters, n.removal.number)
}

// responseWindow returns the maximum time in milliseconds since the last answer of a machine that counts as alive for a
// change of the voters.
func (n *Node) responseWindow() float64 {
	return n.options.ElectionTimeout + 2*n.options.HeartbeatInterval
}
