package proxy

import (
	"net"
	"testing"
	"time"

	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
	"weirwind/internal/util/events"
	"weirwind/internal/util/settings"
)

// poolFixture is a router without a goroutine, whose methods the test calls itself, and a group with a primary.
type poolFixture struct {
	t       *testing.T
	router  *router
	group   *memberGroup
	primary *group.Member
}

func newPoolFixture(t *testing.T, maxConns int) *poolFixture {
	p := newProxy(t.Context(), &settings.Settings{Zone: "z"}, events.Discard())
	p.startedAt = time.Now().Add(-time.Minute)
	g := p.router.group("s")
	g.maxConns = maxConns
	g.routing.UpdateMember(directory.Member{ID: "a", Service: "s", Zone: "z", Role: directory.RolePrimary, Incarnation: 1,
		Seq: 1}, p.now())
	return &poolFixture{t: t, router: p.router, group: g, primary: g.routing.Members["a"]}
}

// newConn creates a connection of a tenant and counts it as open in the pool. On it the session variable v has the value.
func (f *poolFixture) newConn(tenant string, value string) *memberConn {
	proxyEnd, memberEnd := net.Pipe()
	f.t.Cleanup(func() { proxyEnd.Close(); memberEnd.Close() })
	c := &memberConn{Conn: &memberconn.Conn{NetConn: proxyEnd, Reader: wire.NewReader(proxyEnd)}, tenant: tenant}
	c.state.Sync(sessionWith(value), nil)
	f.group.pool("a").recordOpened(tenant)
	return c
}

// addIdle creates a connection of a tenant and adds it to the pool as idle.
func (f *poolFixture) addIdle(tenant, value string) *memberConn {
	c := f.newConn(tenant, value)
	f.router.poolOrClose(f.group, f.primary, c)
	return c
}

// enqueue requests a connection for a tenant.
func (f *poolFixture) enqueue(tenant string) *connRequest {
	now := f.router.proxy.now()
	request := &connRequest{tenant: tenant, requirement: group.Requirement{Write: true}, startedAt: now,
		deadline: now + 5000, valuesHash: (&sessionstate.Session{}).ValuesHash(), reply: make(chan connCheckout, 1)}
	f.router.enqueue("s", request)
	return request
}

// receivedConn returns the connection that a request was answered with, nil for none yet.
func (f *poolFixture) receivedConn(request *connRequest) *connCheckout {
	select {
	case c := <-request.reply:
		if c.err != nil {
			f.t.Fatal(c.err)
		}
		return &c
	default:
		return nil
	}
}

func (f *poolFixture) expectCounts(idle, open, dialing int) {
	f.t.Helper()
	if p := f.group.pool("a"); len(p.idle) != idle || p.open != open || p.dialing != dialing {
		f.t.Errorf("%d idle, %d open, %d dialing; want %d, %d, %d", len(p.idle), p.open, p.dialing, idle, open, dialing)
	}
}

// dialedConn returns the connection of a successful dial, which is already counted as open.
func (f *poolFixture) dialedConn(tenant string) *memberConn {
	c := f.newConn(tenant, "")
	f.group.pool("a").recordClosed(tenant)
	return c
}

// completeDial lets the dial for a request succeed.
func (f *poolFixture) completeDial(request *connRequest) {
	f.t.Helper()
	if request.dialing != "a" {
		f.t.Fatal("no dial is in progress for the request")
	}
	f.router.handleDialResult(f.group, f.primary, request.tenant, f.dialedConn(request.tenant), nil, f.router.proxy.now())
}

// A connection that was dialled for one tenant must not serve another one.
func TestConnectionsServeOnlyTheirTenant(t *testing.T) {
	f := newPoolFixture(t, 10)
	f.addIdle("north", "")
	south := f.addIdle("south", "")
	if c := f.receivedConn(f.enqueue("south")); c == nil || c.conn != south {
		t.Errorf("got %v, want the tenant's idle connection", c)
	}
	waiting := f.enqueue("south")
	if f.receivedConn(waiting) != nil {
		t.Error("the request got another tenant's connection")
	}
	f.expectCounts(1, 3, 1) // one idle, one checked out, one in a dial
	f.completeDial(waiting)
	if c := f.receivedConn(waiting); c == nil || c.conn.tenant != "south" {
		t.Errorf("got %v, want the new connection", c)
	}
}

func TestPoolPrefersTheSessionsValuesWithinATenant(t *testing.T) {
	f := newPoolFixture(t, 10)
	f.addIdle("north", "x")
	want := f.addIdle("south", "x")
	f.addIdle("south", "y")
	f.addIdle("north", "x")
	if got := f.group.pool("a").takeIdle("south", sessionWith("x").ValuesHash()); got != want {
		t.Error("got another connection than the tenant's one with the same variables")
	}
	if got := f.group.pool("a").takeIdle("north", sessionWith("z").ValuesHash()); got.tenant != "north" {
		t.Error("got another tenant's connection")
	}
}

