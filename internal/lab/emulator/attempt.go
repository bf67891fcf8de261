package emulator

// This file owns attempts of ops at members, and the connections that they use.

import (
	"slices"

	"weirwind/logic"
)

// attempt is one send of an op to a member, as its driver sees it.
type attempt struct {
	driver      *driver
	op          *op
	index       int // position among the op's attempts
	target      *member
	sent        float64
	connected   bool
	connOpened  float64
	incarnation int      // incarnation of the member in which the connection was opened
	request     *request // nil until the attempt is connected
	ended       bool     // the driver has the outcome or has abandoned the attempt
	outcome     logic.Outcome
}

// idleConn is an open connection without an attempt.
type idleConn struct {
	opened, idleSince float64
	incarnation       int // incarnation of the member in which it was opened
}

// connect takes the most recently used idle connection, or opens a new one.
func (x *attempt) connect() {
	d, m := x.driver, x.target
	if idle := d.idleConns[m]; len(idle) > 0 {
		c := idle[len(idle)-1]
		d.idleConns[m] = idle[:len(idle)-1]
		x.transmit(c)
		return
	}
	d.worker.counters.connects++
	connecting := true
	d.schedule(connectTimeout, func() {
		if connecting {
			connecting = false
			x.complete(logic.ConnectFailed, logic.Sight{}, 0)
		}
	})
	latency, arrives := d.sim.transit(d.process, d.zone, m.zone)
	if !arrives {
		return
	}
	incarnation := d.incarnation
	d.sendTo(m.group.process, latency, func() {
		m.accept(d, func(memberIncarnation int) {
			current := connecting && d.incarnation == incarnation
			if current {
				connecting = false
			}
			x.established(current, memberIncarnation)
		})
	})
}

// established handles the result of connecting; current is false if the driver has given up waiting for it.
func (x *attempt) established(current bool, incarnation int) {
	d, m := x.driver, x.target
	switch {
	case !current:
		if incarnation != refused {
			d.sendTo(m.group.process, d.sim.setup.ZoneLatency, func() { m.closeConn(incarnation) })
		}
	case incarnation == refused:
		x.complete(logic.ConnectFailed, logic.Sight{}, 0)
	case x.ended:
		d.idleConns[m] = append(d.idleConns[m], idleConn{d.now, d.now, incarnation})
	default:
		x.transmit(idleConn{d.now, d.now, incarnation})
	}
}

// transmit sends the request on a connection.
func (x *attempt) transmit(conn idleConn) {
	d, m := x.driver, x.target
	x.connected, x.connOpened, x.incarnation = true, conn.opened, conn.incarnation
	r := &request{from: d, attempt: x, op: x.op.id, kind: x.op.kind}
	x.request = r
	if latency, arrives := d.sim.transit(d.process, d.zone, m.zone); arrives {
		d.sendTo(m.group.process, latency, func() { m.receive(r, conn.incarnation) })
	}
}

// abandon ends an attempt on the driver's side after a timeout or a cancellation: its connection is closed, which the
// member notices after the network latency.
func (x *attempt) abandon(outcome logic.Outcome) {
	if x.ended || x.driver.deferIfPaused(func() { x.abandon(outcome) }) {
		return
	}
	d, m := x.driver, x.target
	if x.connected {
		r, incarnation := x.request, x.incarnation
		if latency, arrives := d.sim.transit(d.process, d.zone, m.zone); arrives {
			d.sendTo(m.group.process, latency, func() {
				r.cancelled = true
				m.closeConn(incarnation)
			})
		}
		x.connected = false
	}
	x.complete(outcome, logic.Sight{}, 0)
}

// complete reports an attempt's outcome to the driver, and a successful answer to the client. data is the log position
// that the answer reflects.
func (x *attempt) complete(outcome logic.Outcome, status logic.Sight, data float64) {
	if x.ended || x.driver.deferIfPaused(func() { x.complete(outcome, status, data) }) {
		return
	}
	d := x.driver
	x.ended, x.outcome = true, outcome
	x.releaseConn()
	closed := x.op.finished
	if outcome == logic.OK && !closed {
		d.audit.readServed(x, data)
		if x.op.session != nil && d.sim.types[x.op.kind].Need == logic.Write {
			x.op.session.lastWrite = max(x.op.session.lastWrite, data)
		}
		d.finish(x.op.id, Acked, 0)
		closed = true
	}
	if !d.down {
		d.step(logic.Event{
			Kind:    logic.EvAnswer,
			Op:      x.op.id,
			Send:    x.index,
			Member:  x.target.id,
			Outcome: outcome,
			Note:    status,
			Closed:  closed,
			Opened:  x.connOpened,
		})
	}
	if closed {
		d.release(x.op)
	}
}

// releaseConn returns the attempt's connection to the idle ones. A reset breaks all connections to the member. The
// connection that has been idle for the longest is closed if it exceeds maxIdle.
func (x *attempt) releaseConn() {
	d, m := x.driver, x.target
	if x.outcome == logic.Reset {
		d.idleConns[m] = nil
		return
	}
	if !x.connected {
		return
	}
	idle := d.idleConns[m]
	if len(idle) > 0 && d.now-idle[0].idleSince > maxIdle {
		incarnation := idle[0].incarnation
		idle = slices.Delete(idle, 0, 1)
		d.sendTo(m.group.process, d.sim.setup.ZoneLatency, func() { m.closeConn(incarnation) })
	}
	d.idleConns[m] = append(idle, idleConn{x.connOpened, d.now, x.incarnation})
}
