package proxy

import (
	"net"
	"testing"

	"weirwind/internal/dataplane/sessionstate"
	"weirwind/internal/member/memberconn"
	"weirwind/internal/member/wire"
)

// poolOf returns a pool of idle connections, each of which holds one value: those given, in order.
func poolOf(t *testing.T, values ...string) (*connPool, []*memberConn) {
	t.Helper()
	pool := &connPool{}
	var conns []*memberConn
	for i, value := range values {
		here, there := net.Pipe()
		t.Cleanup(func() { here.Close(); there.Close() })
		c := &memberConn{Conn: &memberconn.Conn{NetConn: here, Reader: wire.NewReader(here)}}
		c.state.Sync(sessionWith(value), nil)
		pool.open++
		pool.putIdle(c, float64(1000*i))
		conns = append(conns, c)
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
			pool, conns := poolOf(t, "x", "y", "x", "w")
			if got := pool.takeIdle("", sessionWith(c.value).ValuesHash()); got != conns[c.want] {
				t.Errorf("another connection than number %d", c.want)
			}
			if len(pool.idle) != 3 || pool.open != 4 {
				t.Errorf("%d idle of %d open", len(pool.idle), pool.open)
			}
		})
	}
}

func TestPoolClosesExpiredConnectionsButAFew(t *testing.T) {
	pool, conns := poolOf(t, "a", "b", "c", "d") // idle since 0, 1000, 2000 and 3000 ms
	pool.closeExpired(4000)
	if len(pool.idle) != 4 {
		t.Fatalf("%d are left, none was idle for too long", len(pool.idle))
	}
	pool.closeExpired(5500)
	if len(pool.idle) != 2 || pool.idle[0] != conns[2] || pool.open != 2 {
		t.Fatalf("%d idle of %d open, want the two newest", len(pool.idle), pool.open)
	}
	pool.closeExpired(60000)
	if len(pool.idle) != minIdleConns {
		t.Errorf("%d are left, want %d", len(pool.idle), minIdleConns)
	}
}

func TestWaitQueueKeepsItsOrderAndBound(t *testing.T) {
	q := waitQueue[int]{max: 4}
	for i := range 6 {
		if got, want := q.push(i), i < 4; got != want {
			t.Errorf("push of %d: %v", i, got)
		}
	}
	var seen []int
	q.removeIf(func(i int) bool {
		seen = append(seen, i)
		return i%2 == 0
	})
	if len(seen) != 4 || q.len() != 2 || q.waiting[0] != 1 || q.waiting[1] != 3 {
		t.Errorf("saw %v, left %v", seen, q.waiting)
	}
}
