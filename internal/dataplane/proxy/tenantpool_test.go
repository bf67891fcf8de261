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

// poolFixture is a router, run by the test itself, with a primary to which a few connections may be open.
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

// conn makes a connection of a tenant, which holds a place in the pool.
func (f *poolFixture) conn(tenant string, value string) *memberConn {
	here, there := net.Pipe()
	f.t.Cleanup(func() { here.Close(); there.Close() })
	c := &memberConn{Conn: &memberconn.Conn{NetConn: here, Reader: wire.NewReader(here)}, tenant: tenant}
	c.state.Sync(sessionWith(value), nil)
	f.group.pool("a").recordOpened(tenant)
	return c
}

func (f *poolFixture) idle(tenant, value string) *memberConn {
	c := f.conn(tenant, value)
	f.router.poolOrClose(f.group, f.primary, c)
	return c
}

// enqueue asks for a connection for a tenant.
func (f *poolFixture) enqueue(tenant string) *connRequest {
	now := f.router.proxy.now()
	request := &connRequest{tenant: tenant, requirement: group.Requirement{Write: true}, startedAt: now,
		deadline: now + 5000, valuesHash: (&sessionstate.Session{}).ValuesHash(), reply: make(chan lentConn, 1)}
	f.router.enqueue("s", request)
	return request
}

