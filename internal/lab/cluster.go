// Package lab is the project's laboratory on sockets: a stand-in cluster with faults on command, an open-loop load, and
// an audit of what came of every op. It owns no part of the driver and shares no decision with it.
//
// This file owns the cluster: members that speak PostgreSQL's protocol, their roles and lag, elections, and the list
// of members over HTTP. It must never be kinder than a cluster: what it was sent may run although nobody waits.
package lab

import (
	"bufio"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"weirwind/internal/discovery"
	"weirwind/internal/pgwire"
)

// Options describe a cluster. Zero values give one group of five members of four cores.
type Options struct {
	Groups         int
	Members        int           // a group
	Cores          int           // a member: so many ops at a time, others wait
	ServiceTime    time.Duration // mean time of an op, drawn exponentially
	Zones          []string      // of the members of a group, in turn; nil: all in a
	ReplicationLag time.Duration // replicas are behind by so much
	ElectionTime   time.Duration // from a primary's end to the next one
	Seed           uint64
}

func (o Options) zoneOf(i int) string {
	if len(o.Zones) == 0 {
		return "a"
	}
	return o.Zones[i%len(o.Zones)]
}

func (o Options) withDefaults() Options {
	set := func(x *int, least int) { *x = max(*x, least) }
	if o.Members == 0 {
		o.Members = 5
	}
	if o.Cores == 0 {
		o.Cores = 4
	}
	if o.ServiceTime == 0 {
		o.ServiceTime = 3 * time.Millisecond
	}
	if o.ReplicationLag == 0 {
		o.ReplicationLag = 20 * time.Millisecond
	}
	if o.ElectionTime == 0 {
		o.ElectionTime = 2 * time.Second
	}
	set(&o.Groups, 1)
	return o
}

// Grace is the time after a drain was told in which sends to the member still count as in order.
const DrainGrace = 500 * time.Millisecond

// Cluster is one that runs.
type Cluster struct {
	options  Options
	members  []*Member
	registry *httptest.Server

	mu         sync.Mutex
	revision   int64
	changed    chan struct{}
	entries    map[string]discovery.Entry
	drainSeen  map[string]time.Time // by member: when a drain was answered to a watch first
	executions map[string]int       // by op: how often a write ran
	arrivals   map[string]int       // by member: ops that came
	afterDrain []string             // ops that came to a member after it was told to drain, by more than the grace
	primary    map[int64]*Member
	logEnds    map[int64]float64 // by group without a primary: where its log ends
	draw       *rand.Rand
	stopped    bool
	elections  sync.WaitGroup
}

