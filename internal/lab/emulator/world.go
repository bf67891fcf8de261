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
	coldFor, coldFrom = 8000.0, 0.3 // after its start a member does this share of its work, and all after so long
	connectLimit      = 250.0       // a connect that never comes up is given up after so long
	listDelay         = 300.0       // from a change to a driver's list, at most: a watch and its way
	queueMost         = 64          // ops that wait at a member, a core: then it turns away
	detect            = 1500.0      // until a cluster's own watch has seen that a primary is gone; elections follow
	handover          = 500.0       // from a drain mark on the primary to the next one
	applyShare        = 0.5         // a replica whose cores are all taken applies so much of the log that comes
	resend            = 200.0       // a lost packet is sent again after so long, as kernels do at first
	idleMost          = 15000.0     // a connection that rests for so long is closed
	slowTimes         = 4.0         // a slow member's ops take so many times as long
	lagTimes          = 30.0        // a replica that lags is so many times as far behind
	deployPause       = 4000.0      // between two members of a deploy; each drains for handover and restarts
)

type world struct {
	setup   Setup
	clock   *clock
	members []*server
	byID    map[string]*server
	groups  []*cluster
	hosts   []*host
	types   []logic.OpType
	cuts    []cut
	begin   float64
	shares  float64 // of all op types together
}

// cluster is a group: one lane with its members.
type cluster struct {
	*lane
	w        *world
	id       int64
	members  []*server
	primary  *server
	stopped  float64 // the time at which its log stands still, 0 for not: it has no primary
	term     int     // counts changes of the primary
	slow     float64 // a shared slowdown
	ran      map[string]int
	openings []*Opening
	audit    *lens
	planned  bool // hooks tell of the change that is under way
}

// Opening is what a new primary met in its first second.
type Opening struct {
	At     float64 // milliseconds from the play's start
	Group  int64
	Member string
	Sends  int     // that came to it
	Can    float64 // what it can do in that time
}

// server is a member.
type server struct {
	g       *cluster
	id      string
	zone    int
	phase   logic.Phase
	started float64
	dead    bool // connections are reset and refused
	silent  bool // it can't be reached, and gives no sign
	hangs   bool
	fails   bool // it answers every op with an error at once
	slow    float64
	lag     float64
	ages    float64 // its ops take so many times as long more with each minute of its life
	behind  float64 // of the log, for want of cores
	looked  float64 // when that was last reckoned
	busy    int
	conns   int
	life    int
	waiting []*visit
	running map[*visit]bool
	applied float64 // its position when that was last asked
	cold    []float64

	served  int
	waited  float64 // milliseconds, of those served
	worked  float64
	opening *Opening
	conned  int // the most connections at a time
}

// visit is a send at a member. The member owns it; its driver knows it by the attempt alone.
type visit struct {
	from    *host
	attempt *attempt
	op      string
	kind    int
	came    float64
	left    bool // its driver has cancelled it
}

// way draws the time of one way between zones and says whether what goes it arrives.
func (w *world) way(l *lane, from, to int) (ms float64, arrives bool) {
	x := w.setup.Hop
	if from != to {
		x = w.setup.FarHop
	}
	ms = x * (0.5 + l.draw.ExpFloat64()*0.5)
	for _, c := range w.cuts {
		if l.now < c.from || l.now >= c.until {
			continue
		}
		if c.loss > 0 {
			for again := resend; again < 16*resend && l.draw.Float64() < c.loss; again *= 2 {
				ms += again
			}
		} else if c.a == from && c.b == to {
			return ms, false
		}
	}
	return ms, true
}

// cut is a time in which nothing goes from a zone to another, or in which a share of all packets is lost.
type cut struct {
	from, until float64
	a, b        int
	loss        float64
}

func (m *server) primary() bool { return m.g.primary == m }

// position is up to where a member has applied the log.
func (m *server) position() float64 {
	m.catchUp()
	at := m.g.now
	if m.g.stopped > 0 {
		at = m.g.stopped
	}
	if m.primary() {
		at = m.g.now
	} else {
		at -= m.lag + m.behind
	}
	m.applied = max(m.applied, at) // a log that falls behind stands still: it does not go back
	return m.applied
}

