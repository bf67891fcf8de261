package proxy

import (
	"errors"
	"math"
	"slices"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
)

const (
	dialTimeout  = 700 * time.Millisecond
	probeTimeout = 500 * time.Millisecond // of a health check

	defaultConnShare = 64 // connections to a member if the configuration sets no limit
	minConnShare     = 2
	// maxMemberDials limits the concurrent dials of all drivers to one member. Each dial occupies a session slot of the
	// member for a while, and all drivers dial at the same time when the member starts.
	maxMemberDials    = 24
	minDialsPerDriver = 2

	minIdleConns = 2 // to a member; they stay open regardless of their idle time
	maxIdleTime  = 4 * time.Second

	maxTenantLastIdleTime = 60 * time.Second // of a tenant's only idle connection to a member

	// rejectedDialBackoff is the delay of the next dial after the member rejected one for lack of capacity, if this proxy
	// has no connection to it: other drivers must close some of theirs first.
	rejectedDialBackoff = 40 * time.Millisecond
)

// memberConn is a connection to a member, with the session state that was set on it. It belongs to the session that has
// checked it out; while it is idle, to its pool.
type memberConn struct {
	*memberconn.Conn
	tenant    string // the tenant in its ATTACH, which is the only one that it serves; "" for none
	state     sessionstate.Conn
	idleSince float64 // milliseconds
}

func dialMember(record directory.Member, tenant string, deadline time.Time) (*memberConn, error) {
	var c *memberconn.Conn
	var err error
	if tenant == "" {
		c, _, err = memberconn.Dial(record, deadline)
	} else {
		c, _, err = memberconn.DialAs(record, tenant, deadline)
	}
	if err != nil {
		return nil, err
	}
	return &memberConn{Conn: c, tenant: tenant}, nil
}

// queryStatus sends a health check to a member, over a separate connection.
func queryStatus(record directory.Member) (wire.MemberStatus, error) {
	deadline := time.Now().Add(probeTimeout)
	c, _, err := memberconn.Dial(record, deadline)
	if err != nil {
		return wire.MemberStatus{}, err
	}
	defer c.Close()
	return c.QueryStatus("STAT", deadline)
}

// connPool holds this proxy's connections to one member.
//
// open counts all connections: the idle ones, those whose dial is in progress (dialing), and those that are checked
// out. A connection is counted from the start of its dial until it is closed.
type connPool struct {
	idle    []*memberConn // reusable connections, the longest idle first
	open    int
	dialing int

	openByTenant map[string]int // open, by the connection's tenant; nil before the first connection
	// rejections is the number of consecutive dials that the member has rejected. Before nextDialAt (milliseconds) no
	// further dial is made for a tenant.
	rejections  int
	nextDialAt  float64
	fastestDial float64 // duration of the fastest successful dial in milliseconds, 0 for none
}

// recordOpened counts a connection of a tenant when its dial starts.
func (p *connPool) recordOpened(tenant string) {
	p.open++
	if p.openByTenant == nil {
		p.openByTenant = map[string]int{}
	}
	p.openByTenant[tenant]++
}

// recordClosed stops counting a connection of a tenant when it is closed or its dial has failed.
func (p *connPool) recordClosed(tenant string) {
	p.open--
	if p.openByTenant[tenant] > 1 {
		p.openByTenant[tenant]--
	} else {
		delete(p.openByTenant, tenant)
	}
}

// hasIdle reports whether the pool has an idle connection of the tenant.
func (p *connPool) hasIdle(tenant string) bool {
	return slices.ContainsFunc(p.idle, func(c *memberConn) bool { return c.tenant == tenant })
}

// takeIdle removes and returns an idle connection of the tenant, which must exist: the most recently used one whose
// variables have the hash, else the most recently used one.
func (p *connPool) takeIdle(tenant string, valuesHash uint64) *memberConn {
	chosen := -1
	for i := len(p.idle) - 1; i >= 0; i-- {
		if p.idle[i].tenant != tenant {
			continue
		}
		if p.idle[i].state.ValuesHash() == valuesHash {
			chosen = i
			break
		}
		if chosen < 0 {
			chosen = i
		}
	}
	c := p.idle[chosen]
	p.idle = slices.Delete(p.idle, chosen, chosen+1)
	return c
}

// putIdle adds a connection that is no longer in use.
func (p *connPool) putIdle(conn *memberConn, now float64) {
	conn.idleSince = now
	p.idle = append(p.idle, conn)
}

// closeIdle closes all idle connections.
func (p *connPool) closeIdle() {
	for _, c := range p.idle {
		c.Close()
		p.recordClosed(c.tenant)
	}
	p.idle = nil
}

// closeExpired closes connections that have been idle for too long, but keeps at least minIdleConns. The only idle
// connection of a tenant is kept for longer, as requests of one tenant to one member through one proxy are rare, and
// evictForDial closes it if its capacity is needed.
func (p *connPool) closeExpired(now float64) {
	for i := 0; i < len(p.idle) && len(p.idle) > minIdleConns; {
		c := p.idle[i]
		limit := maxIdleTime
		if p.countIdle(c.tenant) == 1 {
			limit = maxTenantLastIdleTime
		}
		if now-c.idleSince > milliseconds(limit) {
			p.closeIdleAt(i)
		} else {
			i++
		}
	}
}

