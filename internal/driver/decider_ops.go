package driver

import (
	"strconv"
	"time"

	"weirwind/logic"
)

// knows finds an op's type, and says whether it and the op's group are ones that the driver serves.
func (d *decider) knows(opType []byte, group int64) (index int, ok bool) {
	index, ok = d.opTypes[string(opType)]
	d.mu.Lock()
	defer d.mu.Unlock()
	return index, ok && d.groups[group]
}

// staleDataMatters says whether an op's attempts are decided on by positions that grow too old.
func (d *decider) staleDataMatters(o *op) bool { return d.bounded[o.opType] }

// submit puts a new op before the module, under an id of the driver's own. It is false where the id that the client
// wrote is that of an op still open, whose attempts a member couldn't tell from this one's.
func (d *decider) submit(o *op) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := string(o.statement.ID)
	if d.openIDs[id] {
		return false
	}
	d.openIDs[id] = true
	d.serial++
	o.id = strconv.FormatUint(d.serial, 36)
	d.ops[o.id] = o
	d.stepLocked(logic.Event{
		Kind:     logic.EvOp,
		Op:       o.id,
		OpType:   o.opType,
		Group:    o.statement.Group,
		Left:     o.statement.Timeout,
		WroteAgo: d.clock.wroteAgo(o.statement.MinPosition),
	})
	return true
}

// takeActions gives what has been decided for an op since the last call, and the answer if one has come. An op that is
// finished is forgotten.
func (d *decider) takeActions(o *op) (actions []decidedAction, rows []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions, o.pending = o.pending, nil
	if o.finished && d.ops[o.id] != nil {
		delete(d.ops, o.id)
		delete(d.openIDs, string(o.statement.ID))
	}
	return actions, o.rows
}

// attemptEnded tells the module how the attempt with that index ended. The first good answer is the op's, unless the
// op was finished before.
func (d *decider) attemptEnded(o *op, index int, r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.outcome == logic.OK && !o.finished {
		o.finished, o.rows = true, r.rows
	}
	if d.zones != nil && r.outcome == logic.OK && index < len(o.sentTo) {
		sent := o.sentTo[index]
		d.zones.recordAnswer(sent.member, d.members[sent.member].Zone, d.clock.now()-sent.at,
			d.clock.observation(r.role, r.position).Position)
	}
	opened := 0.0
	if r.outcome == logic.OK && !r.connOpenedAt.IsZero() {
		opened = d.clock.at(r.connOpenedAt)
	}
	d.stepLocked(logic.Event{
		Kind:    logic.EvAnswer,
		Opened:  opened,
		Op:      o.id,
		Send:    index,
		Member:  r.member,
		Outcome: r.outcome,
		Closed:  o.finished,
		Note:    d.clock.observation(r.role, r.position),
		Report:  d.clock.observation(r.reportRole, r.reportPosition),
	})
	if o.rows != nil {
		o.signal()
	}
}

// clientLeft tells the module that the client of an op has left.
func (d *decider) clientDisconnected(o *op) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !o.finished {
		o.finished = true
		d.stepLocked(logic.Event{Kind: logic.EvGone, Op: o.id})
	}
}

// healthChecked tells the module how a health check of a member ended.
func (d *decider) healthChecked(member string, r result, took time.Duration) {
	d.step(logic.Event{
		Kind:    logic.EvProbed,
		Member:  member,
		Outcome: r.outcome,
		Took:    float64(took.Microseconds()) / 1000,
		Report:  d.clock.observation(r.reportRole, r.reportPosition),
	})
}