// Member is one server of a cluster.
type Member struct {
	ID              string
	cluster         *Cluster
	group           int64
	address         string
	cores           chan struct{}
	slowdown        atomic.Int64 // times the usual work, 0 for once
	hung            atomic.Bool
	ignoresDemotion atomic.Bool  // it goes on as a primary, whoever else is one
	writes          atomic.Int64 // writes that ran here
	dropsAnswers    atomic.Bool  // it runs what comes, and cuts the connection instead of an answer

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// Start makes a cluster on free loopback ports.
func Start(o Options) (*Cluster, error) {
	c := &Cluster{
		options:    o.withDefaults(),
		revision:   1,
		changed:    make(chan struct{}),
		entries:    map[string]discovery.Entry{},
		drainSeen:  map[string]time.Time{},
		executions: map[string]int{},
		arrivals:   map[string]int{},
		primary:    map[int64]*Member{},
		logEnds:    map[int64]float64{},
		draw:       rand.New(rand.NewPCG(o.Seed, 3)),
	}
	for g := range c.options.Groups {
		for i := range c.options.Members {
			m := &Member{ID: fmt.Sprintf("g%dm%d", g+1, i+1), cluster: c, group: int64(g + 1), address: "127.0.0.1:0",
				cores: make(chan struct{}, c.options.Cores), conns: map[net.Conn]bool{}}
			if err := m.start(); err != nil {
				c.Stop()
				return nil, err
			}
			c.members = append(c.members, m)
			c.entries[m.ID] = discovery.Entry{
				ID:      m.ID,
				Address: m.address,
				Zone:    c.options.zoneOf(i),
				Group:   m.group,
				Phase:   discovery.PhaseUp,
			}
			if i == 0 {
				c.primary[m.group] = m
			}
		}
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /discovery/hosts", c.serveList)
	c.registry = httptest.NewServer(mux)
	return c, nil
}

// Stop ends it.
func (c *Cluster) Stop() {
	c.mu.Lock()
	c.stopped = true
	c.mu.Unlock()
	c.elections.Wait()
	for _, m := range c.members {
		m.stop()
	}
	if c.registry != nil {
		c.registry.CloseClientConnections()
		c.registry.Close()
	}
}

// Discovery is the address of the list of members.
func (c *Cluster) Discovery() string { return c.registry.Listener.Addr().String() }

// Groups is how many there are.
func (c *Cluster) Groups() int { return c.options.Groups }

// Primary is a group's, "" while there is none; Replica is one of its others that is up in the list.
func (c *Cluster) Primary(group int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	if p := c.primary[group]; p != nil {
		return p.ID
	}
	return ""
}

// Arrived is how many ops came to a member.
func (c *Cluster) Arrivals(id string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.arrivals[id]
}

// Replica is a group's, "" where none is up.
func (c *Cluster) Replica(group int64) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, m := range c.members {
		if m.group == group && m != c.primary[group] && c.entries[m.ID].Phase == discovery.PhaseUp && m.listening() {
			return m.ID
		}
	}
	return ""
}

func (c *Cluster) member(id string) *Member {
	if i := slices.IndexFunc(c.members, func(m *Member) bool { return m.ID == id }); i >= 0 {
		return c.members[i]
	}
	return nil
}

// Do carries out a fault: kill, heal, hang, free, slow (four times), drain, demote, mute, stubborn, undrain. It says
// whether it knows both words.
func (c *Cluster) Inject(what, id string) bool {
	m := c.member(id)
	if m == nil {
		return false
	}
	switch what {
	case "kill":
		m.stop()
		c.elect(m)
	case "heal":
		m.hung.Store(false)
		m.dropsAnswers.Store(false)
		m.ignoresDemotion.Store(false)
		m.slowdown.Store(0)
		if !m.listening() {
			_ = m.start() // its port was free a moment ago; if not, it stays down
		}
	case "hang":
		m.hung.Store(true)
		c.elect(m)
	case "free":
		m.hung.Store(false)
	case "slow":
		m.slowdown.Store(4)
	case "drain":
		c.setPhase(id, discovery.PhaseDraining)
		c.elect(m)
	case "stubborn": // deposed, it does not notice
		m.ignoresDemotion.Store(true)
	case "mute": // answers are lost, and what was asked ran
		m.dropsAnswers.Store(true)
	case "demote": // a planned change: it is well, and primary no more
		c.elect(m)
	case "undrain":
		c.setPhase(id, discovery.PhaseUp)
	default:
		return false
	}
	return true
}

// elect takes the role from a primary and gives it to another one some time later.
func (c *Cluster) elect(old *Member) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.primary[old.group] != old || c.stopped {
		return
	}
	c.primary[old.group] = nil
	c.logEnds[old.group] = unixMillis()
	c.elections.Add(1)
	time.AfterFunc(c.options.ElectionTime, func() {
		defer c.elections.Done()
		c.mu.Lock()
		defer c.mu.Unlock()
		var can []*Member
		for _, m := range c.members {
			if m.group == old.group && m != old && m.listening() && !m.hung.Load() && c.entries[m.ID].Phase == discovery.PhaseUp {
				can = append(can, m)
			}
		}
		if len(can) > 0 {
			c.primary[old.group] = can[c.draw.IntN(len(can))]
			delete(c.logEnds, old.group)
		}
	})
}

func (c *Cluster) setPhase(id, phase string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := c.entries[id]
	e.Phase = phase
	c.entries[id] = e
	c.revision++
	if phase != discovery.PhaseDraining {
		delete(c.drainSeen, id)
	}
	close(c.changed)
	c.changed = make(chan struct{})
}

// hosts answers with the whole list, also to watches.
func (c *Cluster) serveList(w http.ResponseWriter, r *http.Request) {
	since, _ := strconv.ParseInt(r.FormValue("since"), 10, 64)
	ms, _ := strconv.Atoi(r.FormValue("timeout_ms"))
	c.mu.Lock()
	for over := time.After(time.Duration(ms) * time.Millisecond); since > 0 && c.revision <= since; {
		changed := c.changed
		c.mu.Unlock()
		select {
		case <-changed:
		case <-over:
			since = 0
		case <-r.Context().Done():
			return
		}
		c.mu.Lock()
	}
	text := c.listJSON()
	for id, e := range c.entries {
		if _, known := c.drainSeen[id]; e.Phase == discovery.PhaseDraining && !known {
			c.drainSeen[id] = time.Now()
		}
	}
	c.mu.Unlock()
	_, _ = w.Write(text) // the reader may have left
}

func (c *Cluster) listJSON() []byte {
	type entry struct {
		ID       string `json:"id"`
		HostPort string `json:"host_port"`
		Locality string `json:"locality"`
		Cell     int64  `json:"cell"`
		Phase    string `json:"phase"`
	}
	var all []entry
	for _, m := range c.members {
		e := c.entries[m.ID]
		all = append(all, entry{e.ID, e.Address, e.Zone, e.Group, e.Phase})
	}
	text, err := json.Marshal(map[string]any{"revision": c.revision, "complete": true, "members": all})
	if err != nil {
		panic(err)
	}
	return text
}

