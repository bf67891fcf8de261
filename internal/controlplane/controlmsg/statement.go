package controlmsg

// This file defines the statements that the leader has agents send to members that it doesn't reach.

import (
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/member/wire"
)

// RelayedStatement asks a driver's agent to send a member a statement that is answered with its status. The leader
// sends it to its own agents and to the other core machines, each of which passes it on to the driver's agent if that
// renews there.
type RelayedStatement struct {
	Number    uint64           `cbor:"1,keyasint"` // chosen by the leader, for the reply
	Driver    string           `cbor:"2,keyasint"`
	Member    directory.Member `cbor:"3,keyasint"`
	Statement string           `cbor:"4,keyasint"`
}

// RelayedReply is the outcome of a RelayedStatement, which the agent's core machine passes on to the leader.
type RelayedReply struct {
	Number uint64         `cbor:"1,keyasint"`
	Driver string         `cbor:"2,keyasint"`
	Status *RelayedStatus `cbor:"3,keyasint,omitempty"` // nil: the member did not reply
}

// RelayedStatus has the fields of a member's status that failovers depend on.
type RelayedStatus struct {
	Primary        bool   `cbor:"1,keyasint,omitempty"`
	Term           uint64 `cbor:"2,keyasint"`
	ReceivedTerm   uint64 `cbor:"3,keyasint"`
	ReceivedNumber uint64 `cbor:"4,keyasint"`
	PromisedTerm   uint64 `cbor:"5,keyasint,omitempty"`
}

// NewRelayedStatus returns the message for a member's status.
func NewRelayedStatus(status wire.MemberStatus) *RelayedStatus {
	return &RelayedStatus{Primary: status.Primary, Term: status.Term, ReceivedTerm: status.Received.Term,
		ReceivedNumber: status.Received.Number, PromisedTerm: status.PromisedTerm}
}

// MemberStatus returns the status. Fields that the message lacks are zero.
func (s *RelayedStatus) MemberStatus() wire.MemberStatus {
	return wire.MemberStatus{Primary: s.Primary, Term: s.Term, PromisedTerm: s.PromisedTerm,
		Received: wire.Position{Term: s.ReceivedTerm, Number: s.ReceivedNumber}}
}
