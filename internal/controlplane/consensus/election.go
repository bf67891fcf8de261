package consensus

// This file owns elections: when one begins, who gets a vote, and when a leader steps down or hands over.

import "slices"

// rest puts the next election off. Pre-votes keep those apart that wake together, so that half a timeout of spread is enough.
func (n *Node) rest(now float64) { n.waitTil = now + n.o.ElectionTimeout*(1+0.5*n.o.Random()) }

// LeaderDisconnected is told when the connection to the leader broke.
func (n *Node) LeaderDisconnected(addr string, now float64) {
	if n.role != Leader && n.leader.Addr == addr {
		n.leader, n.heardAt = Voter{}, now-n.o.ElectionTimeout
		n.waitTil = min(n.waitTil, now+n.o.ElectionTimeout*0.4*n.o.Random())
	}
}

func (n *Node) campaign(now float64) {
	n.waitTil = now + n.o.ElectionTimeout*(0.3+0.5*n.o.Random()) // a first round binds nobody: it is asked again soon
	n.role, n.pre, n.votes, n.leader = Candidate, true, map[string]bool{n.HardState.ID: true}, Voter{}
	n.preAt = now
	n.askToJoin() // it may have been voted out while it was away; who leads and counts it as a voter passes over this
	n.count(now)
	if n.pre {
		n.ask(RequestPreVote, n.HardState.Term+1)
	}
}

func (n *Node) ask(kind Kind, term uint64) {
	for _, v := range n.HardState.Last.Voters {
		if v.ID != n.HardState.ID {
			n.send(v.Addr, Message{Kind: kind, Term: term, LastTerm: n.HardState.Last.Term, LastIndex: n.HardState.Last.Index,
				Granted: kind == RequestVote && n.handed})
		}
	}
}

func (n *Node) count(now float64) {
	if n.role != Candidate {
		return
	}
	have := 0
	for _, v := range n.HardState.Last.Voters {
		if n.votes[v.ID] {
			have++
		}
	}
	if have < majority(n.HardState.Last.Voters) {
		return
	}
	if n.pre {
		n.stand(now, false)
		return
	}
	n.role, n.leader, n.current = Leader, n.self(), false
	n.peers = map[string]*peer{}
	for _, v := range n.HardState.Last.Voters {
		n.peers[v.ID] = &peer{heard: now}
	}
	if p := n.peers[n.followed.ID]; p != nil && !n.votes[n.followed.ID] {
		// The old leader's silence did not begin with this election; it has time for one answer all the same.
		p.heard = max(n.followedTill, now-n.o.ElectionTimeout)
	}
	n.put(n.HardState.Last.Voters, n.HardState.Last.Value, now) // what was accepted before is committed by an entry of this term
}

func (n *Node) follow(leader Voter, now float64) {
	n.role, n.leader, n.pre, n.votes, n.current = Follower, leader, false, nil, false
	n.rest(now)
}

func (n *Node) raise(term uint64, now float64) {
	if term > n.HardState.Term {
		n.HardState.Term, n.HardState.Vote, n.dirty = term, "", true
		n.follow(Voter{}, now)
	}
}

// stand begins a term of its own. handed: the leader asked for it, so that others vote though they hear that leader.
func (n *Node) stand(now float64, handed bool) {
	// A vote takes a round trip and a sync: a split one is tried again soon.
	n.waitTil = now + n.o.ElectionTimeout*(0.4+0.6*n.o.Random())
	n.role, n.pre, n.handed, n.leader = Candidate, false, handed, Voter{}
	n.votes = map[string]bool{n.HardState.ID: true}
	n.HardState.Term, n.HardState.Vote, n.dirty = n.HardState.Term+1, n.HardState.ID, true
	n.ask(RequestVote, n.HardState.Term)
	n.count(now)
}

