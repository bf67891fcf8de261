// Package paxos implements single-decree Paxos (Lamport, Paxos Made Simple, 2001): the rules of one instance, for an
// acceptor and for the proposer of a ballot. It does no I/O and reads no clock. Its callers choose the voters, send the
// messages and store the state.
//
// Two rules ensure that an instance decides at most one value. An acceptor never accepts or promises a ballot below the
// one that it promised, not even after a restart: an Acceptor must be stored before its answer is sent. And a proposer
// proposes the value of the highest ballot that its promises report, if they report any. Because any two majorities of
// the voters overlap, the promises for a later ballot report any value that an earlier ballot may have decided.
//
// Callers whose decisions change the set of voters pass the voters before and after the change to Proposer.Decided.
package paxos

import (
	"cmp"
	"strings"
)

// MaxNumber bounds the ballot numbers that are adopted from others, so that a corrupt or malicious message cannot
// exhaust the number space.
const MaxNumber = 1 << 30

// Ballot identifies and orders attempts at one decision. Proposers break ties between equal numbers.
type Ballot struct {
	Number   uint32 `cbor:"1,keyasint"`
	Proposer string `cbor:"2,keyasint"` // name
}

// Compare returns the order of two ballots as cmp.Compare does.
func (b Ballot) Compare(other Ballot) int {
	return cmp.Or(cmp.Compare(b.Number, other.Number), strings.Compare(b.Proposer, other.Proposer))
}

// Majority reports whether more than half of the voters are in a set of names.
func Majority(voters []string, names map[string]bool) bool {
	n := 0
	for _, voter := range voters {
		if names[voter] {
			n++
		}
	}
	return 2*n > len(voters)
}

// Acceptor is a voter's state in one instance. Its zero value has promised nothing. It must be stored before its answer
// is sent.
type Acceptor[V any] struct {
	// Promised is the highest ballot promised. It never decreases.
	Promised Ballot
	// Accepted is the ballot in which Value was accepted. It is at most Promised.
	Accepted Ballot
	// Value is the accepted value, which is not known to be decided; nil if none was accepted.
	Value *V
}

// Prepare promises to accept no ballot below b. It returns false if a higher ballot was promised.
func (a *Acceptor[V]) Prepare(b Ballot) bool {
	if b.Compare(a.Promised) < 0 {
		return false
	}
	a.Promised = b
	return true
}

// Accept accepts a ballot's value. It returns false if a higher ballot was promised.
func (a *Acceptor[V]) Accept(b Ballot, value *V) bool {
	if !a.Prepare(b) {
		return false
	}
	a.Accepted, a.Value = b, value
	return true
}

// Proposer is the state of the proposer of a ballot. It need not survive a restart: the promises for a later ballot
// report what was accepted.
type Proposer[V any] struct {
	Ballot Ballot
	// Value is the proposer's own until a promise reports another one. It does not change once Accepting is set.
	Value *V
	// Accepting is set once a majority has promised, so that the value may be sent.
	Accepting bool

	promisedBy map[string]bool // names of voters
	acceptedBy map[string]bool
	highest    Ballot // highest ballot of the values that promises reported
}

// NewProposer returns a proposer that starts a ballot for a value.
func NewProposer[V any](b Ballot, value *V) Proposer[V] {
	return Proposer[V]{Ballot: b, Value: value, promisedBy: map[string]bool{}, acceptedBy: map[string]bool{}}
}

// RecordPromise counts a promise with the value that its sender accepted before, nil for none. It reports whether this
// promise completes a majority of the voters.
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

// HasAccepted reports whether a voter has accepted.
func (p *Proposer[V]) HasAccepted(name string) bool { return p.acceptedBy[name] }

// Decided reports whether a majority of each of these sets of voters has accepted.
func (p *Proposer[V]) Decided(sets ...[]string) bool {
	for _, voters := range sets {
		if !Majority(voters, p.acceptedBy) {
			return false
		}
	}
	return p.Accepting
}
