package consensus

// resetElectionDeadline postpones the next election. Half a timeout of randomness is enough, as pre-votes separate
// nodes whose deadlines are close.
func (n *Node) resetElectionDeadline(now float64) {
	n.electionDeadline = now + n.options.ElectionTimeout*(1+0.5*n.options.Random())
}

// becomeFollower makes the node a follower in the current term. leader is zero if it isn't known yet.
func (n *Node) becomeFollower(leader Voter, now float64) {
	n.role, n.leader, n.votes, n.termCommitted = Follower, leader, nil, false
	n.resetElectionDeadline(now)
}

// becomePreCandidate starts a round of pre-votes. A pre-vote doesn't restrict the voter's later votes, so a failed
// round can be repeated soon.
func (n *Node) becomePreCandidate(now float64) {
	n.electionDeadline = now + n.options.ElectionTimeout*(0.3+0.5*n.options.Random())
	n.role, n.leader, n.votes = preCandidate, Voter{}, map[string]bool{n.HardState.ID: true}
	n.preVoteStartedAt = now
}

// becomeCandidate starts a new term and votes for itself. A vote takes only a round trip and a sync, so an election
// with a split vote is repeated soon.
func (n *Node) becomeCandidate(transferred bool, now float64) {
	n.electionDeadline = now + n.options.ElectionTimeout*(0.4+0.6*n.options.Random())
	n.role, n.leader, n.votes = Candidate, Voter{}, map[string]bool{n.HardState.ID: true}
	n.transferredElection = transferred
	n.setTerm(n.HardState.Term+1, n.HardState.ID)
}

// becomeLeader makes the node the leader of its term. The leader appends an entry of its own term; committing it
// commits all earlier entries (Raft, section 5.4.2).
func (n *Node) becomeLeader(now float64) {
	n.role, n.leader, n.termCommitted = Leader, n.self(), false
	n.progress, n.formerSince = map[string]*progress{}, map[string]float64{}
	for _, v := range n.HardState.Last.Voters {
		n.progress[v.ID] = &progress{lastResponse: now}
	}
	if p := n.progress[n.lastFollowed.voter.ID]; p != nil && !n.votes[n.lastFollowed.voter.ID] {
		// The old leader fell silent before this election. It still gets one election timeout to answer.
		p.lastResponse = max(n.lastFollowed.lastMessageAt, now-n.options.ElectionTimeout)
	}
	n.appendEntry(n.HardState.Last.Voters, n.HardState.Last.Value, now)
}

// setTerm sets the term and this node's vote in it.
func (n *Node) setTerm(term uint64, vote string) {
	n.HardState.Term, n.HardState.Vote, n.unsynced = term, vote, true
}

// observeTerm makes the node a follower without a leader if term is newer than its own.
func (n *Node) observeTerm(term uint64, now float64) {
	if term > n.HardState.Term {
		n.setTerm(term, "")
		n.becomeFollower(Voter{}, now)
	}
}

// PeerDisconnected tells the node that its connection to a machine broke. If that is the leader, an election starts
// early.
func (n *Node) PeerDisconnected(addr string, now float64) {
	if n.role != Leader && n.leader.Addr == addr {
		n.leader, n.lastLeaderMessage = Voter{}, now-n.options.ElectionTimeout
		n.electionDeadline = min(n.electionDeadline, now+n.options.ElectionTimeout*0.4*n.options.Random())
	}
}

// preCampaign starts a pre-vote, and the election at once if this node alone is a majority.
func (n *Node) preCampaign(now float64) {
	n.becomePreCandidate(now)
	n.requestJoin() // this node may have been removed while away; a leader that counts it as a voter ignores this
	n.countVotes(now)
	if n.role == preCandidate {
		n.requestVotes(RequestPreVote, n.HardState.Term+1)
	}
}

// campaign starts an election. If transferred is set, the leader triggered it, and voters grant their votes even if
// they still hear from that leader.
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

// countVotes starts the election after a majority of pre-votes, or makes the node leader after a majority of votes.
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

// handlePreVoteRequest answers whether this node would grant its vote. Only the record of leaving voters changes.
func (n *Node) handlePreVoteRequest(msg *Message, now float64) {
	n.setLeaving(msg.From.ID, false, now)
	unblocked := !n.hasOtherLeader(msg.From, now) && !n.hasPreVotePriority(msg, now)
	granted := msg.Term > n.HardState.Term && n.canVoteFor(msg) && unblocked
	n.send(msg.From.Addr, Message{Kind: PreVoteResponse, Term: msg.Term, Granted: granted})
}

// handleVoteRequest grants the vote of a term to the first candidate whose last entry is as new as this node's.
func (n *Node) handleVoteRequest(msg *Message, now float64) {
	n.setLeaving(msg.From.ID, false, now)
	if msg.Term > n.HardState.Term && !msg.leadershipTransfer() && n.hasOtherLeader(msg.From, now) {
		return // a leader that others follow is not disrupted (Raft, section 6)
	}
	n.observeTerm(msg.Term, now)
	voteAvailable := n.HardState.Vote == "" || n.HardState.Vote == msg.From.ID
	granted := msg.Term == n.HardState.Term && n.canVoteFor(msg) && voteAvailable
	if granted && n.HardState.Vote == "" {
		n.HardState.Vote, n.unsynced = msg.From.ID, true
		n.resetElectionDeadline(now)
	}
	n.send(msg.From.Addr, Message{Kind: VoteResponse, Term: n.HardState.Term, Granted: granted})
}

// canVoteFor reports whether a candidate's last entry is as new as this node's. A node without an entry has nothing to
// compare with and grants no vote.
func (n *Node) canVoteFor(msg *Message) bool {
	return n.HardState.Last.Index > 0 && !n.HardState.Last.id().newerThan(msg.lastID())
}

// hasOtherLeader reports whether this node leads or recently heard from a leader other than the candidate.
func (n *Node) hasOtherLeader(candidate Voter, now float64) bool {
	hearsOther := n.leader.ID != "" && n.leader.ID != candidate.ID && now-n.lastLeaderMessage < n.options.ElectionTimeout
	return n.role == Leader || hearsOther
}

// hasPreVotePriority reports whether this node sent the same request a moment ago and goes first by its lower ID:
// otherwise two nodes whose deadlines coincide would split the votes. The priority lasts for about a round trip, so
// that a node that can't win doesn't block others for long.
func (n *Node) hasPreVotePriority(msg *Message, now float64) bool {
	askedRecently := n.role == preCandidate && now-n.preVoteStartedAt < 0.15*n.options.ElectionTimeout
	return askedRecently && n.HardState.ID < msg.From.ID && msg.lastID() == n.HardState.Last.id()
}