// catchUp reckons how far a replica has fallen behind since the last look: with all cores taken and more waiting it
// applies less than what comes, else it gains on it.
func (m *server) catchUp() {
	dt := m.g.now - m.looked
	m.looked = m.g.now
	if m.busy == m.g.w.setup.Cores && len(m.waiting) > 0 {
		m.behind += dt * (1 - applyShare)
	} else {
		m.behind = max(0, m.behind-dt)
	}
}

func (m *server) sight() logic.Sight {
	s := logic.Sight{Role: logic.Replica, Position: math.Max(m.position(), 0)}
	if m.primary() {
		s.Role = logic.Primary
	}
	return s
}

// arrives takes a send in, on a connection that was opened in a life of the member.
func (m *server) arrives(v *visit, life int) {
	if m.opening != nil && m.g.now < m.opening.At+m.g.w.begin+1000 {
		m.opening.Sends++
	}
	v.came = m.g.now
	if m.warmth() < 1 {
		m.g.audit.push(m)
	}
	switch {
	case m.silent:
		return // nobody hears of it: the driver's own limit ends it
	case m.dead || life != m.life:
		m.tells(v, logic.Reset, 0)
	case m.fails:
		m.tells(v, logic.Fault, 0)
	case m.phase == logic.Draining && !m.primary() || len(m.waiting) >= queueMost*m.g.w.setup.Cores:
		m.tells(v, logic.Full, 0)
	default:
		m.catchUp()
		m.waiting = append(m.waiting, v)
		m.work()
	}
}

// work starts what waits while a core is free. A cold member has less of each core.
func (m *server) work() {
	for !m.hangs && !m.dead && !m.silent && m.busy < m.g.w.setup.Cores && len(m.waiting) > 0 {
		m.catchUp()
		v := m.waiting[0]
		m.waiting = m.waiting[1:]
		if v.left { // given up before it began, and the word of it came
			continue
		}
		m.busy++
		m.running[v] = true
		m.waited += m.g.now - v.came
		m.served++
		ms := m.g.w.setup.Work * m.g.draw.ExpFloat64() * max(m.slow, 1) * max(m.g.slow, 1) / m.warmth()
		if m.ages > 0 {
			ms *= 1 + m.ages*(m.g.now-max(m.started, m.g.w.begin))/60000
		}
		m.worked += ms
		m.g.after(ms, func() { m.finish(v) })
	}
}

func (m *server) warmth() float64 {
	if age := m.g.now - m.started; m.started > 0 && age < coldFor {
		return coldFrom + (1-coldFrom)*age/coldFor
	}
	return 1
}

// finish ends a send that ran.
func (m *server) finish(v *visit) {
	if !m.running[v] {
		return // the member died meanwhile
	}
	if m.hangs {
		m.g.after(100, func() { m.finish(v) })
		return
	}
	m.catchUp()
	delete(m.running, v)
	m.busy--
	if t := &m.g.w.types[v.kind]; t.Need == logic.Write && !m.primary() {
		m.tells(v, logic.Miss, 0)
	} else {
		if t.Need == logic.Write {
			m.g.ran[v.op]++
		}
		m.tells(v, logic.OK, m.position())
	}
	m.work()
}

// tells the driver of the end of a send, if it still listens. data is how far the data of an answer went.
func (m *server) tells(v *visit, o logic.Outcome, data float64) {
	note := m.sight()
	if ms, arrives := m.g.w.way(m.g.lane, m.zone, v.from.zone); arrives {
		m.g.post(v.from.lane, ms, func() { v.attempt.ends(o, note, data) })
	}
}

// stop ends all that a member has: with its connections reset, or without a sign.
func (m *server) stop(sign bool) {
	m.catchUp()
	lost := append(slices.Clone(m.waiting), m.open()...)
	m.waiting, m.running, m.busy, m.conns = nil, map[*visit]bool{}, 0, 0
	m.life++
	if !sign {
		return
	}
	for _, v := range lost {
		m.tells(v, logic.Reset, 0)
	}
}

