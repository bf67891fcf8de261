// Package emulator plays drivers before members in virtual time: the decision module as it is, or a plain policy in its
// place, with faults by schedule and an auditor that shares no code with the module. The same seed gives the same
// play on every machine and on any number of cores.
//
// This file owns the members and their groups. It must never look into a driver, or draw from anything but its lane.
package emulator

import (
	"cmp"
	"fmt"
	"math"
	"slices"

	"weirwind/internal/switchover"
	"weirwind/logic"
)

// Constants of the world, in milliseconds where nothing else is said, each with its reason.
const (
	warmupTime, coldCapacity = 8000.0, 0.3 // after its start a member does this share of its work, and all after so long
	connectTimeout           = 250.0       // a connect that never comes up is given up after so long
	listDelay                = 300.0       // from a change to a driver's list, at most: a watch and its way
	maxQueuePerCore          = 64          // ops that wait at a member, a core: then it turns away
	detectionDelay           = 1500.0      // until a cluster's own watch has seen that a primary is gone; elections follow
	handoverDelay            = 500.0       // from a drain mark on the primary to the next one
	loadedApplyShare         = 0.5         // a replica whose cores are all taken applies so much of the log that comes
	retransmitDelay          = 200.0       // a lost packet is sent again after so long, as kernels do at first
	maxIdle                  = 15000.0     // a connection that rests for so long is closed
	defaultSlowdown          = 4.0         // a slow member's ops take so many times as long
	defaultLagFactor         = 30.0        // a replica that lags is so many times as far behind
	deployPause              = 4000.0      // between two members of a deploy; each drains for handover and restarts
)

type simulation struct {
	setup         Setup
	scheduler     *scheduler
	members       []*member
	membersByID   map[string]*member
	groups        []*group
	drivers       []*driver
	types         []logic.OpType
	networkFaults []networkFault
	started       float64
	totalShare    float64 // of all op types together
}

// cluster is a group: one lane with its members.
type group struct {
	*process
	sim          *simulation
	id           int64
	members      []*member
	primary      *member
	logStoppedAt float64 // the time at which its log stands still, 0 for not: it has no primary
	term         int     // counts changes of the primary
	slowdown     float64 // a shared slowdown
	executions   map[string]int
	promotions   []*Promotion
	audit        *auditor
	switchover   bool // hooks tell of the change that is under way
}

// Opening is what a new primary met in its first second.
type Promotion struct {
	At       float64 // milliseconds from the play's start
	Group    int64
	Member   string
	Sends    int     // that came to it
	Capacity float64 // what it can do in that time
}

// server is a member.
type member struct {
	group          *group
	id             string
	zone           int
	phase          logic.Phase
	started        float64
	dead           bool // connections are reset and refused
	unreachable    bool // it can't be reached, and gives no sign
	hung           bool
	failing        bool // it answers every op with an error at once
	slowdown       float64
	lag            float64
	aging          float64 // its ops take so many times as long more with each minute of its life
	applyBacklog   float64 // of the log, for want of cores
	backlogUpdated float64 // when that was last reckoned
	busy           int
	conns          int
	incarnation    int
	queue          []*request
	running        map[*request]bool
	position       float64 // its position when that was last asked
	coldSends      []float64

	served      int
	queueTime   float64 // milliseconds, of those served
	serviceTime float64
	promotion   *Promotion
	peakConns   int // the most connections at a time
}

// visit is a send at a member. The member owns it; its driver knows it by the attempt alone.
type request struct {
	from      *driver
	attempt   *attempt
	op        string
	kind      int
	arrived   float64
	cancelled bool // its driver has cancelled it
}

// way draws the time of one way between zones and says whether what goes it arrives.
func (w *simulation) transit(l *process, from, to int) (delay float64, arrives bool) {
	x := w.setup.ZoneLatency
	if from != to {
		x = w.setup.CrossZoneLatency
	}
	delay = x * (0.5 + l.draw.ExpFloat64()*0.5)
	for _, c := range w.networkFaults {
		if l.now < c.from || l.now >= c.until {
			continue
		}
		if c.loss > 0 {
			for again := retransmitDelay; again < 16*retransmitDelay && l.draw.Float64() < c.loss; again *= 2 {
				delay += again
			}
		} else if c.fromZone == from && c.toZone == to {
			return delay, false
		}
	}
	return delay, true
}

// cut is a time in which nothing goes from a zone to another, or in which a share of all packets is lost.
type networkFault struct {
	from, until      float64
	fromZone, toZone int
	loss             float64
}

func (m *member) isPrimary() bool { return m.group.primary == m }

