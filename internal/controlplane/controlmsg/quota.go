package controlmsg

// This file defines the messages about tenants' quotas. A proxy asks its core machine for tokens (QuotaRequest), and
// core machines share each tenant's token bucket by reports to the leader (QuotaReport). Package quota describes the
// protocol.

// QuotaTokenLifetimeMs is how long a proxy may use a token, in milliseconds from the sending of the request that it was
// granted for.
const QuotaTokenLifetimeMs = 500.0

// QuotaRequest is sent by a proxy to its agent, which adds its name and forwards it to its core machine. It asks for
// one token for each operation that clients wait for. The machine answers at once with a QuotaAnswer.
type QuotaRequest struct {
	Driver string `cbor:"1,keyasint"` // name of the driver, added by the agent
	// Incarnation identifies the proxy's process. Seq increases with each of its requests.
	Incarnation uint64              `cbor:"2,keyasint"`
	Seq         uint64              `cbor:"3,keyasint"`
	Tenants     []QuotaTokenRequest `cbor:"4,keyasint"`
}

// QuotaTokenRequest is the part of a request for one tenant.
type QuotaTokenRequest struct {
	Tenant     string `cbor:"1,keyasint"` // name
	Operations int    `cbor:"2,keyasint"` // number of operations that need a token, at least 1
}

// QuotaAnswer answers a QuotaRequest, and has its Driver, Incarnation and Seq.
type QuotaAnswer struct {
	Driver      string        `cbor:"1,keyasint"`
	Incarnation uint64        `cbor:"2,keyasint"`
	Seq         uint64        `cbor:"3,keyasint"`
	Tenants     []QuotaTokens `cbor:"4,keyasint"` // those of the request, in its order
}

// QuotaTokens is the part of an answer for one tenant.
type QuotaTokens struct {
	Tenant string `cbor:"1,keyasint"`
	Tokens int    `cbor:"2,keyasint"` // at most as many as were requested
	// RetryAfterMs is the delay in milliseconds after which to ask again for the operations without a token.
	RetryAfterMs float64 `cbor:"3,keyasint,omitempty"`
}

// QuotaReport is sent to the leader by another core machine, or by a standby agent through its core machine. It
// reports the sender's share of each tenant's quota, and the demand of proxies at the sender. Once it is sent, the
// sender applies no grant except one that answers this or a later report.
type QuotaReport struct {
	Holder string `cbor:"1,keyasint"` // control address of the machine, or name of the agent's driver
	// Incarnation identifies the sender's process, and is higher for a later one. Seq increases with each report of an
	// incarnation.
	Incarnation uint64        `cbor:"2,keyasint"`
	Seq         uint64        `cbor:"3,keyasint"`
	Tenants     []QuotaDemand `cbor:"4,keyasint,omitempty"` // tenants with a share or demand at the sender
	Term        uint64        `cbor:"5,keyasint,omitempty"` // Term of the newest grant that the sender applied
	Standby     bool          `cbor:"6,keyasint,omitempty"` // the sender is a standby agent
}

// QuotaDemand is the part of a report for one tenant.
type QuotaDemand struct {
	Tenant string  `cbor:"1,keyasint"`           // name
	Share  float64 `cbor:"2,keyasint,omitempty"` // share of the tenant's quota that the sender holds, from 0 to 1
	Demand float64 `cbor:"3,keyasint,omitempty"` // operations per second that proxies ask the sender for
}

// QuotaGrant is the leader's answer to a report. It replaces all shares that the receiver holds; it has no share of
// tenants that are not listed.
type QuotaGrant struct {
	Holder      string       `cbor:"1,keyasint"`
	Incarnation uint64       `cbor:"2,keyasint"`
	Seq         uint64       `cbor:"3,keyasint"` // of the report that it answers
	LeaseMs     float64      `cbor:"4,keyasint"` // validity of the shares in milliseconds, from the sending of that report
	Shares      []QuotaShare `cbor:"5,keyasint,omitempty"`
	// Term is the leader's term, once no earlier leader can grant shares any more; 0 before. So a report with that term
	// was sent after that.
	Term    uint64 `cbor:"6,keyasint,omitempty"`
	Standby bool   `cbor:"7,keyasint,omitempty"` // the receiver is a standby agent
}

// QuotaShare is the part of a grant for one tenant.
type QuotaShare struct {
	Tenant string  `cbor:"1,keyasint"`
	Share  float64 `cbor:"2,keyasint"`           // share of the tenant's rate and burst, from 0 to 1
	Tokens float64 `cbor:"3,keyasint,omitempty"` // operations that are added to the receiver's bucket once
}
