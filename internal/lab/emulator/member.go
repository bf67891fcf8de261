package emulator

// This file owns members: servers with a number of cores, a queue, a position in the log and connections. They use only
// their group's random number generator.

import (
	"cmp"
	"math"
	"slices"

	"weirwind/logic"
)

const (
	warmupTime       = 8000.0 // milliseconds from a member's start until it has its full capacity
	coldCapacity     = 0.3    // share of its capacity that a member has at its start; it grows linearly
	maxQueuePerCore  = 64     // queued ops; further ones are rejected
	loadedApplyShare = 0.5    // share of the log's growth that a replica applies while all cores are busy and ops wait
	hungPoll         = 100.0  // milliseconds between two checks by an op whether its hung member has resumed
)

// member is a server of a group, which owns it.
type member struct {
	group   *group
	id      string
	zone    int
	phase   logic.Phase
	started float64 // 0: before the run, so the member is warm

	dead        bool    // connections are reset and refused
	unreachable bool    // nothing arrives and nothing is answered
	hung        bool    // connections stay open, and nothing is answered
	failing     bool    // every op is answered with an error immediately
	slowdown    float64 // factor of service times
	aging       float64 // growth of service times per minute since the start, as a share of the original time

	lag            float64 // minimum replication lag in milliseconds
	applyBacklog   float64 // additional lag in milliseconds, as all cores were busy
	backlogUpdated float64 // time at which applyBacklog was computed
	position       float64 // applied log position at the last computation; it never decreases

	busy        int // number of busy cores
	queue       []*request
	running     map[*request]bool
	conns       int
	incarnation int       // number of restarts; connections of an earlier incarnation are reset
	coldSends   []float64 // times of requests that arrived during the warmup, within the auditor's span

	served      int     // requests that were started
	queueTime   float64 // total milliseconds that they waited in the queue
	serviceTime float64 // total milliseconds of core time
	peakConns   int
	promotion   *Promotion // the latest promotion, while its sends are counted
}

// request is an attempt on the member's side. The member owns it; the driver refers to it only through the attempt.
type request struct {
	from      *driver
	attempt   *attempt
	op        string
	kind      int // index of the op type
	arrived   float64
	cancelled bool // the driver cancelled it: it is not started any more
}

func (m *member) isPrimary() bool { return m.group.primary == m }

// currentPosition returns the log position that a member has applied, in milliseconds of virtual time.
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
	m.position = max(m.position, at)
	return m.position
}

// updateBacklog advances a replica's backlog to the current time: while all cores are busy and ops wait, the replica
// applies only a share of the log; otherwise it catches up.
func (m *member) updateBacklog() {
	elapsed := m.group.now - m.backlogUpdated
	m.backlogUpdated = m.group.now
	if m.busy == m.group.sim.setup.Cores && len(m.queue) > 0 {
		m.applyBacklog += elapsed * (1 - loadedApplyShare)
	} else {
		m.applyBacklog = max(0, m.applyBacklog-elapsed)
	}
}

// status returns the status that a member reports with each answer.
func (m *member) status() logic.Sight {
	s := logic.Sight{Role: logic.Replica, Position: math.Max(m.currentPosition(), 0)}
	if m.isPrimary() {
		s.Role = logic.Primary
	}
	return s
}

// receive handles a request on a connection that was opened in the given incarnation of the member.
func (m *member) receive(r *request, incarnation int) {
	if m.promotion != nil && m.group.now < m.promotion.At+m.group.sim.started+promotionSpan {
		m.promotion.Sends++
	}
	r.arrived = m.group.now
	if m.capacityShare() < 1 {
		m.group.audit.coldSend(m)
	}
	switch {
	case m.unreachable: // the driver's timeout ends it
	case m.dead || incarnation != m.incarnation:
		m.respond(r, logic.Reset, 0)
	case m.failing:
		m.respond(r, logic.Fault, 0)
	case m.phase == logic.Draining && !m.isPrimary() || len(m.queue) >= maxQueuePerCore*m.group.sim.setup.Cores:
		m.respond(r, logic.Full, 0)
	default:
		m.updateBacklog()
		m.queue = append(m.queue, r)
		m.startQueued()
	}
}

