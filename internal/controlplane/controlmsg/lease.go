package controlmsg

// This file owns the messages about drivers' leases. A driver is a proxy with its agent; its agent holds the lease.

import "weirwind/internal/controlplane/directory"

// LeaseRenewal is sent by an agent to its core machine once a second. The machine grants or prolongs the driver's
// lease, and answers with a StateUpdate that holds at least the age of its contact with a majority, and all that
// Digest shows to be missing.
type LeaseRenewal struct {
	Driver directory.Driver `cbor:"1,keyasint"`
	Digest StateDigest      `cbor:"2,keyasint"` // of what the agent has

	// Release gives the lease back: the driver has ended in order. There is no answer.
	Release bool `cbor:"3,keyasint,omitempty"`
	// Tentative asks a machine whether it could take the agent over. One without contact answers with its contact's
	// age alone and grants nothing; one with contact takes it as any other renewal.
	Tentative bool `cbor:"4,keyasint,omitempty"`
}

// DriverLease is sent by a core machine to the others: at once for a driver that is new, and once a second, with a
// StateDigest, for all drivers that renew at the sender. The receiver prolongs the driver's lease in its own table.
type DriverLease struct {
	Driver directory.Driver `cbor:"1,keyasint"`
	// RemainingMs is how long the lease still holds, in milliseconds. The receiver bounds it by the term of a new
	// lease.
	RemainingMs float64 `cbor:"2,keyasint"`
}

// LeaseSync is between core machines. One to which another voter is silent sends it to the leader with Request set,
// once a second. The leader answers with one of the same DriversHash, where that is its own too, or with all its
// leases in the frame's Leases. A leader of a version that doesn't know it gives no answer.
type LeaseSync struct {
	Request     bool    `cbor:"1,keyasint,omitempty"`
	DriversHash uint64  `cbor:"2,keyasint,omitempty"` // directory.DriversDigest of the sender's list; 0 beside Leases
	RemainingMs float64 `cbor:"3,keyasint,omitempty"` // how long all leases of that list still hold
}
