package proxy

import "math/rand/v2"

// This file shares the capacity of a pool among tenants. Without tenants all connections have the tenant "", and no
// request meets idle connections of another tenant.

// maxWaitForOwnConn is the time in milliseconds that a request waits for a connection of its own tenant before it may
// evict any idle connection: after that time the tenant's connections are in use for longer than usual.
const maxWaitForOwnConn = 200.0

// maxBackoffDoublings limits the exponential backoff of dials for tenants. After the member has rejected a dial for
// lack of capacity, the delay of the next one is 0.5 to 1.5 times rejectedDialBackoff, doubled for each consecutive
// rejection.
const maxBackoffDoublings = 4

// maxConcurrentDials returns how many dials to a member may be in progress when another is needed for a request. With
// tenants a proxy dials far more often, and with many drivers a member can accept only one dial of each at a time.
func maxConcurrentDials(request *connRequest, drivers int) int {
	if request.tenant != "" {
		return max(maxMemberDials/drivers, 1)
	}
	return max(maxMemberDials/drivers, minDialsPerDriver)
}

// paceDials records the success of a dial that began at startedAt. If it took longer than the fastest dial, the member
// is busy with dials of other drivers. The next dial for a tenant is then delayed, so that about maxMemberDials of all
// drivers are in progress at a time.
func (p *connPool) paceDials(now, startedAt float64, drivers int) {
	p.rejections = 0
	duration := now - startedAt
	if p.fastestDial == 0 || duration < p.fastestDial {
		p.fastestDial = duration
	}
	delayFactor := max(float64(drivers)/maxMemberDials-1, 0)
	p.nextDialAt = now + (duration-p.fastestDial)*delayFactor*(0.5+rand.Float64())
}

// backOffDials records that the member rejected a dial, and delays the next one for a tenant.
func (p *connPool) backOffDials(now float64) {
	delay := milliseconds(rejectedDialBackoff) * float64(int(1)<<min(p.rejections, maxBackoffDoublings))
	p.rejections++
	p.nextDialAt = now + delay*(0.5+rand.Float64())
}

// mayDial reports whether a dial may start for a request: the pool is below its share, or an idle connection of another
// tenant may be evicted.
func (p *connPool) mayDial(request *connRequest, share int, now float64) bool {
	if request.tenant != "" && now < p.nextDialAt {
		return false
	}
	if p.open < share {
		return true
	}
	return p.open-len(p.idle) < share && p.evictableIndex(request, now) >= 0
}

// evictForDial closes idle connections to make room for a dial that mayDial allows. In a pool above its share it closes
// several, as the new connection would otherwise be closed on arrival.
func (p *connPool) evictForDial(request *connRequest, share int, now float64) {
	if i := p.evictableIndex(request, now); i >= 0 && p.open >= share {
		p.closeIdleAt(i)
	}
	for p.open >= share && len(p.idle) > 0 {
		p.closeIdleAt(0)
	}
}

// evictableIndex returns the index of the idle connection that a request may evict, -1 for none. It is the longest idle
// one of a tenant that has at least two connections more than the request's tenant. With a smaller difference two
// tenants would evict each other's connections in turns, and each new connection delays the member. A tenant without
// connections, and a request that has waited for maxWaitForOwnConn, may evict any connection of another tenant.
func (p *connPool) evictableIndex(request *connRequest, now float64) int {
	ownOpen := p.openByTenant[request.tenant]
	urgent := ownOpen == 0 || now-request.startedAt >= maxWaitForOwnConn
	fallback := -1
	for i, c := range p.idle {
		switch {
		case c.tenant == request.tenant:
		case p.openByTenant[c.tenant] >= ownOpen+2:
			return i
		case urgent && fallback < 0:
			fallback = i
		}
	}
	return fallback
}