// position is up to where a member has applied the log.
func (m *member) currentPosition() float64 {
	m.updateBacklog()
	at := m.group.now
	if m.group.logStoppedAt > 0 {
		at = m.group.logStoppedAt
	}
	if m.isPrimary() {
		at = m.group.now
	} else {
		at -= m.lag + m.applyBacklog
	}
	m.position = max(m.position, at) // a log that falls behind stands still: it does not go back
	return m.position
}

// catchUp reckons how far a replica has fallen behind since the last look: with all cores taken and more waiting it
// applies less than what comes, else it gains on it.
func (m *member) updateBacklog() {
	dt := m.group.now - m.backlogUpdated
	m.backlogUpdated = m.group.now
	if m.busy == m.group.sim.setup.Cores && len(m.queue) > 0 {
		m.applyBacklog += dt * (1 - loadedApplyShare)
	} else {
		m.applyBacklog = max(0, m.applyBacklog-dt)
	}
}

func (m *member) status() logic.Sight {
	s := logic.Sight{Role: logic.Replica, Position: math.Max(m.currentPosition(), 0)}
	if m.isPrimary() {
		s.Role = logic.Primary
	}
	return s
}

// arrives takes a send in, on a connection that was opened in a life of the member.
func (m *member) receive(v *request, incarnation int) {
	if m.promotion != nil && m.group.now < m.promotion.At+m.group.sim.started+1000 {
		m.promotion.Sends++
	}
	v.arrived = m.group.now
	if m.warmFactor() < 1 {
		m.group.audit.coldSend(m)
	}
	switch {
	case m.unreachable:
		return // nobody hears of it: the driver's own limit ends it
	case m.dead || incarnation != m.incarnation:
		m.respond(v, logic.Reset, 0)
	case m.failing:
		m.respond(v, logic.Fault, 0)
	case m.phase == logic.Draining && !m.isPrimary() || len(m.queue) >= maxQueuePerCore*m.group.sim.setup.Cores:
		m.respond(v, logic.Full, 0)
	default:
		m.updateBacklog()
		m.queue = append(m.queue, v)
		m.startQueued()
	}
}

// work starts what waits while a core is free. A cold member has less of each core.
func (m *member) startQueued() {
	for !m.hung && !m.dead && !m.unreachable && m.busy < m.group.sim.setup.Cores && len(m.queue) > 0 {
		m.updateBacklog()
		v := m.queue[0]
		m.queue = m.queue[1:]
		if v.cancelled { // given up before it began, and the word of it came
			continue
		}
		m.busy++
		m.running[v] = true
		m.queueTime += m.group.now - v.arrived
		m.served++
		ms := m.group.sim.setup.ServiceTime * m.group.draw.ExpFloat64() * max(m.slowdown, 1) * max(m.group.slowdown, 1) / m.warmFactor()
		if m.aging > 0 {
			ms *= 1 + m.aging*(m.group.now-max(m.started, m.group.sim.started))/60000
		}
		m.serviceTime += ms
		m.group.schedule(ms, func() { m.complete(v) })
	}
}

func (m *member) warmFactor() float64 {
	if age := m.group.now - m.started; m.started > 0 && age < warmupTime {
		return coldCapacity + (1-coldCapacity)*age/warmupTime
	}
	return 1
}

// finish ends a send that ran.
func (m *member) complete(v *request) {
	if !m.running[v] {
		return // the member died meanwhile
	}
	if m.hung {
		m.group.schedule(100, func() { m.complete(v) })
		return
	}
	m.updateBacklog()
	delete(m.running, v)
	m.busy--
	if t := &m.group.sim.types[v.kind]; t.Need == logic.Write && !m.isPrimary() {
		m.respond(v, logic.Miss, 0)
	} else {
		if t.Need == logic.Write {
			m.group.executions[v.op]++
		}
		m.respond(v, logic.OK, m.currentPosition())
	}
	m.startQueued()
}

// tells the driver of the end of a send, if it still listens. data is how far the data of an answer went.
func (m *member) respond(v *request, o logic.Outcome, data float64) {
	note := m.status()
	if ms, arrives := m.group.sim.transit(m.group.process, m.zone, v.from.zone); arrives {
		m.group.sendTo(v.from.process, ms, func() { v.attempt.complete(o, note, data) })
	}
}

// stop ends all that a member has: with its connections reset, or without a sign.
func (m *member) terminate(reset bool) {
	m.updateBacklog()
	lost := append(slices.Clone(m.queue), m.runningRequests()...)
	m.queue, m.running, m.busy, m.conns = nil, map[*request]bool{}, 0, 0
	m.incarnation++
	if !reset {
		return
	}
	for _, v := range lost {
		m.respond(v, logic.Reset, 0)
	}
}

