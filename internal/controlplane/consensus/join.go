package consensus

import (
	"maps"
	"slices"
)

// maxJoiners bounds the number of machines that wait to vote; a cluster has only a few machines.
const maxJoiners = 64

// maxJoinLag is the maximum number of entries by which a joining machine may be behind. Each message carries the whole
// value, so a machine that answers has practically caught up; if it had to hold the latest entry, it would be kept out
// for as long as changes arrive faster than its answers.
const maxJoinLag = 8

// A voter that was removed while it was away may return without knowing any current voter, as all those that it knew
// may have been replaced. Leaders therefore send heartbeats to removed voters for some time, in one of every
// removedHeartbeatRounds rounds.
const (
	removedNotifyMs        = 120_000 // two minutes
	removedHeartbeatRounds = 4
)

// joiner is a machine that asks to become a voter.
type joiner struct {
	voter       Voter
	requestedAt float64 // time of the latest request, in milliseconds
}

// tickNonVoter asks to become a voter. A node without an entry asks only while it hears no leader. A node with an entry
// was removed from the voters, and always asks.
func (n *Node) tickNonVoter(now float64) {
	empty := n.HardState.Last.Index == 0
	leaderHeard := now-n.lastLeaderMessage <= 2*n.options.HeartbeatInterval
	if now < n.nextJoinRequestAt || empty && leaderHeard {
		return
	}
	n.nextJoinRequestAt = now + 3*n.options.HeartbeatInterval
	if empty { // the first requests are sent before the connections are established
		n.nextJoinRequestAt = now + n.options.HeartbeatInterval
	}
	n.requestJoin()
}

// requestJoin sends Join to all known addresses.
func (n *Node) requestJoin() {
	for _, addr := range n.knownAddrs() {
		n.send(addr, Message{Kind: Join})
	}
}

// knownAddrs returns the addresses of all other machines that this node knows: seeds, voters, the current leader, and
// the last leader that it followed.
func (n *Node) knownAddrs() []string {
	addrs := slices.Clone(n.options.Seeds)
	for _, v := range append(slices.Clone(n.HardState.Last.Voters), n.leader, n.lastFollowed.voter) {
		if v.Addr != "" && !slices.Contains(addrs, v.Addr) {
			addrs = append(addrs, v.Addr)
		}
	}
	return slices.DeleteFunc(addrs, func(addr string) bool { return addr == n.options.Addr })
}

// handleJoin records the request of a machine to vote if this node leads. Another node forwards the request to the
// leader, once, as the joining machine may know only the seeds.
func (n *Node) handleJoin(msg *Message, now float64) {
	if n.leader.Addr == msg.From.Addr && n.leader.ID != msg.From.ID {
		n.PeerDisconnected(msg.From.Addr, now) // the leader's machine came back with an empty disk
	}
	if n.role == Leader {
		n.addJoiner(msg.From, now)
		return
	}
	if n.leader.ID != "" && !msg.forwarded() {
		forwarded := *msg
		forwarded.Granted = true
		n.forward(n.leader.Addr, forwarded)
	}
}

// addJoiner records that a machine asks to vote. The leader sends it heartbeats from then on.
func (n *Node) addJoiner(voter Voter, now float64) {
	if n.isVoter(voter.ID) || len(n.joiners) >= maxJoiners {
		return
	}
	if _, known := n.joiners[voter.ID]; !known {
		n.progress[voter.ID] = &progress{lastResponse: now}
	}
	n.joiners[voter.ID] = joiner{voter, now}
}

// nextJoiner returns the first machine by ID that asks to vote, answers, and has caught up within maxJoinLag.
func (n *Node) nextJoiner(now float64) (Voter, bool) {
	last := &n.HardState.Last
	for _, id := range slices.Sorted(maps.Keys(n.joiners)) {
		if n.isVoter(id) {
			delete(n.joiners, id)
			continue
		}
		p := n.progress[id]
		if p == nil || p.match.term != last.Term || p.match.index+maxJoinLag < last.Index {
			continue
		}
		if p.silentFor(now) < n.responseWindow() {
			return n.joiners[id].voter, true
		}
	}
	return Voter{}, false
}

// recordRemoved records the addresses that no longer belong to any voter after a change to the given voters.
func (n *Node) recordRemoved(voters []Voter, now float64) {
	for _, v := range n.HardState.Last.Voters {
		if indexOfAddr(voters, v.Addr) < 0 && v.Addr != n.options.Addr {
			n.removedAddrs[v.Addr] = now + removedNotifyMs
		}
	}
	maps.DeleteFunc(n.removedAddrs, func(addr string, until float64) bool {
		return now > until || indexOfAddr(voters, addr) >= 0
	})
}

// notifyRemoved sends heartbeats to removed voters, so that they know the leader to send Join to.
func (n *Node) notifyRemoved(now float64) {
	for _, addr := range slices.Sorted(maps.Keys(n.removedAddrs)) {
		if now <= n.removedAddrs[addr] {
			last := &n.HardState.Last
			n.send(addr, Message{Kind: AppendEntries, Term: n.HardState.Term, LastTerm: last.Term, LastIndex: last.Index,
				Round: n.round})
		}
	}
}