// When the pool has reached its share, a request of another tenant evicts the longest idle connection.
func TestIdleConnectionsOfOtherTenantsAreEvicted(t *testing.T) {
	f := newPoolFixture(t, 4) // a share of 4
	oldest := f.addIdle("north", "")
	for range 3 {
		f.addIdle("north", "")
	}
	south := f.enqueue("south")
	f.expectCounts(3, 4, 1)
	if oldest.NetConn.SetDeadline(time.Now()) == nil {
		t.Error("the longest idle connection is still open")
	}
	f.completeDial(south)
	if f.receivedConn(south) == nil {
		t.Error("the request of the other tenant still waits")
	}
	f.expectCounts(3, 4, 0)
}

// When additional drivers have lowered the share of a pool below its open connections, a dial must evict several of them.
// Otherwise the new connection is closed on arrival as one too many.
func TestDialAboveTheShareEvictsSeveralConnections(t *testing.T) {
	f := newPoolFixture(t, 8)
	for range 5 {
		f.addIdle("north", "")
	}
	f.router.driverCount = 4 // a share of 2
	south := f.enqueue("south")
	f.expectCounts(1, 2, 1)
	f.completeDial(south)
	if f.receivedConn(south) == nil {
		t.Error("the request of the other tenant still waits")
	}
}

// When all connections are checked out, the first one that is returned serves the oldest request, whatever its tenant.
func TestWaitingTenantsAreServedInOrder(t *testing.T) {
	f := newPoolFixture(t, 2) // a share of 2
	f.addIdle("north", "")
	f.addIdle("north", "")
	first, second := f.receivedConn(f.enqueue("north")), f.receivedConn(f.enqueue("north"))
	south, north := f.enqueue("south"), f.enqueue("north")
	f.expectCounts(0, 2, 0)
	f.router.checkIn(first, true)
	if f.receivedConn(north) != nil {
		t.Error("the later request was served first")
	}
	f.expectCounts(0, 2, 1)
	f.completeDial(south)
	if f.receivedConn(south) == nil {
		t.Error("the first request still waits")
	}
	f.router.checkIn(second, true)
	if f.receivedConn(north) == nil {
		t.Error("the second request still waits")
	}
}

// Idle connections of other tenants must not raise the number of concurrent dials above the driver's limit.
func TestConcurrentDialsForTenantsAreLimited(t *testing.T) {
	f := newPoolFixture(t, 1000)
	f.router.driverCount = 12 // two concurrent dials each
	for range 3 {
		f.addIdle("north", "")
	}
	for range 4 {
		f.enqueue("south")
	}
	f.expectCounts(3, 5, 2)
	f.router.driverCount = 82 // one concurrent dial each
	f.enqueue("east")
	f.expectCounts(3, 5, 2)
}

// The only idle connection of a tenant is kept for longer than further ones of a tenant with several.
func TestLastIdleConnectionOfATenantIsKeptLonger(t *testing.T) {
	f := newPoolFixture(t, 10)
	pool := f.group.pool("a")
	for i, tenant := range []string{"north", "south", "north", "east"} {
		pool.putIdle(f.newConn(tenant, ""), float64(1000*i))
	}
	pool.closeExpired(9000)
	f.expectCounts(3, 3, 0)
	if !pool.hasIdle("north") || !pool.hasIdle("south") || !pool.hasIdle("east") {
		t.Error("a tenant has no connection left")
	}
	pool.closeExpired(1001 + milliseconds(maxTenantLastIdleTime))
	f.expectCounts(2, 2, 0)
	if pool.hasIdle("south") {
		t.Error("the longest idle connection is still open")
	}
	pool.closeExpired(10 * milliseconds(maxTenantLastIdleTime))
	f.expectCounts(minIdleConns, minIdleConns, 0)
}

// Tenants with similar numbers of connections must not evict each other's connections in turns, as each new connection
// delays the member.
func TestEvictionRequiresAnImbalance(t *testing.T) {
	for _, c := range []struct {
		name         string
		north, south int // numbers of connections: those of north are idle, those of south checked out
		waited       float64
		want         bool // one connection of north may be evicted
	}{
		{"south has none", 1, 0, 0, true},
		{"one more than south", 2, 1, 0, false},
		{"two more than south", 3, 1, 0, true},
		{"fewer than south", 1, 3, 0, false},
		{"fewer than south, whose request has waited", 1, 3, maxWaitForOwnConn, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPoolFixture(t, 100)
			for range c.north {
				f.addIdle("north", "")
			}
			for range c.south {
				f.newConn("south", "")
			}
			pool, share := f.group.pool("a"), c.north+c.south
			request := &connRequest{tenant: "south", startedAt: 1000}
			if got := pool.mayDial(request, share, 1000+c.waited); got != c.want {
				t.Errorf("mayDial: %v, want %v", got, c.want)
			}
			if !pool.mayDial(request, share+1, 1000) {
				t.Error("mayDial: false below the share")
			}
		})
	}
}

