package emulator

// This file owns clients: when they arrive and which ops they submit. The load is open-loop: no op waits for the answer
// to another.

import (
	"strconv"

	"weirwind/logic"
)

const (
	sessionsPerDriver = 50
	reconnectDelay    = 50.0 // mean milliseconds until a client whose driver is down retries
)

// session is a client that may read its own writes.
type session struct {
	lastWrite float64 // log position of its last write, 0 if none
}

// submit submits an op to the driver. A driver that is down refuses the connection, and the client retries.
func (d *driver) submit(o *op) {
	if d.down {
		d.schedule(reconnectDelay*(0.5+d.random.Float64()), func() {
			if d.now < o.deadline {
				d.submit(o)
			}
		})
		return
	}
	if d.deferIfPaused(func() { d.submit(o) }) {
		return
	}
	if d.now >= o.deadline { // the driver was paused until then
		d.worker.counters.Lost++
		return
	}
	d.opCount++
	o.id = strconv.Itoa(d.index) + "." + strconv.Itoa(d.opCount)
	d.ops[o.id] = o
	d.worker.counters.opSubmitted(d, o)
	event := logic.Event{Kind: logic.EvOp, Op: o.id, OpType: o.kind, Group: o.group, Left: o.deadline - d.now}
	if o.session != nil && o.session.lastWrite > 0 {
		o.lastWrite = o.session.lastWrite
		event.WroteAgo = max(d.now-o.lastWrite, 1e-6)
	}
	incarnation := d.incarnation
	d.schedule(o.deadline-d.now+drainGrace, func() {
		if d.incarnation == incarnation {
			d.audit.deadlinePassed(o)
		}
	})
	d.step(event)
}

// scheduleArrival schedules arrivals of clients with exponential interarrival times until the run's duration is over.
func (d *driver) scheduleArrival() {
	d.schedule(d.random.ExpFloat64()/(d.rate*d.rateFactor), func() {
		if d.now >= d.sim.started+d.sim.setup.Duration || d.removed {
			return
		}
		d.submit(d.newOp())
		d.scheduleArrival()
	})
}

// newOp returns an op whose type is drawn by the shares of the mix.
func (d *driver) newOp() *op {
	setup := &d.sim.setup
	kind, remaining := 0, d.random.Float64()*d.sim.totalShare
	for remaining -= setup.Mix[0].Share; remaining >= 0 && kind < len(setup.Mix)-1; remaining -= setup.Mix[kind].Share {
		kind++
	}
	o := &op{
		kind:     kind,
		group:    int64(d.random.IntN(setup.Groups) + 1),
		started:  d.now,
		deadline: d.now + d.sim.types[kind].OpTimeout,
	}
	if d.hotGroup {
		o.group = 1
	}
	o.session = d.drawSession(o)
	return o
}

// drawSession draws the session that an op belongs to, or returns nil for an op without a session. All writes of a
// session are to one group, as positions of different groups can't be compared; with several groups each group has its
// own sessions.
func (d *driver) drawSession(o *op) *session {
	groups := d.sim.setup.Groups
	if groups == 1 {
		return &d.sessions[d.random.IntN(len(d.sessions))]
	}
	if need := d.sim.types[o.kind].Need; need != logic.Session && need != logic.Write {
		return nil
	}
	i := d.random.IntN(len(d.sessions))/groups*groups + int(o.group) - 1
	return &d.sessions[i%len(d.sessions)]
}
