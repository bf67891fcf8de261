package quota

import "math"

// This file has the allocation of one tenant's quota: the upper bound of each holder's share, and the bucket of the
// part that no holder has.

const (
	// demandHeadroom is the factor from a holder's demand to the share that it wants: demand is measured late, and may be
	// rising.
	demandHeadroom = 1.3
	// equalFraction is the fraction of a quota that is divided equally among the voters: each with any demand gets such a
	// share, so that a machine with few operations has a token for them at once.
	equalFraction = 0.5
	// maxSurplusFactor is how many times the share that it wants a holder may keep while all others have what they want.
	maxSurplusFactor = 1.5
	// minBucketDepth is the depth of the smallest useful bucket, in operations: one, plus a margin for rounding.
	minBucketDepth = 1.001
)

// allocation is the state of one tenant's quota. Shares are fractions of the quota, from 0 to 1.
type allocation struct {
	limit      Limit
	limited    bool               // false: the configuration no longer gives the tenant a quota
	holdings   map[string]holding // by holder name
	bound      float64            // sum of the bounds of all holdings
	unreported float64            // upper bound of the share held by machines that have not reported to this leader
	maxShare   float64            // upper bound of one holder's share

	tokens     float64 // in the bucket of the free part, which no holder has, as of refilledAt
	refilledAt float64 // milliseconds
}

// holding is one holder's share of a tenant's quota, as far as the leader knows it, and the share that the holder
// wants.
type holding struct {
	reported float64 // share in its newest report
	bound    float64 // upper bound of its share until its next report
	wanted   float64 // share that its demand requires
}

func newAllocation(now, maxShare float64) *allocation {
	return &allocation{holdings: map[string]holding{}, refilledAt: now, maxShare: maxShare}
}

// markReported subtracts a newly reported share from the unreported one.
func (a *allocation) markReported(share, now float64) {
	a.refill(now)
	a.unreported = clampShare(a.unreported - share)
}

// capUnreported lowers the unreported share to a maximum.
func (a *allocation) capUnreported(maximum, now float64) {
	if maximum < a.unreported {
		a.refill(now)
		a.unreported = maximum
	}
}

// setLimit sets the tenant's limit. Tokens beyond the new depth are dropped.
func (a *allocation) setLimit(limit Limit, now float64) {
	a.refill(now)
	a.limit, a.limited = limit, true
	a.clipTokens()
}

// set replaces a holder's holding.
func (a *allocation) set(holderName string, h holding, now float64) {
	a.refill(now)
	previous := a.holdings[holderName]
	a.bound += h.bound - previous.bound
	if h == (holding{}) {
		delete(a.holdings, holderName)
	} else {
		a.holdings[holderName] = h
	}
	if len(a.holdings) == 0 { // removes rounding errors
		a.bound = 0
	}
	a.clipTokens()
}

// freeShare returns the share that is certain not to be held.
func (a *allocation) freeShare() float64 { return clampShare(1 - a.bound - a.unreported) }

// refill adds the tokens that the free part earned since the last refill.
func (a *allocation) refill(now float64) {
	if now <= a.refilledAt {
		return
	}
	free := a.freeShare()
	a.tokens = min(a.tokens+free*a.limit.Rate*(now-a.refilledAt)/1000, free*a.limit.Burst)
	a.refilledAt = now
}

// clipTokens drops the tokens beyond the depth of the free part's bucket, after that part has become smaller.
func (a *allocation) clipTokens() {
	a.tokens = min(a.tokens, a.freeShare()*a.limit.Burst)
}

// equalShare returns the share that each voter with any demand is entitled to.
func (a *allocation) equalShare(voters int) float64 {
	return max(equalFraction/float64(max(voters, 1)), a.minShare())
}

// wantedShare returns the share that a demand, in operations per second, requires.
func (a *allocation) wantedShare(demand float64, voters int) float64 {
	if !a.limited || !(demand > 0) || math.IsInf(demand, 1) { // NaN counts as no demand
		return 0
	}
	return max(a.equalShare(voters), min(demand*demandHeadroom/a.limit.Rate, 1))
}

// minShare returns the smallest useful share: its bucket holds one operation.
func (a *allocation) minShare() float64 { return min(minBucketDepth/a.limit.Burst, 1) }

// grant answers a holder's report: it returns the holder's share from now on, and the tokens for its increase. A report
// is current if no earlier leader can change the reported share any more. Otherwise the holder gets no more than it
// reported, as an earlier leader may still grant the rest.
func (a *allocation) grant(holderName string, current bool, voters int, now float64) (share, tokens float64) {
	h := a.holdings[holderName]
	target := min(a.targetShare(h, voters), a.maxShare)
	if !current {
		return min(h.reported, target), 0
	}
	available := clampShare(1 - (a.bound - h.bound) - a.unreported)
	share = min(target, available)
	if share < a.minShare() {
		return 0, 0 // too small to be useful; leave it to others
	}
	increase := share - h.reported
	if increase <= 0 {
		return share, 0
	}
	a.refill(now)
	tokens = min(a.tokens, increase*a.limit.Burst)
	a.tokens -= tokens
	h.bound = share
	a.set(holderName, h, now)
	return share, tokens
}

// targetShare returns the share that a holder should have: an equal share, and, as far as quota remains, a proportional
// part of what it wants beyond that. While some voter has no demand, one equal share is left free for it. A holder may
// keep somewhat more than it wants, so that shares don't change with every report.
func (a *allocation) targetShare(h holding, voters int) float64 {
	equalShare := a.equalShare(voters)
	guaranteed, excess, requesting := 0.0, 0.0, 0 // over all holders
	for _, other := range a.holdings {
		guaranteed += min(other.wanted, equalShare)
		excess += max(other.wanted-equalShare, 0)
		if other.wanted > 0 {
			requesting++
		}
	}
	if requesting < voters {
		guaranteed += equalShare
	}
	remaining := clampShare(1 - guaranteed)
	excessWanted := max(h.wanted-equalShare, 0)
	if excessWanted == 0 || excess > remaining {
		return min(h.wanted, equalShare) + excessWanted*clampShare(remaining/excess)
	}
	maxTarget := equalShare + excessWanted*min(maxSurplusFactor, remaining/excess)
	return min(max(h.wanted, h.reported), maxTarget)
}

// clampShare limits a share to the range from 0 to 1; NaN becomes 0.
func clampShare(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}
