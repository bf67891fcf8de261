package controlmsg

// This file owns the messages about tenants' quotas. A proxy asks its core machine for tokens (QuotaRequest), and core
// machines share each tenant's bucket by reports to the leader (QuotaReport): package quota has the argument.

// QuotaTokenLifetimeMs is for how long a proxy may use a token, in milliseconds from the sending of the request that it
// was granted on.
const QuotaTokenLifetimeMs = 500.0

// QuotaRequest is sent by a proxy to its agent, which adds its name and forwards it to its core machine: it asks for a
// token for each of some operations that clients wait for. The machine answers at once with a QuotaAnswer.
type QuotaRequest struct {
	Driver string `cbor:"1,keyasint"` // name of the driver, added by the agent
	// Incarnation is of the proxy's process. Seq rises with each request of it.
	Incarnation uint64       `cbor:"2,keyasint"`
	Seq         uint64       `cbor:"3,keyasint"`
	Tenants     []QuotaCount `cbor:"4,keyasint"`
}

// QuotaCount is a part of a request, on one tenant.
type QuotaCount struct {
	Tenant     string `cbor:"1,keyasint"` // by its name
	Operations int    `cbor:"2,keyasint"` // that ask for a token, from 1 on
}

// QuotaAnswer answers a QuotaRequest, whose Driver, Incarnation and Seq it has.
type QuotaAnswer struct {
	Driver      string        `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
	Seq         uint64        `cbor:"3,keyasint"`
	Tenants     []QuotaTokens `cbor:"4,keyasint"` // those of the request
}

// QuotaTokens is a part of an answer, on one tenant.
type QuotaTokens struct {
	Tenant string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"` // at most as many as were asked for
	// RetryAfterMs is for the operations without a token: in how many milliseconds to ask again.
	RetryAfterMs float64 `cbor:"3,keyasint,omitempty"`
}

// QuotaReport is sent to the leader by another core machine, or by a stand-by agent through its core machine. It says
// what the sender holds of each tenant's quota, and what proxies ask it for. From the moment that it is sent, the
// sender applies no grant but the one that answers it or a later report.
type QuotaReport struct {
	Holder string `cbor:"1,keyasint"` // control address of the machine, or name of the agent's driver
	// Incarnation is of the sender's process: a later one's is higher. Seq rises with each report of an incarnation.
	Incarnation uint64        `cbor:"2,keyasint"`
	Seq         uint64        `cbor:"3,keyasint"`
	Tenants     []QuotaDemand `cbor:"4,keyasint,omitempty"` // those that it holds a share of, or is asked for
	Lead        uint64        `cbor:"5,keyasint,omitempty"` // of the newest grant that it applied
	Standby     bool          `cbor:"6,keyasint,omitempty"` // the sender is a stand-by agent
}

// QuotaDemand is a part of a report, on one tenant.
type QuotaDemand struct {
	Tenant string  `cbor:"1,keyasint"`           // by its name
	Share  float64 `cbor:"2,keyasint,omitempty"` // held, of the tenant's quota: 0 to 1
	Demand float64 `cbor:"3,keyasint,omitempty"` // operations a second that it is asked for
}

// QuotaGrant is the leader's answer to a report. It replaces all shares that the machine holds: tenants that are not
// listed have none.
type QuotaGrant struct {
	Holder      string       `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Seq         uint64       `cbor:"3,keyasint"` // of the report that it answers
	LeaseMs     float64      `cbor:"4,keyasint"` // milliseconds from the sending of that report, for which the shares hold
	Shares      []QuotaShare `cbor:"5,keyasint,omitempty"`
	// Lead is the leader's term, once no earlier leader grants any more; 0 before. A report with it was sent since.
	Lead    uint64 `cbor:"6,keyasint,omitempty"`
	Standby bool   `cbor:"7,keyasint,omitempty"` // it answers a stand-by agent
}

// QuotaShare is a part of a grant, on one tenant.
type QuotaShare struct {
	Tenant string  `cbor:"1,keyasint"`
	Share  float64 `cbor:"2,keyasint"`           // of the tenant's rate and burst
	Tokens float64 `cbor:"3,keyasint,omitempty"` // operations added to the machine's bucket, once
}