// The longest idle connection of a tenant with several is evicted before that of a tenant with a single one.
func TestEvictionPrefersTenantsWithMoreConnections(t *testing.T) {
	f := newPoolFixture(t, 100)
	f.addIdle("east", "")
	want := f.addIdle("north", "")
	f.addIdle("north", "")
	f.group.pool("a").evictForDial(&connRequest{tenant: "south"}, 3, 1000)
	f.expectCounts(2, 2, 0)
	if want.NetConn.SetDeadline(time.Now()) == nil {
		t.Error("the expected connection is still open")
	}
}

// Dials that a full member rejects must back off: when every proxy repeated them at once, the member was too busy with
// dials to serve any.
func TestRejectedDialsBackOff(t *testing.T) {
	f := newPoolFixture(t, 100)
	pool, request := f.group.pool("a"), &connRequest{tenant: "south"}
	now, backoff := 1000.0, milliseconds(rejectedDialBackoff)
	for range 8 {
		pool.backOffDials(now)
		if pool.mayDial(request, 10, now+backoff/2-1) || !pool.mayDial(request, 10, now+backoff*3/2) {
			t.Errorf("the next dial may start %v ms after the rejection, want %v to %v", pool.nextDialAt-now, backoff/2, backoff*3/2)
		}
		if !pool.mayDial(&connRequest{}, 10, now) {
			t.Error("a request without a tenant is delayed")
		}
		backoff = min(2*backoff, milliseconds(rejectedDialBackoff)*(1<<maxBackoffDoublings))
	}
	pool.recordOpened("south")
	pool.dialing++
	f.router.handleDialResult(f.group, f.primary, "south", f.dialedConn("south"), nil, now)
	if pool.rejections != 0 {
		t.Error("the count of rejections is not reset by a success")
	}
}

func TestMaxConcurrentDials(t *testing.T) {
	for drivers, want := range map[int][2]int{1: {24, 24}, 6: {4, 4}, 12: {2, 2}, 82: {2, 1}} {
		got := [2]int{maxConcurrentDials(&connRequest{}, drivers), maxConcurrentDials(&connRequest{tenant: "north"}, drivers)}
		if got != want {
			t.Errorf("%d drivers: %v without and with a tenant, want %v", drivers, got, want)
		}
	}
}

// In a pool with more connections checked out than its share no dial may start, as the new connection would be closed on
// arrival.
func TestNoDialWhileMoreThanTheShareAreCheckedOut(t *testing.T) {
	f := newPoolFixture(t, 100)
	for range 3 {
		f.newConn("north", "")
	}
	f.addIdle("north", "")
	if f.group.pool("a").mayDial(&connRequest{tenant: "south"}, 3, 1000) {
		t.Error("mayDial: true")
	}
}

// A dial that a full member rejects is no longer counted as an open connection, and the next dial waits for the backoff.
func TestRejectedDialIsNoLongerCounted(t *testing.T) {
	f := newPoolFixture(t, 100)
	f.router.driverCount = 82
	f.addIdle("north", "")
	south := f.enqueue("south")
	f.expectCounts(1, 2, 1)
	f.router.handleDialResult(f.group, f.primary, "south", nil, memberconn.ErrAttachRejected, f.router.proxy.now())
	f.expectCounts(1, 1, 0)
	if south.dialing != "" || f.group.pool("a").openByTenant["south"] != 0 {
		t.Error("the dial is still counted, or was repeated at once")
	}
}

// The longer a dial takes, the longer each of many drivers waits before its next dial.
func TestDialsArePacedByTheirDuration(t *testing.T) {
	f := newPoolFixture(t, 100)
	pool := f.group.pool("a")
	for _, c := range []struct {
		duration float64
		drivers  int
		min, max float64 // of the delay before the next dial
	}{
		{70, 96, 0, 0}, // the first dial is the fastest
		{70, 96, 0, 0},
		{170, 96, 150, 450}, // 100 ms longer than the fastest; 96 drivers are four times maxMemberDials
		{170, maxMemberDials, 0, 0},
		{50, 96, 0, 0},
		{70, 96, 30, 90},
	} {
		pool.rejections = 3
		pool.paceDials(5000, 5000-c.duration, c.drivers)
		if delay := pool.nextDialAt - 5000; delay < c.min || delay > c.max || pool.rejections != 0 {
			t.Errorf("dial of %v ms, %d drivers: a delay of %v ms, want %v to %v", c.duration, c.drivers, delay, c.min, c.max)
		}
	}
}

// The backoff of a member must outlive the last connection to it. When it was dropped with the empty pool, the proxy
// dialled the member at each tick.
func TestEmptyPoolKeepsItsBackoff(t *testing.T) {
	f := newPoolFixture(t, 100)
	f.group.pool("a").backOffDials(1000)
	f.group.dropUnusedPool("a", 1001)
	if f.group.pools["a"] == nil {
		t.Error("the pool was deleted before the end of the backoff")
	}
	f.group.dropUnusedPool("a", 9000)
	if f.group.pools["a"] != nil {
		t.Error("the unused pool was not deleted")
	}
	f.group.pool("a").backOffDials(1000)
	f.group.closeIdle("a") // as if the member were removed
	if f.group.pools["a"] != nil {
		t.Error("the pool of a removed member was not deleted")
	}
}