// open are the sends that run at a member, in a fixed order.
func (m *server) open() (all []*visit) {
	for v := range m.running {
		all = append(all, v)
	}
	slices.SortFunc(all, func(a, b *visit) int { return cmp.Or(cmp.Compare(a.came, b.came), cmp.Compare(a.op, b.op)) })
	return all
}

// connects takes a new connection, or refuses it; the handshake takes a while.
func (m *server) connects(h *host, done func(life int)) {
	if m.silent || m.hangs {
		return // the driver's own limit ends it
	}
	full := m.g.w.setup.Connections > 0 && m.conns >= m.g.w.setup.Connections
	if !m.dead && !full {
		m.conns++
		m.conned = max(m.conned, m.conns)
	}
	life := m.life
	if m.dead || full {
		life = -1
	}
	if ms, arrives := m.g.w.way(m.g.lane, m.zone, h.zone); arrives {
		m.g.post(h.lane, ms+m.g.w.setup.Handshake, func() { done(life) })
	}
}

// hangsUp ends a connection of a life.
func (m *server) hangsUp(life int) {
	if life == m.life {
		m.conns--
	}
}

// change takes the role from a primary and gives it to another after a while; the log stands still meanwhile.
func (g *cluster) change(old *server, after float64) {
	if g.primary != old {
		return
	}
	g.term++
	term := g.term
	if old.phase != logic.Draining {
		for _, m := range g.members {
			m.position()
		}
		g.primary, g.stopped = nil, g.now
	}
	g.after(after, func() { g.elect(old, term) })
}

// elect makes the member primary that is farthest, ties by chance; not the one that just lost the role. With nobody
// there it tries again.
func (g *cluster) elect(old *server, term int) {
	if g.term != term {
		return
	}
	var best *server
	for _, m := range g.members {
		m.opening = nil
		if at := m.position(); m == old || m.dead || m.silent || m.hangs || m.phase != logic.Ready {
			continue
		} else if best == nil || at > best.position() || at == best.position() && g.draw.IntN(2) == 0 {
			best = m
		}
	}
	if g.primary = best; best == nil {
		g.stopped = cmp.Or(g.stopped, g.now)
		g.after(detect, func() { g.elect(nil, term) })
		return
	}
	g.stopped = 0
	best.opening = &Opening{At: g.now - g.w.begin, Group: g.id, Member: best.id,
		Can: 1000 * float64(g.w.setup.Cores) / g.w.setup.Work * best.warmth()}
	g.openings = append(g.openings, best.opening)
	if h := g.w.hosts[0]; g.planned {
		g.planned = false
		g.post(h.lane, hookWay, func() {
			h.hook(switchover.Notification{Group: g.id, Stage: switchover.StageReleased, To: best.id})
		})
	}
}

// announce tells every driver of a member's line in the list, each a little later.
func (g *cluster) announce(m *server) { g.say(m.entry()) }

func (g *cluster) say(e logic.ListEntry) {
	for _, h := range g.w.hosts {
		g.post(h.lane, g.draw.Float64()*listDelay, func() { h.hears(e) })
	}
}

func (m *server) entry() logic.ListEntry {
	return logic.ListEntry{Member: m.id, Phase: m.phase, Zone: zoneName(m.zone), Started: m.started, Group: m.g.id}
}

func zoneName(i int) string { return string(rune('a' + i)) }

// build makes the members and their groups.
func (w *world) build() {
	s := &w.setup
	for g := range s.Groups {
		c := &cluster{
			lane: w.clock.lane(len(w.groups), s.Seed, w.begin),
			w:    w,
			id:   int64(g + 1),
			ran:  map[string]int{},
			slow: 1,
		}
		c.audit = newLens(c.lane)
		for i := range s.Members {
			m := &server{g: c, id: fmt.Sprintf("g%dm%d", g+1, i+1), zone: i % s.Zones, slow: 1, lag: s.Lag, looked: w.begin,
				running: map[*visit]bool{}}
			c.members = append(c.members, m)
			w.members = append(w.members, m)
			w.byID[m.id] = m
		}
		c.primary = c.members[0]
		w.groups = append(w.groups, c)
	}
}