// lent gives the connection that a request was answered with, nil for none yet.
func (f *poolFixture) lent(request *connRequest) *lentConn {
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

func (f *poolFixture) expect(idle, open, dialing int) {
	f.t.Helper()
	if p := f.group.pool("a"); len(p.idle) != idle || p.open != open || p.dialing != dialing {
		f.t.Errorf("%d idle, %d open, %d dialing; want %d, %d, %d", len(p.idle), p.open, p.dialing, idle, open, dialing)
	}
}

// reopened makes a connection in the place that its dial holds.
func (f *poolFixture) reopened(tenant string) *memberConn {
	c := f.conn(tenant, "")
	f.group.pool("a").recordClosed(tenant)
	return c
}

// dialed has the dial for a request succeed.
func (f *poolFixture) dialed(request *connRequest) {
	f.t.Helper()
	if request.dialing != "a" {
		f.t.Fatal("no connection is being made")
	}
	f.router.handleDialResult(f.group, f.primary, request.tenant, f.reopened(request.tenant), nil, f.router.proxy.now())
}

// UNASKED: a connection that was made for one tenant served another.
func TestConnectionsServeTheirTenantAlone(t *testing.T) {
	f := newPoolFixture(t, 10)
	f.idle("north", "")
	south := f.idle("south", "")
	if c := f.lent(f.enqueue("south")); c == nil || c.conn != south {
		t.Errorf("lent %v, want the connection of the tenant", c)
	}
	waiting := f.enqueue("south")
	if f.lent(waiting) != nil {
		t.Error("another tenant's connection was lent")
	}
	f.expect(1, 3, 1) // one idle, one lent, one being made
	f.dialed(waiting)
	if c := f.lent(waiting); c == nil || c.conn.tenant != "south" {
		t.Errorf("lent %v, want the connection that was made", c)
	}
}

func TestPoolPrefersTheSessionsValuesWithinATenant(t *testing.T) {
	f := newPoolFixture(t, 10)
	f.idle("north", "x")
	want := f.idle("south", "x")
	f.idle("south", "y")
	f.idle("north", "x")
	if got := f.group.pool("a").takeIdle("south", sessionWith("x").ValuesHash()); got != want {
		t.Error("another connection than the tenant's with the values")
	}
	if got := f.group.pool("a").takeIdle("north", sessionWith("z").ValuesHash()); got.tenant != "north" {
		t.Error("another tenant's connection")
	}
}

// A member without a free place serves a further tenant in the place of the connection that was idle for longest.
func TestIdleConnectionsOfOthersMakePlace(t *testing.T) {
	f := newPoolFixture(t, 4) // a share of 4
	oldest := f.idle("north", "")
	for range 3 {
		f.idle("north", "")
	}
	south := f.enqueue("south")
	f.expect(3, 4, 1)
	if oldest.NetConn.SetDeadline(time.Now()) == nil {
		t.Error("the connection that was idle for longest is open")
	}
	f.dialed(south)
	if f.lent(south) == nil {
		t.Error("the further tenant waits on")
	}
	f.expect(3, 4, 0)
}

// Above its share, which other drivers' coming has lowered, a pool closes as many as a dial needs: the connection that
// is made would be closed as one too many.
func TestADialAboveTheShareMakesPlaceForItself(t *testing.T) {
	f := newPoolFixture(t, 8)
	for range 5 {
		f.idle("north", "")
	}
	f.router.driverCount = 4 // a share of 2
	south := f.enqueue("south")
	f.expect(1, 2, 1)
	f.dialed(south)
	if f.lent(south) == nil {
		t.Error("the further tenant waits on")
	}
}

// Where all connections are lent, the one that comes back first serves the request that came first, whosever it is.
func TestWaitingTenantsAreServedInOrder(t *testing.T) {
	f := newPoolFixture(t, 2) // a share of 2
	f.idle("north", "")
	f.idle("north", "")
	first, second := f.lent(f.enqueue("north")), f.lent(f.enqueue("north"))
	south, north := f.enqueue("south"), f.enqueue("north")
	f.expect(0, 2, 0)
	f.router.checkIn(first, true)
	if f.lent(north) != nil {
		t.Error("the later request was served first")
	}
	f.expect(0, 2, 1)
	f.dialed(south)
	if f.lent(south) == nil {
		t.Error("the first request waits on")
	}
	f.router.checkIn(second, true)
	if f.lent(north) == nil {
		t.Error("the second request waits on")
	}
}

// Another tenant's idle connection is no reason for more dials at a time than the driver's part of them.
func TestDialsForTenantsAreBounded(t *testing.T) {
	f := newPoolFixture(t, 1000)
	f.router.driverCount = 12 // two dials each
	for range 3 {
		f.idle("north", "")
	}
	for range 4 {
		f.enqueue("south")
	}
	f.expect(3, 5, 2)
	f.router.driverCount = 82 // one
	f.enqueue("east")
	f.expect(3, 5, 2)
}

// A tenant's only idle connection to a member outlives what is kept of a busier one.
func TestEachTenantsLastConnectionIsKeptLonger(t *testing.T) {
	f := newPoolFixture(t, 10)
	pool := f.group.pool("a")
	for i, tenant := range []string{"north", "south", "north", "east"} {
		pool.putIdle(f.conn(tenant, ""), float64(1000*i))
	}
	pool.closeExpired(9000)
	f.expect(3, 3, 0)
	if !pool.hasIdle("north") || !pool.hasIdle("south") || !pool.hasIdle("east") {
		t.Error("a tenant has none left")
	}
	pool.closeExpired(1001 + milliseconds(maxTenantLastIdleTime))
	f.expect(2, 2, 0)
	if pool.hasIdle("south") {
		t.Error("the connection that was idle for longest is open")
	}
	pool.closeExpired(10 * milliseconds(maxTenantLastIdleTime))
	f.expect(minIdleConns, minIdleConns, 0)
}

// Tenants don't take each other's places in turns, as each new connection holds up the member.
func TestTenantsKeepABalanceOfPlaces(t *testing.T) {
	for _, c := range []struct {
		name         string
		north, south int // connections, all idle of north and all lent of south
		waited       float64
		want         bool // the place of one of north's is taken
	}{
		{"south has none", 1, 0, 0, true},
		{"one more than south", 2, 1, 0, false},
		{"two more than south", 3, 1, 0, true},
		{"fewer than south", 1, 3, 0, false},
		{"fewer than south, which has waited", 1, 3, maxWaitForOwnConn, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			f := newPoolFixture(t, 100)
			for range c.north {
				f.idle("north", "")
			}
			for range c.south {
				f.conn("south", "")
			}
			pool, share := f.group.pool("a"), c.north+c.south
			request := &connRequest{tenant: "south", startedAt: 1000}
			if got := pool.mayDial(request, share, 1000+c.waited); got != c.want {
				t.Errorf("hasPlace: %v", got)
			}
			if !pool.mayDial(request, share+1, 1000) {
				t.Error("a free place is not used")
			}
		})
	}
}

// A tenant with connections to spare gives its longest idle, before one with a single connection does.
func TestPlacesAreTakenFromTenantsWithMore(t *testing.T) {
	f := newPoolFixture(t, 100)
	f.idle("east", "")
	want := f.idle("north", "")
	f.idle("north", "")
	f.group.pool("a").evictForDial(&connRequest{tenant: "south"}, 3, 1000)
	f.expect(2, 2, 0)
	if want.NetConn.SetDeadline(time.Now()) == nil {
		t.Error("another connection was closed")
	}
}

