package consensus

// This file owns elections: when one begins, who gets a vote, and when a leader steps down.

func (n *Node) rest(now float64) { n.waitTil = now + n.o.ElectionTimeout*(1+n.o.Draw()) }

// LeaderGone is told when the connection to the leader broke.
func (n *Node) LeaderGone(addr string, now float64) {
	if n.role != Leader && n.leader.Addr == addr {
		n.leader, n.heardAt = Voter{}, now-n.o.ElectionTimeout
		n.waitTil = min(n.waitTil, now+n.o.ElectionTimeout*0.4*n.o.Draw())
	}
}

func (n *Node) campaign(now float64) {
	n.waitTil = now + n.o.ElectionTimeout*(0.3+0.5*n.o.Draw()) // a first round binds nobody: it is asked again soon
	n.role, n.pre, n.votes, n.leader = Candidate, true, map[string]bool{n.HardState.ID: true}, Voter{}
	if now-n.heardAt > 4*n.o.ElectionTimeout { // it may have been voted out while it was away
		for _, a := range n.known() {
			n.send(a, Message{Kind: Join})
		}
	}
	n.count(now)
	if n.pre {
		n.ask(AskPre, n.HardState.Term+1)
	}
}

func (n *Node) ask(kind Kind, term uint64) {
	for _, v := range n.HardState.Last.Voters {
		if v.ID != n.HardState.ID {
			n.send(v.Addr, Message{Kind: kind, Term: term, LastTerm: n.HardState.Last.Term, LastIndex: n.HardState.Last.Index})
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
		n.rest(now)
		n.pre, n.votes = false, map[string]bool{n.HardState.ID: true}
		n.HardState.Term, n.HardState.Vote, n.dirty = n.HardState.Term+1, n.HardState.ID, true
		n.ask(AskVote, n.HardState.Term)
		n.count(now)
		return
	}
	n.role, n.leader, n.since, n.current = Leader, n.self(), now, false
	n.peers = map[string]*peer{}
	for _, v := range n.HardState.Last.Voters {
		n.peers[v.ID] = &peer{heard: now}
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

func (n *Node) vote(m *Message, now float64) {
	fresh := m.LastTerm > n.HardState.Last.Term || m.LastTerm == n.HardState.Last.Term && m.LastIndex >= n.HardState.Last.Index
	led := n.role == Leader || n.leader.ID != "" && n.leader.ID != m.From.ID && now-n.heardAt < n.o.ElectionTimeout
	if m.Kind == AskPre {
		n.send(m.From.Addr, Message{Kind: GivePre, Term: m.Term, Granted: fresh && !led && m.Term > n.HardState.Term && n.HardState.Last.Index > 0})
		return
	}
	if led && m.Term > n.HardState.Term {
		return // a leader that others follow is not unseated
	}
	n.raise(m.Term, now)
	granted := m.Term == n.HardState.Term && fresh && n.HardState.Last.Index > 0 && (n.HardState.Vote == "" || n.HardState.Vote == m.From.ID)
	if granted && n.HardState.Vote == "" {
		n.HardState.Vote, n.dirty = m.From.ID, true
		n.rest(now)
	}
	n.send(m.From.Addr, Message{Kind: GiveVote, Term: n.HardState.Term, Granted: granted})
}
