package consensus

import "strconv"

// Kind is the type of a message. The numbers are part of the wire format.
type Kind uint8

// Message kinds, with the fields that each carries besides From.
const (
	// RequestVote asks for a vote in Term. LastTerm and LastIndex are those of the candidate's last entry; Granted is
	// set if the election is part of a leadership transfer.
	RequestVote Kind = iota + 1
	// VoteResponse answers RequestVote: Term, Granted.
	VoteResponse
	// AppendEntries is a leader's heartbeat: Term, Round, LastTerm and LastIndex of its last entry, Commit,
	// Contact and Incarnation. Entry is that last entry if the receiver is not known to hold it.
	AppendEntries
	// AppendEntriesResponse answers AppendEntries: Term, Round, LastTerm and LastIndex of the entry that the sender
	// has synced, Clock and Incarnation. Granted is set while the sender's process is shutting down.
	AppendEntriesResponse
	// Join asks for the sender to become a voter. Granted is set if another node forwarded it to the leader.
	Join
	// RequestPreVote asks whether the receiver would grant a vote in Term: LastTerm, LastIndex. The answer doesn't
	// restrict the receiver's later votes.
	RequestPreVote
	// PreVoteResponse answers RequestPreVote: Term as in the request, Granted.
	PreVoteResponse
	// Leave announces that the sender's process is shutting down.
	Leave
	// TimeoutNow asks the receiver to start an election at once: the sender, leader of Term, transfers its leadership.
	TimeoutNow
)

var kindNames = [...]string{
	RequestVote:           "RequestVote",
	VoteResponse:          "VoteResponse",
	AppendEntries:         "AppendEntries",
	AppendEntriesResponse: "AppendEntriesResponse",
	Join:                  "Join",
	RequestPreVote:        "RequestPreVote",
	PreVoteResponse:       "PreVoteResponse",
	Leave:                 "Leave",
	TimeoutNow:            "TimeoutNow",
}

// String returns the kind's name.
func (k Kind) String() string {
	if k >= RequestVote && int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "Kind(" + strconv.Itoa(int(k)) + ")"
}

// Message is a message between two machines. It may be lost, delayed or duplicated.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// From is the original sender: a forwarded Join carries the joining machine.
	From      Voter  `cbor:"2,keyasint"`
	Term      uint64 `cbor:"3,keyasint,omitempty"`
	LastTerm  uint64 `cbor:"4,keyasint,omitempty"`
	LastIndex uint64 `cbor:"5,keyasint,omitempty"`
	// Granted has a different meaning in each kind; see the comments of the kinds.
	Granted bool `cbor:"6,keyasint,omitempty"`
	// Entry points into the sender's state and is valid until the next call of the sender: encode or copy it before.
	Entry *Entry `cbor:"7,keyasint,omitempty"`
	// Commit is the highest index of an entry of LastTerm that is known to be committed; 0 if there is none.
	Commit uint64 `cbor:"8,keyasint,omitempty"`
	// Round is the number of the heartbeat round.
	Round uint64 `cbor:"9,keyasint,omitempty"`
	// Clock is the reading of the sender's monotonic clock when it answered, in milliseconds.
	Clock float64 `cbor:"10,keyasint,omitempty"`
	// Contact is the time of the leader's last contact on the receiver's clock, in milliseconds; 0 if unknown.
	Contact float64 `cbor:"11,keyasint,omitempty"`
	// Incarnation identifies the process whose clock Clock or Contact refers to.
	Incarnation uint32 `cbor:"12,keyasint,omitempty"`
}

// lastID returns the ID of the entry that LastTerm and LastIndex describe.
func (m *Message) lastID() entryID { return entryID{m.LastTerm, m.LastIndex} }

// leadershipTransfer reports whether a RequestVote was triggered by the leader.
func (m *Message) leadershipTransfer() bool { return m.Granted }

// forwarded reports whether a Join was sent by a node other than the joining machine.
func (m *Message) forwarded() bool { return m.Granted }

// senderLeaving reports whether the sender of an AppendEntriesResponse is shutting down.
func (m *Message) senderLeaving() bool { return m.Granted }

// Envelope is a message with its destination address.
type Envelope struct {
	To      string
	Message Message
}

// send queues a message with this node as the sender.
func (n *Node) send(to string, msg Message) {
	msg.From = n.self()
	n.outbox = append(n.outbox, Envelope{to, msg})
}

// forward queues a message of another sender unchanged.
func (n *Node) forward(to string, msg Message) {
	n.outbox = append(n.outbox, Envelope{to, msg})
}
