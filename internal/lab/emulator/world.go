// Package emulator plays drivers before members in virtual time: the decision module as it is, or a plain policy in its
// place, with faults by schedule and an auditor that shares no code with the module. The same seed gives the same
// play on every machine.
//
// This file owns time, the network, the members and their groups. It must never look into a driver, or draw from
// anything but its seed.
package emulator

import (
	"cmp"
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"

	"weirwind/logic"
)

// Constants of the world, in milliseconds, each with its reason.
const (
	hop          = 0.4    // one way between two machines of a data centre
	farHop       = 1.2    // and to the other one
	connectLimit = 250.0  // a connect that never comes up is given up after so long
	listDelay    = 300.0  // from a change to a driver's list, at most: a watch and its way
	queueMost    = 64     // ops that wait at a member, a core: then it turns away
	detect       = 1500.0 // until a cluster's own watch has seen that a primary is gone
	elect        = 2000.0 // and has made another
	handover     = 500.0  // from a drain mark on the primary to the next one
)

// Fault is one event of the schedule.
type Fault struct {
	At     float64 // milliseconds
	What   string  // kill, heal, hang, vanish, slow, lag, drain
	Member string
}

// Setup is what is to be played.
type Setup struct {
	Drivers, Groups, Members int // members a group
	Cores                    int
	Work                     float64 // mean milliseconds of an op on one core
	Load                     float64 // share of all members' cores that ops would take if all were served once
	Lag                      float64 // of replicas, milliseconds
	For                      float64 // milliseconds
	Retries                  int     // further tries of a client whose op was refused, while its patience lasts
	Policy                   string  // "module", "primary", "random", "round-robin", "least"
	Seed                     uint64
	Faults                   []Fault
}

type event struct {
	at     float64
	serial uint64
	do     func()
}

type queue []event

func (q queue) Len() int { return len(q) }
func (q queue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].serial < q[j].serial
}
func (q queue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *queue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *queue) Pop() any {
	old := *q
	x := old[len(old)-1]
	*q = old[:len(old)-1]
	return x
}

type world struct {
	setup   Setup
	now     float64
	serial  uint64
	events  queue
	draw    *rand.Rand
	members []*server
	byID    map[string]*server
	groups  []*cluster
	hosts   []*host
	types   []logic.OpType
	audit   *auditor
	result  *Result
}

func (w *world) after(ms float64, do func()) {
	w.serial++
	heap.Push(&w.events, event{w.now + max(ms, 0), w.serial, do})
}

func (w *world) run(until float64) {
	for len(w.events) > 0 && w.events[0].at <= until {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.do()
	}
	w.now = until
}

type cluster struct {
	id      int64
	members []*server
	primary *server
}

// server is a member.
type server struct {
	w       *world
	id      string
	group   *cluster
	zone    string
	phase   logic.Phase
	started float64
	dead    bool // connections are reset and refused
	silent  bool // it can't be reached, and gives no sign
	hangs   bool
	slow    float64
	lag     float64
	stopped float64 // the time at which its log stands still, 0 for not: its group has no primary
	busy    int
	waiting []*attempt
	running map[*attempt]bool
	applied float64 // its position when that was last asked
}

// attempt is one send on its way or at a member.
type attempt struct {
	host    *host
	op      *op
	n       int
	to      *server
	sent    float64
	over    bool // its driver has heard its end, or stopped listening
	started bool
}

func (w *world) hop(a, b string) float64 {
	x := hop
	if a != b {
		x = farHop
	}
	return x * (0.5 + w.draw.ExpFloat64()*0.5)
}

// position is up to where a member has applied the log.
func (m *server) position() float64 {
	at := m.w.now
	if m.stopped > 0 {
		at = m.stopped
	}
	if m.group.primary != m {
		at -= m.lag
	} else {
		at = m.w.now
	}
	m.applied = max(m.applied, at) // a log that falls behind stands still: it does not go back
	return m.applied
}

func (m *server) sight() logic.Sight {
	s := logic.Sight{Role: logic.Replica, Position: math.Max(m.position(), 0)}
	if m.group.primary == m {
		s.Role = logic.Primary
	}
	return s
}

// arrives takes an attempt in.
func (m *server) arrives(a *attempt) {
	switch {
	case m.silent:
		return // nobody hears of it: the driver's own limit ends it
	case m.dead:
		a.ends(logic.ConnectFailed, hop)
	case m.phase == logic.Draining || len(m.waiting) >= queueMost*m.w.setup.Cores:
		a.ends(logic.Full, hop)
	default:
		m.waiting = append(m.waiting, a)
		m.work()
	}
}

// work starts what waits while a core is free. A cold member has less of each core.
func (m *server) work() {
	for !m.hangs && !m.dead && !m.silent && m.busy < m.w.setup.Cores && len(m.waiting) > 0 {
		a := m.waiting[0]
		m.waiting = m.waiting[1:]
		if a.over && !a.started { // given up before it began
			continue
		}
		m.busy++
		a.started = true
		m.running[a] = true
		ms := m.w.setup.Work * m.w.draw.ExpFloat64() * max(m.slow, 1) / m.warmth()
		m.w.after(ms, func() {
			if !m.running[a] {
				return // the member died meanwhile
			}
			if m.hangs {
				m.w.after(100, func() { m.finish(a) })
				return
			}
			m.finish(a)
		})
	}
}

