package controlmsg

// This file owns the frame that every message travels in.

import "weirwind/internal/controlplane/consensus"

// Frame is what goes over a link. One of its fields is set, or several that belong together: Digest with Leases
// between core machines, Update with Digest from a core machine to an agent.
type Frame struct {
	Hello         *Hello             `cbor:"1,keyasint,omitempty"`
	Consensus     *consensus.Message `cbor:"2,keyasint,omitempty"` // between core machines only
	LeaseRenewal  *LeaseRenewal      `cbor:"3,keyasint,omitempty"`
	Update        *StateUpdate       `cbor:"4,keyasint,omitempty"`
	Digest        *StateDigest       `cbor:"5,keyasint,omitempty"`
	Heartbeats    []Heartbeat        `cbor:"6,keyasint,omitempty"` // collected over a short interval
	PrimaryReport *PrimaryReport     `cbor:"7,keyasint,omitempty"`
	Request       *Request           `cbor:"8,keyasint,omitempty"`
	Response      *Response          `cbor:"9,keyasint,omitempty"`
	Leases        []DriverLease      `cbor:"10,keyasint,omitempty"`
	LeaseSync     *LeaseSync         `cbor:"11,keyasint,omitempty"` // Leases with it are all that the leader has
	QuotaReport   *QuotaReport       `cbor:"12,keyasint,omitempty"`
	QuotaGrant    *QuotaGrant        `cbor:"13,keyasint,omitempty"`
	QuotaRequest  *QuotaRequest      `cbor:"14,keyasint,omitempty"`
	QuotaAnswer   *QuotaAnswer       `cbor:"15,keyasint,omitempty"`
}
