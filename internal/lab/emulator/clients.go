package emulator

// This file owns clients: when they come, what they ask, for whom, and how often. It must never let an op wait for
// another's answer: what comes is due when it is due.

import (
	"strconv"

	"weirwind/logic"
)

// session is a client that may ask for its own writes.
type session struct {
	wrote float64 // the position of its last write, 0 for none
}

const sessionsEach = 50 // a driver

// ask puts an op before the driver; one that is down refuses the connection, and the client comes again.
func (h *host) ask(o *op) {
	if h.down {
		h.after(50*(0.5+h.draw.Float64()), func() {
			if h.now < o.due {
				h.ask(o)
			}
		})
		return
	}
	if h.keeps(func() { h.ask(o) }) {
		return
	}
	if h.now >= o.due { // the driver stood still for longer than its patience
		h.core.tally.Lost++
		return
	}
	h.count++
	o.id = strconv.Itoa(h.index) + "." + strconv.Itoa(h.count)
	h.ops[o.id] = o
	h.core.tally.asks(h, o)
	ev := logic.Event{Kind: logic.EvOp, Op: o.id, OpType: o.kind, Group: o.group, Left: o.due - h.now}
	if o.session != nil && o.session.wrote > 0 {
		o.wrote = o.session.wrote
		ev.WroteAgo = max(h.now-o.wrote, 1e-6)
	}
	life := h.life
	h.after(o.due-h.now+grace, func() {
		if h.life == life {
			h.audit.due(o)
		}
	})
	h.step(ev)
}

// arrivals lets clients come, each time after a pause drawn.
func (h *host) arrivals() {
	h.after(h.draw.ExpFloat64()/(h.rate*h.surge), func() {
		if h.now >= h.w.begin+h.w.setup.For || h.ended {
			return
		}
		kind, x := 0, h.draw.Float64()*h.w.shares
		for x -= h.w.setup.Mix[0].Share; x >= 0 && kind < len(h.w.setup.Mix)-1; x -= h.w.setup.Mix[kind].Share {
			kind++
		}
		o := &op{
			kind:  kind,
			group: int64(h.draw.IntN(h.w.setup.Groups) + 1),
			asked: h.now,
			due:   h.now + h.w.types[kind].OpTimeout,
		}
		if h.hot {
			o.group = 1
		}
		if h.w.setup.Groups == 1 { // a session's writes are one group's: positions of two can't be compared
			o.session = &h.sessions[h.draw.IntN(len(h.sessions))]
		} else if h.w.types[kind].Need == logic.Session || h.w.types[kind].Need == logic.Write {
			groups := h.w.setup.Groups
			session := h.draw.IntN(len(h.sessions))/groups*groups + int(o.group) - 1
			o.session = &h.sessions[session%len(h.sessions)]
		}
		h.ask(o)
		h.arrivals()
	})
}
