package controlmsg

// This file owns the messages that spread state: members, drivers, configuration, shard map.

import (
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/shard/shardmap"
)

// StateDigest sums up what a process has, so that two of them see in a few bytes whether they differ. Agents send it
// to their peers every 3 seconds, and at once for a new configuration or shard map; core machines to each other once
// a second. The receiver answers with a StateUpdate of what the sender lacks, and, unless NoReply is set, with its
// own digest where it lacks something itself.
type StateDigest struct {
	ConfigVersion   uint64 `cbor:"1,keyasint"`           // newest configuration; 0: none
	MembersHash     uint64 `cbor:"2,keyasint"`           // directory.Members.Digest
	DriversHash     uint64 `cbor:"3,keyasint"`           // directory.DriversDigest
	NoReply         bool   `cbor:"4,keyasint,omitempty"` // no digest is wanted back, which ends the exchange
	ShardMapVersion uint64 `cbor:"5,keyasint,omitempty"` // newest shard map; 0: none
	Isolated        bool   `cbor:"6,keyasint,omitempty"` // no core machine serves the sender: it wants CoreAddrs
}

// StateUpdate holds what is new to the receiver, or all of it. Core machines send it to their agents as something
// changes and as the answer to a LeaseRenewal, and to each other for members; agents send it to their peers and
// proxies. The receiver merges each field that is set and passes on what was new to it.
type StateUpdate struct {
	ConfigVersion  uint64             `cbor:"1,keyasint,omitempty"` // of Config; taken where the receiver's is older
	Config         []byte             `cbor:"2,keyasint,omitempty"` // as the operator submitted it: JSON
	Members        []directory.Member `cbor:"3,keyasint,omitempty"` // records that changed, or all of them
	Drivers        []directory.Driver `cbor:"4,keyasint,omitempty"` // all of them; replaces the receiver's
	CoreAddrs      []string           `cbor:"5,keyasint,omitempty"` // control addresses; replaces the receiver's
	DriverCount    int                `cbor:"6,keyasint,omitempty"` // for a proxy, which divides connections by it
	ShardMap       *shardmap.Map      `cbor:"7,keyasint,omitempty"` // taken where the receiver's is older
	DriversAdded   []directory.Driver `cbor:"8,keyasint,omitempty"` // drivers that are new since the last update
	DriversRemoved []string           `cbor:"9,keyasint,omitempty"` // names of those whose lease ended since

	// QuorumContactAgeMs is how long ago the sending core machine knew of contact with a majority, in milliseconds. An
	// agent whose machine has had none for consensus.ContactLease looks for another one.
	QuorumContactAgeMs *float64 `cbor:"10,keyasint,omitempty"`
}

// Heartbeat is a heartbeat of a member that changed nothing. The core machine that received it from the member passes
// it on to the others a few times a second, many to a frame; they take the member as alive.
type Heartbeat struct {
	MemberID    string `cbor:"1,keyasint"`
	Incarnation uint64 `cbor:"2,keyasint"` // rises when the member's Seq starts again
	Seq         uint64 `cbor:"3,keyasint"` // the member's own count of heartbeats
}
