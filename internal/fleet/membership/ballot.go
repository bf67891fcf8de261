package membership

// This file owns one change of the roster by Paxos: the drivers of the roster that holds, and of the one to come,
// accept it.

import (
	"slices"

	"weirwind/internal/fleet/paxos"
)

// VoteKind of a vote.
type VoteKind uint8

// The kinds of votes: two to found a roster, five of the agreement on a change (Paxos).
const (
	Bootstrap    VoteKind = iota + 1 // the sender would found a roster of the names that it sees
	Bootstrapped                     // the receiver of Bootstrap sees the same
	Prepare                          // of a ballot
	Promise                          // no lower one is taken; what was taken last comes with it
	Accept                           // this change
	Accepted                         // it is taken
	Reject                           // a higher ballot was promised
)

// Vote is one step between two drivers.
type Vote struct {
	Kind     VoteKind     `cbor:"1,keyasint"`
	Version  uint64       `cbor:"2,keyasint"` // of the roster to come
	BaseHash uint64       `cbor:"3,keyasint,omitempty"`
	Ballot   paxos.Ballot `cbor:"4,keyasint"`
	Accepted paxos.Ballot `cbor:"5,keyasint"` // of the change in a promise
	Change   *Change      `cbor:"6,keyasint,omitempty"`
	Hash     uint64       `cbor:"7,keyasint,omitempty"` // of a founding
}

// round is a ballot that this driver leads.
type round struct {
	paxos.Proposer[Change]
	deadline float64
}

// propose begins a ballot for a change.
func (f *Fleet) propose(want *Change) {
	f.ballotNumber++
	ballot := paxos.Ballot{Number: f.ballotNumber, Proposer: f.self.Name}
	f.round = &round{Proposer: paxos.NewProposer(ballot, want), deadline: f.now + roundPeriods*f.options.Period}
	f.nextProposal = f.round.deadline
	f.broadcastVote(f.roster.Names, Vote{Kind: Prepare, Version: f.roster.Version + 1, BaseHash: f.roster.hash,
		Ballot: f.round.Ballot})
}

// wantedChange is the change that is due by what this driver sees: who came is to be counted, who left is not. One that
// has failed stays.
func (f *Fleet) wantedChange() *Change {
	if f.acceptor.Value != nil && f.voteVersion == f.roster.Version+1 && f.now-f.acceptedAt > roundPeriods*f.options.Period {
		return f.acceptor.Value
	}
	c := &Change{Version: f.roster.Version + 1, Lineage: f.roster.Lineage, BaseHash: f.roster.hash, Hash: f.roster.hash}
	wait := settledPeriods * f.options.Period
	if !f.roster.has(f.self.Name) {
		c.Add = append(c.Add, f.self.Name)
	}
	for _, m := range f.peers {
		if len(c.Add)+len(c.Remove) >= maxChange {
			break
		}
		switch on := m.onRoster; {
		case on && m.State == Left && f.now-m.stateSince > wait:
			c.Remove = append(c.Remove, m.Name)
		case !on && m.State == Alive && f.now-m.stateSince > wait:
			c.Add = append(c.Add, m.Name)
		}
	}
	c.Hash ^= namesHash(c.Add) ^ namesHash(c.Remove)
	if len(c.Add)+len(c.Remove) == 0 {
		return nil
	}
	return c
}

// broadcastVote sends a vote to drivers, this one included.
func (f *Fleet) broadcastVote(names []string, v Vote) {
	for _, n := range names {
		if m := f.peersByName[n]; m != nil && !m.State.ended() {
			f.send(m.Address, Message{Kind: Gossip, Target: n, Vote: &v})
		}
	}
	if slices.Contains(names, f.self.Name) {
		f.receiveVote(f.self.Name, "", v)
	}
}

// replyVote sends a vote back, or takes it where it came from here.
func (f *Fleet) replyVote(name, address string, v Vote) {
	if address == "" {
		f.receiveVote(name, "", v)
		return
	}
	f.send(address, Message{Kind: Gossip, Target: name, Vote: &v})
}

