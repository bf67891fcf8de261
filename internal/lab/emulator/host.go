package emulator

// This file owns a driver's place in the world: its connections, the carrying out of its decisions, and what it hears.
// It must never decide anything for it, nor answer an op that it has not answered.

import (
	"slices"
	"strconv"

	"weirwind/internal/switchover"
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
	session  *session
	wrote    float64 // what the session had written when it asked
	asked    float64 // by its client, at first
	due      float64 // when the client gives up
	tries    int
	attempts []*attempt
	over     bool
	answers  int
	stood    bool // its driver stands still at the end of its time
}

// attempt is one send, as its driver knows it.
type attempt struct {
	host    *host
	op      *op
	n       int
	to      *server
	sent    float64
	opened  float64 // when its connection was
	life    int     // of the member, in which the connection was opened
	linked  bool
	over    bool // its driver has heard its end, or stopped listening
	outcome logic.Outcome
	visit   *visit
}

// link is a connection that rests.
type link struct {
	opened, since float64
	life          int
}

type host struct {
	*lane
	w        *world
	index    int
	zone     int
	policy   policy
	ops      map[string]*op
	links    map[*server][]link
	sessions []session
	count    int
	life     int  // counts restarts: what an earlier life asked for meets nobody
	down     bool // between two lives
	frozen   float64
	kept     []func() // what came while it was frozen
	opening  logic.Opening
	list     []logic.ListEntry // what discovery would tell it now
	place    map[string]int    // of a member in it
	deaf     float64           // its list stands still until then
	missed   []logic.ListEntry
	rate     float64             // ops a millisecond
	surge    float64             // times the usual rate
	ended    bool                // for good: its clients go to the rest
	hot      bool                // its clients ask of one group
	book     *switchover.Tracker // of words on changes, from the first one on
	marked   map[string]bool
	looks    bool // while a change is open
	audit    *lens
	writes   map[string]End
}

func (h *host) name() string { return "n" + strconv.Itoa(h.index) }

// keeps puts off what comes to a driver that is frozen until it goes on.
func (h *host) keeps(do func()) bool {
	if h.now < h.frozen {
		h.kept = append(h.kept, do)
		return true
	}
	return false
}

// step puts events before the policy; one that is frozen gets them when it goes on.
func (h *host) step(events ...logic.Event) {
	if h.down || h.keeps(func() { h.step(events...) }) {
		return
	}
	for _, a := range h.policy.Step(h.now, events) { // actions are valid until the next step: all is copied here
		h.carry(a)
	}
}

// hears takes a line of the list, or keeps it back while the list stands still.
func (h *host) hears(e logic.ListEntry) {
	i := h.place[e.Member]
	e.Primary = h.list[i].Primary
	h.list[i] = e
	if h.now < h.deaf {
		h.missed = append(h.missed, e)
		return
	}
	h.audit.told(e)
	if h.marked[e.Member] && e.Phase == logic.Ready {
		e.Phase = logic.Draining
	}
	h.step(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{e}})
}

func (h *host) carry(a logic.Action) {
	switch a.Kind {
	case logic.ActSend:
		o, m := h.ops[a.Op], h.w.byID[a.Member]
		if o == nil || m == nil {
			h.audit.broken("rule 1: a send of an op that is not open")
			return
		}
		x := &attempt{host: h, op: o, n: len(o.attempts), to: m, sent: h.now}
		h.audit.sent(x)
		o.attempts = append(o.attempts, x)
		h.core.tally.sends++
		h.after(min(a.Wait, h.w.types[o.kind].OpTimeout), func() { x.leaves(logic.TimedOut) })
		x.goes()
	case logic.ActCancel:
		if o := h.ops[a.Op]; o != nil && a.Send < len(o.attempts) {
			h.after(a.Wait, func() { o.attempts[a.Send].leaves(logic.Cancelled) })
		}
	case logic.ActRefuse:
		h.final(a.Op, Refused, a.Wait)
	case logic.ActFail:
		h.final(a.Op, Failed, 0)
	case logic.ActProbe:
		h.probe(h.w.byID[a.Member])
	case logic.ActTimer:
		life := h.life
		h.after(a.Wait, func() {
			if h.life == life {
				h.step(logic.Event{Kind: logic.EvTimer})
			}
		})
	case logic.ActMessage:
		data := slices.Clone(a.Data)
		for _, other := range h.w.hosts {
			if other != h {
				if ms, arrives := h.w.way(h.lane, h.zone, other.zone); arrives {
					h.core.tally.words++
					h.post(other.lane, ms, func() { other.step(logic.Event{Kind: logic.EvMessage, Data: data}) })
				}
			}
		}
	case logic.ActWatch:
		h.after(listDelay, func() {
			h.step(logic.Event{Kind: logic.EvMembers, List: logic.ListFull, Members: slices.Clone(h.list)})
		})
	}
}

