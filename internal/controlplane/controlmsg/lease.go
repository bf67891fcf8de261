package controlmsg

// This file defines the messages about drivers' leases. A driver is a proxy with its agent; the agent holds the lease.

import "weirwind/internal/controlplane/directory"

// LeaseRenewal is sent by an agent to its core machine once a second. The machine grants or renews the driver's lease,
// and answers with a StateUpdate that holds at least the age of its contact with a majority, and the state that the
// agent lacks according to Digest.
type LeaseRenewal struct {
	Driver directory.Driver `cbor:"1,keyasint"`
	Digest StateDigest      `cbor:"2,keyasint"` // of the agent's state

	// Release ends the lease, as the driver shut down gracefully. There is no answer.
	Release bool `cbor:"3,keyasint,omitempty"`
	// Tentative asks a machine whether it could serve the agent. A machine without contact answers only with the age of
	// its contact and grants nothing; one with contact treats it as any other renewal.
	Tentative bool `cbor:"4,keyasint,omitempty"`
}

// DriverLease is sent by a core machine to the others: at once for a new driver, and once a second, with a StateDigest,
// for all drivers that renew at the sender. The receiver renews the driver's lease in its own table.
type DriverLease struct {
	Driver directory.Driver `cbor:"1,keyasint"`
	// RemainingMs is the remaining time of the lease, in milliseconds. The receiver limits it to the duration of a new
	// lease.
	RemainingMs float64 `cbor:"2,keyasint"`
}

// LeaseSync is sent between core machines. A machine that receives no digests from another voter sends one with Request
// set to the leader, once a second. If the DriversHash equals its own the leader answers with the same hash, otherwise
// with all its leases in the frame's Leases. A leader of a version without LeaseSync sends no answer.
type LeaseSync struct {
	Request     bool    `cbor:"1,keyasint,omitempty"`
	DriversHash uint64  `cbor:"2,keyasint,omitempty"` // directory.DriversDigest of the sender's list; 0 with Leases
	RemainingMs float64 `cbor:"3,keyasint,omitempty"` // minimum remaining time of the leases in that list
}
