package consensus

import "strconv"

// Kind of a message. The numbers are on the wire.
type Kind uint8

// Kinds, with the fields that each bears besides From.
const (
	// RequestVote asks for a vote in Term: LastTerm and LastIndex of the candidate's last entry, Granted for
	// a leadership transfer.
	RequestVote Kind = iota + 1
	// VoteResponse answers it: Term, Granted.
	VoteResponse
	// AppendEntries is a leader's heartbeat: Term, Round, LastTerm and LastIndex of its last entry, Commit,
	// Contact and Incarnation; with that entry itself in Entry for who is not known to hold it.
	AppendEntries
	// AppendEntriesResponse answers it: Term, Round, LastTerm and LastIndex of the entry that the sender
	// holds synced, Clock and Incarnation; Granted while the sender's process is shutting down.
	AppendEntriesResponse
	// Join says that the sender wants to vote; Granted: it was forwarded to the leader.
	Join
	// RequestPreVote asks whether a vote would be given in Term: LastTerm, LastIndex. It binds nobody.
	RequestPreVote
	// PreVoteResponse answers it: Term as in the request, Granted.
	PreVoteResponse
	// Leave says that the sender's process is shutting down.
	Leave
	// TimeoutNow has the receiver begin an election at once: the sender, leader of Term, transfers its leadership.
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

// String is the kind's name, for people; on the wire it is a number.
func (k Kind) String() string {
	if k >= RequestVote && int(k) < len(kindNames) {
		return kindNames[k]
	}
	return "Kind(" + strconv.Itoa(int(k)) + ")"
}

// Message goes between two machines. It may be lost, late, or come twice.
type Message struct {
	Kind Kind `cbor:"1,keyasint"`
	// From sent it first: a forwarded Join bears the joiner.
	From      Voter  `cbor:"2,keyasint"`
	Term      uint64 `cbor:"3,keyasint,omitempty"`
	LastTerm  uint64 `cbor:"4,keyasint,omitempty"`
	LastIndex uint64 `cbor:"5,keyasint,omitempty"`
	// Granted means what the comment on its kind says.
	Granted bool `cbor:"6,keyasint,omitempty"`
	// Entry is the sender's own, valid until the sender is called again: encode or copy it before.
	Entry *Entry `cbor:"7,keyasint,omitempty"`
	// Commit is the index known committed, of an entry of LastTerm; 0: none of that term is.
	Commit uint64 `cbor:"8,keyasint,omitempty"`
	// Round numbers heartbeats.
	Round uint64 `cbor:"9,keyasint,omitempty"`
	// Clock is the sender's steady clock when it answered, in milliseconds.
	Clock float64 `cbor:"10,keyasint,omitempty"`
	// Contact is the leader's last contact, in milliseconds on the receiver's clock; 0: not known.
	Contact float64 `cbor:"11,keyasint,omitempty"`
	// Incarnation is that of the process whose clock Clock or Contact is a reading of.
	Incarnation uint32 `cbor:"12,keyasint,omitempty"`
}

// lastID identifies the entry that LastTerm and LastIndex tell of.
func (m *Message) lastID() entryID { return entryID{m.LastTerm, m.LastIndex} }

// leadershipTransfer says of a RequestVote that the leader asked for the election.
func (m *Message) leadershipTransfer() bool { return m.Granted }

// forwarded says of a Join that it comes from a machine to which the joiner sent it.
func (m *Message) forwarded() bool { return m.Granted }

// senderLeaving says of an AppendEntriesResponse that the sender's process is shutting down.
func (m *Message) senderLeaving() bool { return m.Granted }

// Envelope is a message with the address that it is for.
type Envelope struct {
	To      string
	Message Message
}

// send queues a message of this node's own.
func (n *Node) send(to string, msg Message) {
	msg.From = n.self()
	n.outbox = append(n.outbox, Envelope{to, msg})
}

// forward queues a message that another node sent.
func (n *Node) forward(to string, msg Message) {
	n.outbox = append(n.outbox, Envelope{to, msg})
}
