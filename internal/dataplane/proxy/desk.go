package proxy

// This file owns the desk: the goroutine that holds the groups, the pools of member connections and who waits for one. Sessions
// ask it by commands and never touch its tables. It does no I/O.

import (
	"errors"
	"slices"
	"time"

	"weirwind/internal/controlplane/config"
	"weirwind/internal/controlplane/controlmsg"
	"weirwind/internal/controlplane/directory"
	"weirwind/internal/dataplane/group"
	"weirwind/internal/dataplane/memberconn"
	"weirwind/internal/dataplane/wire"
	"weirwind/internal/shard/shardmap"
	"weirwind/internal/util/commandqueue"
	"weirwind/internal/util/events"
)

const (
	tickEvery   = 50 * time.Millisecond
	mostWaiters = 2000 // of a group; more are refused at once
	idleLeast   = 2    // connections of a member that are kept however long they rest
	idleFor     = 4 * time.Second
	capLeast    = 2
	dialsAll    = 24     // connections of all drivers that are made to a member at a time
	newFor      = 1500.0 // milliseconds from the start in which at least so many drivers are assumed
	newCount    = 6
	fullPause   = 40 * time.Millisecond
	reportEvery = 400.0 // milliseconds between two reports on one group
)

// waiter is a session that waits for a member connection.
type waiter struct {
	need   group.Requirement
	sum    uint64 // of the session's values: a connection that holds them is preferred
	at     float64
	until  float64
	avoid  []string
	asked  string // a connection to this member is being made as it waits
	commit bool   // a single write: its answer waits for replicas
	reply  chan grant
}

// grant is what it gets.
type grant struct {
	group  *memberGroup
	member *group.Member
	rec    directory.Member
	conn   *conn
	after  wire.Position
	prove  bool
	sent   float64
	fail   string // code; no connection comes
}

type pool struct {
	idle    []*conn
	open    int // all of this driver: idle, in use and being made
	dialing int
}

type memberGroup struct {
	g        *group.Group
	waiting  []*waiter
	pools    map[string]*pool
	max      int // connections at each member, from all drivers
	slot     string
	reported float64
	accused  bool
	unsent   int // statements refused since the log was told
	toldAt   float64
}

type desk struct {
	p      *Proxy
	q      *commandqueue.Queue
	groups map[string]*memberGroup
	cfg    *config.Config
	table  *directory.Members
	count  int
	asked  chan struct{} // closed when a configuration is there

	slots   *shardmap.RoutingTable
	atShard map[string][]*shardWaiter
}

func newDesk(p *Proxy) *desk {
	return &desk{p: p, q: commandqueue.New(p.ctx, 4096), groups: map[string]*memberGroup{}, table: directory.NewMembers(), count: 1, asked: make(chan struct{}),
		slots: shardmap.NewRoutingTable(), atShard: map[string][]*shardWaiter{}}
}

func (d *desk) do(f func()) { d.q.Do(f) }

func (d *desk) run() { d.q.Run(tickEvery, d.tick) }

// news takes what the agent says.
func (d *desk) news(n *controlmsg.StateUpdate) {
	now := d.p.now()
	if n.DriverCount > 0 {
		d.count = n.DriverCount
	}
	if n.Config != nil && (d.cfg == nil || n.ConfigVersion > d.cfg.Version) { // never back
		cfg, err := config.Parse(n.Config)
		if err != nil {
			d.p.log.Error(events.ConfigNot, err)
		} else {
			first := d.cfg == nil
			d.cfg = cfg
			d.p.cfg.Store(cfg)
			d.p.log.Event(events.ConfigSeen, "gen", cfg.Version, "routes", len(cfg.Routes))
			for i := range cfg.Services {
				d.group(cfg.Services[i].Name).max = cfg.Services[i].MaxConnections
			}
			if first {
				close(d.asked)
			}
		}
	}
	if d.slots.Update(n.ShardMap) {
		d.release(now)
	}
	touched := map[string]*memberGroup{}
	for _, m := range d.table.Merge(n.Members, now) {
		g := d.group(m.Service)
		g.g.UpdateMember(m, now)
		touched[m.Service] = g
		if m.Tombstone || m.Draining {
			g.shed(m.ID)
		}
	}
	for _, g := range touched {
		d.look(g)
		d.pump(g)
	}
}

func (d *desk) group(svc string) *memberGroup {
	g := d.groups[svc]
	if g == nil {
		g = &memberGroup{g: group.NewGroup(svc, d.p.near), pools: map[string]*pool{}}
		d.groups[svc] = g
	}
	return g
}

func (g *memberGroup) pool(id string) *pool {
	p := g.pools[id]
	if p == nil {
		p = &pool{}
		g.pools[id] = p
	}
	return p
}

// shed closes a member's idle connections.
func (g *memberGroup) shed(id string) {
	p := g.pools[id]
	if p == nil {
		return
	}
	for _, c := range p.idle {
		c.Close()
	}
	p.open -= len(p.idle)
	p.idle = nil
	if p.open <= 0 {
		delete(g.pools, id)
	}
}

