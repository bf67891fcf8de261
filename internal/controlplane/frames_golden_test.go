package controlplane

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"

	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
)

// What a machine that leads says to two agents and to another machine of the core, with its moment and byte for byte:
// answers to renewals, members' records, drivers that come and go, configurations, shard maps, heartbeats passed on,
// digests, and what is said as contact is lost and regained.
func TestFramesKeepTheirBytes(t *testing.T) {
	inVirtualTime(t, func(t *testing.T) {
		record := newTranscript()
		record.sortLogs = true // leases that lapse at one moment come in the order of a map
		h := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000"}, "", record)
		time.Sleep(3011 * time.Millisecond)
		agent, other, core := newPeer(t, h, "agent", record), newPeer(t, h, "other", record), newPeer(t, h, "core", record)
		h.cores.mu.Lock()
		h.cores.byAddr["10.0.0.2:7100"] = &coreLink{dialled: core.link}
		h.cores.mu.Unlock()
		pause := func(d time.Duration) {
			time.Sleep(d)
			synctest.Wait()
		}
		a, b := directory.Driver{Name: "agent", Addr: "10.0.3.1:1", Zone: "z1", Incarnation: 1}, directory.Driver{Name: "other", Addr: "10.0.3.2:1", Zone: "z2", Incarnation: 2}
		renew := func(p *peer, d directory.Driver, has controlmsg.StateDigest) {
			p.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: d, Digest: has}})
		}
		seq := 0
		beat := func(role, state string) {
			for _, id := range []string{"m1", "m2", "m3"} {
				seq++
				is := "replica"
				if id == "m1" {
					is = role
				}
				if code := heartbeat(h, id, "n1", "10.0.1."+id[1:]+":1", is, state, seq); code != http.StatusOK {
					t.Fatalf("a heartbeat was answered %d", code)
				}
			}
		}
		step := func(what string, do func()) {
			record.step("%s", what)
			do()
			pause(230 * time.Millisecond)
		}
		step("hello", func() {
			agent.send(t, &controlmsg.Frame{Hello: &controlmsg.Hello{Kind: "agent", Name: "agent", Addr: "10.0.3.1:1"}})
		})
		step("first renewal", func() { renew(agent, a, controlmsg.StateDigest{}) })
		step("trial", func() {
			other.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: b, Tentative: true}})
		})
		step("members", func() { beat("primary", "ok") })
		step("heartbeats", func() { beat("primary", "ok") })
		step("role", func() { beat("replica", "ok") })
		step("renewals that differ", func() { renew(agent, a, controlmsg.StateDigest{}); renew(agent, a, controlmsg.StateDigest{}) })
		step("configuration", func() {
			call(record, h, "POST", "/config/replace", map[string]string{"Weirwind-Base-Version": "0"}, twoServices)
		})
		step("shards", func() {
			call(record, h, "POST", "/shards", nil, `{"kind":"found","shards":{"x":"n1"},"nodes":{"n1":{"zone":"z1"}}}`)
			call(record, h, "POST", "/shards", nil, `{"kind":"pause"}`)
		})
		step("new driver with nothing", func() {
			renew(other, directory.Driver{Name: "third", Addr: "10.0.3.3:1", Incarnation: 9}, controlmsg.StateDigest{})
		})
		step("records of another machine", func() {
			core.send(t, &controlmsg.Frame{Update: &controlmsg.StateUpdate{Members: []directory.Member{
				{ID: "m4", Service: "s", Addr: "10.0.1.4:1", Role: directory.RoleReplica, Incarnation: 1, Seq: 4, Leaving: true},
				{ID: "m2", Service: "s", Addr: "10.0.1.2:1", Role: directory.RoleReplica, Incarnation: 9, Seq: 1, Revision: 3}}}})
			core.send(t, &controlmsg.Frame{Heartbeats: []controlmsg.Heartbeat{{MemberID: "m4", Incarnation: 1, Seq: 5}, {MemberID: "none", Incarnation: 1, Seq: 5}}})
		})
		step("digests of another machine", func() {
			core.send(t, &controlmsg.Frame{Digest: &controlmsg.StateDigest{MembersHash: 5, NoReply: true}})
			core.send(t, &controlmsg.Frame{Digest: &controlmsg.StateDigest{MembersHash: 5}, Leases: []controlmsg.DriverLease{{Driver: directory.Driver{Name: "far", Incarnation: 3}, RemainingMs: 9000}}})
		})
		step("reports", func() {
			agent.send(t, &controlmsg.Frame{PrimaryReport: &controlmsg.PrimaryReport{Service: "s", MemberID: "m4", UnresponsiveMs: 3, Driver: "agent"}})
		})
		step("requests of another machine", func() {
			core.send(t, &controlmsg.Frame{Request: &controlmsg.Request{Number: 77, ReadConfig: true, Origin: "core2"}})
			core.send(t, &controlmsg.Frame{Request: &controlmsg.Request{Number: 78, BaseVersion: 0, Body: []byte(twoServices), Origin: "core2"}})
			core.send(t, &controlmsg.Frame{Request: &controlmsg.Request{Number: 79, BaseVersion: 0, Body: []byte("{"), Origin: "core2"}})
			core.send(t, &controlmsg.Frame{Response: &controlmsg.Response{Number: 80, Status: 200}})
		})
		step("draining", func() { beat("primary", "draining") })
		for range 8 {
			step("draining on", func() {
				beat("primary", "draining")
				renew(agent, a, controlmsg.StateDigest{ConfigVersion: 1, ShardMapVersion: 2})
			})
			pause(270 * time.Millisecond)
		}
		step("back", func() { beat("replica", "ok") })
		step("leave", func() { call(record, h, "POST", "/members/m3/leave", nil, "") })
		step("another at its address", func() { pause(2 * time.Second); heartbeat(h, "m9", "n1", "10.0.1.2:1", "replica", "ok", 1) })
		step("lease given back", func() {
			other.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: b, Release: true}})
			other.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: directory.Driver{Name: "third", Incarnation: 9}, Release: true}})
		})
		step("contact lost", func() {
			contact := h.contact.at()
			h.contact.set(contact - 5000)
			pause(60 * time.Millisecond)
			other.send(t, &controlmsg.Frame{LeaseRenewal: &controlmsg.LeaseRenewal{Driver: b, Tentative: true}})
			renew(other, b, controlmsg.StateDigest{ConfigVersion: 1})
		})
		step("link lost", func() { other.conn.Close(); pause(time.Second) })
		step("sites", func() {
			call(record, h, "POST", "/sites/one/renew", nil, `{"addr":"10.0.2.1:1","http":"10.0.2.1:2","zone":"z1","region":"r","life":5}`)
			pause(3 * time.Second)
			call(record, h, "GET", "/sites", nil, "")
		})
		step("all silent", func() { pause(70 * time.Second) })
		call(record, h, "GET", "/status", nil, "")
		compareGolden(t, "frames.txt", record.String())
	})
}

