package consensus

// resetElectionDeadline puts the next election off. Pre-votes keep those apart that wake together, so that
// half a timeout of spread is enough.
func (n *Node) resetElectionDeadline(now float64) {
	n.electionDeadline = now + n.options.ElectionTimeout*(1+0.5*n.options.Random())
}

// becomeFollower follows a leader, or nobody yet, in the current term.
func (n *Node) becomeFollower(leader Voter, now float64) {
	n.role, n.leader, n.votes, n.termCommitted = Follower, leader, nil, false
	n.resetElectionDeadline(now)
}

// becomePreCandidate begins a round of pre-votes. It binds nobody, so that it is soon begun again.
func (n *Node) becomePreCandidate(now float64) {
	n.electionDeadline = now + n.options.ElectionTimeout*(0.3+0.5*n.options.Random())
	n.role, n.leader, n.votes = preCandidate, Voter{}, map[string]bool{n.HardState.ID: true}
	n.preVoteStartedAt = now
}

// becomeCandidate begins a term and votes for itself. A vote takes a round trip and a sync: a split one is
// soon tried again.
func (n *Node) becomeCandidate(transferred bool, now float64) {
	n.electionDeadline = now + n.options.ElectionTimeout*(0.4+0.6*n.options.Random())
	n.role, n.leader, n.votes = Candidate, Voter{}, map[string]bool{n.HardState.ID: true}
	n.transferredElection = transferred
	n.setTerm(n.HardState.Term+1, n.HardState.ID)
}

// becomeLeader begins a lead. What was accepted before is committed by an entry of its own term (Raft,
// section 5.4.2).
func (n *Node) becomeLeader(now float64) {
	n.role, n.leader, n.termCommitted = Leader, n.self(), false
	n.progress, n.formerSince = map[string]*progress{}, map[string]float64{}
	for _, v := range n.HardState.Last.Voters {
		n.progress[v.ID] = &progress{lastResponse: now}
	}
	if p := n.progress[n.lastFollowed.voter.ID]; p != nil && !n.votes[n.lastFollowed.voter.ID] {
		// The old leader's silence did not begin with this election; it has time for one answer all the same.
		p.lastResponse = max(n.lastFollowed.lastMessageAt, now-n.options.ElectionTimeout)
	}
	n.appendEntry(n.HardState.Last.Voters, n.HardState.Last.Value, now)
}

// setTerm changes the term, and who has this node's vote in it.
func (n *Node) setTerm(term uint64, vote string) {
	n.HardState.Term, n.HardState.Vote, n.unsynced = term, vote, true
}

// observeTerm follows nobody in a term that is newer than this node's.
func (n *Node) observeTerm(term uint64, now float64) {
	if term > n.HardState.Term {
		n.setTerm(term, "")
		n.becomeFollower(Voter{}, now)
	}
}

// PeerDisconnected says that the connection to a machine broke. Where that leads, an election begins early.
func (n *Node) PeerDisconnected(addr string, now float64) {
	if n.role != Leader && n.leader.Addr == addr {
		n.leader, n.lastLeaderMessage = Voter{}, now-n.options.ElectionTimeout
		n.electionDeadline = min(n.electionDeadline, now+n.options.ElectionTimeout*0.4*n.options.Random())
	}
}

// preCampaign asks whether an election could be won, and begins it at once where this node alone is a majority.
func (n *Node) preCampaign(now float64) {
	n.becomePreCandidate(now)
	n.requestJoin() // it may have been voted out while it was away; a leader that counts it as a voter ignores this
	n.countVotes(now)
	if n.role == preCandidate {
		n.requestVotes(RequestPreVote, n.HardState.Term+1)
	}
}

// campaign begins an election; transferred: the leader asked for it, and others vote though they hear that leader.
func (n *Node) campaign(transferred bool, now float64) {
	n.becomeCandidate(transferred, now)
	n.requestVotes(RequestVote, n.HardState.Term)
	n.countVotes(now)
}

