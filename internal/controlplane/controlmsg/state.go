package controlmsg

// This file defines the messages that spread members, drivers, the configuration and the shard map.

import (
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/shard/shardmap"
)

// StateDigest summarizes the state of a process, so that two processes detect a difference with a few bytes. Agents
// send it to their peers every 3 seconds, and at once after a new configuration or shard map; core machines send it to
// each other once a second. The receiver answers with a StateUpdate of the state that the sender lacks and, unless
// NoReply is set, with its own digest if it lacks state itself.
type StateDigest struct {
	ConfigVersion   uint64 `cbor:"1,keyasint"`           // newest configuration; 0 if there is none
	MembersHash     uint64 `cbor:"2,keyasint"`           // directory.Members.Digest
	DriversHash     uint64 `cbor:"3,keyasint"`           // directory.DriversDigest
	NoReply         bool   `cbor:"4,keyasint,omitempty"` // the receiver sends no digest back, which ends the exchange
	ShardMapVersion uint64 `cbor:"5,keyasint,omitempty"` // newest shard map; 0 if there is none
	Isolated        bool   `cbor:"6,keyasint,omitempty"` // no core machine serves the sender, which requests CoreAddrs
}

// StateUpdate holds state that is new to the receiver, or full lists. Core machines send it to their agents on changes
// and as the answer to a LeaseRenewal, and to each other for members; agents send it to their peers and proxies. The
// receiver merges each field that is set and passes on what was new to it.
type StateUpdate struct {
	ConfigVersion  uint64             `cbor:"1,keyasint,omitempty"` // of Config; applied if the receiver's is older
	Config         []byte             `cbor:"2,keyasint,omitempty"` // JSON as the operator submitted it
	Members        []directory.Member `cbor:"3,keyasint,omitempty"` // changed records, or all records
	Drivers        []directory.Driver `cbor:"4,keyasint,omitempty"` // all drivers; replaces the receiver's list
	CoreAddrs      []string           `cbor:"5,keyasint,omitempty"` // control addresses; replaces the receiver's list
	DriverCount    int                `cbor:"6,keyasint,omitempty"` // for a proxy, which divides connection limits by it
	ShardMap       *shardmap.Map      `cbor:"7,keyasint,omitempty"` // applied if the receiver's is older
	DriversAdded   []directory.Driver `cbor:"8,keyasint,omitempty"` // drivers added since the last update
	DriversRemoved []string           `cbor:"9,keyasint,omitempty"` // names of drivers whose lease ended since then

	// QuorumContactAgeMs is the age of the sending core machine's newest contact with a majority, in milliseconds. An
	// agent looks for another machine if its machine has had no contact for consensus.ContactLease.
	QuorumContactAgeMs *float64 `cbor:"10,keyasint,omitempty"`

	Writers []WriterAssignment `cbor:"11,keyasint,omitempty"` // new assignments, or all that the sender knows
	// WriterLeases is set beside QuorumContactAgeMs, in an agent's first update to a proxy, and when it changes.
	WriterLeases LeaseSupport `cbor:"12,keyasint,omitempty"`
}

// Heartbeat is a member's heartbeat that changed nothing. The core machine that received it passes it on to the others
// in batches, a few times a second, so that they consider the member alive.
type Heartbeat struct {
	MemberID    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // increases when the member's Seq restarts
	Seq         uint64 `cbor:"3,keyasint"` // sequence number that the member assigned
}
