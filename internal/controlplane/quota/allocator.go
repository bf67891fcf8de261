package quota

import (
	"maps"

	"weirwind/internal/controlplane/controlmsg"
)

// This file owns the allocator: which holders have reported, what each may hold, and the answers to their reports. The
// bounds of a tenant's shares, with what may be held unreported, must never be raised above 1 in sum.

const (
	// LeaseMs is for how long a holder keeps granted shares, in milliseconds from the sending of the answered report.
	LeaseMs = 12_000.0
	// overlap is for how long an earlier leader may go on granting beside this one, in ms: until its contact with a quorum
	// is over, 1.5 s after this one began at most. The rest is for clocks whose rates differ.
	overlap = 2000.0
	// BoundLifetimeMs is for how long a holder may have what it reported last, or was granted then, in ms.
	BoundLifetimeMs = LeaseMs + overlap
	// maxShareOfSeveral bounds a holder's share where the core must go on without some of its machines: the others may
	// then have the rest while one is silent.
	maxShareOfSeveral = 0.5
)

// Allocator is a leader's account of shares, from the begin of its lead to the end. Its owner's goroutine alone uses
// it.
type Allocator struct {
	lead    uint64
	tenants map[string]*allocation
	holders map[string]*holder // by control address

	// known: nobody holds a share that was not reported. It never becomes false again.
	known        bool
	aloneFrom    float64         // no earlier leader grants any more
	unknownUntil float64         // when that is so at the latest, as all earlier leases are over
	unreported   map[string]bool // holders that have not reported to this lead yet; nil: they are not known

	voters   int     // that may hold shares
	maxShare float64 // that a holder may have, of this and all earlier leads
}

// holder is what the allocator knows of a core machine.
type holder struct {
	incarnation, seq uint64 // of its newest report
	boundsUntil      float64
	revealed         bool            // what it held of earlier leads is no longer unknown
	tenants          map[string]bool // those of which it has a holding
}

// New gives the account of a lead that begins now. lead is its term, above 0. holders are all that may hold shares of
// earlier leads; nil: that is not known. several: the core goes on without some of its machines; it is the same in all
// leads.
func New(now float64, lead uint64, holders []string, several bool) *Allocator {
	a := &Allocator{lead: lead, tenants: map[string]*allocation{}, holders: map[string]*holder{},
		aloneFrom: now + overlap, unknownUntil: now + BoundLifetimeMs, maxShare: 1}
	if several {
		a.maxShare = maxShareOfSeveral
	}
	a.SetVoters(len(holders))
	if holders != nil {
		a.unreported = map[string]bool{}
	}
	for _, name := range holders {
		a.unreported[name] = true
	}
	return a
}

// SetVoters sets how many machines may hold shares.
func (a *Allocator) SetVoters(n int) { a.voters = n }

// SharesKnown reports whether all shares that may be held were reported.
func (a *Allocator) SharesKnown(now float64) bool {
	a.expire(now)
	return a.known
}

// SetLimits sets which tenants have a quota, and which. A tenant that has none any more is granted nothing, and is
// forgotten once nobody can hold a share of it: it may get a quota again before.
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
			a.forgetUnused(name)
		}
	}
}

// addAllocation adds a tenant.
func (a *Allocator) addAllocation(name string, now float64) *allocation {
	allocation := newAllocation(now, a.maxShare)
	allocation.unknown = a.maxUnknown()
	a.tenants[name] = allocation
	return allocation
}

// Report answers a holder's report. The answer is nil where the report is not the holder's newest, as it was overtaken
// or doubled: it must not be answered then.
func (a *Allocator) Report(r *controlmsg.QuotaReport, now float64) *controlmsg.QuotaGrant {
	a.expire(now)
	if !a.accept(r, now) {
		return nil
	}
	a.takeHoldings(r, now)
	if r.Lead == a.lead {
		a.holders[r.Holder].revealed = true
		delete(a.unreported, r.Holder)
		a.checkKnown(now)
	}
	grant := &controlmsg.QuotaGrant{Holder: r.Holder, Incarnation: r.Incarnation, Seq: r.Seq, LeaseMs: LeaseMs}
	if now >= a.aloneFrom {
		grant.Lead = a.lead
	}
	for _, demand := range r.Tenants {
		allocation := a.tenants[demand.Tenant]
		if allocation == nil || !allocation.limited {
			continue
		}
		if share, tokens := allocation.grant(r.Holder, a.known || r.Lead == a.lead, a.voters, now); share > 0 {
			grant.Shares = append(grant.Shares, controlmsg.QuotaShare{Tenant: demand.Tenant, Share: share, Tokens: tokens})
		}
	}
	return grant
}

