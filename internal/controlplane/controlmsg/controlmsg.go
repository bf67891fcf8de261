// Package controlmsg is the words that the system's processes say to each other.
//
// This file owns their form and nothing else: who says what when is decided elsewhere.
package controlmsg

import (
	"weirwind/internal/controlplane/consensus"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/session/sites"
	"weirwind/internal/shard/shardmap"
)

// Frame is what goes over a link; one of its fields is set, or several that belong together.
type Frame struct {
	Hello         *Hello             `cbor:"1,keyasint,omitempty"`
	Consensus     *consensus.Message `cbor:"2,keyasint,omitempty"`
	LeaseRenewal  *LeaseRenewal      `cbor:"3,keyasint,omitempty"`
	Update        *StateUpdate       `cbor:"4,keyasint,omitempty"`
	Digest        *StateDigest       `cbor:"5,keyasint,omitempty"`
	Heartbeats    []Heartbeat        `cbor:"6,keyasint,omitempty"`
	PrimaryReport *PrimaryReport     `cbor:"7,keyasint,omitempty"`
	Request       *Request           `cbor:"8,keyasint,omitempty"`
	Response      *Response          `cbor:"9,keyasint,omitempty"`
	Leases        []DriverLease      `cbor:"10,keyasint,omitempty"`
}

// Hello opens a link: who dialled. A Hello of kind Welcome answers it.
type Hello struct {
	Kind string `cbor:"1,keyasint"` // "core", "agent", "proxy", Welcome
	Name string `cbor:"2,keyasint"`
	Addr string `cbor:"3,keyasint"`

	AcceptsCompressed bool `cbor:"4,keyasint,omitempty"` // the sender reads compressed frames
}

// LeaseRenewal asks a core machine for the lease of a driver, and says what the driver has.
type LeaseRenewal struct {
	Driver    directory.Driver `cbor:"1,keyasint"`
	Digest    StateDigest      `cbor:"2,keyasint"`
	Release   bool             `cbor:"3,keyasint,omitempty"` // it gives the lease back
	Tentative bool             `cbor:"4,keyasint,omitempty"` // the driver stays elsewhere unless this machine has contact
}

// StateDigest is what a process has, in short.
type StateDigest struct {
	ConfigVersion   uint64 `cbor:"1,keyasint"`
	MembersHash     uint64 `cbor:"2,keyasint"`
	DriversHash     uint64 `cbor:"3,keyasint"`
	NoReply         bool   `cbor:"4,keyasint,omitempty"` // no digest is wanted back
	ShardMapVersion uint64 `cbor:"5,keyasint,omitempty"` // version of the map
	Isolated        bool   `cbor:"6,keyasint,omitempty"` // no core machine serves the sender: it asks for the core's addresses too
}

// StateUpdate is what is new, or all of it.
type StateUpdate struct {
	ConfigVersion      uint64             `cbor:"1,keyasint,omitempty"`
	Config             []byte             `cbor:"2,keyasint,omitempty"`
	Members            []directory.Member `cbor:"3,keyasint,omitempty"`
	Drivers            []directory.Driver `cbor:"4,keyasint,omitempty"`
	CoreAddrs          []string           `cbor:"5,keyasint,omitempty"` // control addresses
	DriverCount        int                `cbor:"6,keyasint,omitempty"` // of drivers, for a proxy
	ShardMap           *shardmap.Map      `cbor:"7,keyasint,omitempty"`
	DriversJoined      []directory.Driver `cbor:"8,keyasint,omitempty"`  // drivers that came since; Drivers is all of them
	DriversLeft        []string           `cbor:"9,keyasint,omitempty"`  // and those that went
	QuorumContactAgeMs *float64           `cbor:"10,keyasint,omitempty"` // age of the core machine's contact with a majority, in milliseconds
}

// Heartbeat says that a member's own word number Seq came in somewhere.
type Heartbeat struct {
	MemberID    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
	Seq         uint64 `cbor:"3,keyasint"`
}

// DriverLease is a driver's, with what is left of it in milliseconds.
type DriverLease struct {
	Driver      directory.Driver `cbor:"1,keyasint"`
	RemainingMs float64          `cbor:"2,keyasint"`
}

// PrimaryReport is what a proxy sees of a group's primary.
type PrimaryReport struct {
	Service        string  `cbor:"1,keyasint"`
	MemberID       string  `cbor:"2,keyasint"`
	UnresponsiveMs float64 `cbor:"3,keyasint"` // milliseconds that an answer is owed, with nothing heard since; 0: it speaks
	Driver         string  `cbor:"4,keyasint"`
	Unreachable    bool    `cbor:"5,keyasint,omitempty"` // it takes no connection
	CommitsStalled bool    `cbor:"6,keyasint,omitempty"` // it speaks, but answers no commit
}

// Request passes an operator's call on to who leads.
type Request struct {
	Number      uint64 `cbor:"1,keyasint"`
	ReadConfig  bool   `cbor:"2,keyasint,omitempty"`
	Amend       bool   `cbor:"3,keyasint,omitempty"`
	BaseVersion uint64 `cbor:"4,keyasint,omitempty"`
	Body        []byte `cbor:"5,keyasint,omitempty"`
	Origin      string `cbor:"6,keyasint"`

	ShardChange  *shardmap.Change  `cbor:"7,keyasint,omitempty"`  // a change of who holds which shard
	SiteChange   *sites.Change     `cbor:"8,keyasint,omitempty"`  // a change of the sites of open sessions
	SiteLease    *SiteLeaseRequest `cbor:"9,keyasint,omitempty"`  // a lease is asked for
	ForgetMember string            `cbor:"10,keyasint,omitempty"` // a member that is gone for good is struck from the roster
}

// SiteLeaseRequest asks for the lease of a site's life. It is answered only once a majority has confirmed who leads, so that a leader that was
// deposed grants none.
type SiteLeaseRequest struct {
	Site        string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"`
}

// Response is the answer to a Request: an HTTP status and a body.
type Response struct {
	Number uint64 `cbor:"1,keyasint"`
	Status int    `cbor:"2,keyasint"`
	Body   []byte `cbor:"3,keyasint,omitempty"`
}