// replica is a member that the test plays, outside of virtual time: it listens at a port of its own.
type replica struct {
	mu             sync.Mutex
	id             string
	ln             net.Listener
	role, position string
	term, paused   string
	rows           map[string]string // other answers, by the first word of what is asked
	asked          []string
	dead           bool
}

func newReplica(t *testing.T, id, role, position string) *replica {
	t.Helper()
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &replica{id: id, ln: ln, role: role, position: position, term: "3", paused: "0"}
	t.Cleanup(func() { ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go r.serve(c)
		}
	}()
	return r
}

func (r *replica) serve(c net.Conn) {
	defer c.Close()
	in := bufio.NewScanner(c)
	for in.Scan() {
		answer, alive := r.answer(in.Text())
		if !alive {
			return
		}
		io.WriteString(c, answer+"READY idle -\r\n")
	}
}

func (r *replica) answer(line string) (answer string, alive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	word, rest, _ := strings.Cut(line, " ")
	if word != "QUERY" {
		return "", !r.dead
	}
	_, text, _ := strings.Cut(rest, " ")
	r.asked = append(r.asked, text)
	first, term, _ := strings.Cut(text, " ")
	row, known := r.rows[text]
	switch first {
	case "PAUSE":
		r.paused = term
	case "CONT":
		r.paused = "0"
	case "STEPDOWN":
		r.role = "replica"
	case "STAT":
	default:
		if !known {
			return "FAIL nope not this\r\n", !r.dead
		}
	}
	if !known {
		row = strings.Join([]string{r.role, r.term, r.position, r.paused, "0 0 0"}, " ")
	}
	return "ROW " + row + "\r\nDONE -\r\n", !r.dead
}

