package emulator

// This file owns clients: when they come, what they ask, for whom, and how often. It must never let an op wait for
// another's answer: what comes is due when it is due.

import (
	"strconv"

	"weirwind/logic"
)

// session is a client that may ask for its own writes.
type session struct {
	lastWrite float64 // the position of its last write, 0 for none
}

const sessionsPerDriver = 50 // a driver

// ask puts an op before the driver; one that is down refuses the connection, and the client comes again.
func (h *driver) submit(o *op) {
	if h.down {
		h.schedule(50*(0.5+h.draw.Float64()), func() {
			if h.now < o.deadline {
				h.submit(o)
			}
		})
		return
	}
	if h.deferIfPaused(func() { h.submit(o) }) {
		return
	}
	if h.now >= o.deadline { // the driver stood still for longer than its patience
		h.worker.counters.Lost++
		return
	}
	h.opCount++
	o.id = strconv.Itoa(h.index) + "." + strconv.Itoa(h.opCount)
	h.ops[o.id] = o
	h.worker.counters.opSubmitted(h, o)
	ev := logic.Event{Kind: logic.EvOp, Op: o.id, OpType: o.kind, Group: o.group, Left: o.deadline - h.now}
	if o.session != nil && o.session.lastWrite > 0 {
		o.lastWrite = o.session.lastWrite
		ev.WroteAgo = max(h.now-o.lastWrite, 1e-6)
	}
	life := h.incarnation
	h.schedule(o.deadline-h.now+drainGrace, func() {
		if h.incarnation == life {
			h.audit.deadlinePassed(o)
		}
	})
	h.step(ev)
}

// arrivals lets clients come, each time after a pause drawn.
func (h *driver) scheduleArrivals() {
	h.schedule(h.draw.ExpFloat64()/(h.rate*h.rateFactor), func() {
		if h.now >= h.sim.started+h.sim.setup.Duration || h.removed {
			return
		}
		kind, x := 0, h.draw.Float64()*h.sim.totalShare
		for x -= h.sim.setup.Mix[0].Share; x >= 0 && kind < len(h.sim.setup.Mix)-1; x -= h.sim.setup.Mix[kind].Share {
			kind++
		}
		o := &op{
			kind:     kind,
			group:    int64(h.draw.IntN(h.sim.setup.Groups) + 1),
			started:  h.now,
			deadline: h.now + h.sim.types[kind].OpTimeout,
		}
		if h.hotGroup {
			o.group = 1
		}
		if h.sim.setup.Groups == 1 { // a session's writes are one group's: positions of two can't be compared
			o.session = &h.sessions[h.draw.IntN(len(h.sessions))]
		} else if h.sim.types[kind].Need == logic.Session || h.sim.types[kind].Need == logic.Write {
			groups := h.sim.setup.Groups
			session := h.draw.IntN(len(h.sessions))/groups*groups + int(o.group) - 1
			o.session = &h.sessions[session%len(h.sessions)]
		}
		h.submit(o)
		h.scheduleArrivals()
	})
}
