// Package paxos is single-decree Paxos: the rules of one instance, for an acceptor and for who leads a ballot. It does
// no I/O and reads no clock. Who the voters are, what goes over the wire and what is kept on disk is its users'
// concern.
//
// An acceptor must never answer for a ballot below the one it promised, and who leads a ballot must propose the value
// of the highest ballot that its promises name, if they name any.
package paxos

import (
	"cmp"
	"strings"
)

// MaxNumber bounds the ballot numbers that are taken over from others, so that a damaged or hostile one can't use up
// the rest.
const MaxNumber = 1 << 30

// Ballot orders attempts at one decision.
type Ballot struct {
	Number   uint32 `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"` // of who leads it
}

// Compare orders ballots, as cmp.Compare does.
func (b Ballot) Compare(o Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, o.Number), strings.Compare(b.Proposer, o.Proposer))
}

// Majority says whether more than half of these names are among who.
func Majority(of []string, who map[string]bool) bool {
	n := 0
	for _, name := range of {
		if who[name] {
			n++
		}
	}
	return 2*n > len(of)
}

// Acceptor is a voter's part in one instance. It is to outlive the process before any answer by it is sent.
type Acceptor[V any] struct {
	Promised Ballot
	Accepted Ballot
	Value    *V // accepted, and not known to be decided
}

// Prepare answers a prepare: false where a higher ballot was promised.
func (a *Acceptor[V]) Prepare(b Ballot) bool {
	if b.Compare(a.Promised) < 0 {
		return false
	}
	a.Promised = b
	return true
}

// Accept takes a value: false where a higher ballot was promised.
func (a *Acceptor[V]) Accept(b Ballot, value *V) bool {
	if !a.Prepare(b) {
		return false
	}
	a.Accepted, a.Value = b, value
	return true
}

// Proposer is the part of who leads a ballot.
type Proposer[V any] struct {
	Ballot     Ballot
	Value      *V   // its own until a promise names another
	Accepting  bool // a majority has promised
	promised   map[string]bool
	acceptedBy map[string]bool
	highest    Ballot // of the values that promises named
}

// NewProposer begins a ballot for a value.
func NewProposer[V any](b Ballot, value *V) Proposer[V] {
	return Proposer[V]{Ballot: b, Value: value, promised: map[string]bool{}, acceptedBy: map[string]bool{}}
}

// RecordPromise counts a promise, with what its sender accepted before, and says whether it is the one that makes a
// majority of the voters.
func (p *Proposer[V]) RecordPromise(name string, accepted Ballot, value *V, voters []string) bool {
	if p.Accepting {
		return false
	}
	p.promised[name] = true
	if value != nil && accepted.Compare(p.highest) > 0 {
		p.highest, p.Value = accepted, value
	}
	p.Accepting = Majority(voters, p.promised)
	return p.Accepting
}

// RecordAccepted counts an acceptance.
func (p *Proposer[V]) RecordAccepted(name string) { p.acceptedBy[name] = true }

// HasAccepted says whether one has accepted.
func (p *Proposer[V]) HasAccepted(name string) bool { return p.acceptedBy[name] }

// Decided says whether majorities of all these sets of voters have accepted.
func (p *Proposer[V]) Decided(voters ...[]string) bool {
	for _, of := range voters {
		if !Majority(of, p.acceptedBy) {
			return false
		}
	}
	return p.Accepting
}
