// Package quotalimit says how many operations a tenant may make: proxies and the control plane, which share a tenant's
// quota out among the proxies, have to compute the same limit.
//
// The limit is judged with a tolerance: in a window of W seconds there may be Rate*W + Burst operations, times
// 1 + excess, and extra more. Three quarters of the tolerance are used, as a bucket that is shared out serves less than
// a whole one; a quarter is left as a margin, as clocks run at rates of their own and a member may run an operation
// again whose answer was lost.
package quotalimit

import "weirwind/internal/controlplane/config"

// usedTolerance is the part of the tolerance that the limit makes use of.
const toleranceShare = 0.75

// Of gives the token bucket that bounds a tenant's operations over all drivers: its rate a second, and its depth.
// excess and extra are the tolerance of the rule. limited is false for a tenant without a quota, and for no tenant.
func Of(tenant *config.Tenant, excess, extra float64) (rate, burst float64, limited bool) {
	if tenant == nil || tenant.Rate == 0 && tenant.Burst == 0 {
		return 0, 0, false
	}
	scale := 1 + toleranceShare*excess
	return tenant.Rate * scale, tenant.Burst*scale + toleranceShare*extra, true
}