func (m *server) warmth() float64 {
	if age := m.w.now - m.started; m.started > 0 && age < coldFor {
		return coldFrom + (1-coldFrom)*age/coldFor
	}
	return 1
}

// finish ends an attempt that ran.
func (m *server) finish(a *attempt) {
	if !m.running[a] {
		return
	}
	if m.hangs {
		m.w.after(100, func() { m.finish(a) })
		return
	}
	delete(m.running, a)
	m.busy--
	if t := &m.w.types[a.op.kind]; t.Need == logic.Write && m.group.primary != m {
		a.ends(logic.Miss, m.w.hop(m.zone, a.host.zone))
	} else {
		m.w.audit.ran(a, m)
		a.ends(logic.OK, m.w.hop(m.zone, a.host.zone))
	}
	m.work()
}

// ends tells the driver of the end of an attempt, if it still listens.
func (a *attempt) ends(o logic.Outcome, delay float64) {
	note := a.to.sight()
	a.host.w.after(delay, func() {
		if a.over {
			return
		}
		a.over = true
		a.host.answered(a, o, note)
	})
}

// stop ends all that a member has: with its connections reset, or without a sign.
func (m *server) stop(sign bool) {
	lost := append(m.waiting, m.w.attempts(m)...)
	m.waiting, m.running, m.busy = nil, map[*attempt]bool{}, 0
	if !sign {
		return
	}
	for _, a := range lost {
		a.ends(logic.Reset, hop)
	}
}

// attempts are those that run at a member, in a fixed order.
func (w *world) attempts(m *server) (all []*attempt) {
	for a := range m.running {
		all = append(all, a)
	}
	slices.SortFunc(all, func(a, b *attempt) int { return cmp.Or(cmp.Compare(a.sent, b.sent), cmp.Compare(a.op.id, b.op.id)) })
	return all
}

// strike carries a fault out, whose words Play has checked.
func (w *world) strike(f Fault) {
	if keep := f.What == "restart"; keep || f.What == "lose" {
		for _, h := range w.hosts {
			if f.Member == "all" || f.Member == h.name() {
				h.restart(keep)
			}
		}
		return
	}
	m := w.byID[f.Member]
	switch f.What {
	case "kill":
		m.dead = true
		m.stop(true)
		w.change(m.group, m, detect+elect)
	case "vanish":
		m.silent = true
		m.stop(false)
		w.change(m.group, m, detect+elect)
	case "hang":
		m.hangs = true
		w.change(m.group, m, detect+elect)
	case "heal":
		if m.dead || m.silent {
			m.started = w.now
		}
		m.dead, m.silent, m.hangs, m.slow, m.lag, m.phase = false, false, false, 1, w.setup.Lag, logic.Ready
		m.work()
		w.announce(m)
	case "slow":
		m.slow = 4
	case "lag":
		m.position()
		m.lag = 30 * max(w.setup.Lag, 10)
	case "drain":
		m.phase = logic.Draining
		w.announce(m)
		w.change(m.group, m, handover)
	}
}

// change takes the role from a primary and gives it to another after a while; the logs of the others stand still.
func (w *world) change(g *cluster, old *server, after float64) {
	if g.primary != old {
		return
	}
	last := w.now
	if old.phase != logic.Draining {
		g.primary = nil
	}
	w.after(after, func() {
		var can []*server
		for _, m := range g.members {
			if m != old && !m.dead && !m.silent && !m.hangs && m.phase == logic.Ready {
				can = append(can, m)
			}
		}
		if g.primary = nil; len(can) > 0 {
			g.primary = can[w.draw.IntN(len(can))]
		}
		for _, m := range g.members {
			m.stopped = 0
		}
	})
	if g.primary == nil {
		for _, m := range g.members {
			m.stopped = last
		}
	}
}

// announce tells every driver of a member's new line in the list, each a little later.
func (w *world) announce(m *server) {
	e := m.entry()
	for _, h := range w.hosts {
		w.after(w.draw.Float64()*listDelay, func() {
			w.audit.told(h, m, e.Phase)
			h.step(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{e}})
		})
	}
}

func (m *server) entry() logic.ListEntry {
	return logic.ListEntry{Member: m.id, Phase: m.phase, Zone: m.zone, Started: m.started, Group: m.group.id}
}

// build makes the members and their groups.
func (w *world) build() {
	for g := range w.setup.Groups {
		c := &cluster{id: int64(g + 1)}
		for i := range w.setup.Members {
			m := &server{w: w, id: fmt.Sprintf("g%dm%d", g+1, i+1), group: c, zone: string(rune('a' + i%2)), slow: 1, lag: w.setup.Lag,
				running: map[*attempt]bool{}}
			c.members = append(c.members, m)
			w.members = append(w.members, m)
			w.byID[m.id] = m
		}
		c.primary = c.members[0]
		w.groups = append(w.groups, c)
	}
}