// startQueued starts requests while there are free cores.
func (m *member) startQueued() {
	for !m.hung && !m.dead && !m.unreachable && m.busy < m.group.sim.setup.Cores && len(m.queue) > 0 {
		m.updateBacklog()
		r := m.queue[0]
		m.queue = m.queue[1:]
		if r.cancelled {
			continue
		}
		m.busy++
		m.running[r] = true
		m.queueTime += m.group.now - r.arrived
		m.served++
		duration := m.drawServiceTime()
		m.serviceTime += duration
		m.group.schedule(duration, func() { m.complete(r) })
	}
}

// drawServiceTime draws the service time of a request on one core under the member's current conditions.
func (m *member) drawServiceTime() float64 {
	duration := m.group.sim.setup.ServiceTime * m.group.random.ExpFloat64() * max(m.slowdown, 1) *
		max(m.group.slowdown, 1) / m.capacityShare()
	if m.aging > 0 {
		duration *= 1 + m.aging*(m.group.now-max(m.started, m.group.sim.started))/60000
	}
	return duration
}

// capacityShare returns the share of its capacity that a member currently has, which is less than 1 during warmup.
func (m *member) capacityShare() float64 {
	if age := m.group.now - m.started; m.started > 0 && age < warmupTime {
		return coldCapacity + (1-coldCapacity)*age/warmupTime
	}
	return 1
}

// complete ends the execution of a request and answers it.
func (m *member) complete(r *request) {
	if !m.running[r] {
		return // the member was terminated meanwhile
	}
	if m.hung {
		m.group.schedule(hungPoll, func() { m.complete(r) })
		return
	}
	m.updateBacklog()
	delete(m.running, r)
	m.busy--
	if t := &m.group.sim.types[r.kind]; t.Need == logic.Write && !m.isPrimary() {
		m.respond(r, logic.Miss, 0)
	} else {
		if t.Need == logic.Write {
			m.group.executions[r.op]++
		}
		m.respond(r, logic.OK, m.currentPosition())
	}
	m.startQueued()
}

// respond sends a request's outcome to the driver. data is the log position that the answer reflects.
func (m *member) respond(r *request, outcome logic.Outcome, data float64) {
	status := m.status()
	if latency, arrives := m.group.sim.transit(m.group.process, m.zone, r.from.zone); arrives {
		m.group.sendTo(r.from.process, latency, func() { r.attempt.complete(outcome, status, data) })
	}
}

// terminate ends all requests and connections of a member; with reset the drivers are notified.
func (m *member) terminate(reset bool) {
	m.updateBacklog()
	lost := append(slices.Clone(m.queue), m.runningRequests()...)
	m.queue, m.running, m.busy, m.conns = nil, map[*request]bool{}, 0, 0
	m.incarnation++
	if !reset {
		return
	}
	for _, r := range lost {
		m.respond(r, logic.Reset, 0)
	}
}

// runningRequests returns the requests that are being executed, in a deterministic order.
func (m *member) runningRequests() (all []*request) {
	for r := range m.running {
		all = append(all, r)
	}
	slices.SortFunc(all, func(a, b *request) int {
		return cmp.Or(cmp.Compare(a.arrived, b.arrived), cmp.Compare(a.op, b.op))
	})
	return all
}

// refused takes the place of the incarnation in the answer to a refused connection.
const refused = -1

// accept opens a connection of a driver, or refuses it; established is called with the member's incarnation after the
// handshake. An unreachable or hung member answers nothing: the driver's timeout ends the attempt.
func (m *member) accept(d *driver, established func(incarnation int)) {
	if m.unreachable || m.hung {
		return
	}
	full := m.group.sim.setup.MaxConnections > 0 && m.conns >= m.group.sim.setup.MaxConnections
	if !m.dead && !full {
		m.conns++
		m.peakConns = max(m.peakConns, m.conns)
	}
	incarnation := m.incarnation
	if m.dead || full {
		incarnation = refused
	}
	if latency, arrives := m.group.sim.transit(m.group.process, m.zone, d.zone); arrives {
		m.group.sendTo(d.process, latency+m.group.sim.setup.Handshake, func() { established(incarnation) })
	}
}

// closeConn closes a connection that was opened in the given incarnation.
func (m *member) closeConn(incarnation int) {
	if incarnation == m.incarnation {
		m.conns--
	}
}

// entry returns the member's entry in the list that discovery gives to drivers.
func (m *member) entry() logic.ListEntry {
	return logic.ListEntry{Member: m.id, Phase: m.phase, Zone: zoneName(m.zone), Started: m.started, Group: m.group.id}
}
