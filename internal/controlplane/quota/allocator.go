package quota

import (
	"maps"

	"weirwind/internal/controlplane/controlmsg"
)

// This file has the allocator: which holders have reported, what each may hold, and the answers to their reports. The
// bounds of a tenant's shares plus its unreported share must never be raised above 1 in sum.

const (
	// LeaseMs is how long a holder keeps granted shares, in milliseconds from the sending of the answered report.
	LeaseMs = 12_000.0
	// leaderOverlapMs is how long an earlier leader may keep granting after this one started: at most 1.5 s, until its
	// contact with a quorum ends. The rest allows for clocks that run at different rates.
	leaderOverlapMs = 2000.0
	// BoundLifetimeMs is how long after its last report a holder may have the reported shares or those granted in answer.
	BoundLifetimeMs = LeaseMs + leaderOverlapMs
	// maxShareToleratingFailures bounds a holder's share where the core must keep serving after failures of some of its
	// machines: while one machine is silent, the others can have the rest.
	maxShareToleratingFailures = 0.5
)

// Allocator divides the quotas during one term of a leader. It is not safe for concurrent use.
type Allocator struct {
	term    uint64
	tenants map[string]*allocation
	holders map[string]*holder // by control address

	// sharesKnown: no machine holds a share that was not reported. Once true, it stays true.
	sharesKnown       bool
	soleLeaderFrom    float64         // time from which no earlier leader grants shares
	unreportedUntil   float64         // time by which all leases from earlier terms have expired
	unreportedHolders map[string]bool // possible holders that have not reported in this term; nil: unknown

	voters   int     // number of machines that may hold shares
	maxShare float64 // upper bound of a holder's share, in this and all earlier terms
}

// holder is the allocator's state of a core machine.
type holder struct {
	incarnation, seq uint64          // of its newest report
	boundsUntil      float64         // milliseconds; time at which its holdings end unless it reports again
	accounted        bool            // its shares from earlier terms are no longer part of any unreported share
	tenants          map[string]bool // tenants whose quota it holds a share of
}

// New returns the allocator of a leader whose term, above 0, starts now. holders are all machines that may hold shares
// from earlier terms; nil: they are unknown. toleratesFailures: the core must keep serving after failures of some of
// its machines; it is the same in all terms.
func New(now float64, term uint64, holders []string, toleratesFailures bool) *Allocator {
	a := &Allocator{term: term, tenants: map[string]*allocation{}, holders: map[string]*holder{},
		soleLeaderFrom: now + leaderOverlapMs, unreportedUntil: now + BoundLifetimeMs, maxShare: 1}
	if toleratesFailures {
		a.maxShare = maxShareToleratingFailures
	}
	a.SetVoters(len(holders))
	if holders != nil {
		a.unreportedHolders = map[string]bool{}
	}
	for _, name := range holders {
		a.unreportedHolders[name] = true
	}
	return a
}

// SetVoters sets the number of machines that may hold shares.
func (a *Allocator) SetVoters(voters int) { a.voters = voters }

// SharesKnown reports whether all shares that may be held have been reported.
func (a *Allocator) SharesKnown(now float64) bool {
	a.expire(now)
	return a.sharesKnown
}

// SetLimits sets the limits by tenant. A tenant that is no longer listed is granted nothing, and is deleted once no
// holder can have a share of it: its quota may be restored before that.
func (a *Allocator) SetLimits(limits map[string]Limit, now float64) {
	a.expire(now)
	for name, limit := range limits {
		allocation := a.tenants[name]
		if allocation == nil {
			allocation = a.addAllocation(name, now)
		}
		allocation.setLimit(limit, now)
	}
	for name, allocation := range a.tenants {
		if _, limited := limits[name]; !limited {
			allocation.limited = false
			a.deleteIfUnused(name)
		}
	}
}

func (a *Allocator) addAllocation(name string, now float64) *allocation {
	allocation := newAllocation(now, a.maxShare)
	allocation.unreported = a.maxUnreported()
	a.tenants[name] = allocation
	return allocation
}

// Report returns the answer to a holder's report, or nil if the report is not the holder's newest because it was
// overtaken or duplicated: such a report must not be answered.
func (a *Allocator) Report(r *controlmsg.QuotaReport, now float64) *controlmsg.QuotaGrant {
	a.expire(now)
	if !a.accept(r, now) {
		return nil
	}
	a.updateHoldings(r, now)
	if r.Term == a.term {
		a.holders[r.Holder].accounted = true
		delete(a.unreportedHolders, r.Holder)
		a.updateUnreported(now)
	}
	grant := &controlmsg.QuotaGrant{Holder: r.Holder, Incarnation: r.Incarnation, Seq: r.Seq, LeaseMs: LeaseMs}
	if now >= a.soleLeaderFrom {
		grant.Term = a.term
	}
	for _, demand := range r.Tenants {
		allocation := a.tenants[demand.Tenant]
		if allocation == nil || !allocation.limited {
			continue
		}
		if share, tokens := allocation.grant(r.Holder, a.sharesKnown || r.Term == a.term, a.voters, now); share > 0 {
			grant.Shares = append(grant.Shares, controlmsg.QuotaShare{Tenant: demand.Tenant, Share: share, Tokens: tokens})
		}
	}
	return grant
}

