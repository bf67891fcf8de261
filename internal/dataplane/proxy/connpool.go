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
	probeTimeout = 500 * time.Millisecond

	defaultShare = 64 // connections to a member while no configuration bounds them
	minShare     = 2
	// Dials that all drivers together make to a member at a time: each takes a slot of the member for a while, and all
	// drivers come at once when it starts.
	maxDials          = 24
	minDialsPerDriver = 2

	minIdleConns = 2 // of a member, kept however long they are idle
	maxIdleTime  = 4 * time.Second

	maxLastIdleTime = 60 * time.Second // of the only idle connection of a tenant to a member

	// A member that rejected a connection for want of capacity is not dialled again at once if this proxy has none
	// there, as other drivers have to close theirs first.
	rejectedDialBackoff = 40 * time.Millisecond
)

// memberConn is a connection to a member, with the session state that it holds. A session that has checked it out
// owns it; while it is idle, its pool does.
type memberConn struct {
	*memberconn.Conn
	tenant    string // in whose name it is attached, "" for none; it serves no other
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

// queryStatus sends a member a health check, over a connection of its own.
func queryStatus(record directory.Member) (wire.MemberStatus, error) {
	deadline := time.Now().Add(probeTimeout)
	c, _, err := memberconn.Dial(record, deadline)
	if err != nil {
		return wire.MemberStatus{}, err
	}
	defer c.Close()
	return c.QueryStatus("STAT", deadline)
}

// connPool is this proxy's connections to one member.
//
// open counts all of them: len(idle) idle ones, dialing ones that are being made, and those that are checked out.
// Each has its place in open from the start of its dial until it is closed.
type connPool struct {
	idle    []*memberConn // the longest idle first; all are reusable
	open    int
	dialing int

	openByTenant map[string]int // the same as open, by the tenant that each is for; nil: none was opened
	// rejections is how many dials the member has rejected in a row. Until dialAfter (milliseconds) no further one is made
	// for a tenant.
	rejections  int
	dialAfter   float64
	fastestDial float64 // milliseconds; 0: none has succeeded
}

// opened counts a connection for a tenant, from the start of its dial.
func (p *connPool) opened(tenant string) {
	p.open++
	if p.openByTenant == nil {
		p.openByTenant = map[string]int{}
	}
	p.openByTenant[tenant]++
}

// closed counts a connection for a tenant that has ended, or that was not made.
func (p *connPool) closed(tenant string) {
	p.open--
	if p.openByTenant[tenant] > 1 {
		p.openByTenant[tenant]--
	} else {
		delete(p.openByTenant, tenant)
	}
}

// hasIdle reports whether a connection of the tenant is idle.
func (p *connPool) hasIdle(tenant string) bool {
	return slices.ContainsFunc(p.idle, func(c *memberConn) bool { return c.tenant == tenant })
}

// take removes an idle connection of the tenant, of which there must be one: the newest that holds values of the hash,
// else the newest.
func (p *connPool) take(tenant string, valuesHash uint64) *memberConn {
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

// put adds a connection that is no longer in use.
func (p *connPool) put(conn *memberConn, now float64) {
	conn.idleSince = now
	p.idle = append(p.idle, conn)
}

// closeIdle closes all idle connections.
func (p *connPool) closeIdle() {
	for _, c := range p.idle {
		c.Close()
		p.closed(c.tenant)
	}
	p.idle = nil
}

// closeExpired closes connections that were idle for too long, but keeps a few, and each tenant's last for longer: a
// tenant returns seldom to one member over one proxy, and where its place is needed, dial takes it.
func (p *connPool) closeExpired(now float64) {
	for i := 0; i < len(p.idle) && len(p.idle) > minIdleConns; {
		c := p.idle[i]
		allowed := maxIdleTime
		if p.countIdle(c.tenant) == 1 {
			allowed = maxLastIdleTime
		}
		if now-c.idleSince > milliseconds(allowed) {
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

// closeIdleAt closes an idle connection by its index; 0 is the one that has been idle for longest.
func (p *connPool) closeIdleAt(i int) {
	p.closed(p.idle[i].tenant)
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

// closeIdle closes a member's idle connections, as it drains or was removed.
func (g *memberGroup) closeIdle(id string) {
	if p := g.pools[id]; p != nil {
		p.closeIdle()
		g.dropUnusedPool(id, math.Inf(1))
	}
}

// dropUnusedPool forgets a pool without connections, but not while it holds dials back.
func (g *memberGroup) dropUnusedPool(id string, now float64) {
	if p := g.pools[id]; p != nil && p.open <= 0 && len(p.idle) == 0 && p.dialAfter <= now {
		delete(g.pools, id)
	}
}

// connShare is how many connections this proxy may have to one member of the group: its part of nine tenths of what
// the member takes, as the drivers don't see the same number of drivers at all times.
func (r *router) connShare(grp *memberGroup) int {
	if grp.maxConns == 0 {
		return defaultShare
	}
	return max((grp.maxConns-grp.maxConns/10)/r.drivers(), minShare)
}

// availability returns a function that says whether a connection to a member is idle, or may be made, for the request
// that dispatch routes at the time.
func (r *router) availability(grp *memberGroup, now float64) func(*group.Member) bool {
	share, drivers := r.connShare(grp), r.drivers()
	return func(m *group.Member) bool {
		p := grp.pools[m.ID]
		return p == nil || p.hasIdle(grp.routed.tenant) ||
			p.dialing < dialsAtATime(grp.routed, drivers) && p.hasPlace(grp.routed, share, now)
	}
}

// dial makes a connection for a tenant, which goes to whichever request of that tenant is next once it is established.
// It has a deadline of its own: bound to that of the oldest request, which has the least time left, no connection would
// ever be established while many wait.
func (r *router) dial(grp *memberGroup, member *group.Member, tenant string) {
	p := grp.pool(member.ID)
	p.opened(tenant)
	p.dialing++
	record, startedAt := member.Member, r.proxy.now()
	go func() {
		c, err := dialMember(record, tenant, time.Now().Add(dialTimeout))
		r.do(func() { r.dialed(grp, member, tenant, c, err, startedAt) })
	}()
}

// dialed takes the result of a dial.
func (r *router) dialed(grp *memberGroup, member *group.Member, tenant string, conn *memberConn, err error,
	startedAt float64) {
	p := grp.pool(member.ID)
	p.dialing--
	rejected := errors.Is(err, memberconn.ErrAttachRejected) // the member is there, and has no capacity
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
		p.pace(r.proxy.now(), startedAt, r.drivers())
		r.keep(grp, member, conn)
	case rejected:
		p.closed(tenant)
		if tenant != "" {
			p.backOff(r.proxy.now())
		}
	default:
		p.closed(tenant)
		grp.figures.outcomes[group.ConnectFailed]++
		grp.routing.RecordOutcome(member, startedAt, r.proxy.now(), group.ConnectFailed, wire.Position{})
		r.logSlot(grp)
	}
	if rejected && p.open <= p.dialing {
		time.AfterFunc(rejectedDialBackoff, func() { r.do(func() { r.dispatch(grp) }) })
		return
	}
	r.dispatch(grp)
}

// keep puts a connection into its member's pool, or closes it if the pool may not keep it.
func (r *router) keep(grp *memberGroup, member *group.Member, conn *memberConn) {
	p := grp.pool(member.ID)
	removed := member.Tombstone || grp.routing.Members[member.ID] != member
	if removed || member.Draining || p.open > r.connShare(grp) || !conn.Reusable() {
		conn.Close()
		p.closed(conn.tenant)
		return
	}
	p.put(conn, r.proxy.now())
}

// warmUp makes a first connection to a group's primary and to its nearest replica, so that the first requests of a
// process don't all wait for one at the same time. Where there are tenants it makes none, as nobody knows whose the
// first requests will be.
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
