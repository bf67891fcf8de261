package quota

import "math"

// This file owns what is known of one tenant's quota: who may hold how much of it, and the bucket of the part that
// nobody holds.

const (
	// headroom is how much more than its demand a holder wants: demand is measured late, and rises.
	headroom = 1.3
	// evenPart is the part of a quota of which all voters with any demand have the same: a machine that is asked for few
	// operations has a token for them at once.
	evenPart = 0.5
	// maxSurplus is how many times what it wants a holder may keep, while all others have what they want.
	maxSurplus = 1.5
	// minDepth is the depth of the smallest bucket of use, in operations: one, and what rounding takes.
	minDepth = 1.001
)

// allocation is what is known of one tenant's quota.
type allocation struct {
	limit    Limit
	limited  bool               // false: the configuration gives it no quota any more
	holdings map[string]holding // by holder
	bound    float64            // sum of the holdings' bounds
	unknown  float64            // share that may be held by those that have not reported to this lead
	maxShare float64            // of one holder

	tokens     float64 // in the bucket of the part that nobody holds, as of refilledAt
	refilledAt float64
}

// holding is what one holder may have of a tenant's quota, and what it wants.
type holding struct {
	reported float64 // share, by its newest report
	bound    float64 // the largest share that it may hold until its next report
	want     float64 // share
}

func newAllocation(now, maxShare float64) *allocation {
	return &allocation{holdings: map[string]holding{}, refilledAt: now, maxShare: maxShare}
}

// reveal notes that a share that might be held unreported is not, as it was reported.
func (b *allocation) reveal(share, now float64) {
	b.refill(now)
	b.unknown = clampShare(b.unknown - share)
}

// limitUnknown notes that no more than a share can be held unreported.
func (b *allocation) limitUnknown(limit, now float64) {
	if limit < b.unknown {
		b.refill(now)
		b.unknown = limit
	}
}

// setLimit sets the tenant's bucket. Tokens beyond the new depth are lost.
func (b *allocation) setLimit(limit Limit, now float64) {
	b.refill(now)
	b.limit, b.limited = limit, true
	b.clip()
}

// set replaces a holder's share.
func (b *allocation) set(name string, h holding, now float64) {
	b.refill(now)
	former := b.holdings[name]
	b.bound += h.bound - former.bound
	if h == (holding{}) {
		delete(b.holdings, name)
	} else {
		b.holdings[name] = h
	}
	if len(b.holdings) == 0 { // what rounding left ends here
		b.bound = 0
	}
	b.clip()
}

// free is the share that certainly nobody holds.
func (b *allocation) free() float64 { return clampShare(1 - b.bound - b.unknown) }

// refill adds the free part's tokens of the time since the last time.
func (b *allocation) refill(now float64) {
	if now <= b.refilledAt {
		return
	}
	free := b.free()
	b.tokens = min(b.tokens+free*b.limit.Rate*(now-b.refilledAt)/1000, free*b.limit.Burst)
	b.refilledAt = now
}

// clip takes what is too much out of the free part's bucket, after the part became smaller.
func (b *allocation) clip() {
	b.tokens = min(b.tokens, b.free()*b.limit.Burst)
}

// even is the share that a voter with any demand may have.
func (b *allocation) even(voters int) float64 {
	return max(evenPart/float64(max(voters, 1)), b.minShare())
}

// want is the share that a demand of so many operations a second needs.
func (b *allocation) want(demand float64, voters int) float64 {
	if !b.limited || !(demand > 0) || math.IsInf(demand, 1) { // a demand that is no number is none
		return 0
	}
	return max(b.even(voters), min(demand*headroom/b.limit.Rate, 1))
}

// minShare is the smallest share of use: its bucket holds one operation.
func (b *allocation) minShare() float64 { return min(minDepth/b.limit.Burst, 1) }

// grant decides which share a holder that has just reported has from now on, and gives it the tokens of what is new.
// Unless its report is current, it has no more than it reported: an earlier leader may give out the rest.
func (b *allocation) grant(name string, current bool, voters int, now float64) (share, tokens float64) {
	h := b.holdings[name]
	target := min(b.target(h, voters), b.maxShare)
	if !current {
		return min(h.reported, target), 0
	}
	available := clampShare(1 - (b.bound - h.bound) - b.unknown)
	share = min(target, available)
	if share < b.minShare() {
		return 0, 0 // of no use: others can have it
	}
	raise := share - h.reported
	if raise <= 0 {
		return share, 0
	}
	b.refill(now)
	tokens = min(b.tokens, raise*b.limit.Burst)
	b.tokens -= tokens
	h.bound = share
	b.set(name, h, now)
	return share, tokens
}

// target is the share that a holder is to have: an even share, and its part of what it wants beyond that, as far as
// there is room. An even share stays free while some voter has no demand: it may be asked next. A holder may keep
// somewhat more than it wants, so that shares don't change with every report.
func (b *allocation) target(h holding, voters int) float64 {
	even := b.even(voters)
	least, beyond, asked := 0.0, 0.0, 0 // of all holders
	for _, other := range b.holdings {
		least += min(other.want, even)
		beyond += max(other.want-even, 0)
		if other.want > 0 {
			asked++
		}
	}
	if asked < voters {
		least += even
	}
	room := clampShare(1 - least)
	wanted := max(h.want-even, 0)
	if wanted == 0 || beyond > room {
		return min(h.want, even) + wanted*clampShare(room/beyond)
	}
	most := even + wanted*min(maxSurplus, room/beyond)
	return min(max(h.want, h.reported), most)
}

// clampShare gives the share next to a figure; 0 where that is no number.
func clampShare(share float64) float64 {
	if !(share > 0) {
		return 0
	}
	return min(share, 1)
}