// Known is the list as a driver's configuration holds it.
func (c *Cluster) MemberList() json.RawMessage {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.listJSON()
}

func (m *Member) listening() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.listener != nil
}

func (m *Member) start() error {
	ln, err := net.Listen("tcp", m.address)
	if err != nil {
		return err
	}
	m.mu.Lock()
	m.listener, m.address = ln, ln.Addr().String()
	m.mu.Unlock()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			m.mu.Lock()
			m.conns[conn] = true
			m.mu.Unlock()
			go m.serve(conn)
		}
	}()
	return nil
}

func (m *Member) stop() {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.listener != nil {
		m.listener.Close()
		m.listener = nil
	}
	for conn := range m.conns {
		conn.Close()
	}
}

func (m *Member) serve(conn net.Conn) {
	defer func() {
		conn.Close()
		m.mu.Lock()
		delete(m.conns, conn)
		m.mu.Unlock()
	}()
	r := bufio.NewReader(conn)
	if _, _, err := pgwire.ReadStartup(r); err != nil || m.waitWhileHung() {
		return
	}
	_, _ = conn.Write(pgwire.AppendStartupResponse(nil, 0)) // the reads behind it see a broken connection
	var buf []byte
	for {
		var err error
		if _, buf, err = pgwire.Read(r, buf[:0]); err != nil || m.waitWhileHung() {
			return
		}
		text, _ := pgwire.QueryText(pgwire.Body(buf))
		if answer := m.answer(text); m.dropsAnswers.Load() && string(text) != "SHOW usage" {
			return
		} else if _, err := conn.Write(answer); err != nil {
			return
		}
	}
}

// hung waits while the member hangs; true when it was taken down meanwhile.
func (m *Member) waitWhileHung() bool {
	for m.hung.Load() {
		if time.Sleep(5 * time.Millisecond); !m.listening() {
			return true
		}
	}
	return false
}

// answer runs a query.
func (m *Member) answer(text []byte) []byte {
	if string(text) == "SHOW usage" {
		role, position := m.state()
		return pgwire.AppendReadyForQuery(
			pgwire.AppendSingleRow(nil, fmt.Sprintf("x0=%.6f,x1=%d", position/1000, map[bool]int{true: 1}[role == "writer"])),
		)
	}
	st, err := pgwire.ParseStatement(text)
	if err != nil {
		return pgwire.AppendReadyForQuery(pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeProtocolViolation, err.Error(), ""))
	}
	id := string(st.ID)
	m.cluster.recordArrival(m, id)
	m.cores <- struct{}{}
	m.cluster.mu.Lock()
	work := time.Duration(m.cluster.draw.ExpFloat64() * float64(m.cluster.options.ServiceTime) * float64(max(m.slowdown.Load(), 1)))
	m.cluster.mu.Unlock()
	time.Sleep(work)
	<-m.cores
	role, position := m.state()
	note := func(b []byte) []byte {
		b = pgwire.AppendParameterStatus(b, "server_role", role)
		return pgwire.AppendReadyForQuery(pgwire.AppendParameterStatus(b, "commit_clock", fmt.Sprintf("%.0f", position)))
	}
	if st.Write {
		if role != "writer" {
			return note(pgwire.AppendErrorResponse(nil, "ERROR", pgwire.CodeReadOnlyTransaction, "this is no primary", ""))
		}
		m.cluster.mu.Lock()
		m.cluster.executions[id]++
		m.writes.Add(1)
		m.cluster.mu.Unlock()
	}
	return note(pgwire.AppendSingleRow(nil, "v:"+id))
}

func unixMillis() float64 { return float64(time.Now().UnixMicro()) / 1000 }

// stands gives a member's role and up to where it has applied the log, in Unix milliseconds.
func (m *Member) state() (role string, position float64) {
	m.cluster.mu.Lock()
	defer m.cluster.mu.Unlock()
	now := unixMillis()
	if m.cluster.primary[m.group] == m || m.ignoresDemotion.Load() {
		return "writer", now
	}
	if at, stands := m.cluster.logEnds[m.group]; stands { // no writes, no log
		now = at
	}
	return "reader", now - float64(m.cluster.options.ReplicationLag.Microseconds())/1000
}

func (c *Cluster) recordArrival(m *Member, id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrivals[m.ID]++
	if at, told := c.drainSeen[m.ID]; told && time.Since(at) > DrainGrace {
		c.afterDrain = append(c.afterDrain, id)
	}
}
