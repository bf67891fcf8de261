package proxy

import "math/rand/v2"

// This file owns the sharing of a pool's places among tenants. Where there are none, all connections are for the tenant
// "", and no request finds another's idle.

// A request that has waited for so long (milliseconds) may take any idle connection's place: its tenant's own
// connections are held for longer than usual.
const maxWaitForOwn = 200.0

// After the member has rejected a dial for a tenant for want of capacity, the next is made after a pause of half to one
// and a half times rejectedDialBackoff, twice as long for each rejection in a row, up to so many times.
const maxBackoffDoublings = 4

// dialsAtATime is how many dials to a member may be under way for a request. With tenants a proxy dials far more often,
// and one at a time of each of many drivers is all that a member takes.
func dialsAtATime(request *connRequest, drivers int) int {
	if request.tenant != "" {
		return max(maxDials/drivers, 1)
	}
	return max(maxDials/drivers, minDialsPerDriver)
}

// pace notes that a dial succeeded, which began at startedAt. As far as it took longer than the fastest, the member is
// busy with other drivers' dials: the next for a tenant is made after a pause that lets about maxDials of all drivers
// be under way at a time.
func (p *connPool) pace(now, startedAt float64, drivers int) {
	p.rejections = 0
	took := now - startedAt
	if p.fastestDial == 0 || took < p.fastestDial {
		p.fastestDial = took
	}
	pausesPerDial := max(float64(drivers)/maxDials-1, 0)
	p.dialAfter = now + (took-p.fastestDial)*pausesPerDial*(0.5+rand.Float64())
}

// backOff notes that the member rejected a dial.
func (p *connPool) backOff(now float64) {
	pause := milliseconds(rejectedDialBackoff) * float64(int(1)<<min(p.rejections, maxBackoffDoublings))
	p.rejections++
	p.dialAfter = now + pause*(0.5+rand.Float64())
}

// hasPlace reports whether a connection may be made for a request: in a free place, or in that of another tenant's idle
// connection.
func (p *connPool) hasPlace(request *connRequest, share int, now float64) bool {
	if request.tenant != "" && now < p.dialAfter {
		return false
	}
	if p.open < share {
		return true
	}
	return p.open-len(p.idle) < share && p.replaceable(request, now) >= 0
}

// makePlace closes what must be closed for a connection that hasPlace allows. In a pool above its share, that is more
// than one: the new connection would be closed on its arrival otherwise.
func (p *connPool) makePlace(request *connRequest, share int, now float64) {
	if i := p.replaceable(request, now); i >= 0 && p.open >= share {
		p.closeIdleAt(i)
	}
	for p.open >= share && len(p.idle) > 0 {
		p.closeIdleAt(0)
	}
}

// replaceable gives the index of the idle connection whose place a request may take, -1 for none: the longest idle of a
// tenant with at least two more than the request's own has. A closer balance is left alone, as tenants would take the
// same place from each other in turns, and each new connection holds up the member. A tenant without any connection,
// and a request that waits for too long, may take any.
func (p *connPool) replaceable(request *connRequest, now float64) int {
	own := p.openByTenant[request.tenant]
	urgent := own == 0 || now-request.startedAt >= maxWaitForOwn
	fallback := -1
	for i, c := range p.idle {
		switch {
		case c.tenant == request.tenant:
		case p.openByTenant[c.tenant] >= own+2:
			return i
		case urgent && fallback < 0:
			fallback = i
		}
	}
	return fallback
}