// set has it be another.
func (r *replica) set(role, term, position string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.role, r.term, r.position = role, term, position
}

func (r *replica) is() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.role
}

// kill has it take no connection from now on.
func (r *replica) kill() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dead = true
	r.ln.Close()
}

// A leader whose service loses its primary: what members are asked, what the platform is called with, what is logged
// and when. Then a planned hand-over, shards on two nodes, and the end of a lead.
func TestFailoverKeepsItsSteps(t *testing.T) {
	members := []*replica{newReplica(t, "m1", "primary", "3.10"), newReplica(t, "m2", "replica", "3.10"),
		newReplica(t, "m3", "replica", "3.9"), newReplica(t, "n1", "primary", "1.1")}
	members[2].rows = map[string]string{"SHARD LOOK": `{"limit":2000,"foreign":1,"free":1900,"busy":0,"slots":4,"copies":{"y":{"epoch":1,"state":"open","last":4,"held":5}}}`}
	members[3].rows = map[string]string{"SHARD LOOK": `{"limit":1000,"foreign":1,"free":900,"busy":0,"slots":4,"copies":{}}`}
	var mu sync.Mutex
	var calls strings.Builder
	platform := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		mu.Lock()
		defer mu.Unlock()
		fmt.Fprintf(&calls, "%s %s type %q holder %q fence %q body %s\n", r.Method, r.URL, r.Header.Get("Content-Type"),
			r.Header.Get("Weirwind-Holder"), r.Header.Get("Weirwind-Fence"), body)
		for _, m := range members[:3] {
			if strings.Contains(string(body), strconv.Quote(m.id)) {
				m.set("primary", "4", m.position)
			} else if m.is() == "primary" {
				m.set("replica", "4", m.position)
			}
		}
	}))
	defer platform.Close()
	log := &transcript{sortLogs: true} // questions to several members run side by side
	inVirtualTime(t, func(t *testing.T) {
		log.start = time.Now()
		h := startServer(t, "10.0.0.1:7000", []string{"10.0.0.1:7000"}, platform.Listener.Addr().String(), log)
		time.Sleep(1011 * time.Millisecond)
		call(log, h, "POST", "/config/replace", map[string]string{"Weirwind-Base-Version": "0"}, twoServices)
		seq, draining := 0, map[string]bool{}
		run := func(d time.Duration, silent ...string) {
			for range d / (500 * time.Millisecond) {
				for _, m := range members {
					svc, state := "s", "ok"
					if m.id == "n1" {
						svc = "n1"
					}
					if draining[m.id] {
						state = "draining"
					}
					if seq++; !slices.Contains(silent, m.id) {
						heartbeat(h, m.id, svc, m.ln.Addr().String(), m.is(), state, seq)
					}
				}
				time.Sleep(500 * time.Millisecond)
				synctest.Wait()
			}
		}
		run(8 * time.Second)
		call(log, h, "GET", "/status", nil, "")
		log.step("the primary dies")
		members[0].kill()
		h.state.do(func() {
			h.state.handlePrimaryReport(&controlmsg.PrimaryReport{Service: "s", MemberID: "m1", UnresponsiveMs: 100, Driver: "d1", Unreachable: true}, h.now())
			h.state.handlePrimaryReport(&controlmsg.PrimaryReport{Service: "s", MemberID: "m1", Driver: "d2", CommitsStalled: true}, h.now())
			h.state.handlePrimaryReport(&controlmsg.PrimaryReport{Service: "s", MemberID: "m1", Driver: "d3"}, h.now())
		})
		run(12*time.Second, "m1")
		log.step("it stays away, and the other one drains")
		members[1].set("primary", "4", "4.2")
		members[2].set("replica", "4", "4.2")
		run(60*time.Second, "m1")
		draining["m2"] = true
		run(5*time.Second, "m1")
		log.step("shards")
		call(log, h, "POST", "/shards", nil, `{"kind":"found","shards":{"x":"n1","y":"s"},"nodes":{"n1":{"zone":"z1"},"s":{"zone":"z2"}}}`)
		run(3*time.Second, "m1")
		call(log, h, "POST", "/shards", nil, `{"kind":"plan","tasks":[{"shard":"x","from":"n1","to":"s","bytes":10}]}`)
		run(6*time.Second, "m1")
		call(log, h, "GET", "/shards", nil, "")
		call(log, h, "GET", "/status", nil, "")
		log.step("the lead ends")
		h.state.do(func() { h.state.setLeadership(false, 9) })
		run(2*time.Second, "m1")
		call(log, h, "GET", "/shards", nil, "")
		call(log, h, "GET", "/status", nil, "")
	})
	text := log.String()
	for _, m := range members {
		text = strings.ReplaceAll(text, m.ln.Addr().String(), m.id+":1")
	}
	var all strings.Builder
	all.WriteString(text + "-- calls to the platform\n" + calls.String())
	for _, m := range members {
		fmt.Fprintf(&all, "-- %s was asked\n", m.id)
		polls := map[string]int{}
		for _, text := range m.asked {
			if polls[text]++; text != "STAT" && text != "SHARD LOOK" {
				fmt.Fprintln(&all, strings.ReplaceAll(text, members[3].ln.Addr().String(), "n1:1"))
			}
		}
		fmt.Fprintf(&all, "STAT: %t, SHARD LOOK: %t\n", polls["STAT"] > 10, polls["SHARD LOOK"] > 10) // how often depends on the test's end
	}
	compareGolden(t, "failover.txt", all.String())
}

