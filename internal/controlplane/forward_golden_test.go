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

// trio is three machines of the core, all linked. Which of them is elected is not fixed, so that they are recorded by
// their roles.
type trio struct {
	servers []*Server
	conns   map[*Server][]net.Conn
	record  *transcript

	mu    sync.Mutex
	roles map[*Server]string
	drops func(from, to *Server, frame *controlmsg.Frame) bool // frames that are lost on their way; nil: none
}

// setDrops has frames lost on their way from now on.
func (c *trio) setDrops(drops func(from, to *Server, frame *controlmsg.Frame) bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drops = drops
}

func (c *trio) dropped(from, to *Server, frame *controlmsg.Frame) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.drops != nil && c.drops(from, to, frame)
}

func newTrio(t *testing.T, record *transcript) *trio {
	t.Helper()
	c := &trio{record: record, conns: map[*Server][]net.Conn{}}
	all := []string{"10.0.0.1:7000", "10.0.0.2:7000", "10.0.0.3:7000"}
	for _, ctl := range all {
		c.servers = append(c.servers, startServer(t, ctl, all, "", newTranscript()))
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

// connect makes the link that one server dials to another.
func (c *trio) connect(t *testing.T, from, to *Server) {
	t.Helper()
	near, far := net.Pipe()
	core := from.cores.byAddr[from.settings.MeshAddr(to.settings.ControlAddr)]
	accepted := linkOver(t, far, func(l *link, f *controlmsg.Frame) {
		if c.dropped(from, to, f) {
			return
		}
		if f.Consensus == nil && f.Digest == nil && f.LeaseSync == nil { // who leads next, and asks whom, is drawn
			c.record.add(c.role(from)+" > "+c.role(to), c.textOf(f, from))
		}
		to.handleFrame(l, f)
	}, to.handleLinkDown)
	to.cores.noteHello(accepted, controlmsg.NewHello(kindCore, "", from.settings.ControlAddr).Hello)
	l := linkOver(t, near, from.handleFrame, func(l *link) {
		from.pending.failLink(l)
		from.cores.setDialled(core, nil)
		from.loop.offer(func() { from.loop.node.PeerDisconnected(to.settings.ControlAddr, from.now()) })
	})
	from.cores.setDialled(core, l)
	c.conns[from], c.conns[to] = append(c.conns[from], far), append(c.conns[to], far)
}

func (c *trio) role(h *Server) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.roles[h]
}

// elected gives the servers that run, the leader first, and names them by their roles.
func (c *trio) elected(t *testing.T, prefix string) []*Server {
	t.Helper()
	var all []*Server
	for _, h := range c.servers {
		if h.ctx.Err() != nil {
			continue
		}
		leads := make(chan bool, 1)
		h.loop.offer(func() { leads <- h.loop.established })
		if <-leads {
			all = slices.Insert(all, 0, h)
		} else {
			all = append(all, h)
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.roles = map[*Server]string{}
	for i, h := range all {
		c.roles[h] = prefix + []string{"leader", "second", "third"}[i]
	}
	return all
}

// textOf gives a frame's text, but for numbers of requests, which begin at the time of day, and for the sender's name.
func (c *trio) textOf(f *controlmsg.Frame, from *Server) string {
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

// Three machines of the core: calls put to each are forwarded to who leads and answered from there; then the leader
// is cut off, and calls are forwarded to the next.
func TestForwardedCallsKeepTheirFrames(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		record := newTranscript()
		record.round = 1000 // each machine ticks at moments of its own
		c := newTrio(t, record)
		round := func(servers []*Server, base int) {
			for i, h := range servers {
				record.step("calls to the %s", c.role(h))
				header := map[string]string{"Weirwind-Base-Version": strconv.Itoa(base + i)}
				if base+i == 0 {
					call(record, h, "POST", "/config/replace", header, twoServices)
				} else {
					amendment := fmt.Sprintf(`{"gen":%d,"upsert":{"svcs":[{"name":"s%d"}]}}`, base+i+1, base+i)
					call(record, h, "POST", "/config/amend", header, amendment)
				}
				call(record, h, "GET", "/config/show", nil, "")
				call(record, h, "POST", "/members/m/forget", nil, "")
				call(record, h, "POST", fmt.Sprintf("/sites/one/renew?%d", i), nil, siteRenewal)
				time.Sleep(time.Second)
			}
		}
		time.Sleep(6003 * time.Millisecond)
		first := c.elected(t, "first ")
		round(first, 0)
		for i, h := range first {
			if heartbeat(h, "m", "s0", "10.0.1.1:1", "primary", "ok", i+1) != 200 {
				t.Error("a heartbeat was refused")
			}
			h.state.do(func() {
				report := controlmsg.PrimaryReport{Service: "s0", MemberID: "m", UnresponsiveMs: 3, Driver: c.role(h)}
				h.state.handleFrame(nil, &controlmsg.Frame{PrimaryReport: &report})
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
		round(c.elected(t, "next "), 3)
		compareGolden(t, "forwards.txt", record.String())
	})
}