// Dials that a full member rejected were repeated at once by every proxy, and it never came to serve them.
func TestRejectedDialsBackOff(t *testing.T) {
	f := newPoolFixture(t, 100)
	pool, request := f.group.pool("a"), &connRequest{tenant: "south"}
	now, pause := 1000.0, milliseconds(rejectedDialBackoff)
	for range 8 {
		pool.backOffDials(now)
		if pool.mayDial(request, 10, now+pause/2-1) || !pool.mayDial(request, 10, now+pause*3/2) {
			t.Errorf("the next dial is made %v ms after the rejection, want %v to %v", pool.nextDialAt-now, pause/2, pause*3/2)
		}
		if !pool.mayDial(&connRequest{}, 10, now) {
			t.Error("a request without a tenant waits")
		}
		pause = min(2*pause, milliseconds(rejectedDialBackoff)*(1<<maxBackoffDoublings))
	}
	pool.recordOpened("south")
	pool.dialing++
	f.router.handleDialResult(f.group, f.primary, "south", f.reopened("south"), nil, now)
	if pool.rejections != 0 {
		t.Error("rejections are counted on after a success")
	}
}

func TestDialsAtATime(t *testing.T) {
	for drivers, want := range map[int][2]int{1: {24, 24}, 6: {4, 4}, 12: {2, 2}, 82: {2, 1}} {
		got := [2]int{maxConcurrentDials(&connRequest{}, drivers), maxConcurrentDials(&connRequest{tenant: "north"}, drivers)}
		if got != want {
			t.Errorf("%d drivers: %v without and with a tenant, want %v", drivers, got, want)
		}
	}
}

// A pool of which more are lent than its share allows makes no place: the new connection would be closed on its
// arrival.
func TestNoPlaceWhileTooManyAreLent(t *testing.T) {
	f := newPoolFixture(t, 100)
	for range 3 {
		f.conn("north", "")
	}
	f.idle("north", "")
	if f.group.pool("a").mayDial(&connRequest{tenant: "south"}, 3, 1000) {
		t.Error("one more would be made")
	}
}

// A dial that a full member rejects gives its tenant's place back, and the next waits for the pause.
func TestARejectedDialGivesItsPlaceBack(t *testing.T) {
	f := newPoolFixture(t, 100)
	f.router.driverCount = 82
	f.idle("north", "")
	south := f.enqueue("south")
	f.expect(1, 2, 1)
	f.router.handleDialResult(f.group, f.primary, "south", nil, memberconn.ErrAttachRejected, f.router.proxy.now())
	f.expect(1, 1, 0)
	if south.dialing != "" || f.group.pool("a").openByTenant["south"] != 0 {
		t.Error("the place is held, or the dial is repeated at once")
	}
}

// The slower a member takes connections, the longer each of many drivers pauses between two.
func TestDialsArePacedByTheMembersDelay(t *testing.T) {
	f := newPoolFixture(t, 100)
	pool := f.group.pool("a")
	for _, c := range []struct {
		took     float64
		drivers  int
		min, max float64 // of the pause
	}{
		{70, 96, 0, 0}, // the first is the fastest
		{70, 96, 0, 0},
		{170, 96, 150, 450}, // 100 longer, 96 drivers are four times maxDials
		{170, maxMemberDials, 0, 0},
		{50, 96, 0, 0},
		{70, 96, 30, 90},
	} {
		pool.rejections = 3
		pool.paceDials(5000, 5000-c.took, c.drivers)
		if pause := pool.nextDialAt - 5000; pause < c.min || pause > c.max || pool.rejections != 0 {
			t.Errorf("a dial of %v ms, %d drivers: a pause of %v ms, want %v to %v", c.took, c.drivers, pause, c.min, c.max)
		}
	}
}

// A proxy without any connection to a member forgot that it was to wait, and dialled it at each tick.
func TestAnEmptyPoolHoldsDialsBack(t *testing.T) {
	f := newPoolFixture(t, 100)
	f.group.pool("a").backOffDials(1000)
	f.group.dropUnusedPool("a", 1001)
	if f.group.pools["a"] == nil {
		t.Error("the pause is forgotten")
	}
	f.group.dropUnusedPool("a", 9000)
	if f.group.pools["a"] != nil {
		t.Error("an unused pool is kept")
	}
	f.group.pool("a").backOffDials(1000)
	f.group.closeIdle("a") // the member leaves
	if f.group.pools["a"] != nil {
		t.Error("the pool of a member that leaves is kept")
	}
}
