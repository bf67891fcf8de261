package controlmsg

// This file defines drivers' reports on primaries, which are the evidence for a failover.

// PrimaryReport is a proxy's observation of a service's primary. The proxy sends it to its agent periodically while it
// observes a fault, and once when the fault is over; the agent adds its name and forwards it to its core machine, which
// forwards it to the leader. The leader considers the newest report of each driver. A report with none of
// UnresponsiveMs, Unreachable and CommitsStalled set withdraws the driver's previous one.
type PrimaryReport struct {
	Service        string  `cbor:"1,keyasint"`
	MemberID       string  `cbor:"2,keyasint"`           // id of the primary, or of the last one if there is none
	UnresponsiveMs float64 `cbor:"3,keyasint"`           // for how long an answer has been overdue; 0 if it answers
	Driver         string  `cbor:"4,keyasint"`           // name of the driver, added by the agent
	Unreachable    bool    `cbor:"5,keyasint,omitempty"` // the member accepts no connection
	CommitsStalled bool    `cbor:"6,keyasint,omitempty"` // the member answers requests, but no commits
}
