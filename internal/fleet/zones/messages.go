package zones

// This file defines the messages between drivers about plans, and the view of the fleet that membership provides.

import (
	"slices"
	"strings"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/paxos"
)

// MessageKind is the kind of a message between drivers.
type MessageKind uint8

// The kinds of messages. For the kinds from Prepare to Reject, Confirm and Confirmed, Message.Epoch and Sum identify
// the sender's current plan, the voters of which decide.
const (
	Prepare        MessageKind = iota + 1 // phase 1a of Paxos for the plan's successor
	Promise                               // phase 1b, with what the sender accepted last, if anything
	Accept                                // phase 2a, with the successor
	Accepted                              // phase 2b
	Reject                                // a higher ballot was promised; or, by Nonce, the sender lacks the plan
	Bootstrap                             // a first plan, to all of the roster
	Bootstrapped                          // the sender accepted that first plan
	Confirm                               // asks whether the voter has accepted no successor of the plan
	Confirmed                             // the sender has accepted no successor
	Decided                               // the newest decided plan; also the answer to a sender with an older one
	ReportState                           // a Report, to the voters
	ReportReply                           // the answer to ReportState, with the sender's Summary
	ForwardCommand                        // an operator's command, forwarded to the voters for the leader among them
)

// nonceWantsPlan is the nonce of a Reject that requests the plan it identifies.
const nonceWantsPlan = 1

// Message is a message between drivers.
type Message struct {
	Kind     MessageKind  `cbor:"1,keyasint"`
	Epoch    uint64       `cbor:"2,keyasint,omitempty"` // of the plan concerned
	Sum      uint64       `cbor:"3,keyasint,omitempty"` // checksum of that plan
	Ballot   paxos.Ballot `cbor:"4,keyasint"`           // the ballot requested or answered; in Reject the one promised
	Accepted paxos.Ballot `cbor:"5,keyasint"`           // in Promise: ballot in which Plan was accepted, if any
	Plan     *Plan        `cbor:"6,keyasint,omitempty"`
	Nonce    uint64       `cbor:"7,keyasint,omitempty"` // of a Confirm and its answer
	Roster   uint64       `cbor:"8,keyasint,omitempty"` // version of the roster that a first plan is for
	Report   *Report      `cbor:"9,keyasint,omitempty"`
	Command  *Command     `cbor:"10,keyasint,omitempty"`
	Summary  *Summary     `cbor:"11,keyasint,omitempty"`
}

// isRequest reports whether a message asks voters for an answer.
func (m *Message) isRequest() bool { return m.Kind == Prepare || m.Kind == Accept || m.Kind == Confirm }

// answer returns an answer about the same plan.
func (m *Message) answer(kind MessageKind) Message {
	return Message{Kind: kind, Epoch: m.Epoch, Sum: m.Sum}
}

// Summary is the gossip of drivers about plans.
type Summary struct {
	Epoch uint64  `cbor:"1,keyasint"`
	Sum   uint64  `cbor:"2,keyasint"`
	Age   float64 `cbor:"3,keyasint"` // milliseconds since the plan was certainly the newest; negative: unknown
	Plan  *Plan   `cbor:"4,keyasint,omitempty"`
}

// Envelope is a message with the name of its destination driver.
type Envelope struct {
	To      string
	Message Message
}

// Event is a log entry.
type Event struct {
	Reason, Name, Text string
}

// Peer is a live driver.
type Peer struct{ Name, Zone string }

// Fleet is the current view of the fleet by membership.
type Fleet struct {
	Partition     membership.PartitionStatus
	RosterVersion uint64
	Roster        []string // names, sorted
	Alive         []Peer   // sorted by name, this driver among them
	Zones         []string // zones of all drivers ever known, sorted
}

// complete reports whether all drivers of the roster are alive in this view. Suspects count as alive, because a large
// fleet nearly always has one.
func (f *Fleet) complete() bool {
	return withMajority(f.Partition) && len(f.Roster) > 0 &&
		!slices.ContainsFunc(f.Roster, func(name string) bool { return !f.isAlive(name) })
}

func (f *Fleet) isAlive(name string) bool {
	_, ok := slices.BinarySearchFunc(f.Alive, name, func(o Peer, n string) int { return strings.Compare(o.Name, n) })
	return ok
}