// accept records a report and reports whether it is the holder's newest. A higher incarnation means that the machine's
// previous process has ended and holds nothing.
func (a *Allocator) accept(r *controlmsg.QuotaReport, now float64) bool {
	reporter := a.holders[r.Holder]
	if reporter != nil {
		if r.Incarnation < reporter.incarnation || r.Incarnation == reporter.incarnation && r.Seq <= reporter.seq {
			return false
		}
		if r.Incarnation > reporter.incarnation {
			a.removeHolder(r.Holder, now)
			reporter = nil
		}
	}
	if reporter == nil {
		reporter = &holder{tenants: map[string]bool{}}
		a.holders[r.Holder] = reporter
	}
	reporter.incarnation, reporter.seq, reporter.boundsUntil = r.Incarnation, r.Seq, now+BoundLifetimeMs
	return true
}

// updateHoldings replaces a holder's holdings by what it reports. If a tenant is listed twice, the larger share counts.
// A share of a tenant without a configured quota counts too: the quota may be restored before the share ends.
func (a *Allocator) updateHoldings(r *controlmsg.QuotaReport, now float64) {
	reporter := a.holders[r.Holder]
	reported := make(map[string]controlmsg.QuotaDemand, len(r.Tenants))
	for _, demand := range r.Tenants {
		demand.Share = max(demand.Share, reported[demand.Tenant].Share)
		reported[demand.Tenant] = demand
	}
	for name := range reporter.tenants {
		if _, listed := reported[name]; !listed {
			a.setHolding(r.Holder, name, holding{}, now)
		}
	}
	for _, demand := range reported {
		a.updateHolding(r.Holder, demand, r.Term == a.term, now)
	}
}

// updateHolding processes one tenant of a report. current: no earlier leader can change the reported share any more.
func (a *Allocator) updateHolding(holderName string, demand controlmsg.QuotaDemand, current bool, now float64) {
	tenant := demand.Tenant
	share := clampShare(demand.Share)
	allocation := a.tenants[tenant]
	if allocation == nil {
		if share == 0 {
			return
		}
		allocation = a.addAllocation(tenant, now)
	}
	if current && !a.holders[holderName].accounted {
		allocation.markReported(share, now)
	}
	want := allocation.wantedShare(demand.Demand, a.voters)
	a.setHolding(holderName, tenant, holding{reported: share, bound: share, wanted: want}, now)
}

// setHolding replaces a holder's holding of a tenant, and deletes it if it is empty.
func (a *Allocator) setHolding(holderName, tenant string, h holding, now float64) {
	a.tenants[tenant].set(holderName, h, now)
	if h != (holding{}) {
		a.holders[holderName].tenants[tenant] = true
		return
	}
	delete(a.holders[holderName].tenants, tenant)
	a.deleteIfUnused(tenant)
}

// expire removes the holders whose last report is so old that their leases have expired.
func (a *Allocator) expire(now float64) {
	a.updateUnreported(now)
	for name, h := range a.holders {
		if now >= h.boundsUntil {
			a.removeHolder(name, now)
		}
	}
}

// updateUnreported updates the upper bound of the unreported shares, and detects when nothing unreported can be held
// any more.
func (a *Allocator) updateUnreported(now float64) {
	if a.sharesKnown {
		return
	}
	since := now
	switch {
	case a.unreportedHolders != nil && len(a.unreportedHolders) == 0:
		a.sharesKnown = true
	case now >= a.unreportedUntil:
		a.sharesKnown, since = true, a.unreportedUntil
	}
	limit := a.maxUnreported()
	for _, allocation := range a.tenants {
		allocation.capUnreported(limit, since)
	}
}

// maxUnreported returns the largest share of any tenant that may be held without having been reported.
func (a *Allocator) maxUnreported() float64 {
	switch {
	case a.sharesKnown:
		return 0
	case a.unreportedHolders == nil:
		return 1
	}
	return clampShare(a.maxShare * float64(len(a.unreportedHolders)))
}

// removeHolder deletes a holder and all its holdings.
func (a *Allocator) removeHolder(name string, now float64) {
	for tenant := range maps.Clone(a.holders[name].tenants) {
		a.setHolding(name, tenant, holding{}, now)
	}
	delete(a.holders, name)
}

// deleteIfUnused deletes a tenant that has no quota and no holdings.
func (a *Allocator) deleteIfUnused(tenant string) {
	if allocation := a.tenants[tenant]; !allocation.limited && len(allocation.holdings) == 0 {
		delete(a.tenants, tenant)
	}
}
