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
	id           string
	kind         int
	group        int64
	session      *session
	lastWrite    float64 // what the session had written when it asked
	started      float64 // by its client, at first
	deadline     float64 // when the client gives up
	retries      int
	attempts     []*attempt
	finished     bool
	answers      int
	driverPaused bool // its driver stands still at the end of its time
}

// attempt is one send, as its driver knows it.
type attempt struct {
	driver      *driver
	op          *op
	index       int
	target      *member
	sent        float64
	connOpened  float64 // when its connection was
	incarnation int     // of the member, in which the connection was opened
	connected   bool
	ended       bool // its driver has heard its end, or stopped listening
	outcome     logic.Outcome
	request     *request
}

// link is a connection that rests.
type idleConn struct {
	opened, idleSince float64
	incarnation       int
}

type driver struct {
	*process
	sim             *simulation
	index           int
	zone            int
	policy          policy
	ops             map[string]*op
	idleConns       map[*member][]idleConn
	sessions        []session
	opCount         int
	incarnation     int  // counts restarts: what an earlier life asked for meets nobody
	down            bool // between two lives
	pausedUntil     float64
	deferred        []func() // what came while it was frozen
	opening         logic.Opening
	list            []logic.ListEntry // what discovery would tell it now
	listIndex       map[string]int    // of a member in it
	listPausedUntil float64           // its list stands still until then
	missedEntries   []logic.ListEntry
	rate            float64             // ops a millisecond
	rateFactor      float64             // times the usual rate
	removed         bool                // for good: its clients go to the rest
	hotGroup        bool                // its clients ask of one group
	switchovers     *switchover.Tracker // of words on changes, from the first one on
	draining        map[string]bool
	observing       bool // while a change is open
	audit           *auditor
	writeOutcomes   map[string]Outcome
}

func (h *driver) name() string { return "n" + strconv.Itoa(h.index) }

// keeps puts off what comes to a driver that is frozen until it goes on.
func (h *driver) deferIfPaused(do func()) bool {
	if h.now < h.pausedUntil {
		h.deferred = append(h.deferred, do)
		return true
	}
	return false
}

// step puts events before the policy; one that is frozen gets them when it goes on.
func (h *driver) step(events ...logic.Event) {
	if h.down || h.deferIfPaused(func() { h.step(events...) }) {
		return
	}
	for _, a := range h.policy.Step(h.now, events) { // actions are valid until the next step: all is copied here
		h.execute(a)
	}
}

// hears takes a line of the list, or keeps it back while the list stands still.
func (h *driver) updateEntry(e logic.ListEntry) {
	i := h.listIndex[e.Member]
	e.Primary = h.list[i].Primary
	h.list[i] = e
	if h.now < h.listPausedUntil {
		h.missedEntries = append(h.missedEntries, e)
		return
	}
	h.audit.entryReceived(e)
	if h.draining[e.Member] && e.Phase == logic.Ready {
		e.Phase = logic.Draining
	}
	h.step(logic.Event{Kind: logic.EvMembers, List: logic.ListChanges, Members: []logic.ListEntry{e}})
}

func (h *driver) execute(a logic.Action) {
	switch a.Kind {
	case logic.ActSend:
		o, m := h.ops[a.Op], h.sim.membersByID[a.Member]
		if o == nil || m == nil {
			h.audit.report("rule 1: a send of an op that is not open")
			return
		}
		x := &attempt{driver: h, op: o, index: len(o.attempts), target: m, sent: h.now}
		h.audit.attemptSent(x)
		o.attempts = append(o.attempts, x)
		h.worker.counters.sends++
		h.schedule(min(a.Wait, h.sim.types[o.kind].OpTimeout), func() { x.abandon(logic.TimedOut) })
		x.connect()
	case logic.ActCancel:
		if o := h.ops[a.Op]; o != nil && a.Send < len(o.attempts) {
			h.schedule(a.Wait, func() { o.attempts[a.Send].abandon(logic.Cancelled) })
		}
	case logic.ActRefuse:
		h.finish(a.Op, Refused, a.Wait)
	case logic.ActFail:
		h.finish(a.Op, Failed, 0)
	case logic.ActProbe:
		h.probe(h.sim.membersByID[a.Member])
	case logic.ActTimer:
		life := h.incarnation
		h.schedule(a.Wait, func() {
			if h.incarnation == life {
				h.step(logic.Event{Kind: logic.EvTimer})
			}
		})
	case logic.ActMessage:
		data := slices.Clone(a.Data)
		for _, other := range h.sim.drivers {
			if other != h {
				if ms, arrives := h.sim.transit(h.process, h.zone, other.zone); arrives {
					h.worker.counters.messages++
					h.sendTo(other.process, ms, func() { other.step(logic.Event{Kind: logic.EvMessage, Data: data}) })
				}
			}
		}
	case logic.ActWatch:
		h.schedule(listDelay, func() {
			h.step(logic.Event{Kind: logic.EvMembers, List: logic.ListFull, Members: slices.Clone(h.list)})
		})
	}
}

func (h *driver) probe(m *member) {
	if m == nil {
		return
	}
	asked, life := h.now, h.incarnation
	answered := false
	tell := func(o logic.Outcome, s logic.Sight) {
		if !answered && h.incarnation == life {
			answered = true
			h.step(logic.Event{Kind: logic.EvProbed, Member: m.id, Outcome: o, Took: h.now - asked, Report: s})
			if h.switchovers != nil && o == logic.OK {
				h.applyOutcome(h.switchovers.ObserveRole(h.now, m.id, s.Role == logic.Primary))
			}
		}
	}
	h.schedule(connectTimeout, func() { tell(logic.ConnectFailed, logic.Sight{}) })
	ms, arrives := h.sim.transit(h.process, h.zone, m.zone)
	if !arrives {
		return
	}
	h.sendTo(m.group.process, ms, func() {
		if m.unreachable || m.hung {
			return
		}
		o, s := logic.OK, m.status()
		if m.dead {
			o, s = logic.ConnectFailed, logic.Sight{}
		}
		if ms, arrives := h.sim.transit(m.group.process, m.zone, h.zone); arrives {
			m.group.sendTo(h.process, ms, func() { tell(o, s) })
		}
	})
}

