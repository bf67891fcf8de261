// Package paxos is single-decree Paxos (Lamport, Paxos Made Simple, 2001): the rules of one instance, for an
// acceptor and for the proposer of a ballot. It does no I/O and reads no clock. Who the voters are, what goes
// over the wire and what is kept on disk is its users' concern.
//
// Two rules make an instance decide one value at most. An acceptor never answers for a ballot below the one
// that it promised, not even after a restart: an Acceptor must be stored before an answer by it is sent. And a
// proposer proposes the value of the highest ballot that its promises name, if they name any. As two majorities
// of the voters share one, a later ballot's promises name a value that an earlier one can have decided.
//
// Users that change the voters by their decisions ask Proposer.Decided with the voters before and after the change.
package paxos

import (
	"cmp"
	"strings"
)

// MaxNumber bounds the ballot numbers that are taken over from others, so that a damaged or hostile one can't use up
// the rest.
const MaxNumber = 1 << 30

// Ballot orders attempts at one decision. Of one number the proposers' names decide, so that no two are alike.
type Ballot struct {
	Number   uint32 `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"` // name
}

// Compare orders ballots, as cmp.Compare does.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), strings.Compare(b.Proposer, other.Proposer))
}

// Majority says whether more than half of the voters are in a set of names.
func Majority(voters []string, names map[string]bool) bool {
	n := 0
	for _, voter := range voters {
		if names[voter] {
			n++
		}
	}
	return 2*n > len(voters)
}

// Acceptor is a voter's state in one instance; its zero value has promised nothing. It must be stored before
// any answer by it is sent.
type Acceptor[V any] struct {
	// Promised is the highest ballot answered. It never falls.
	Promised Ballot
	// Accepted is the ballot in which Value was accepted; at most Promised.
	Accepted Ballot
	// Value is accepted, and not known to be decided; nil: none is.
	Value *V
}

// Prepare promises to answer for no ballot below b: false where a higher one was promised.
func (a *Acceptor[V]) Prepare(b Ballot) bool {
	if b.Compare(a.Promised) < 0 {
		return false
	}
	a.Promised = b
	return true
}

// Accept takes a ballot's value: false where a higher ballot was promised.
func (a *Acceptor[V]) Accept(b Ballot, value *V) bool {
	if !a.Prepare(b) {
		return false
	}
	a.Accepted, a.Value = b, value
	return true
}

// Proposer is the state of who leads a ballot. It needs not outlive the process: a later ballot finds out what was
// accepted.
type Proposer[V any] struct {
	Ballot Ballot
	// Value is the proposer's own until a promise names another; it doesn't change once Accepting is set.
	Value *V
	// Accepting says that a majority has promised, and that the value may be sent.
	Accepting bool

	promisedBy map[string]bool // names
	acceptedBy map[string]bool
	highest    Ballot // of the values that promises named
}

// NewProposer begins a ballot for a value.
func NewProposer[V any](b Ballot, value *V) Proposer[V] {
	return Proposer[V]{Ballot: b, Value: value, promisedBy: map[string]bool{}, acceptedBy: map[string]bool{}}
}

// RecordPromise counts a promise, with what its sender accepted before (value is nil for nothing), and says
// whether it is the one that makes a majority of the voters.
func (p *Proposer[V]) RecordPromise(name string, accepted Ballot, value *V, voters []string) bool {
	if p.Accepting {
		return false
	}
	p.promisedBy[name] = true
	if value != nil && accepted.Compare(p.highest) > 0 {
		p.highest, p.Value = accepted, value
	}
	p.Accepting = Majority(voters, p.promisedBy)
	return p.Accepting
}

// RecordAccepted counts an acceptance.
func (p *Proposer[V]) RecordAccepted(name string) { p.acceptedBy[name] = true }

// HasAccepted says whether a voter has accepted.
func (p *Proposer[V]) HasAccepted(name string) bool { return p.acceptedBy[name] }

// Decided says whether majorities of all these sets of voters have accepted.
func (p *Proposer[V]) Decided(sets ...[]string) bool {
	for _, voters := range sets {
		if !Majority(voters, p.acceptedBy) {
			return false
		}
	}
	return p.Accepting
}
