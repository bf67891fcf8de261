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
	f.group.pool("a").open++
	return c
}

func (f *poolFixture) idle(tenant, value string) *memberConn {
	c := f.conn(tenant, value)
	f.router.keep(f.group, f.primary, c)
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

// dialed has the dial for a request succeed.
func (f *poolFixture) dialed(request *connRequest) {
	f.t.Helper()
	if request.dialing != "a" {
		f.t.Fatal("no connection is being made")
	}
	c := f.conn(request.tenant, "")
	f.group.pool("a").open-- // its place is that of the dial
	f.router.dialed(f.group, f.primary, c, nil, f.router.proxy.now())
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
	if got := f.group.pool("a").take("south", sessionWith("x").ValuesHash()); got != want {
		t.Error("another connection than the tenant's with the values")
	}
	if got := f.group.pool("a").take("north", sessionWith("z").ValuesHash()); got.tenant != "north" {
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

// Above its share, which other drivers' coming has lowered, a pool closes as many as a dial needs: the connection that is
// made would be closed as one too many.
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
}

// A tenant's only idle connection to a member outlives what is kept of a busier one.
func TestEachTenantsLastConnectionIsKeptLonger(t *testing.T) {
	f := newPoolFixture(t, 10)
	pool := f.group.pool("a")
	for i, tenant := range []string{"north", "south", "north", "east"} {
		pool.put(f.conn(tenant, ""), float64(1000*i))
	}
	pool.closeExpired(9000)
	f.expect(3, 3, 0)
	if !pool.hasIdle("north") || !pool.hasIdle("south") || !pool.hasIdle("east") {
		t.Error("a tenant has none left")
	}
	pool.closeExpired(1001 + milliseconds(maxLastIdleTime))
	f.expect(2, 2, 0)
	if pool.hasIdle("south") {
		t.Error("the connection that was idle for longest is open")
	}
	pool.closeExpired(10 * milliseconds(maxLastIdleTime))
	f.expect(minIdleConns, minIdleConns, 0)
}