// Leave is told that this process ends in order: others hear of it, and a leader hands over first. Gone says when it has.
func (n *Node) Leave(now float64) {
	if n.leavingAt > 0 {
		return
	}
	n.leavingAt = max(now, 1)
	for _, a := range n.known() {
		n.send(a, Message{Kind: Leave})
	}
	if n.role == Leader {
		n.handOver(now)
	}
}

// LeaveDone says that nothing waits for this process any more behind Leave: it votes no longer, or the time is over in which
// the leader would have had it removed.
func (n *Node) LeaveDone(now float64) bool {
	return n.leavingAt > 0 && n.role != Leader && (!n.isVoter(n.HardState.ID) || now-n.leavingAt > n.o.ElectionTimeout*2/3)
}

// handOver ends a leader's part behind an entry that is on its way. Where it may be removed, the rest votes without it
// first (its successor could else need a vote that went with it); where not, another is asked to stand, and one more if
// that one did not.
func (n *Node) handOver(now float64) {
	if n.InFlight() || now < n.handAt {
		return
	}
	last := &n.HardState.Last
	rest := slices.DeleteFunc(slices.Clone(last.Voters), func(v Voter) bool { return v.ID == n.HardState.ID })
	if _, joins := n.nextJoiner(now); n.mayRemove(joins) && n.answering(rest, now) >= majority(rest) {
		n.put(rest, last.Value, now)
		return
	}
	n.askSuccessor(now)
}

// askSuccessor has the voter stand for election that was heard last, of those that hold this leader's entry.
func (n *Node) askSuccessor(now float64) {
	n.handAt = now + n.o.ElectionTimeout/3
	var best Voter
	heard := 0.0
	for _, v := range n.HardState.Last.Voters {
		p := n.peers[v.ID]
		if v.ID != n.HardState.ID && p != nil && !n.lacks(p) && !n.leaving(v.ID, now) && p.heard > heard {
			best, heard = v, p.heard
		}
	}
	if best.ID != "" {
		n.send(best.Addr, Message{Kind: TimeoutNow, Term: n.HardState.Term})
		n.peers[best.ID].heard = heard - 2*n.o.HeartbeatInterval // the next try is another's
	}
}

// goesFirst says that this node has just asked the same question and goes before the sender, by its id: two that wake
// together would else split the votes. It holds for about a round trip, so that one that can't win blocks nobody for long.
func (n *Node) goesFirst(m *Message, now float64) bool {
	return n.role == Candidate && n.pre && n.HardState.ID < m.From.ID && now-n.preAt < 0.15*n.o.ElectionTimeout &&
		m.LastTerm == n.HardState.Last.Term && m.LastIndex == n.HardState.Last.Index
}

func (n *Node) vote(m *Message, now float64) {
	fresh := m.LastTerm > n.HardState.Last.Term || m.LastTerm == n.HardState.Last.Term && m.LastIndex >= n.HardState.Last.Index
	led := n.role == Leader || n.leader.ID != "" && n.leader.ID != m.From.ID && now-n.heardAt < n.o.ElectionTimeout
	if m.Kind == RequestPreVote {
		granted := fresh && !led && !n.goesFirst(m, now) && m.Term > n.HardState.Term && n.HardState.Last.Index > 0
		n.send(m.From.Addr, Message{Kind: PreVoteResponse, Term: m.Term, Granted: granted})
		return
	}
	if led && !m.Granted && m.Term > n.HardState.Term {
		return // a leader that others follow is not unseated
	}
	n.raise(m.Term, now)
	granted := m.Term == n.HardState.Term && fresh && n.HardState.Last.Index > 0 && (n.HardState.Vote == "" || n.HardState.Vote == m.From.ID)
	if granted && n.HardState.Vote == "" {
		n.HardState.Vote, n.dirty = m.From.ID, true
		n.rest(now)
	}
	n.send(m.From.Addr, Message{Kind: VoteResponse, Term: n.HardState.Term, Granted: granted})
}