// accept notes a holder's newest report, and reports whether it is one. An earlier process of the machine has ended:
// nothing is held by it.
func (a *Allocator) accept(r *controlmsg.QuotaReport, now float64) bool {
	known := a.holders[r.Holder]
	if known != nil {
		if r.Incarnation < known.incarnation || r.Incarnation == known.incarnation && r.Seq <= known.seq {
			return false
		}
		if r.Incarnation > known.incarnation {
			a.release(r.Holder, now)
			known = nil
		}
	}
	if known == nil {
		known = &holder{tenants: map[string]bool{}}
		a.holders[r.Holder] = known
	}
	known.incarnation, known.seq, known.boundsUntil = r.Incarnation, r.Seq, now+BoundLifetimeMs
	return true
}

// takeHoldings replaces what a holder may have and wants by what it reports. Of a tenant that is listed twice the
// larger share counts. A share of a tenant that is not configured here counts too: its quota may be back before the
// share ends.
func (a *Allocator) takeHoldings(r *controlmsg.QuotaReport, now float64) {
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
		a.takeHolding(r.Holder, demand, r.Lead == a.lead, now)
	}
}

// takeHolding takes a part of a report. current: no earlier leader changes any more what it says.
func (a *Allocator) takeHolding(holder string, demand controlmsg.QuotaDemand, current bool, now float64) {
	tenant := demand.Tenant
	share := clampShare(demand.Share)
	allocation := a.tenants[tenant]
	if allocation == nil {
		if share == 0 {
			return
		}
		allocation = a.addAllocation(tenant, now)
	}
	if current && !a.holders[holder].revealed {
		allocation.reveal(share, now)
	}
	want := allocation.want(demand.Demand, a.voters)
	a.setHolding(holder, tenant, holding{reported: share, bound: share, want: want}, now)
}

// setHolding replaces a holder's holding of a tenant; an empty one is forgotten.
func (a *Allocator) setHolding(holder, tenant string, h holding, now float64) {
	a.tenants[tenant].set(holder, h, now)
	if h != (holding{}) {
		a.holders[holder].tenants[tenant] = true
		return
	}
	delete(a.holders[holder].tenants, tenant)
	a.forgetUnused(tenant)
}

// expire releases what was held by those that have not reported for so long that their leases are over.
func (a *Allocator) expire(now float64) {
	a.checkKnown(now)
	for name, h := range a.holders {
		if now >= h.boundsUntil {
			a.release(name, now)
		}
	}
}

// checkKnown notes how much may be held unreported, and the moment from which on nothing is.
func (a *Allocator) checkKnown(now float64) {
	if a.known {
		return
	}
	since := now
	switch {
	case a.unreported != nil && len(a.unreported) == 0:
		a.known = true
	case now >= a.unknownUntil:
		a.known, since = true, a.unknownUntil
	}
	limit := a.maxUnknown()
	for _, allocation := range a.tenants {
		allocation.limitUnknown(limit, since)
	}
}

// maxUnknown is the largest share of any tenant that may be held unreported.
func (a *Allocator) maxUnknown() float64 {
	switch {
	case a.known:
		return 0
	case a.unreported == nil:
		return 1
	}
	return clampShare(a.maxShare * float64(len(a.unreported)))
}

// release forgets a holder that has nothing any more.
func (a *Allocator) release(name string, now float64) {
	for tenant := range maps.Clone(a.holders[name].tenants) {
		a.setHolding(name, tenant, holding{}, now)
	}
	delete(a.holders, name)
}

// forgetUnused forgets a tenant without a quota that nobody holds a share of.
func (a *Allocator) forgetUnused(tenant string) {
	if allocation := a.tenants[tenant]; !allocation.limited && len(allocation.holdings) == 0 {
		delete(a.tenants, tenant)
	}
}