func (h *host) probe(m *server) {
	if m == nil {
		return
	}
	asked, life := h.now, h.life
	answered := false
	tell := func(o logic.Outcome, s logic.Sight) {
		if !answered && h.life == life {
			answered = true
			h.step(logic.Event{Kind: logic.EvProbed, Member: m.id, Outcome: o, Took: h.now - asked, Report: s})
			if h.book != nil && o == logic.OK {
				h.switches(h.book.ObserveRole(h.now, m.id, s.Role == logic.Primary))
			}
		}
	}
	h.after(connectLimit, func() { tell(logic.ConnectFailed, logic.Sight{}) })
	ms, arrives := h.w.way(h.lane, h.zone, m.zone)
	if !arrives {
		return
	}
	h.post(m.g.lane, ms, func() {
		if m.silent || m.hangs {
			return
		}
		o, s := logic.OK, m.sight()
		if m.dead {
			o, s = logic.ConnectFailed, logic.Sight{}
		}
		if ms, arrives := h.w.way(m.g.lane, m.zone, h.zone); arrives {
			m.g.post(h.lane, ms, func() { tell(o, s) })
		}
	})
}

// goes puts a send on a connection that rests, the one used last, or opens one.
func (x *attempt) goes() {
	h, m := x.host, x.to
	if rest := h.links[m]; len(rest) > 0 {
		l := rest[len(rest)-1]
		h.links[m] = rest[:len(rest)-1]
		x.travels(l)
		return
	}
	h.core.tally.connects++
	connecting := true
	h.after(connectLimit, func() {
		if connecting {
			connecting = false
			x.ends(logic.ConnectFailed, logic.Sight{}, 0)
		}
	})
	ms, arrives := h.w.way(h.lane, h.zone, m.zone)
	if !arrives {
		return
	}
	life := h.life
	h.post(m.g.lane, ms, func() {
		m.connects(h, func(of int) {
			switch {
			case !connecting || h.life != life: // given up meanwhile
				if of >= 0 {
					h.post(m.g.lane, h.w.setup.Hop, func() { m.hangsUp(of) })
				}
			case of < 0:
				connecting = false
				x.ends(logic.ConnectFailed, logic.Sight{}, 0)
			case x.over: // nobody asks any more: it rests
				connecting = false
				h.links[m] = append(h.links[m], link{h.now, h.now, of})
			default:
				connecting = false
				x.travels(link{h.now, h.now, of})
			}
		})
	})
}

func (x *attempt) travels(l link) {
	h, m := x.host, x.to
	x.linked, x.opened, x.life = true, l.opened, l.life
	v := &visit{from: h, attempt: x, op: x.op.id, kind: x.op.kind}
	x.visit = v
	if ms, arrives := h.w.way(h.lane, h.zone, m.zone); arrives {
		h.post(m.g.lane, ms, func() { m.arrives(v, l.life) })
	}
}

// leaves ends a send from the driver's side: its connection is closed, and the member learns of that a little later.
func (x *attempt) leaves(o logic.Outcome) {
	if x.over || x.host.keeps(func() { x.leaves(o) }) {
		return
	}
	h, m := x.host, x.to
	if x.linked {
		v, life := x.visit, x.life
		if ms, arrives := h.w.way(h.lane, h.zone, m.zone); arrives {
			h.post(m.g.lane, ms, func() {
				v.left = true
				m.hangsUp(life)
			})
		}
		x.linked = false
	}
	x.ends(o, logic.Sight{}, 0)
}

// ends tells the driver how a send ended, and the client of a good answer. data is how far the data of it went.
func (x *attempt) ends(o logic.Outcome, note logic.Sight, data float64) {
	if x.over || x.host.keeps(func() { x.ends(o, note, data) }) {
		return
	}
	h, m := x.host, x.to
	x.over, x.outcome = true, o
	switch {
	case o == logic.Reset:
		h.links[m] = nil // the others to it are broken as well
	case x.linked:
		rest := h.links[m]
		if len(rest) > 0 && h.now-rest[0].since > idleMost {
			life := rest[0].life
			rest = slices.Delete(rest, 0, 1)
			h.post(m.g.lane, h.w.setup.Hop, func() { m.hangsUp(life) })
		}
		h.links[m] = append(rest, link{x.opened, h.now, x.life})
	}
	closed := x.op.over
	if o == logic.OK && !closed {
		h.audit.served(x, data)
		if x.op.session != nil && h.w.types[x.op.kind].Need == logic.Write {
			x.op.session.wrote = max(x.op.session.wrote, data)
		}
		h.final(x.op.id, Acked, 0)
		closed = true
	}
	if !h.down {
		h.step(
			logic.Event{
				Kind:    logic.EvAnswer,
				Op:      x.op.id,
				Send:    x.n,
				Member:  m.id,
				Outcome: o,
				Note:    note,
				Closed:  closed,
				Opened:  x.opened,
			},
		)
	}
	if closed {
		h.forget(x.op)
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
		h.audit.broken("rule 1: an answer to an op that is not open")
		return
	}
	h.audit.answered(o)
	if o.over {
		return
	}
	o.over = true
	h.core.tally.ended(h, o, end)
	if h.w.types[o.kind].Need == logic.Write {
		h.writes[o.id] = end
	}
	if end == Refused && o.tries < h.w.setup.Retries && h.now < o.due {
		again := &op{kind: o.kind, group: o.group, session: o.session, asked: o.asked, due: o.due, tries: o.tries + 1}
		h.after(max(advice, 20)*(0.5+h.draw.Float64()), func() {
			if h.now < o.due {
				h.ask(again)
			}
		})
	}
	h.forget(o)
}