// receiveVote takes a step of a peer.
func (f *Fleet) receiveVote(name, address string, v Vote) {
	if v.Change != nil && (len(v.Change.Add)+len(v.Change.Remove) > maxChange || v.Change.Version != v.Version) {
		return
	}
	switch v.Kind {
	case Bootstrap, Bootstrapped:
		f.receiveBootstrap(name, address, v)
		return
	}
	if f.roster == nil || v.Version != f.roster.Version+1 || v.BaseHash != f.roster.hash {
		added := f.roster == nil && v.Change != nil && slices.Contains(v.Change.Add, f.self.Name)
		if v.Kind == Accept && added { // it is to be counted from there on
			f.replyVote(name, address, Vote{Kind: Accepted, Version: v.Version, BaseHash: v.BaseHash, Ballot: v.Ballot})
		}
		return
	}
	if f.voteVersion != v.Version {
		f.voteVersion, f.acceptor = v.Version, paxos.Acceptor[Change]{}
	}
	f.ballotNumber = max(f.ballotNumber, min(v.Ballot.Number, paxos.MaxNumber))
	switch v.Kind {
	case Prepare:
		f.receivePrepare(name, address, v)
	case Promise:
		f.receivePromise(name, v)
	case Accept:
		f.receiveAccept(name, address, v)
	case Accepted:
		f.receiveAccepted(name, v)
	case Reject:
		if r := f.round; r != nil && v.Ballot.Compare(r.Ballot) > 0 {
			f.round, f.nextProposal = nil, f.now+2*f.options.Period*(0.5+f.random.Float64())
		}
	}
}

// ownRound is the round that a vote answers; nil where it is over or another's.
func (f *Fleet) ownRound(v Vote) *round {
	if r := f.round; r != nil && v.Ballot.Compare(r.Ballot) == 0 {
		return r
	}
	return nil
}

func (f *Fleet) receivePrepare(name, address string, v Vote) {
	if !f.mayVote() || !f.roster.has(f.self.Name) {
		return
	}
	back := Vote{Kind: Reject, Version: v.Version, BaseHash: v.BaseHash, Ballot: f.acceptor.Promised}
	if f.acceptor.Prepare(v.Ballot) {
		f.unsavedVotes = true
		back.Kind, back.Ballot, back.Accepted, back.Change = Promise, v.Ballot, f.acceptor.Accepted, f.acceptor.Value
	}
	f.replyVote(name, address, back)
}

func (f *Fleet) receivePromise(name string, v Vote) {
	r := f.ownRound(v)
	if r == nil || !f.roster.has(name) {
		return
	}
	if r.RecordPromise(name, v.Accepted, v.Change, f.roster.Names) {
		f.broadcastVote(f.voters(r.Value),
			Vote{Kind: Accept, Version: v.Version, BaseHash: v.BaseHash, Ballot: r.Ballot, Change: r.Value})
	}
}

func (f *Fleet) receiveAccept(name, address string, v Vote) {
	if v.Change == nil || v.Change.BaseHash != f.roster.hash || !f.mayVote() {
		return
	}
	back := Vote{Kind: Reject, Version: v.Version, BaseHash: v.BaseHash, Ballot: f.acceptor.Promised}
	if f.acceptor.Accept(v.Ballot, v.Change) {
		f.acceptedAt, f.unsavedVotes = f.now, true
		back.Kind, back.Ballot = Accepted, v.Ballot
	}
	f.replyVote(name, address, back)
}

// receiveAccepted counts an acceptance: a change is decided by majorities of the names before it and after it.
func (f *Fleet) receiveAccepted(name string, v Vote) {
	r := f.ownRound(v)
	if r == nil || !r.Accepting {
		return
	}
	r.RecordAccepted(name)
	if next := f.rosterAfter(r.Value); r.Decided(f.roster.Names, next.Names) {
		f.round = nil
		f.decide(*r.Value)
	}
}

// voters are the names before a change and after it.
func (f *Fleet) voters(c *Change) []string {
	all := slices.Clone(f.roster.Names)
	for _, n := range c.Add {
		if !f.roster.has(n) {
			all = append(all, n)
		}
	}
	return all
}

// rosterAfter is the roster that a change makes of the one that holds.
func (f *Fleet) rosterAfter(c *Change) Roster {
	names := slices.DeleteFunc(f.voters(c), func(n string) bool { return slices.Contains(c.Remove, n) })
	slices.Sort(names)
	return Roster{Version: c.Version, Lineage: c.Lineage, Names: names, hash: namesHash(names)}
}

// decide takes a change that was agreed on, and passes it on.
func (f *Fleet) decide(c Change) {
	if next := f.rosterAfter(&c); next.hash == c.Hash {
		f.adoptRoster(next)
		f.decidedChange, f.decidedTransmissions = &c, 4*f.retransmitLimit()
	}
}
