// Package membership decides who a driver's peers are, who of them has failed, and what may be done while that can't be
// known. It does no I/O and reads no clock: it takes messages and the passing of time, and gives messages to be sent.
//
// This file owns what is said of a driver, and which of two records holds. It must never let an older record undo a
// newer one, or take word of a process for word of another that has its name.
//
// Sources: Das, Gupta, Motivala, "SWIM: Scalable Weakly-consistent Infection-style Process Group Membership Protocol"
// (DSN 2002); Dadgar, Phillips, Currey, "Lifeguard: Local Health Awareness for More Accurate Failure Detection" (2017).
// Times are milliseconds everywhere.
package membership

import (
	"cmp"
	"hash/fnv"

	"weirwind/internal/util/enum"
)

// State is what a driver is taken for.
type State uint8

// The states of a driver, as SWIM has them.
const (
	Alive   State = iota
	Suspect       // it did not answer, and may still say that it lives
	Failed        // it said nothing for as long as it had to
	Left          // it left on purpose, or operators said that it is gone
)

var stateNames = enum.Names{"alive", "suspect", "failed", "left"}

func (s State) String() string { return stateNames.Of(uint8(s)) }

// MarshalText gives a state its name.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText takes a state's name.
func (s *State) UnmarshalText(text []byte) error { return enum.Parse(stateNames, "state", text, s) }

// Record is what is said of one driver.
type Record struct {
	Name        string `cbor:"1,keyasint"`
	Run         uint64 `cbor:"2,keyasint"` // of the process; a later one under the name has a higher one
	Incarnation uint32 `cbor:"3,keyasint"` // raised by the process alone, to deny that it has failed
	State       State  `cbor:"4,keyasint"`
	Address     string `cbor:"5,keyasint"` // host:port at which it is reached
	Zone        string `cbor:"6,keyasint,omitempty"`
	ReportedBy  string `cbor:"7,keyasint,omitempty"` // who suspects it
}

const (
	maxNameBytes = 64      // bytes
	maxRun       = 1 << 62 // a higher one is spoilt
)

// valid says whether a record can be true at all.
func (r *Record) valid() bool {
	return r.Name != "" && len(r.Name) <= maxNameBytes && len(r.Zone) <= maxNameBytes && len(r.ReportedBy) <= maxNameBytes &&
		r.Address != "" &&
		len(r.Address) <= maxNameBytes && r.State <= Left && r.Run > 0 && r.Run < maxRun
}

// size is about how many bytes it takes in a message.
func (r *Record) size() int {
	return 28 + len(r.Name) + len(r.Address) + len(r.Zone) + len(r.ReportedBy)
}

// ended says that nothing is expected of it.
func (s State) ended() bool { return s >= Failed }

// compareRecords compares two records of one process, or of processes that followed each other at one address.
func compareRecords(a, b *Record) int {
	last := func(r *Record) int {
		if r.State == Left { // for good, whatever the incarnation
			return 1
		}
		return 0
	}
	return cmp.Or(cmp.Compare(a.Run, b.Run), cmp.Compare(last(a), last(b)), cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.State, b.State))
}

// supersedes says whether r is to replace what is held. Two living processes at two addresses under one name: the one
// that was there first keeps it, as its peers know it; the other one waits until that has ended.
func (r *Record) supersedes(held *Record) bool {
	if r.Run == held.Run || r.Address == held.Address {
		return compareRecords(r, held) > 0
	}
	switch {
	case held.State.ended():
		return r.Run > held.Run
	case r.State.ended():
		return false
	}
	return r.Run < held.Run
}

// conflictsWith says that both are of living processes with one name.
func (r *Record) conflictsWith(held *Record) bool {
	return r.Run != held.Run && r.Address != held.Address && !r.State.ended() && !held.State.ended()
}

// processHash is a number that stands for a process that lives, to compare views by.
func processHash(name string, run uint64) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	for i := range 8 {
		h.Write([]byte{byte(run >> (8 * i))})
	}
	return h.Sum64()
}

// namesHash is a number that stands for a set of names.
func namesHash(names []string) (sum uint64) {
	for _, n := range names {
		sum ^= processHash(n, 0)
	}
	return sum
}

// Kind of a message.
type Kind uint8

// The kinds of messages.
const (
	Ping        Kind = iota + 1 // To answers by Ack
	PingRequest                 // the receiver pings To at At for the sender
	Ack                         // To lives: from itself, or from who asked it
	Nack                        // who was asked lives, and To does not answer
	Gossip                      // carries word alone
)

// Message is what goes between two drivers by UDP.
type Message struct {
	Kind          Kind           `cbor:"1,keyasint"`
	From          Record         `cbor:"2,keyasint"`
	Counter       uint64         `cbor:"3,keyasint"`           // of the sender's messages: one that is not higher is old, or a copy
	ProbeID       uint64         `cbor:"4,keyasint,omitempty"` // of the probe
	Target        string         `cbor:"5,keyasint,omitempty"`
	TargetAddress string         `cbor:"6,keyasint,omitempty"`
	ViewHash      uint64         `cbor:"7,keyasint,omitempty"` // of the drivers that live, as the sender sees it
	RosterVersion uint64         `cbor:"8,keyasint,omitempty"` // version of the roster that the sender holds
	RosterHash    uint64         `cbor:"9,keyasint,omitempty"` // and its names
	Records       []Record       `cbor:"10,keyasint,omitempty"`
	Reachability  []Reachability `cbor:"11,keyasint,omitempty"`
	Vote          *Vote          `cbor:"12,keyasint,omitempty"`
	DecidedChange *Change        `cbor:"13,keyasint,omitempty"`
}

// Reachability is whom a driver does not hear itself, though they are said to live.
type Reachability struct {
	Name        string   `cbor:"1,keyasint"`
	Run         uint64   `cbor:"2,keyasint"`
	Sequence    uint32   `cbor:"3,keyasint"` // a higher one is newer
	Unreachable []string `cbor:"4,keyasint,omitempty"`
}

const (
	maxPiggybackBytes = 1000 // of word in a message, about
	maxUnreachable    = 16   // names in a hearing
	maxRecords        = 64   // in a message that is taken
)

func (h *Reachability) size() int {
	n := 24 + len(h.Name)
	for _, d := range h.Unreachable {
		n += 2 + len(d)
	}
	return n
}

// Snapshot is all that a driver knows, for a peer that starts or was cut off.
type Snapshot struct {
	From         Record         `cbor:"1,keyasint"`
	Records      []Record       `cbor:"2,keyasint,omitempty"`
	Reachability []Reachability `cbor:"3,keyasint,omitempty"`
	Roster       *Roster        `cbor:"4,keyasint,omitempty"`
}

// Envelope is a message that is to go out.
type Envelope struct {
	Address string
	Message Message
}

// Event is a line for the log: a reason code, whom it is about, and more.
type Event struct {
	Reason, Name, Text string
}

// Output is what is to be done.
type Output struct {
	Messages []Envelope
	SyncWith []string // addresses with which whole states are to be exchanged
	Events   []Event
	Save     *SavedState // to be safe before Sends go out, see Fleet.Saved; nil for nothing new
}
