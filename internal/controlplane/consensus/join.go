package consensus

import (
	"maps"
	"slices"
)

// maxJoiners bounds the machines that wait to vote; the core is a few.
const maxJoiners = 64

// maxJoinLag is how many entries a joiner may be behind. Each message brings it the whole value, so that one
// that answers is as good as brought up; to wait for the newest entry would keep it out for as long as
// changes come faster than it answers.
const maxJoinLag = 8

// A voter that was removed while it was away may come back knowing none of those that vote now: those that it
// knew may all have been replaced. For a while leaders let it hear that they lead, by a heartbeat in
// removedHeartbeatEvery.
const (
	removedNotifiedFor    = 120_000 // milliseconds
	removedHeartbeatEvery = 4
)

// joiner is a machine that wants to vote.
type joiner struct {
	voter       Voter
	requestedAt float64 // newest request, in milliseconds
}

// tickNonVoter asks for a place, at once where it knows nothing yet or was voted out, and else where no
// leader is heard.
func (n *Node) tickNonVoter(now float64) {
	empty := n.HardState.Last.Index == 0
	leaderHeard := now-n.lastLeaderMessage <= 2*n.options.HeartbeatInterval
	if now < n.nextJoinRequest || empty && leaderHeard {
		return
	}
	n.nextJoinRequest = now + 3*n.options.HeartbeatInterval
	if empty { // the first requests go before their connections stand
		n.nextJoinRequest = now + n.options.HeartbeatInterval
	}
	n.requestJoin()
}

// requestJoin asks all that are known for a place among the voters.
func (n *Node) requestJoin() {
	for _, addr := range n.knownAddrs() {
		n.send(addr, Message{Kind: Join})
	}
}

// knownAddrs are the addresses of all other machines that this node knows: seeds, voters, and leaders that
// wrote to an earlier life of its disk.
func (n *Node) knownAddrs() []string {
	all := slices.Clone(n.options.Seeds)
	for _, v := range append(slices.Clone(n.HardState.Last.Voters), n.leader, n.lastFollowed.voter) {
		if v.Addr != "" && !slices.Contains(all, v.Addr) {
			all = append(all, v.Addr)
		}
	}
	return slices.DeleteFunc(all, func(addr string) bool { return addr == n.options.Addr })
}

// handleJoin takes a machine's request to vote at the leader. Another node forwards it, once, as the joiner
// may know none but seeds.
func (n *Node) handleJoin(msg *Message, now float64) {
	if n.leader.Addr == msg.From.Addr && n.leader.ID != msg.From.ID {
		n.PeerDisconnected(msg.From.Addr, now) // its disk has another life
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

// addJoiner notes at the leader that a machine wants to vote. It gets heartbeats from then on.
func (n *Node) addJoiner(voter Voter, now float64) {
	if n.isVoter(voter.ID) || len(n.joiners) >= maxJoiners {
		return
	}
	if _, known := n.joiners[voter.ID]; !known {
		n.progress[voter.ID] = &progress{lastResponse: now}
	}
	n.joiners[voter.ID] = joiner{voter, now}
}

// nextJoiner gives the first machine, by ID, that wants to vote, answers, and has nearly all.
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

// recordRemoved notes the addresses at which nobody votes any more after a change to other voters.
func (n *Node) recordRemoved(voters []Voter, now float64) {
	for _, v := range n.HardState.Last.Voters {
		if indexOfAddr(voters, v.Addr) < 0 && v.Addr != n.options.Addr {
			n.removedAddrs[v.Addr] = now + removedNotifiedFor
		}
	}
	maps.DeleteFunc(n.removedAddrs, func(addr string, until float64) bool {
		return now > until || indexOfAddr(voters, addr) >= 0
	})
}

// notifyRemoved lets removed voters hear who leads, so that they know whom to ask for a place.
func (n *Node) notifyRemoved(now float64) {
	for _, addr := range slices.Sorted(maps.Keys(n.removedAddrs)) {
		if now <= n.removedAddrs[addr] {
			last := &n.HardState.Last
			n.send(addr, Message{Kind: AppendEntries, Term: n.HardState.Term, LastTerm: last.Term, LastIndex: last.Index,
				Round: n.round})
		}
	}
}
