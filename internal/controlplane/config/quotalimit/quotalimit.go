// Package quotalimit computes how many operations a tenant may make. Proxies and the control plane, which divides a
// tenant's quota among the proxies, have to compute the same limit.
//
// The quota has a tolerance: a window of W seconds may have (Rate*W + Burst) * (1 + excess) + extra operations. Three
// quarters of the tolerance are used, as a bucket that is divided among proxies admits less than an undivided one. A
// quarter is left as a margin, as clocks drift and a member may repeat an operation whose answer was lost.
package quotalimit

import "weirwind/internal/controlplane/config"

// toleranceShare is the share of the tolerance that the limit uses.
const toleranceShare = 0.75

// Of returns the token bucket that bounds a tenant's operations, summed over all drivers: its rate per second and its
// depth. excess and extra are the tolerance of the quota. limited is false if tenant is nil or has no quota.
func Of(tenant *config.Tenant, excess, extra float64) (rate, burst float64, limited bool) {
	if tenant == nil || tenant.Rate == 0 && tenant.Burst == 0 {
		return 0, 0, false
	}
	scale := 1 + toleranceShare*excess
	return tenant.Rate * scale, tenant.Burst*scale + toleranceShare*extra, true
}
