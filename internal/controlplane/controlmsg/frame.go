package controlmsg

// This file defines the frame that carries every message.

import "weirwind/internal/controlplane/consensus"

// Frame is the unit of transfer on a link. Either one field is set, or a combination of fields: Digest or LeaseSync
// with Leases between core machines, Update with Digest from a core machine to an agent.
type Frame struct {
	Hello         *Hello             `cbor:"1,keyasint,omitempty"`
	Consensus     *consensus.Message `cbor:"2,keyasint,omitempty"` // between core machines only
	LeaseRenewal  *LeaseRenewal      `cbor:"3,keyasint,omitempty"`
	Update        *StateUpdate       `cbor:"4,keyasint,omitempty"`
	Digest        *StateDigest       `cbor:"5,keyasint,omitempty"`
	Heartbeats    []Heartbeat        `cbor:"6,keyasint,omitempty"` // batched over a short interval
	PrimaryReport *PrimaryReport     `cbor:"7,keyasint,omitempty"`
	Request       *Request           `cbor:"8,keyasint,omitempty"`
	Response      *Response          `cbor:"9,keyasint,omitempty"`
	Leases        []DriverLease      `cbor:"10,keyasint,omitempty"`
	LeaseSync     *LeaseSync         `cbor:"11,keyasint,omitempty"` // in the leader's answer, Leases holds all its leases
	QuotaReport   *QuotaReport       `cbor:"12,keyasint,omitempty"`
	QuotaGrant    *QuotaGrant        `cbor:"13,keyasint,omitempty"`
	QuotaRequest  *QuotaRequest      `cbor:"14,keyasint,omitempty"`
	QuotaAnswer   *QuotaAnswer       `cbor:"15,keyasint,omitempty"`
	Statement     *RelayedStatement  `cbor:"16,keyasint,omitempty"`
	Reply         *RelayedReply      `cbor:"17,keyasint,omitempty"`

	WriterLeaseRequest *WriterLeaseRequest `cbor:"18,keyasint,omitempty"`
	WriterLeaseGrant   *WriterLeaseGrant   `cbor:"19,keyasint,omitempty"`
}