func (n *Node) requestVotes(kind Kind, term uint64) {
	last := &n.HardState.Last
	for _, v := range last.Voters {
		if v.ID != n.HardState.ID {
			n.send(v.Addr, Message{Kind: kind, Term: term, LastTerm: last.Term, LastIndex: last.Index,
				Granted: kind == RequestVote && n.transferredElection})
		}
	}
}

// countVotes goes on to the election, or to the lead, where a majority granted it.
func (n *Node) countVotes(now float64) {
	if n.role != preCandidate && n.role != Candidate {
		return
	}
	if !hasMajority(n.HardState.Last.Voters, func(v Voter) bool { return n.votes[v.ID] }) {
		return
	}
	if n.role == preCandidate {
		n.campaign(false, now)
		return
	}
	n.becomeLeader(now)
}

func (n *Node) handlePreVoteResponse(msg *Message, now float64) {
	if n.role == preCandidate && msg.Term == n.HardState.Term+1 && msg.Granted {
		n.votes[msg.From.ID] = true
		n.countVotes(now)
	}
}

func (n *Node) handleVoteResponse(msg *Message, now float64) {
	if msg.Term > n.HardState.Term {
		n.observeTerm(msg.Term, now)
		return
	}
	if n.role == Candidate && msg.Term == n.HardState.Term && msg.Granted {
		n.votes[msg.From.ID] = true
		n.countVotes(now)
	}
}

// handlePreVoteRequest says whether a vote would be given. It changes nothing that decides.
func (n *Node) handlePreVoteRequest(msg *Message, now float64) {
	n.setLeaving(msg.From.ID, false, now)
	free := !n.hasOtherLeader(msg.From, now) && !n.precedes(msg, now)
	granted := msg.Term > n.HardState.Term && n.canVoteFor(msg) && free
	n.send(msg.From.Addr, Message{Kind: PreVoteResponse, Term: msg.Term, Granted: granted})
}

// handleVoteRequest gives the vote of a term to the first that asks for it and holds all that this node holds.
func (n *Node) handleVoteRequest(msg *Message, now float64) {
	n.setLeaving(msg.From.ID, false, now)
	if msg.Term > n.HardState.Term && !msg.leadershipTransfer() && n.hasOtherLeader(msg.From, now) {
		return // a leader that others follow is not unseated (Raft, section 6)
	}
	n.observeTerm(msg.Term, now)
	free := n.HardState.Vote == "" || n.HardState.Vote == msg.From.ID
	granted := msg.Term == n.HardState.Term && n.canVoteFor(msg) && free
	if granted && n.HardState.Vote == "" {
		n.HardState.Vote, n.unsynced = msg.From.ID, true
		n.resetElectionDeadline(now)
	}
	n.send(msg.From.Addr, Message{Kind: VoteResponse, Term: n.HardState.Term, Granted: granted})
}

// canVoteFor says that a candidate's last entry is as new as this node's, which has one: an empty disk knows
// nothing to compare with.
func (n *Node) canVoteFor(msg *Message) bool {
	return n.HardState.Last.Index > 0 && !n.HardState.Last.id().newerThan(msg.lastID())
}

// hasOtherLeader says that this node leads, or hears a leader other than the candidate.
func (n *Node) hasOtherLeader(candidate Voter, now float64) bool {
	hears := n.leader.ID != "" && n.leader.ID != candidate.ID && now-n.lastLeaderMessage < n.options.ElectionTimeout
	return n.role == Leader || hears
}

// precedes says that this node has just asked the same question and goes before the sender, by its ID: two
// that wake together would else split the votes. It holds for about a round trip, so that one that can't win
// blocks nobody for long.
func (n *Node) precedes(msg *Message, now float64) bool {
	justAsked := n.role == preCandidate && now-n.preVoteStartedAt < 0.15*n.options.ElectionTimeout
	return justAsked && n.HardState.ID < msg.From.ID && msg.lastID() == n.HardState.Last.id()
}
