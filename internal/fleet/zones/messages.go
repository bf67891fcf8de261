package zones

// This file owns what drivers send each other about plans, and what membership knows of drivers.

import (
	"slices"
	"strings"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/paxos"
)

// MessageKind is the kind of a message between drivers.
type MessageKind uint8

// The kinds of messages. From Prepare to Reject, Confirm and Confirmed, Message.Epoch and Sum name the plan that the
// sender takes for the newest one, the voters of which decide.
const (
	Prepare        MessageKind = iota + 1 // phase 1a of Paxos for the plan's successor
	Promise                               // phase 1b, with what the sender accepted last, if anything
	Accept                                // phase 2a, with the successor
	Accepted                              // phase 2b
	Reject                                // a higher ballot was promised; or, by Nonce, the sender lacks the plan named
	Bootstrap                             // a first plan, to all of the roster
	Bootstrapped                          // the sender accepted that first plan
	Confirm                               // asks whether the plan is still the newest accepted
	Confirmed                             // it is
	Decided                               // the newest decided plan; also the answer to a sender that holds an older one
	ReportState                           // a Report, to the voters
	ReportReply                           // answers it with the sender's Summary
	ForwardCommand                        // a command of operators, forwarded to the voters for the leader among them
)

// nonceWantsPlan is the nonce of a Reject that asks for the plan that it names.
const nonceWantsPlan = 1

// Message goes from one driver to another.
type Message struct {
	Kind     MessageKind  `cbor:"1,keyasint"`
	Epoch    uint64       `cbor:"2,keyasint,omitempty"` // of the plan in question
	Sum      uint64       `cbor:"3,keyasint,omitempty"` // and its checksum
	Ballot   paxos.Ballot `cbor:"4,keyasint"`           // that is asked about or answered; in Reject the one promised
	Accepted paxos.Ballot `cbor:"5,keyasint"`           // in Promise: of Plan, where there is one
	Plan     *Plan        `cbor:"6,keyasint,omitempty"`
	Nonce    uint64       `cbor:"7,keyasint,omitempty"` // of a Confirm and its answer
	Roster   uint64       `cbor:"8,keyasint,omitempty"` // version of the roster that a first plan is for
	Report   *Report      `cbor:"9,keyasint,omitempty"`
	Command  *Command     `cbor:"10,keyasint,omitempty"`
	Summary  *Summary     `cbor:"11,keyasint,omitempty"`
}

// isRequest says whether a message asks voters for an answer.
func (m *Message) isRequest() bool { return m.Kind == Prepare || m.Kind == Accept || m.Kind == Confirm }

// answer makes an answer about the same plan.
func (m *Message) answer(kind MessageKind) Message {
	return Message{Kind: kind, Epoch: m.Epoch, Sum: m.Sum}
}

// Summary is what drivers exchange about plans along with other gossip.
type Summary struct {
	Epoch uint64  `cbor:"1,keyasint"`
	Sum   uint64  `cbor:"2,keyasint"`
	Age   float64 `cbor:"3,keyasint"` // milliseconds since the plan was certainly the newest; negative: not known
	Plan  *Plan   `cbor:"4,keyasint,omitempty"`
}

// Envelope is a message with the name of the driver that it is for.
type Envelope struct {
	To      string
	Message Message
}

// Event is a line for the log.
type Event struct {
	Reason, Name, Text string
}

// Peer is a living driver.
type Peer struct{ Name, Zone string }

// Fleet is what membership knows at the moment.
type Fleet struct {
	Partition     membership.PartitionStatus
	RosterVersion uint64
	Roster        []string // names, sorted
	Alive         []Peer   // sorted by name, this driver among them
	Zones         []string // of which a driver was ever known, sorted
}

// complete says whether all of the roster are alive, as seen from here. Some may be suspected: in a large fleet there
// always is one.
func (f *Fleet) complete() bool {
	return withMajority(f.Partition) && len(f.Roster) > 0 &&
		!slices.ContainsFunc(f.Roster, func(name string) bool { return !f.isAlive(name) })
}

func (f *Fleet) isAlive(name string) bool {
	_, ok := slices.BinarySearchFunc(f.Alive, name, func(o Peer, n string) int { return strings.Compare(o.Name, n) })
	return ok
}
