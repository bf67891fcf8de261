package emulator

// This file owns a driver's place in the world: its clients, the carrying out of its decisions, and what it hears. It
// must never decide anything for it, nor answer an op that it has not answered.

import (
	"strconv"

	"weirwind/logic"
)

// policy is the module, or what stands in its place.
type policy interface {
	Step(now float64, events []logic.Event) []logic.Action
}

// op is one try of a client.
type op struct {
	id       string
	kind     int
	group    int64
	asked    float64 // by its client, at first
	arrived  float64
	due      float64 // when the client gives up
	tries    int
	attempts []*attempt
	over     bool
}

type host struct {
	w      *world
	index  int
	zone   string
	policy policy
	ops    map[string]*op
	serial int
	life   int  // counts restarts: what an earlier life asked for meets nobody
	down   bool // between two lives

	opening logic.Opening
	first   []logic.ListEntry // the list of the day's start, with its roles
}

func (h *host) step(events ...logic.Event) {
	if h.down {
		return
	}
	for _, a := range h.policy.Step(h.w.now, events) { // actions are valid until the next step: all is copied here
		h.carry(a)
	}
}

func (h *host) carry(a logic.Action) {
	w := h.w
	switch a.Kind {
	case logic.ActSend:
		o, m := h.ops[a.Op], w.byID[a.Member]
		if o == nil || m == nil {
			w.audit.broken("a send of an op that is not open")
			return
		}
		x := &attempt{host: h, op: o, n: len(o.attempts), to: m, sent: w.now}
		o.attempts = append(o.attempts, x)
		w.audit.sent(x)
		w.after(w.hop(h.zone, m.zone), func() { m.arrives(x) })
		w.after(min(a.Wait, w.types[o.kind].OpTimeout), func() {
			if !x.over {
				x.over = true
				h.answered(x, logic.TimedOut, logic.Sight{})
			}
		})
		if m.silent { // a new connection there never comes up
			w.after(connectLimit, func() {
				if !x.over && !x.started {
					x.over = true
					h.answered(x, logic.ConnectFailed, logic.Sight{})
				}
			})
		}
	case logic.ActCancel:
		if o := h.ops[a.Op]; o != nil && a.Send < len(o.attempts) {
			x := o.attempts[a.Send]
			w.after(a.Wait, func() {
				if !x.over {
					x.over = true
					h.answered(x, logic.Cancelled, logic.Sight{})
				}
			})
		}
	case logic.ActRefuse:
		h.final(a.Op, Refused, a.Wait)
	case logic.ActFail:
		h.final(a.Op, Failed, 0)
	case logic.ActProbe:
		if m := w.byID[a.Member]; m != nil {
			asked, life := w.now, h.life
			w.after(2*w.hop(h.zone, m.zone), func() {
				if h.life != life {
					return
				}
				if m.dead || m.silent || m.hangs {
					h.step(logic.Event{Kind: logic.EvProbed, Member: m.id, Outcome: logic.ConnectFailed, Took: w.now - asked})
					return
				}
				h.step(logic.Event{Kind: logic.EvProbed, Member: m.id, Outcome: logic.OK, Took: w.now - asked, Report: m.sight()})
			})
		}
	case logic.ActTimer:
		life := h.life
		w.after(a.Wait, func() {
			if h.life == life {
				h.step(logic.Event{Kind: logic.EvTimer})
			}
		})
	case logic.ActMessage:
		data := append([]byte(nil), a.Data...)
		for _, other := range w.hosts {
			if other != h {
				w.after(w.hop(h.zone, other.zone), func() { other.step(logic.Event{Kind: logic.EvMessage, Data: data}) })
			}
		}
	}
}

// answered tells the policy how an attempt ended, and the client of a good answer.
func (h *host) answered(a *attempt, o logic.Outcome, note logic.Sight) {
	closed := a.op.over
	if o == logic.OK && !closed {
		h.final(a.op.id, Acked, 0)
		closed = true
	}
	h.step(logic.Event{Kind: logic.EvAnswer, Op: a.op.id, Send: a.n, Member: a.to.id, Outcome: o, Note: note, Closed: closed})
	if closed {
		h.forget(a.op)
	}
}

// forget lets go of an op when nothing of it is out any more.
func (h *host) forget(o *op) {
	for _, a := range o.attempts {
		if !a.over {
			return
		}
	}
	delete(h.ops, o.id)
}

// final gives an op's client its answer. One that was refused asks again while its patience lasts.
func (h *host) final(id string, end End, advice float64) {
	o := h.ops[id]
	if o == nil {
		h.w.audit.broken("an answer to an op that is not open")
		return
	}
	h.w.audit.answered(o, end)
	if o.over {
		return
	}
	o.over = true
	h.w.result.ended(h.w, o, end)
	if end == Refused && o.tries < h.w.setup.Retries && h.w.now < o.due {
		h.w.after(max(advice, 20)*(0.5+h.w.draw.Float64()), func() {
			if h.w.now < o.due {
				h.ask(&op{kind: o.kind, group: o.group, asked: o.asked, due: o.due, tries: o.tries + 1})
			}
		})
	}
	h.forget(o)
}

// ask puts an op before the driver; one that is down refuses the connection, and the client comes again.
func (h *host) ask(o *op) {
	if h.down {
		h.w.after(50*(0.5+h.w.draw.Float64()), func() {
			if h.w.now < o.due {
				h.ask(o)
			}
		})
		return
	}
	h.serial++
	o.id = strconv.Itoa(h.index) + "." + strconv.Itoa(h.serial)
	o.arrived = h.w.now
	h.ops[o.id] = o
	h.w.audit.taken(o)
	h.step(logic.Event{Kind: logic.EvOp, Op: o.id, OpType: o.kind, Group: o.group, Left: o.due - h.w.now})
	h.w.after(o.due-h.w.now+grace, func() { h.w.audit.due(o) })
}

// arrivals lets clients come, at a rate a millisecond, each time after a pause drawn.
func (h *host) arrivals(rate float64) {
	h.w.after(h.w.draw.ExpFloat64()/rate, func() {
		if h.w.now >= h.w.setup.For {
			return
		}
		kind, x := 0, h.w.draw.Float64()
		for kind < len(shares)-1 && x >= shares[kind] {
			x -= shares[kind]
			kind++
		}
		h.w.result.Asked++
		h.w.result.asked += h.w.types[kind].Value
		h.ask(&op{kind: kind, group: int64(h.w.draw.IntN(h.w.setup.Groups) + 1), asked: h.w.now, due: h.w.now + h.w.types[kind].OpTimeout})
		h.arrivals(rate)
	})
}