func (p *connPool) countIdle(tenant string) (n int) {
	for _, c := range p.idle {
		if c.tenant == tenant {
			n++
		}
	}
	return n
}

// closeIdleAt closes the idle connection with the given index; index 0 is the longest idle one.
func (p *connPool) closeIdleAt(i int) {
	p.recordClosed(p.idle[i].tenant)
	p.idle[i].Close()
	p.idle = slices.Delete(p.idle, i, i+1)
}

func (g *memberGroup) pool(id string) *connPool {
	p := g.pools[id]
	if p == nil {
		p = &connPool{}
		g.pools[id] = p
	}
	return p
}

// closeIdle closes the idle connections to a member that drains or was removed.
func (g *memberGroup) closeIdle(id string) {
	if p := g.pools[id]; p != nil {
		p.closeIdle()
		g.dropUnusedPool(id, math.Inf(1))
	}
}

// dropUnusedPool deletes a pool without connections, unless its dials are delayed until after now.
func (g *memberGroup) dropUnusedPool(id string, now float64) {
	if p := g.pools[id]; p != nil && p.open <= 0 && len(p.idle) == 0 && p.nextDialAt <= now {
		delete(g.pools, id)
	}
}

// connShare returns how many connections this proxy may have to one member of the group. All drivers share nine tenths
// of the member's limit equally; the rest is a reserve, as drivers may know different numbers of drivers for a while.
func (r *router) connShare(grp *memberGroup) int {
	if grp.maxConns == 0 {
		return defaultConnShare
	}
	return max((grp.maxConns-grp.maxConns/10)/r.assumedDriverCount(), minConnShare)
}

// availability returns a function that reports whether a connection to a member is idle, or may be dialled, for the
// request that dispatch is routing.
func (r *router) availability(grp *memberGroup, now float64) func(*group.Member) bool {
	share, drivers := r.connShare(grp), r.assumedDriverCount()
	return func(m *group.Member) bool {
		p := grp.pools[m.ID]
		return p == nil || p.hasIdle(grp.dispatching.tenant) ||
			p.dialing < maxConcurrentDials(grp.dispatching, drivers) && p.mayDial(grp.dispatching, share, now)
	}
}

// dial starts a dial for a tenant. The connection serves the tenant's first queued request at the time when it is
// established. The dial has a timeout of its own: with the deadline of the oldest request, which has the least time
// left, no connection would ever be established under a long queue.
func (r *router) dial(grp *memberGroup, member *group.Member, tenant string) {
	p := grp.pool(member.ID)
	p.recordOpened(tenant)
	p.dialing++
	record, startedAt := member.Member, r.proxy.now()
	go func() {
		c, err := dialMember(record, tenant, time.Now().Add(dialTimeout))
		r.do(func() { r.handleDialResult(grp, member, tenant, c, err, startedAt) })
	}()
}

// handleDialResult processes the result of a dial.
func (r *router) handleDialResult(grp *memberGroup, member *group.Member, tenant string, conn *memberConn, err error,
	startedAt float64) {
	p := grp.pool(member.ID)
	p.dialing--
	rejected := errors.Is(err, memberconn.ErrAttachRejected) // the member is up but has no capacity
	for _, request := range grp.queue.waiting {
		if request.dialing != member.ID {
			continue
		}
		request.dialing = ""
		if rejected && !request.requirement.Write && !request.requirement.Linearizable {
			request.avoidMember(member.ID)
		}
	}
	switch {
	case err == nil:
		p.paceDials(r.proxy.now(), startedAt, r.assumedDriverCount())
		r.poolOrClose(grp, member, conn)
	case rejected:
		p.recordClosed(tenant)
		if tenant != "" {
			p.backOffDials(r.proxy.now())
		}
	default:
		p.recordClosed(tenant)
		grp.metrics.outcomes[group.ConnectFailed]++
		grp.routing.RecordOutcome(member, startedAt, r.proxy.now(), group.ConnectFailed, wire.Position{})
		r.logSlot(grp)
	}
	if rejected && p.open <= p.dialing {
		time.AfterFunc(rejectedDialBackoff, func() { r.do(func() { r.dispatch(grp) }) })
		return
	}
	r.dispatch(grp)
}

// poolOrClose adds a connection to the pool of its member, or closes it if the pool may not keep it.
func (r *router) poolOrClose(grp *memberGroup, member *group.Member, conn *memberConn) {
	p := grp.pool(member.ID)
	removed := member.Tombstone || grp.routing.Members[member.ID] != member
	if removed || member.Draining || p.open > r.connShare(grp) || !conn.Reusable() {
		conn.Close()
		p.recordClosed(conn.tenant)
		return
	}
	p.putIdle(conn, r.proxy.now())
}

// warmUp makes a first connection to the group's primary and to its nearest replica, so that the first requests of a
// process don't all wait for a dial. With tenants it makes none, as the tenants of the first requests are not known.
func (r *router) warmUp(grp *memberGroup) {
	if r.proxy.tenantsInForce(r.config) {
		return
	}
	primary := grp.routing.Primary()
	var nearest *group.Member
	for _, m := range grp.routing.Members {
		if m != primary && !m.Draining && (nearest == nil || m.Nearer(nearest)) {
			nearest = m
		}
	}
	for _, m := range []*group.Member{primary, nearest} {
		if m == nil || grp.pools[m.ID] != nil && grp.pools[m.ID].open > 0 {
			continue
		}
		r.dial(grp, m, "")
	}
}
