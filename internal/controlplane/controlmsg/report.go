package controlmsg

// This file owns what drivers report of primaries, the evidence for a failover.

// PrimaryReport is what a proxy observes of a service's primary. The proxy sends it to its agent at intervals while
// it has something to complain of, and once when that is over; the agent adds its name and forwards it to its core
// machine, which forwards it to the one that leads. That one weighs the newest report of each driver. A report with
// none of UnresponsiveMs, Unreachable and CommitsStalled set withdraws the driver's former one.
type PrimaryReport struct {
	Service        string  `cbor:"1,keyasint"`
	MemberID       string  `cbor:"2,keyasint"`           // the primary's, or the last one's where there is none
	UnresponsiveMs float64 `cbor:"3,keyasint"`           // milliseconds that it has owed an answer, silent; 0: it answers
	Driver         string  `cbor:"4,keyasint"`           // name of the driver, added by the agent
	Unreachable    bool    `cbor:"5,keyasint,omitempty"` // it accepts no connection
	CommitsStalled bool    `cbor:"6,keyasint,omitempty"` // it answers requests, but no commit
}
