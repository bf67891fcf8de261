// Package consensus is the core's own agreement: one value, the operator's word, and who votes on it.
//
// This file owns who leads, which value follows which, and who votes. It does no I/O and reads no clock: the caller gives the
// steady clock's milliseconds, syncs HardState to disk whenever Dirty says so, and only then sends what Messages gives.
//
// Terms and votes are Raft's (Ongaro and Ousterhout, In Search of an Understandable Consensus Algorithm, 2014) over a log of
// which only the last entry is kept, as each holds the whole value: an entry is committed when a majority of the voters that it
// names itself hold it synced; a voter gives its vote only to those whose last entry is as new as its own. Voters change by one
// at a time, behind an entry of the leader's own term. A machine whose disk came back empty is another voter (its id is drawn
// when its disk is first used), so that it never votes as if it knew.
package consensus

import "math"

// Voter is a machine of the core with one life of its disk.
type Voter struct {
	ID   string `cbor:"1,keyasint"`
	Addr string `cbor:"2,keyasint"` // of its control calls
}

// Entry is a value with who votes on it.
type Entry struct {
	Term   uint64  `cbor:"1,keyasint"`
	Index  uint64  `cbor:"2,keyasint"`
	Voters []Voter `cbor:"3,keyasint"`
	Value  []byte  `cbor:"4,keyasint"`
}

// HardState is what must be synced before a message that follows from it is sent.
type HardState struct {
	ID       string `cbor:"1,keyasint"`
	Term     uint64 `cbor:"2,keyasint"` // newest promised
	Vote     string `cbor:"3,keyasint"` // who got the vote of that term
	Last     Entry  `cbor:"4,keyasint"`
	Commit   uint64 `cbor:"5,keyasint"` // index known committed; only a hint after a restart
	CommitTerm uint64 `cbor:"6,keyasint"` // its term
}

// Kind of a message.
type Kind uint8

const (
	RequestVote  Kind = iota + 1 // Term, and the sender's last entry in LastTerm, LastIndex
	VoteResponse                 // Granted
	AppendEntries                   // the leader lives; Entry comes along for who lacks it
	AppendEntriesResponse                 // LastTerm, LastIndex: what the sender holds synced; Round of the question
	Join                     // an empty machine wants to vote
	RequestPreVote                   // would a vote be given? (nothing is promised)
	PreVoteResponse
	Leave    // the sender's process ends in order
	TimeoutNow // the leader wants the receiver to stand for election now
)

// Message goes between two machines of the core.
type Message struct {
	Kind      Kind    `cbor:"1,keyasint"`
	From      Voter   `cbor:"2,keyasint"`
	Term      uint64  `cbor:"3,keyasint,omitempty"`
	LastTerm  uint64  `cbor:"4,keyasint,omitempty"`
	LastIndex uint64  `cbor:"5,keyasint,omitempty"`
	Granted   bool    `cbor:"6,keyasint,omitempty"` // AskVote: the leader handed over; Join: passed on; Appended: the sender leaves
	Entry     *Entry  `cbor:"7,keyasint,omitempty"`
	Commit    uint64  `cbor:"8,keyasint,omitempty"`
	Round     uint64  `cbor:"9,keyasint,omitempty"`
	Clock     float64 `cbor:"10,keyasint,omitempty"` // Appended: the sender's
	Contact   float64 `cbor:"11,keyasint,omitempty"` // Append: the newest contact, on the receiver's clock
	Incarnation      uint32  `cbor:"12,keyasint,omitempty"` // of the process on whose clock Clock or Contact is
}

// Envelope is a message for the machine at an address.
type Envelope struct {
	To      string
	Message Message
}

// Options are a node's.
type Options struct {
	Addr              string
	Seeds             []string // addresses to ask for a place
	MinVoters         int      // never fewer voters than this by a removal
	HeartbeatInterval float64  // milliseconds between two signs of a leader
	ElectionTimeout   float64  // without one for so long an election is begun, and up to as much again
	RemoveAfter       float64  // a voter silent for so long is removed where enough others vote, or one waits to join
	Random              func() float64
}

// Role of a node.
type Role uint8

const (
	Follower Role = iota
	Candidate
	Leader
)

type peer struct {
	term, index uint64  // what it holds synced, by its word
	round       uint64  // newest question answered
	heard       float64 // when
	sentAt      float64 // an entry was sent
	sent        uint64  // its index
	sentRound   uint64  // the question that it went along with
	clock       float64 // its own, by its newest answer
	clockAt     float64 // when that came
	life        uint32  // of the process whose clock it is
}

// Node is one machine's part.
type Node struct {
	o         Options
	HardState HardState

	role    Role
	leader  Voter
	heardAt float64 // the leader
	waitTil float64 // an election begins
	votes   map[string]bool
	pre     bool    // asking whether an election could be won
	preAt   float64 // since
	handed  bool    // this candidacy was asked for by the leader

	followed     Voter // the last leader that was followed
	followedTill float64

	peers  map[string]*peer
	round  uint64
	beatAt float64
	joins  map[string]joiner
	joinAt float64
	dirty  bool
	out    []Envelope

	contactAt float64 // see contact.go
	probe     probe
	life      uint32 // drawn for each process
	current   bool   // the leader's own term has a committed entry
	decided   Entry  // the newest entry known committed; Last may be a newer one

	former    map[string]float64 // addresses of voters that were removed, until when a leader tells them that it leads
	removal   removal            // that is being confirmed
	left      map[string]float64 // when voters said that their process ends in order
	leavingAt float64            // this process ends in order, since; 0: no
	handAt    float64            // when another is asked to take the lead over
}