// open are the sends that run at a member, in a fixed order.
func (m *member) runningRequests() (all []*request) {
	for v := range m.running {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *request) int { return cmp.Or(cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.op, b.op)) })
	return all
}

// connects takes a new connection, or refuses it; the handshake takes a while.
func (m *member) accept(h *driver, done func(incarnation int)) {
	if m.unreachable || m.hung {
		return // the driver's own limit ends it
	}
	full := m.group.sim.setup.MaxConnections > 0 && m.conns >= m.group.sim.setup.MaxConnections
	if !m.dead && !full {
		m.conns++
		m.peakConns = max(m.peakConns, m.conns)
	}
	life := m.incarnation
	if m.dead || full {
		life = -1
	}
	if ms, arrives := m.group.sim.transit(m.group.process, m.zone, h.zone); arrives {
		m.group.sendTo(h.process, ms+m.group.sim.setup.Handshake, func() { done(life) })
	}
}

// hangsUp ends a connection of a life.
func (m *member) closeConn(incarnation int) {
	if incarnation == m.incarnation {
		m.conns--
	}
}

// change takes the role from a primary and gives it to another after a while; the log stands still meanwhile.
func (g *group) deposePrimary(old *member, after float64) {
	if g.primary != old {
		return
	}
	g.term++
	term := g.term
	if old.phase != logic.Draining {
		for _, m := range g.members {
			m.currentPosition()
		}
		g.primary, g.logStoppedAt = nil, g.now
	}
	g.schedule(after, func() { g.elect(old, term) })
}

// elect makes the member primary that is farthest, ties by chance; not the one that just lost the role. With nobody
// there it tries again.
func (g *group) elect(old *member, term int) {
	if g.term != term {
		return
	}
	var best *member
	for _, m := range g.members {
		m.promotion = nil
		if at := m.currentPosition(); m == old || m.dead || m.unreachable || m.hung || m.phase != logic.Ready {
			continue
		} else if best == nil || at > best.currentPosition() || at == best.currentPosition() && g.draw.IntN(2) == 0 {
			best = m
		}
	}
	if g.primary = best; best == nil {
		g.logStoppedAt = cmp.Or(g.logStoppedAt, g.now)
		g.schedule(detectionDelay, func() { g.elect(nil, term) })
		return
	}
	g.logStoppedAt = 0
	best.promotion = &Promotion{At: g.now - g.sim.started, Group: g.id, Member: best.id,
		Capacity: 1000 * float64(g.sim.setup.Cores) / g.sim.setup.ServiceTime * best.warmFactor()}
	g.promotions = append(g.promotions, best.promotion)
	if h := g.sim.drivers[0]; g.switchover {
		g.switchover = false
		g.sendTo(h.process, hookDelay, func() {
			h.handleHook(switchover.Notification{Group: g.id, Stage: switchover.StageReleased, To: best.id})
		})
	}
}

// announce tells every driver of a member's line in the list, each a little later.
func (g *group) announceMember(m *member) { g.sendEntry(m.entry()) }

func (g *group) sendEntry(e logic.ListEntry) {
	for _, h := range g.sim.drivers {
		g.sendTo(h.process, g.draw.Float64()*listDelay, func() { h.updateEntry(e) })
	}
}

func (m *member) entry() logic.ListEntry {
	return logic.ListEntry{Member: m.id, Phase: m.phase, Zone: zoneName(m.zone), Started: m.started, Group: m.group.id}
}

func zoneName(i int) string { return string(rune('a' + i)) }

// build makes the members and their groups.
func (w *simulation) addMembers() {
	s := &w.setup
	for g := range s.Groups {
		c := &group{
			process:    w.scheduler.newProcess(len(w.groups), s.Seed, w.started),
			sim:        w,
			id:         int64(g + 1),
			executions: map[string]int{},
			slowdown:   1,
		}
		c.audit = newAuditor(c.process)
		for i := range s.Members {
			m := &member{group: c, id: fmt.Sprintf("g%dm%d", g+1, i+1), zone: i % s.Zones, slowdown: 1, lag: s.ReplicationLag, backlogUpdated: w.started,
				running: map[*request]bool{}}
			c.members = append(c.members, m)
			w.members = append(w.members, m)
			w.membersByID[m.id] = m
		}
		c.primary = c.members[0]
		w.groups = append(w.groups, c)
	}
}