// trio is three machines of the core, all linked. Which of them is elected is not fixed, so that they are recorded by
// their roles.
type trio struct {
	servers []*Server
	conns   map[*Server][]net.Conn
	record  *transcript

	mu    sync.Mutex
	roles map[*Server]string
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
	linkOver(t, far, func(l *link, f *controlmsg.Frame) {
		if f.Consensus == nil && f.Digest == nil {
			c.record.add(c.role(from)+" > "+c.role(to), c.textOf(f, from))
		}
		to.handleFrame(l, f)
	}, to.handleLinkDown)
	l := linkOver(t, near, from.handleFrame, func(l *link) {
		from.pending.failLink(l)
		from.cores.setDialled(core, nil)
		from.loop.do(func() { from.loop.node.LeaderDisconnected(to.settings.ControlAddr, from.now()) })
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
		h.loop.do(func() { leads <- h.loop.established })
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
					call(record, h, "POST", "/config/amend", header, fmt.Sprintf(`{"gen":%d,"upsert":{"svcs":[{"name":"s%d"}]}}`, base+i+1, base+i))
				}
				call(record, h, "GET", "/config/show", nil, "")
				call(record, h, "POST", "/members/m/forget", nil, "")
				call(record, h, "POST", fmt.Sprintf("/sites/one/renew?%d", i), nil,
					`{"addr":"10.0.2.1:1","http":"10.0.2.1:2","zone":"z1","region":"r","life":5}`)
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
				h.state.handleFrame(nil, &controlmsg.Frame{PrimaryReport: &controlmsg.PrimaryReport{Service: "s0", MemberID: "m", UnresponsiveMs: 3, Driver: c.role(h)}})
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