// New starts a node from what its disk holds.
func New(o Options, h HardState, now float64) *Node {
	n := &Node{o: o, HardState: h, peers: map[string]*peer{}, joins: map[string]joiner{},
		left: map[string]float64{}, former: map[string]float64{}}
	if h.Last.Index > 0 && h.Commit >= h.Last.Index && h.CommitTerm == h.Last.Term {
		n.decided = h.Last
	}
	n.contactAt, n.life = math.Inf(-1), uint32(o.Random()*math.MaxUint32)
	n.heardAt = now - o.ElectionTimeout
	n.waitTil = now + o.ElectionTimeout*(0.2+0.4*o.Random()) // asking costs nobody anything where somebody leads
	return n
}

func (n *Node) self() Voter { return Voter{n.HardState.ID, n.o.Addr} }

// Dirty says that HardState is to be synced before messages are sent.
func (n *Node) Dirty() bool { return n.dirty }

// Synced is told when it was.
func (n *Node) Synced(now float64) {
	n.dirty = false
	if n.role == Leader {
		n.advance(now)
	}
}

// Messages gives what is to be sent and forgets it.
func (n *Node) Messages() []Envelope {
	out := n.out
	n.out = nil
	return out
}

// Role gives this node's.
func (n *Node) Role() Role { return n.role }

// Leader gives the leader that is known, itself included.
func (n *Node) Leader() (Voter, bool) {
	if n.role == Leader {
		return n.self(), true
	}
	return n.leader, n.leader.ID != ""
}

// Established says that this node leads, and that all that was ever committed is known to it.
func (n *Node) Established() bool { return n.role == Leader && n.current }

// Committed gives the newest entry that is known committed, also while another is on its way; false for none.
func (n *Node) Committed() (Entry, bool) { return n.decided, n.decided.Index > 0 }

// InFlight says that an entry is on its way.
func (n *Node) InFlight() bool { return n.HardState.Commit < n.HardState.Last.Index || !n.current }

// Tick lets time pass.
func (n *Node) Tick(now float64) {
	if n.role == Leader {
		if now >= n.beatAt {
			n.beat(now)
		}
		n.advance(now)
		if n.role == Leader && n.leavingAt > 0 {
			n.handOver(now)
		} else if n.role == Leader {
			n.tend(now)
		}
		return
	}
	if n.leavingAt > 0 {
		return
	}
	if !n.isVoter(n.HardState.ID) {
		if now >= n.joinAt && now-n.heardAt > 2*n.o.HeartbeatInterval || now >= n.joinAt && n.HardState.Last.Index > 0 {
			n.joinAt = now + 3*n.o.HeartbeatInterval
			if n.HardState.Last.Index == 0 { // first questions go before their links stand
				n.joinAt = now + n.o.HeartbeatInterval
			}
			n.askToJoin()
		}
		return
	}
	if now >= n.waitTil {
		n.campaign(now)
	}
}

func (n *Node) send(to string, m Message) {
	m.From = n.self()
	n.out = append(n.out, Envelope{to, m})
}

// Step takes a message.
func (n *Node) Step(m *Message, now float64) {
	switch m.Kind {
	case RequestPreVote, RequestVote:
		n.noteLeaving(m.From.ID, false, now)
		n.vote(m, now)
	case PreVoteResponse, VoteResponse:
		if m.Kind == VoteResponse && m.Term > n.HardState.Term {
			n.raise(m.Term, now)
			return
		}
		want := n.HardState.Term
		if n.pre {
			want++
		}
		if n.role == Candidate && n.pre == (m.Kind == PreVoteResponse) && m.Term == want && m.Granted {
			n.votes[m.From.ID] = true
			n.count(now)
		}
	case AppendEntries:
		n.append(m, now)
	case AppendEntriesResponse:
		if m.Term > n.HardState.Term {
			n.raise(m.Term, now)
			return
		}
		if n.role != Leader || m.Term != n.HardState.Term {
			return
		}
		p := n.peers[m.From.ID]
		if p == nil { // another life of a voter's disk, or one that was removed while the question was on its way
			n.takeJoin(m.From, now)
			return
		}
		p.heard = now
		p.clock, p.clockAt, p.life = m.Clock, now, m.Incarnation
		n.noteLeaving(m.From.ID, m.Granted, now)
		if m.Round >= p.round {
			p.round, p.term, p.index = m.Round, m.LastTerm, m.LastIndex
		}
		n.advance(now)
		if n.role == Leader && n.lacks(p) && (p.sent != n.HardState.Last.Index || m.Round >= p.sentRound) {
			p.sent = 0 // an answer to what was sent with the entry or later shows that it was lost
			n.sendAppend(m.From, now)
		}
	case Leave:
		n.noteLeaving(m.From.ID, true, now)
	case TimeoutNow:
		if n.role == Follower && n.leavingAt == 0 && m.Term == n.HardState.Term && m.From.ID == n.leader.ID && n.isVoter(n.HardState.ID) {
			n.stand(now, true)
		}
	case Join:
		if n.leader.Addr == m.From.Addr && n.leader.ID != m.From.ID {
			n.LeaderDisconnected(m.From.Addr, now) // its disk has another life
		}
		if n.role != Leader && n.leader.ID != "" && !m.Granted { // it may know none but seeds: who leads is told for it, once
			on := *m
			on.Granted = true
			n.out = append(n.out, Envelope{n.leader.Addr, on})
		}
		if n.role == Leader {
			n.takeJoin(m.From, now)
		}
	}
}