// share is how many connections this driver may have at one member of the group.
func (d *desk) share(g *memberGroup) int {
	if g.max == 0 {
		return 64
	}
	return max((g.max-g.max/10)/d.drivers(), capLeast)
}

// drivers is how many there are, as far as is known; who has just started doesn't know them all, and what the connections of
// those that just died still hold.
func (d *desk) drivers() int {
	if d.p.now() < newFor {
		return max(d.count, newCount)
	}
	return max(d.count, 1)
}

func (d *desk) room(g *memberGroup) func(*group.Member) bool {
	share := d.share(g)
	dials := max(dialsAll/d.drivers(), 2) // each takes a slot of the member for a while, and all drivers come at once
	return func(m *group.Member) bool {
		p := g.pools[m.ID]
		return p == nil || len(p.idle) > 0 || p.open < share && p.dialing < dials
	}
}

// want queues a session, or grants at once.
func (d *desk) want(svc string, w *waiter) {
	g := d.group(svc)
	if len(g.waiting) >= mostWaiters {
		w.reply <- grant{fail: wire.CodeRetry}
		return
	}
	g.waiting = append(g.waiting, w)
	d.pump(g)
}

// pump grants what can be granted, in order of arrival.
func (d *desk) pump(g *memberGroup) {
	if len(g.waiting) == 0 {
		return
	}
	now := d.p.now()
	room := d.room(g)
	usual := g.g.TypicalLatency()
	kept := g.waiting[:0]
	for _, w := range g.waiting {
		// What has no time left for an answer would be sent in vain, and its connection be lost with it: where many wait, all would.
		if now >= w.until-min(2*usual, (w.until-w.at)/3) {
			w.reply <- grant{fail: wire.CodeRetry}
			d.refused(g, w, now)
			continue
		}
		c := g.g.Route(&w.need, now, room, func(id string) bool { return slices.Contains(w.avoid, id) })
		if c.Member != nil && len(g.pool(c.Member.ID).idle) > 0 {
			w.reply <- d.grant(g, w, c, now)
			continue
		}
		if kept = append(kept, w); c.Member != nil && w.asked == "" {
			w.asked = c.Member.ID
			d.dial(g, c.Member)
		}
	}
	clear(g.waiting[len(kept):])
	g.waiting = kept
	d.probe(g)
}

// refused says in the log what a statement waited for in vain.
func (d *desk) refused(g *memberGroup, w *waiter, now float64) {
	if g.unsent++; now < g.toldAt+1000 {
		return
	}
	g.toldAt = now
	pairs := []any{"svc", g.g.Service, "count", g.unsent, "write", w.need.Write, "slot", g.g.Slot.Holder, "share", d.share(g), "stuck", g.g.CommitsStalled(now)}
	if p := g.g.Primary(); p != nil {
		pairs = append(pairs, "doubted", p.Suspected)
		if pl := g.pools[p.ID]; pl != nil {
			pairs = append(pairs, "open", pl.open, "idle", len(pl.idle), "dialing", pl.dialing)
		}
	}
	g.unsent = 0
	d.p.log.Event(events.Refused, pairs...)
}

// grant gives an idle connection: the newest that holds the session's values, else the newest.
func (d *desk) grant(g *memberGroup, w *waiter, c group.Target, now float64) grant {
	m := c.Member
	p := g.pool(m.ID)
	m.InFlight++
	g.g.RecordSend(m, now, w.commit)
	i := len(p.idle) - 1
	for k := i; k >= 0; k-- {
		if p.idle[k].carrier.ValuesHash() == w.sum {
			i = k
			break
		}
	}
	out := grant{group: g, member: m, rec: m.Member, conn: p.idle[i], after: c.MinPosition, prove: c.VerifyPrimary, sent: now}
	p.idle = slices.Delete(p.idle, i, i+1)
	return out
}

// dial makes a connection for whoever is next when it stands. It has its own time: bound to that of the one who waited
// longest, and so had least left, none would ever stand where many wait.
func (d *desk) dial(g *memberGroup, m *group.Member) {
	p := g.pool(m.ID)
	p.open++
	p.dialing++
	rec, sent := m.Member, d.p.now()
	go func() {
		c, err := dial(rec, time.Now().Add(dialTime))
		d.do(func() { d.dialled(g, m, c, err, sent) })
	}()
}

func (d *desk) dialled(g *memberGroup, m *group.Member, c *conn, err error, sent float64) {
	p, now := g.pool(m.ID), d.p.now()
	p.dialing--
	full := errors.Is(err, memberconn.ErrAttachRejected)
	for _, w := range g.waiting {
		if w.asked == m.ID {
			if w.asked = ""; full && !w.need.Write && !w.need.Linearizable {
				w.avoid = append(w.avoid, m.ID)
			}
		}
	}
	switch {
	case err == nil:
		d.rest(g, m, c)
	case full: // it is there, and has no place: others let go
		p.open--
	default:
		p.open--
		g.g.RecordOutcome(m, sent, now, group.ConnectFailed, wire.Position{})
		d.look(g)
	}
	if full && p.open <= p.dialing { // not at once again, where this driver has none
		time.AfterFunc(fullPause, func() { d.do(func() { d.pump(g) }) })
		return
	}
	d.pump(g)
}

