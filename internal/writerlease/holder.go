package writerlease

import (
	"math"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/member/wire"
)

// Permission tells what a holder may do with a member's writes and acknowledgements.
type Permission uint8

// Permissions.
const (
	Permitted Permission = iota // writes may be sent, and acknowledgements passed on
	Denied                      // neither
	Unleased                    // a replica has to confirm each acknowledgement
)

// Holder is a proxy's state.
type Holder struct {
	proxy       uint64
	required    bool // leases are required
	assignments Assignments
	term        uint64  // newest term of the assignments
	digest      uint64  // of the assignments of that term
	expiry      float64 // of the lease
	grantedAt   float64 // when the newest lease was requested; -Inf if there was none
}

// NewHolder returns the holder of a proxy's process, which is identified by a random number.
func NewHolder(proxy uint64) *Holder {
	h := &Holder{proxy: proxy, required: true, assignments: Assignments{}, grantedAt: math.Inf(-1)}
	h.digest = h.assignments.digest(0)
	return h
}

// SetRequired sets whether leases are required. They are not while the leader's version may grant none; a lease that
// was granted counts all the same.
func (h *Holder) SetRequired(required bool) { h.required = required }

// Required reports whether leases are required.
func (h *Holder) Required() bool { return h.required }

// Merge applies assignments, and reports whether any was new. The caller then sends a request, which confirms them.
func (h *Holder) Merge(received []controlmsg.WriterAssignment) (changed bool) {
	if h.assignments.Merge(received) == nil {
		return false
	}
	h.term = h.assignments.newestTerm()
	h.digest = h.assignments.digest(h.term)
	return true
}

// Request returns the request for a lease.
func (h *Holder) Request(now float64) *controlmsg.WriterLeaseRequest {
	return &controlmsg.WriterLeaseRequest{Proxy: h.proxy, Stamp: now, Term: h.term, Digest: h.digest}
}

// HandleGrant processes the leader's answer to a request of this process, and reports whether it has new assignments.
func (h *Holder) HandleGrant(grant *controlmsg.WriterLeaseGrant) (changed bool) {
	if grant.Proxy != h.proxy {
		return false
	}
	if grant.DurationMs > 0 {
		h.expiry = max(h.expiry, grant.Stamp+min(grant.DurationMs, LeaseDuration))
		h.grantedAt = max(h.grantedAt, grant.Stamp)
	}
	return h.Merge(grant.Assignments)
}

// Permission returns what the holder may do now with the writes and acknowledgements of a service's member.
func (h *Holder) Permission(service, member string, now float64) Permission {
	leased := now < h.expiry
	switch {
	case leased && h.assignments[service].Member != member:
		return Denied
	case leased, !h.required:
		return Permitted
	}
	return Unleased
}

// Leased reports whether the holder has a lease.
func (h *Holder) Leased(now float64) bool { return now < h.expiry }

// rosterDelay is the time in milliseconds within which a member that a proxy knows is on the roster of the control
// plane.
const rosterDelay = 2000.0

// MayConfirm reports whether a replica that has been known without a restart since a time may confirm commits: it was
// on the roster when the control plane granted the newest lease, and every failover since relies on its log.
func (h *Holder) MayConfirm(knownSince float64) bool { return knownSince+rosterDelay <= h.grantedAt }

// Confirms reports whether a replica's status, in reply to a query that was sent after a commit was acknowledged, shows
// that the commit survives any failover: it has the commit, and no failover has paused it or promoted another member.
func Confirms(status wire.MemberStatus, commit wire.Position) bool {
	return Receives(status) && status.Term <= commit.Term && status.Received.Term == commit.Term &&
		status.Received.Number >= commit.Number
}

// Receives reports whether a status is that of a replica that is not paused.
func Receives(status wire.MemberStatus) bool { return !status.Primary && status.PromisedTerm == 0 }
