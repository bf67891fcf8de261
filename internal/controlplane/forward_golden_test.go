package controlplane

import (
	"fmt"
	"net"
	"slices"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/controlmsg"
)

// testCluster is a core of three linked machines. Which of them is elected is not fixed, so the transcript has their
// roles.
type testCluster struct {
	servers []*Server
	conns   map[*Server][]net.Conn
	record  *transcript

	mu    sync.Mutex
	roles map[*Server]string
	drops func(from, to *Server, frame *controlmsg.Frame) bool // selects the frames to drop; nil for none
}

// setDrops sets which frames are dropped from now on.
func (c *testCluster) setDrops(drops func(from, to *Server, frame *controlmsg.Frame) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drops = drops
}

func (c *testCluster) dropped(from, to *Server, frame *controlmsg.Frame) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drops != nil && c.drops(from, to, frame)
}

func newTestCluster(t *testing.T, record *transcript) *testCluster {
	t.Helper()
	c := &testCluster{record: record, conns: map[*Server][]net.Conn{}}
	all := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	for _, controlAddr := range all {
		c.servers = append(c.servers, startServer(t, controlAddr, all, "", newTranscript()))
	}
	for _, from := range c.servers {
		for _, to := range c.servers {
			if from != to {
				c.connect(t, from, to)
			}
		}
	}
	return c
}

// connect makes the link that one server dials to another one.
func (c *testCluster) connect(t *testing.T, from, to *Server) {
	t.Helper()
	near, far := net.Pipe()
	core := from.cores.byAddr[from.settings.MeshAddr(to.settings.ControlAddr)]
	accepted := newPipeLink(t, far, func(l *link, f *controlmsg.Frame) {
		if c.dropped(from, to, f) {
			return
		}
		if f.Consensus == nil && f.Digest == nil && f.LeaseSync == nil { // these depend on the random election
			c.record.add(c.role(from)+" > "+c.role(to), c.describeFrame(f, from))
		}
		to.handleFrame(l, f)
	}, to.handleLinkDown)
	to.cores.recordHello(accepted, controlmsg.NewHello(kindCore, "", from.settings.ControlAddr).Hello)
	l := newPipeLink(t, near, from.handleFrame, func(l *link) {
		from.pending.failLink(l)
		from.cores.setDialled(core, nil)
		from.loop.offer(func() { from.loop.node.PeerDisconnected(to.settings.ControlAddr, from.now()) })
	})
	from.cores.setDialled(core, l)
	c.conns[from], c.conns[to] = append(c.conns[from], far), append(c.conns[to], far)
}

func (c *testCluster) role(srv *Server) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roles[srv]
}

// leaderFirst returns the running servers with the leader first, and assigns their roles.
func (c *testCluster) leaderFirst(t *testing.T, prefix string) []*Server {
	t.Helper()
	var all []*Server
	for _, srv := range c.servers {
		if srv.ctx.Err() != nil {
			continue
		}
		leads := make(chan bool, 1)
		srv.loop.offer(func() { leads <- srv.loop.established })
		if <-leads {
			all = slices.Insert(all, 0, srv)
		} else {
			all = append(all, srv)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roles = map[*Server]string{}
	for i, srv := range all {
		c.roles[srv] = prefix + []string{"leader", "second", "third"}[i]
	}
	return all
}

// describeFrame returns a frame's text. Request numbers, which start at the wall-clock time, and origins are replaced.
func (c *testCluster) describeFrame(f *controlmsg.Frame, from *Server) string {
	switch {
	case f.Request != nil:
		r := *f.Request
		r.Number, r.Origin = 1, c.role(from)
		f = &controlmsg.Frame{Request: &r}
	case f.Response != nil:
		r := *f.Response
		r.Number = 1
		f = &controlmsg.Frame{Response: &r}
	}
	raw, err := cbor.Marshal(f)
	if err != nil {
		return err.Error()
	}
	return frameText(raw)
}

// Calls to each of three core machines are forwarded to the leader and answered by it. Then the leader is disconnected,
// and calls are forwarded to the next one.
func TestForwardedCallTranscript(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		record := newTranscript()
		record.roundMs = 1000 // machines tick at different times
		c := newTestCluster(t, record)
		callEach := func(servers []*Server, base int) {
			for i, srv := range servers {
				record.step("calls to the %s", c.role(srv))
				header := map[string]string{"Weirwind-Base-Version": strconv.Itoa(base + i)}
				if base+i == 0 {
					call(record, srv, "POST", "/config/replace", header, twoServices)
				} else {
					amendment := fmt.Sprintf(`{"gen":%d,"upsert":{"svcs":[{"name":"s%d"}]}}`, base+i+1, base+i)
					call(record, srv, "POST", "/config/amend", header, amendment)
				}
				call(record, srv, "GET", "/config/show", nil, "")
				call(record, srv, "POST", "/members/m/forget", nil, "")
				call(record, srv, "POST", fmt.Sprintf("/sites/one/renew?%d", i), nil, siteRenewal)
				time.Sleep(time.Second)
			}
		}
		time.Sleep(6003 * time.Millisecond)
		first := c.leaderFirst(t, "first ")
		callEach(first, 0)
		for i, srv := range first {
			if sendHeartbeat(srv, "m", "s0", "10.0.1.1:1", "primary", "ok", i+1) != 200 {
				t.Error("a heartbeat was rejected")
			}
			srv.state.enqueue(func() {
				report := controlmsg.PrimaryReport{Service: "s0", MemberID: "m", UnresponsiveMs: 3, Driver: c.role(srv)}
				srv.state.handleFrame(nil, &controlmsg.Frame{PrimaryReport: &report})
			})
			time.Sleep(time.Second)
		}
		record.step("the leader is cut off")
		for _, conn := range c.conns[first[0]] {
			conn.Close()
		}
		time.Sleep(5 * time.Second)
		call(record, first[0], "GET", "/config/show", nil, "")
		first[0].cancel(nil)
		synctest.Wait()
		callEach(c.leaderFirst(t, "next "), 3)
		compareGolden(t, "forwards.txt", record.String())
	})
}