// rest keeps a connection for later, or closes it where it may not be kept.
func (d *desk) rest(g *memberGroup, m *group.Member, c *conn) {
	p := g.pool(m.ID)
	if m.Tombstone || m.Draining || g.g.Members[m.ID] != m || p.open > d.share(g) || !c.Reusable() {
		c.Close()
		p.open--
		return
	}
	c.rested = d.p.now()
	p.idle = append(p.idle, c)
}

// warm makes a first connection to a group's primary and to its nearest replica, so that the first requests of a process don't
// all pay for one at the same time.
func (d *desk) warm(g *memberGroup) {
	var near *group.Member
	p := g.g.Primary()
	for _, m := range g.g.Members {
		if m != p && !m.Draining && (near == nil || m.Nearer(near)) {
			near = m
		}
	}
	for _, m := range []*group.Member{p, near} {
		if m == nil || g.pools[m.ID] != nil && g.pools[m.ID].open > 0 {
			continue
		}
		d.dial(g, m)
	}
}

// heard takes the end of a send, on a connection that is kept by its session.
func (d *desk) heard(gr *grant, sent float64, w group.Outcome, pos wire.Position) {
	g := gr.group
	g.g.RecordOutcome(gr.member, sent, d.p.now(), w, pos)
	d.look(g)
}

// back takes a connection back; nil: it is no more.
func (d *desk) back(gr *grant, c *conn) {
	g, m := gr.group, gr.member
	m.InFlight--
	if c == nil {
		g.pool(m.ID).open--
	} else {
		d.rest(g, m, c)
	}
	if p := g.pools[m.ID]; p != nil && p.open <= 0 && len(p.idle) == 0 {
		delete(g.pools, m.ID)
	}
	d.pump(g)
}

// look logs the slot's changes.
func (d *desk) look(g *memberGroup) {
	if s := g.g.Slot.Holder; s != g.slot {
		if g.slot = s; s == "" {
			d.p.log.Event(events.SlotEmptied, "svc", g.g.Service, "why", g.g.SlotReason, "held", len(g.waiting))
		} else {
			d.p.log.Event(events.SlotFilled, "svc", g.g.Service, "by", g.g.SlotReason, "held", len(g.waiting))
		}
	}
}

func (d *desk) tick() {
	now := d.p.now()
	d.release(now)
	for _, g := range d.groups {
		g.g.SuspectPrimary(now)
		d.pump(g)
		d.probe(g)
		d.tell(g, now)
		for id, p := range g.pools {
			for len(p.idle) > idleLeast && now-p.idle[0].rested > float64(idleFor.Milliseconds()) {
				p.idle[0].Close()
				p.idle = slices.Delete(p.idle, 0, 1)
				p.open--
			}
			if p.open <= 0 && len(p.idle) == 0 {
				delete(g.pools, id)
			}
		}
	}
}

// probe asks members where something waits for a primary.
func (d *desk) probe(g *memberGroup) {
	if p := g.g.Primary(); len(g.waiting) == 0 && (p == nil || !p.Suspected) {
		return
	}
	now := d.p.now()
	for _, m := range g.g.DueProbes(now) {
		rec, m := m.Member, m
		go func() {
			st, err := probe(rec)
			d.do(func() {
				if err != nil {
					g.g.RecordProbeFailure(m)
				} else {
					g.g.RecordProbe(m, now, d.p.now(), st)
				}
				d.look(g)
				d.pump(g)
			})
		}()
	}
}

// tell reports to the core what this driver sees of the primary: that it owes answers, and that it speaks again.
func (d *desk) tell(g *memberGroup, now float64) {
	p := g.g.Primary()
	stuck := g.g.CommitsStalled(now)
	bad := stuck || p != nil && p.Suspected || p == nil && g.g.Slot.Silent && g.g.Slot.Last != ""
	if !bad && !g.accused || now < g.reported+reportEvery {
		return
	}
	g.reported = now
	r := &controlmsg.PrimaryReport{Service: g.g.Service}
	switch {
	case p == nil && bad:
		r.MemberID, r.Unreachable = g.g.Slot.Last, true
	case p != nil:
		r.MemberID = p.ID
		if r.CommitsStalled = stuck; bad && !stuck {
			r.UnresponsiveMs = max(g.g.PrimaryUnresponsiveFor(now), 1)
		}
	}
	g.accused = bad
	d.p.report(r)
}

// status is what the desk knows, for operators.
func (d *desk) status() map[string]any {
	groups := map[string]any{}
	for svc, g := range d.groups {
		pools := map[string]int{}
		for id, p := range g.pools {
			pools[id] = p.open
		}
		groups[svc] = map[string]any{"slot": g.g.Slot.Holder, "why": g.g.SlotReason, "waiting": len(g.waiting), "connections": pools, "share": d.share(g)}
	}
	out := map[string]any{"groups": groups, "drivers": d.count}
	if v := d.slots.Version(); v > 0 {
		out["shards"] = v
	}
	if d.cfg != nil {
		out["gen"] = d.cfg.Version
	}
	return out
}
