package consensus

import "slices"

// membershipState is what a node knows of machines that join and leave. It lives for as long as the process,
// across terms.
type membershipState struct {
	joiners         map[string]joiner  // machines that want to vote, by ID; at most maxJoiners
	nextJoinRequest float64            // this node, no voter, asks again
	removedAddrs    map[string]float64 // addresses at which voters were removed, until when leaders write to them
	removal         removalRound
	// leavingVoters is when voters last said that their processes shut down, by ID.
	leavingVoters map[string]float64
}

// removalRound is the heartbeat round that confirms a removal.
type removalRound struct {
	number  uint64 // 0: none
	beganAt float64
}

// maintainVoters changes who votes: one step at a time, and only after an entry of its own term is committed.
//
// One that must go and one that comes change places in two steps, the removal first: with 2 tolerate + 1
// voters, of which one is gone, the 2 tolerate that are left commit on as many disks as before (tolerate +
// 1), and neither step needs the joiner. In the other order 2 tolerate + 2 would vote between the steps, of
// which the gone one and the joiner, if that fails too, are half.
func (n *Node) maintainVoters(now float64) {
	if n.InFlight() {
		return
	}
	joiner, joins := n.nextJoiner(now)
	switch {
	case joins && n.replaceVoter(joiner, now):
	case n.removeVoter(joins, now):
	case joins && !n.removalExpected(now):
		n.addVoter(joiner, now)
	}
}

// replaceVoter puts a joiner in the place of the voter at its address: the same machine with another disk.
// The old life's disk is gone for certain.
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

// removeVoter removes one that leaves or is silent, once enough of the others have confirmed that they can go
// on without it.
func (n *Node) removeVoter(joins bool, now float64) bool {
	gone := n.removalCandidate(now)
	if gone < 0 || !n.mayRemove(joins) {
		return false
	}
	rest := slices.Delete(slices.Clone(n.HardState.Last.Voters), gone, gone+1)
	if !n.confirmedBy(rest, now) {
		return false
	}
	n.removal = removalRound{}
	n.appendEntry(rest, n.HardState.Last.Value, now)
	return true
}

// addVoter adds a joiner after the others.
func (n *Node) addVoter(joiner Voter, now float64) {
	delete(n.joiners, joiner.ID)
	n.appendEntry(append(slices.Clone(n.HardState.Last.Voters), joiner), n.HardState.Last.Value, now)
}

// removalExpected says that no voter may be removed but in a joiner's favor, and one missed some heartbeats:
// the joiner may be there for that one, which is known soon.
func (n *Node) removalExpected(now float64) bool {
	voters := n.HardState.Last.Voters
	return len(voters) == n.minVoters() && slices.ContainsFunc(voters, func(v Voter) bool {
		p := n.progress[v.ID]
		return v.ID != n.HardState.ID && p != nil && p.silentFor(now) > 3*n.options.HeartbeatInterval
	})
}

func (n *Node) minVoters() int { return max(n.options.MinVoters, 1) }

// mayRemove says that one voter less is enough, or that another joins at once.
func (n *Node) mayRemove(joins bool) bool {
	voters := len(n.HardState.Last.Voters)
	return voters > n.minVoters() || voters == n.minVoters() && voters > 1 && joins
}

// removalCandidate gives the position of the first voter that said that it leaves, or else of the one that is
// silent for longest, and for longer than RemoveAfter; -1: none is.
func (n *Node) removalCandidate(now float64) int {
	found, longest := -1, n.options.RemoveAfter
	for i, v := range n.HardState.Last.Voters {
		p := n.progress[v.ID]
		if v.ID == n.HardState.ID || p == nil {
			continue
		}
		if n.isLeaving(v.ID, now) {
			return i
		}
		if silent := p.silentFor(now); silent > longest {
			found, longest = i, silent
		}
	}
	return found
}

// confirmedBy says whether a majority of the voters that would be left has answered a heartbeat that was sent
// for this removal. That they answered lately is not enough: one that has ended since would be part of a set
// in which no majority is left for ever, where the one that is removed might have come back.
func (n *Node) confirmedBy(voters []Voter, now float64) bool {
	if n.removal.number == 0 || now-n.removal.beganAt > n.responseWindow() {
		n.removal = removalRound{n.ReadIndex(now), now}
	}
	return n.quorumAcked(voters, n.removal.number)
}

// responseWindow is how long ago, in milliseconds, the last answer of a machine may be that counts as alive
// for a change of voters.
func (n *Node) responseWindow() float64 {
	return n.options.ElectionTimeout + 2*n.options.HeartbeatInterval
}
