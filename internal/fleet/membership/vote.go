package membership

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// VoteKind is the kind of a Vote.
type VoteKind uint8

// The kinds of votes: two to bootstrap a roster, five of the Paxos agreement on a change.
const (
	Bootstrap    VoteKind = iota + 1 // the sender proposes a first roster of the names that it sees
	Bootstrapped                     // the sender sees the same names as the proposer
	Prepare                          // phase 1a of a ballot
	Promise                          // phase 1b, with the change that was last accepted
	Accept                           // phase 2a, with the change to accept
	Accepted                         // phase 2b
	Reject                           // a higher ballot was promised
)

// Vote is one message of an agreement between drivers.
type Vote struct {
	Kind     VoteKind     `cbor:"1,keyasint"`
	Version  uint64       `cbor:"2,keyasint"`           // of the next roster
	BaseHash uint64       `cbor:"3,keyasint,omitempty"` // of the names before the change
	Ballot   paxos.Ballot `cbor:"4,keyasint"`
	Accepted paxos.Ballot `cbor:"5,keyasint"` // in Promise: ballot in which Change was accepted
	Change   *Change      `cbor:"6,keyasint,omitempty"`
	Hash     uint64       `cbor:"7,keyasint,omitempty"` // of the names, for a bootstrap
}

// round is a ballot that this driver leads.
type round struct {
	paxos.Proposer[Change]
	deadline float64 // when it is abandoned
}

// propose starts a ballot for a change.
func (f *Fleet) propose(change *Change) {
	f.ballotNumber++
	ballot := paxos.Ballot{Number: f.ballotNumber, Proposer: f.self.Name}
	f.round = &round{Proposer: paxos.NewProposer(ballot, change), deadline: f.now + roundPeriods*f.options.Period}
	f.nextProposal = f.round.deadline
	f.broadcastVote(f.roster.Names, Vote{Kind: Prepare, Version: f.roster.Version + 1, BaseHash: f.roster.hash,
		Ballot: f.round.Ballot})
}

// broadcastVote sends a vote to the named drivers; if this driver is among them, it handles the vote itself.
func (f *Fleet) broadcastVote(names []string, vote Vote) {
	for _, name := range names {
		if p := f.peersByName[name]; p != nil && !p.State.ended() {
			f.send(p.Address, Message{Kind: Gossip, Target: name, Vote: &vote})
		}
	}
	if slices.Contains(names, f.self.Name) {
		f.receiveVote(f.self.Name, "", vote)
	}
}

// replyVote replies with a vote. An address of "" stands for this driver itself.
func (f *Fleet) replyVote(name, address string, vote Vote) {
	if address == "" {
		f.receiveVote(name, "", vote)
		return
	}
	f.send(address, Message{Kind: Gossip, Target: name, Vote: &vote})
}

// receiveVote handles a vote from a peer, or from this driver itself.
func (f *Fleet) receiveVote(name, address string, vote Vote) {
	if c := vote.Change; c != nil && (len(c.Add)+len(c.Remove) > maxChangeNames || c.Version != vote.Version) {
		return
	}
	if vote.Kind == Bootstrap || vote.Kind == Bootstrapped {
		f.receiveBootstrapVote(name, address, vote)
		return
	}
	if f.roster == nil || vote.Version != f.roster.Version+1 || vote.BaseHash != f.roster.hash {
		f.acceptOwnAddition(name, address, vote)
		return
	}
	if f.voteVersion != vote.Version {
		f.voteVersion, f.acceptor = vote.Version, paxos.Acceptor[Change]{}
	}
	f.ballotNumber = max(f.ballotNumber, min(vote.Ballot.Number, paxos.MaxNumber))
	switch vote.Kind {
	case Prepare:
		f.receivePrepare(name, address, vote)
	case Promise:
		f.receivePromise(name, vote)
	case Accept:
		f.receiveAccept(name, address, vote)
	case Accepted:
		f.receiveAccepted(name, vote)
	case Reject:
		f.receiveReject(vote)
	}
}

