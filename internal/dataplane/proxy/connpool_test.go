package proxy

import (
	"net"
	"testing"

	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
)

// newIdlePool returns a pool with an idle connection for each of the values, in order. On each connection the session
// variable v has that value.
func newIdlePool(t *testing.T, values ...string) (*connPool, []*memberConn) {
	t.Helper()
	pool := &connPool{}
	var conns []*memberConn
	for i, value := range values {
		proxyEnd, memberEnd := net.Pipe()
		t.Cleanup(func() { proxyEnd.Close(); memberEnd.Close() })
		conn := &memberConn{Conn: &memberconn.Conn{NetConn: proxyEnd, Reader: wire.NewReader(proxyEnd)}}
		conn.state.Sync(sessionWith(value), nil)
		pool.open++
		pool.putIdle(conn, float64(1000*i))
		conns = append(conns, conn)
	}
	return pool, conns
}

func sessionWith(value string) *sessionstate.Session {
	s := &sessionstate.Session{}
	s.SetValue("v", value)
	return s
}

func TestPoolPrefersConnectionsWithTheSessionsValues(t *testing.T) {
	for _, c := range []struct {
		name, value string
		want        int
	}{
		{"the newest of two that hold them", "x", 2},
		{"the only one that holds them", "y", 1},
		{"the newest, where none holds them", "z", 3},
	} {
		t.Run(c.name, func(t *testing.T) {
			pool, conns := newIdlePool(t, "x", "y", "x", "w")
			if got := pool.takeIdle("", sessionWith(c.value).ValuesHash()); got != conns[c.want] {
				t.Errorf("got another connection than number %d", c.want)
			}
			if len(pool.idle) != 3 || pool.open != 4 {
				t.Errorf("%d idle of %d open, want 3 of 4", len(pool.idle), pool.open)
			}
		})
	}
}

func TestPoolKeepsTheMinimumOfExpiredConnections(t *testing.T) {
	pool, conns := newIdlePool(t, "a", "b", "c", "d") // idle since 0, 1000, 2000 and 3000 ms
	pool.closeExpired(4000)
	if len(pool.idle) != 4 {
		t.Fatalf("%d connections left, want all 4, as none has expired", len(pool.idle))
	}
	pool.closeExpired(5500)
	if len(pool.idle) != 2 || pool.idle[0] != conns[2] || pool.open != 2 {
		t.Fatalf("%d idle of %d open, want the two newest", len(pool.idle), pool.open)
	}
	pool.closeExpired(60000)
	if len(pool.idle) != minIdleConns {
		t.Errorf("%d connections left, want %d", len(pool.idle), minIdleConns)
	}
}

func TestWaitQueueKeepsItsOrderAndBound(t *testing.T) {
	q := waitQueue[int]{max: 4}
	for i := range 6 {
		if got, want := q.push(i), i < 4; got != want {
			t.Errorf("push of %d: %v, want %v", i, got, want)
		}
	}
	var visited []int
	q.removeIf(func(i int) bool {
		visited = append(visited, i)
		return i%2 == 0
	})
	if len(visited) != 4 || q.len() != 2 || q.waiting[0] != 1 || q.waiting[1] != 3 {
		t.Errorf("removeIf visited %v and left %v, want all 4 visited and 1, 3 left", visited, q.waiting)
	}
}