// goes puts a send on a connection that rests, the one used last, or opens one.
func (x *attempt) connect() {
	h, m := x.driver, x.target
	if rest := h.idleConns[m]; len(rest) > 0 {
		l := rest[len(rest)-1]
		h.idleConns[m] = rest[:len(rest)-1]
		x.transmit(l)
		return
	}
	h.worker.counters.connects++
	connecting := true
	h.schedule(connectTimeout, func() {
		if connecting {
			connecting = false
			x.complete(logic.ConnectFailed, logic.Sight{}, 0)
		}
	})
	ms, arrives := h.sim.transit(h.process, h.zone, m.zone)
	if !arrives {
		return
	}
	life := h.incarnation
	h.sendTo(m.group.process, ms, func() {
		m.accept(h, func(of int) {
			switch {
			case !connecting || h.incarnation != life: // given up meanwhile
				if of >= 0 {
					h.sendTo(m.group.process, h.sim.setup.ZoneLatency, func() { m.closeConn(of) })
				}
			case of < 0:
				connecting = false
				x.complete(logic.ConnectFailed, logic.Sight{}, 0)
			case x.ended: // nobody asks any more: it rests
				connecting = false
				h.idleConns[m] = append(h.idleConns[m], idleConn{h.now, h.now, of})
			default:
				connecting = false
				x.transmit(idleConn{h.now, h.now, of})
			}
		})
	})
}

func (x *attempt) transmit(l idleConn) {
	h, m := x.driver, x.target
	x.connected, x.connOpened, x.incarnation = true, l.opened, l.incarnation
	v := &request{from: h, attempt: x, op: x.op.id, kind: x.op.kind}
	x.request = v
	if ms, arrives := h.sim.transit(h.process, h.zone, m.zone); arrives {
		h.sendTo(m.group.process, ms, func() { m.receive(v, l.incarnation) })
	}
}

// leaves ends a send from the driver's side: its connection is closed, and the member learns of that a little later.
func (x *attempt) abandon(o logic.Outcome) {
	if x.ended || x.driver.deferIfPaused(func() { x.abandon(o) }) {
		return
	}
	h, m := x.driver, x.target
	if x.connected {
		v, life := x.request, x.incarnation
		if ms, arrives := h.sim.transit(h.process, h.zone, m.zone); arrives {
			h.sendTo(m.group.process, ms, func() {
				v.cancelled = true
				m.closeConn(life)
			})
		}
		x.connected = false
	}
	x.complete(o, logic.Sight{}, 0)
}

// ends tells the driver how a send ended, and the client of a good answer. data is how far the data of it went.
func (x *attempt) complete(o logic.Outcome, status logic.Sight, data float64) {
	if x.ended || x.driver.deferIfPaused(func() { x.complete(o, status, data) }) {
		return
	}
	h, m := x.driver, x.target
	x.ended, x.outcome = true, o
	switch {
	case o == logic.Reset:
		h.idleConns[m] = nil // the others to it are broken as well
	case x.connected:
		rest := h.idleConns[m]
		if len(rest) > 0 && h.now-rest[0].idleSince > maxIdle {
			life := rest[0].incarnation
			rest = slices.Delete(rest, 0, 1)
			h.sendTo(m.group.process, h.sim.setup.ZoneLatency, func() { m.closeConn(life) })
		}
		h.idleConns[m] = append(rest, idleConn{x.connOpened, h.now, x.incarnation})
	}
	closed := x.op.finished
	if o == logic.OK && !closed {
		h.audit.readServed(x, data)
		if x.op.session != nil && h.sim.types[x.op.kind].Need == logic.Write {
			x.op.session.lastWrite = max(x.op.session.lastWrite, data)
		}
		h.finish(x.op.id, Acked, 0)
		closed = true
	}
	if !h.down {
		h.step(
			logic.Event{
				Kind:    logic.EvAnswer,
				Op:      x.op.id,
				Send:    x.index,
				Member:  m.id,
				Outcome: o,
				Note:    status,
				Closed:  closed,
				Opened:  x.connOpened,
			},
		)
	}
	if closed {
		h.release(x.op)
	}
}

// forget lets go of an op when nothing of it is out any more.
func (h *driver) release(o *op) {
	for _, a := range o.attempts {
		if !a.ended {
			return
		}
	}
	delete(h.ops, o.id)
}

// final gives an op's client its answer. One that was refused asks again while its patience lasts.
func (h *driver) finish(id string, outcome Outcome, advice float64) {
	o := h.ops[id]
	if o == nil {
		h.audit.report("rule 1: an answer to an op that is not open")
		return
	}
	h.audit.opAnswered(o)
	if o.finished {
		return
	}
	o.finished = true
	h.worker.counters.opFinished(h, o, outcome)
	if h.sim.types[o.kind].Need == logic.Write {
		h.writeOutcomes[o.id] = outcome
	}
	if outcome == Refused && o.retries < h.sim.setup.Retries && h.now < o.deadline {
		again := &op{kind: o.kind, group: o.group, session: o.session, started: o.started, deadline: o.deadline, retries: o.retries + 1}
		h.schedule(max(advice, 20)*(0.5+h.draw.Float64()), func() {
			if h.now < o.deadline {
				h.submit(again)
			}
		})
	}
	h.release(o)
}
