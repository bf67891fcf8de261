package quota

import (
	"maps"

	"weirwind/internal/controlplane/controlmsg"
)

// This file owns the allocator: which proxies have reported, what each may hold, and the answers to their reports. The
// bounds of a tenant's shares must never be raised above 1 in sum.

const (
	// Lease is for how long a proxy holds what it was granted, from the sending of the report that was answered, in ms.
	Lease = 12_000.0
	// leaseSlack covers what another leader may do beside this one: it grants until its contact with a quorum is over,
	// 1.5 s after this one began at most. The rest is for clocks whose rates differ.
	leaseSlack = 2000.0
	// boundLifetime is for how long a proxy may hold what it reported last, or was granted then.
	boundLifetime = Lease + leaseSlack
)

// Limit is a tenant's token bucket over all drivers.
type Limit struct {
	Rate  float64 // operations a second
	Burst float64 // its depth, in operations
}

// Allocator is a leader's book of shares, from the begin of its lead to the end. Its owner's goroutine alone uses it.
type Allocator struct {
	unknownUntil float64 // shares that were not reported may be held until then
	tenants      map[string]*tenantBook
	proxies      map[string]*proxy // by driver
	reports      uint64
	grants       uint64
}

// proxy is what the allocator knows of a driver's proxy.
type proxy struct {
	incarnation, seq uint64 // of its newest report
	boundsUntil      float64
	tenants          map[string]bool // those of which it has a holding
}

// New gives the book of a lead that begins now. It must be empty of all that was known before.
func New(now float64) *Allocator {
	return &Allocator{unknownUntil: now + boundLifetime,
		tenants: map[string]*tenantBook{}, proxies: map[string]*proxy{}}
}

// SetLimits sets which tenants have a quota, and which. A tenant that has none any more is granted nothing, and is
// forgotten once nobody can hold a share of it: it may get a quota again before.
func (a *Allocator) SetLimits(limits map[string]Limit, now float64) {
	a.expire(now)
	for name, limit := range limits {
		book := a.tenants[name]
		if book == nil {
			book = newTenantBook(a.unknownUntil, now)
			a.tenants[name] = book
		}
		book.setLimit(limit, now)
	}
	for name, book := range a.tenants {
		if _, limited := limits[name]; !limited {
			book.limited = false
			a.forgetUnused(name)
		}
	}
}

// Report answers a proxy's report. The answer is nil where the report is not the proxy's newest, as it was overtaken or
// doubled: it must not be answered then.
func (a *Allocator) Report(r *controlmsg.QuotaReport, now float64) *controlmsg.QuotaGrant {
	a.expire(now)
	if !a.accept(r, now) {
		return nil
	}
	a.reports++
	a.takeHoldings(r, now)
	grant := &controlmsg.QuotaGrant{Driver: r.Driver, Incarnation: r.Incarnation, Seq: r.Seq, LeaseMs: Lease}
	for _, demand := range r.Tenants {
		book := a.tenants[demand.Tenant]
		if book == nil || !book.limited {
			continue
		}
		if share, tokens := book.grant(r.Driver, now); share > 0 {
			grant.Shares = append(grant.Shares, controlmsg.QuotaShare{Tenant: demand.Tenant, Share: share, Tokens: tokens})
		}
	}
	a.grants++
	return grant
}

// accept notes a proxy's newest report, and reports whether it is one. An earlier process of the driver has ended:
// nothing is held by it.
func (a *Allocator) accept(r *controlmsg.QuotaReport, now float64) bool {
	known := a.proxies[r.Driver]
	if known != nil {
		if r.Incarnation < known.incarnation || r.Incarnation == known.incarnation && r.Seq <= known.seq {
			return false
		}
		if r.Incarnation > known.incarnation {
			a.release(r.Driver, now)
			known = nil
		}
	}
	if known == nil {
		known = &proxy{tenants: map[string]bool{}}
		a.proxies[r.Driver] = known
	}
	known.incarnation, known.seq, known.boundsUntil = r.Incarnation, r.Seq, now+boundLifetime
	return true
}

// takeHoldings replaces what a proxy may hold and wants by what it reports. Of a tenant that is listed twice the larger
// share counts.
func (a *Allocator) takeHoldings(r *controlmsg.QuotaReport, now float64) {
	reporter := a.proxies[r.Driver]
	reported := make(map[string]controlmsg.QuotaDemand, len(r.Tenants))
	for _, demand := range r.Tenants {
		demand.Share = max(demand.Share, reported[demand.Tenant].Share)
		reported[demand.Tenant] = demand
	}
	for name := range reporter.tenants {
		if _, listed := reported[name]; !listed {
			a.setHolding(r.Driver, name, holding{}, now)
		}
	}
	for name, demand := range reported {
		if book := a.tenants[name]; book != nil {
			h := holding{reported: clampShare(demand.Share), want: book.want(demand.Demand)}
			h.bound = h.reported
			a.setHolding(r.Driver, name, h, now)
		}
	}
}

// setHolding replaces a proxy's holding of a tenant; an empty one is forgotten.
func (a *Allocator) setHolding(driver, tenant string, h holding, now float64) {
	a.tenants[tenant].set(driver, h, now)
	if h != (holding{}) {
		a.proxies[driver].tenants[tenant] = true
		return
	}
	delete(a.proxies[driver].tenants, tenant)
	a.forgetUnused(tenant)
}

// expire releases what proxies held that have not reported for so long that their leases are over.
func (a *Allocator) expire(now float64) {
	for driver, p := range a.proxies {
		if now >= p.boundsUntil {
			a.release(driver, now)
		}
	}
}

// release forgets a proxy that holds nothing any more.
func (a *Allocator) release(driver string, now float64) {
	for tenant := range maps.Clone(a.proxies[driver].tenants) {
		a.setHolding(driver, tenant, holding{}, now)
	}
	delete(a.proxies, driver)
}

// forgetUnused forgets a tenant without a quota that nobody holds a share of.
func (a *Allocator) forgetUnused(tenant string) {
	if book := a.tenants[tenant]; !book.limited && len(book.holdings) == 0 {
		delete(a.tenants, tenant)
	}
}
