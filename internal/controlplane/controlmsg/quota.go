package controlmsg

// This file owns the messages by which the drivers share tenants' quotas: package quota has the argument.

// QuotaReport is sent by a proxy to its agent, which adds its name and forwards it to its core machine, which forwards
// it to the one that leads. It says what the proxy holds of each tenant's quota, and what its clients ask for. From the
// moment that it is sent, the proxy applies no grant but the one that answers it or a later report.
type QuotaReport struct {
	Driver string `cbor:"1,keyasint"` // name of the driver, added by the agent
	// Incarnation is of the proxy's process: a later one's is higher. Seq rises with each report of an incarnation.
	Incarnation uint64        `cbor:"2,keyasint"`
	Seq         uint64        `cbor:"3,keyasint"`
	Tenants     []QuotaDemand `cbor:"4,keyasint,omitempty"` // those that it holds a share of, or has clients of
}

// QuotaDemand is a part of a report, on one tenant.
type QuotaDemand struct {
	Tenant string  `cbor:"1,keyasint"`           // by its name
	Share  float64 `cbor:"2,keyasint,omitempty"` // held, of the tenant's quota: 0 to 1
	Demand float64 `cbor:"3,keyasint,omitempty"` // operations a second that clients ask for
}

// QuotaGrant is the leader's answer to a report, and takes the same way back. It replaces all shares that the proxy
// holds: tenants that are not listed have none.
type QuotaGrant struct {
	Driver      string       `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Seq         uint64       `cbor:"3,keyasint"` // of the report that it answers
	LeaseMs     float64      `cbor:"4,keyasint"` // milliseconds from the sending of that report, for which the shares hold
	Shares      []QuotaShare `cbor:"5,keyasint,omitempty"`
}

// QuotaShare is a part of a grant, on one tenant.
type QuotaShare struct {
	Tenant string  `cbor:"1,keyasint"`
	Share  float64 `cbor:"2,keyasint"`           // of the tenant's rate and burst
	Tokens float64 `cbor:"3,keyasint,omitempty"` // operations added to the proxy's bucket, once
}
