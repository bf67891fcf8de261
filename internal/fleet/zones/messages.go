package zones

// This file owns what drivers send each other about plans, and what membership tells of drivers.

import (
	"slices"
	"strings"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/fleet/paxos"
)

// MessageKind of a message between drivers.
type MessageKind uint8

// The kinds of messages: the agreement on a plan (Paxos), the first plan, its leases, reports and orders.
const (
	Prepare      MessageKind = iota + 1 // of a ballot for the plan behind Base
	Promise                             // no lower one is taken; what was taken last comes with it
	Accept                              // this plan
	Accepted                            // it is taken
	Reject                              // a higher ballot was promised
	Bootstrap                           // this first plan, to all of the roster
	Bootstrapped                        // the sender agrees
	Confirm                             // is this plan still the newest taken?
	Confirmed                           // it is
	Decided                             // here is the newest decided; also the answer to who holds an older one
	ReportState                         // a report
	// ReportAnswer answers it: what the sender holds, and since when that is certainly the newest.
	ReportReply
	ForwardCommand // an order of operators, passed on to who leads
)

// Message goes between two drivers.
type Message struct {
	Kind MessageKind `cbor:"1,keyasint"`
	// of the plan in question; in Prepare to Refuse of the one before
	Epoch    uint64       `cbor:"2,keyasint,omitempty"`
	Sum      uint64       `cbor:"3,keyasint,omitempty"` // and its sum
	Ballot   paxos.Ballot `cbor:"4,keyasint"`
	Accepted paxos.Ballot `cbor:"5,keyasint"`
	Plan     *Plan        `cbor:"6,keyasint,omitempty"`
	Nonce    uint64       `cbor:"7,keyasint,omitempty"`
	Roster   uint64       `cbor:"8,keyasint,omitempty"`
	Report   *Report      `cbor:"9,keyasint,omitempty"`
	Command  *Command     `cbor:"10,keyasint,omitempty"`
	Summary  *Summary     `cbor:"11,keyasint,omitempty"`
}

// Envelope is a message that is to go to a driver.
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

// Fleet is what membership tells, at the moment.
type Fleet struct {
	Partition     membership.PartitionStatus
	RosterVersion uint64   // version
	Roster        []string // of the roster, sorted
	Alive         []Peer   // by name, this driver among them
	Zones         []string // of which a driver was ever known, sorted
}

// complete says that all of the roster live, as far as is seen here. Some may be suspected: among many there always is
// one.
func (f *Fleet) complete() bool {
	return withMajority(f.Partition) && len(f.Roster) > 0 &&
		!slices.ContainsFunc(f.Roster, func(n string) bool { return !f.isAlive(n) })
}

func (f *Fleet) isAlive(name string) bool {
	_, ok := slices.BinarySearchFunc(f.Alive, name, func(o Peer, n string) int { return strings.Compare(o.Name, n) })
	return ok
}
