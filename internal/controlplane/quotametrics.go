package controlplane

import (
	"weirwind/internal/util/metrics"
)

// quotaSnapshot is a copy of the state of quotas for metrics.
type quotaSnapshot struct {
	shares, demand       float64 // sums over tenants
	granted, refused     uint64
	leaseExpirations     int
	leading, sharesKnown bool
}

// snapshot returns nil if the quota contract is not enabled.
func (q *quotas) snapshot(now float64) *quotaSnapshot {
	if q.limiter == nil {
		return nil
	}
	s := &quotaSnapshot{granted: q.granted, refused: q.refused, leaseExpirations: q.limiter.LeaseExpirations(),
		leading: q.allocator != nil}
	s.shares, s.demand = q.limiter.Totals(now)
	s.sharesKnown = s.leading && q.allocator.SharesKnown(now)
	return s
}

// write writes the metrics. They have no label for the tenant, as the number of tenants is unbounded.
func (s *quotaSnapshot) write(set metrics.Set) {
	if s == nil {
		return
	}
	set.Gauge("weirwind_controlplane_quota_shares", "Sum of the shares of tenants' quotas that this machine holds.",
		s.shares)
	set.Gauge("weirwind_controlplane_quota_demand", "Operations a second for which this machine is asked for tokens.",
		s.demand)
	set.Counter("weirwind_controlplane_quota_tokens_total", "Tokens that were given out to proxies.", float64(s.granted))
	set.Counter("weirwind_controlplane_quota_refused_total", "Operations for which there was no token.",
		float64(s.refused))
	set.Counter("weirwind_controlplane_quota_lapses_total", "How often all shares ended with their lease.",
		float64(s.leaseExpirations))
	if s.leading {
		set.Flag("weirwind_controlplane_quota_shares_known",
			"At the leader, 1 once no share may be held that was not reported to it.", s.sharesKnown)
	}
}
