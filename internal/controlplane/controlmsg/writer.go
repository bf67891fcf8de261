package controlmsg

// This file defines the messages of writer leases, which package writerlease describes.

// WriterAssignment names the member to which proxies may send a service's writes. Assignments of a service are ordered
// by Term, then by Number; the later one holds.
type WriterAssignment struct {
	Service string `cbor:"1,keyasint"`
	Term    uint64 `cbor:"2,keyasint"`           // of the leader that made the assignment
	Number  uint64 `cbor:"3,keyasint"`           // rises with each assignment of that leader
	Member  string `cbor:"4,keyasint,omitempty"` // member ID; "" means that no member may be written to
}

// WriterLeaseRequest is sent by a proxy once a second, and at once when its assignments have changed. The agent adds
// its driver's name and forwards it to its core machine, which forwards it to the leader.
type WriterLeaseRequest struct {
	Driver string  `cbor:"1,keyasint"`
	Proxy  uint64  `cbor:"2,keyasint"` // random number of the proxy's process
	Stamp  float64 `cbor:"3,keyasint"` // time of sending in milliseconds on the proxy's clock, returned in the grant
	Term   uint64  `cbor:"4,keyasint"` // newest term of the proxy's assignments
	Digest uint64  `cbor:"5,keyasint"` // writerlease digest of the proxy's assignments of that term
	// Relayed means that a peer of the driver's agent forwards it. The answer does not get back, so it renews no lease.
	Relayed bool `cbor:"6,keyasint,omitempty"`
}

// WriterLeaseGrant is the leader's answer to a WriterLeaseRequest: a lease if the proxy knows all assignments of the
// leader's term, otherwise these assignments.
type WriterLeaseGrant struct {
	Driver      string             `cbor:"1,keyasint"`
	Proxy       uint64             `cbor:"2,keyasint"`
	Stamp       float64            `cbor:"3,keyasint"`           // of the request
	DurationMs  float64            `cbor:"4,keyasint,omitempty"` // from Stamp; 0 for no lease
	Assignments []WriterAssignment `cbor:"5,keyasint,omitempty"`
}

// LeaseSupport tells the receiver of a StateUpdate whether the leader grants writer leases.
type LeaseSupport uint8

// Values of LeaseSupport. Processes of a version without writer leases leave the field out.
const (
	LeaseSupportAbsent  LeaseSupport = iota
	LeaseSupportOff                  // the leader's version grants none: proxies need none
	LeaseSupportOn                   // proxies need a lease
	LeaseSupportUnknown              // the sender does not know the replicated state yet
)