// acceptOwnAddition accepts a change that adds this driver while it has no roster yet: it counts towards the majority
// of the names after the change.
func (f *Fleet) acceptOwnAddition(name, address string, vote Vote) {
	added := f.roster == nil && vote.Change != nil && slices.Contains(vote.Change.Add, f.self.Name)
	if vote.Kind == Accept && added {
		f.replyVote(name, address, Vote{Kind: Accepted, Version: vote.Version, BaseHash: vote.BaseHash, Ballot: vote.Ballot})
	}
}

// ownRound returns the round that a vote answers, or nil if it has ended or another driver leads it.
func (f *Fleet) ownRound(vote Vote) *round {
	if r := f.round; r != nil && vote.Ballot.Compare(r.Ballot) == 0 {
		return r
	}
	return nil
}

func (f *Fleet) receivePrepare(name, address string, vote Vote) {
	if !f.mayVote() || !f.roster.has(f.self.Name) {
		return
	}
	reply := Vote{Kind: Reject, Version: vote.Version, BaseHash: vote.BaseHash, Ballot: f.acceptor.Promised}
	if f.acceptor.Prepare(vote.Ballot) {
		f.unsavedVotes = true
		reply.Kind, reply.Ballot = Promise, vote.Ballot
		reply.Accepted, reply.Change = f.acceptor.Accepted, f.acceptor.Value
	}
	f.replyVote(name, address, reply)
}

func (f *Fleet) receivePromise(name string, vote Vote) {
	r := f.ownRound(vote)
	if r == nil || !f.roster.has(name) {
		return
	}
	if r.RecordPromise(name, vote.Accepted, vote.Change, f.roster.Names) {
		f.broadcastVote(f.voters(r.Value), Vote{Kind: Accept, Version: vote.Version, BaseHash: vote.BaseHash,
			Ballot: r.Ballot, Change: r.Value})
	}
}

func (f *Fleet) receiveAccept(name, address string, vote Vote) {
	if vote.Change == nil || vote.Change.BaseHash != f.roster.hash || !f.mayVote() {
		return
	}
	reply := Vote{Kind: Reject, Version: vote.Version, BaseHash: vote.BaseHash, Ballot: f.acceptor.Promised}
	if f.acceptor.Accept(vote.Ballot, vote.Change) {
		f.acceptedAt, f.unsavedVotes = f.now, true
		reply.Kind, reply.Ballot = Accepted, vote.Ballot
	}
	f.replyVote(name, address, reply)
}

// receiveAccepted counts an acceptance. A change is decided by majorities of the names before it and of those after it.
func (f *Fleet) receiveAccepted(name string, vote Vote) {
	r := f.ownRound(vote)
	if r == nil || !r.Accepting {
		return
	}
	r.RecordAccepted(name)
	if next := f.rosterAfter(r.Value); r.Decided(f.roster.Names, next.Names) {
		f.round = nil
		f.adoptChange(*r.Value, 4*f.retransmitLimit())
	}
}

// receiveReject abandons a round if a higher ballot was promised, and backs off.
func (f *Fleet) receiveReject(vote Vote) {
	if r := f.round; r != nil && vote.Ballot.Compare(r.Ballot) > 0 {
		f.round = nil
		f.backOff()
	}
}

// backOff delays the next proposal by one to three periods at random, so that competing proposers do not collide again.
func (f *Fleet) backOff() {
	f.nextProposal = f.now + 2*f.options.Period*(0.5+f.random.Float64())
}

// voters returns the names before a change together with those after it.
func (f *Fleet) voters(change *Change) []string {
	names := slices.Clone(f.roster.Names)
	for _, name := range change.Add {
		if !f.roster.has(name) {
			names = append(names, name)
		}
	}
	return names
}
