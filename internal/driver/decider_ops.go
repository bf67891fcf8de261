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
func (d *decider) staleDataMatters(op *op) bool { return d.bounded[op.opType] }

// submit puts a new op before the module, under an id of the driver's own. It is false where the id that the client
// wrote is that of an op still open, whose attempts a member couldn't tell from this one's.
func (d *decider) submit(op *op) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := string(op.statement.ID)
	if d.openIDs[id] {
		return false
	}
	d.openIDs[id] = true
	d.serial++
	op.id = strconv.FormatUint(d.serial, 36)
	d.ops[op.id] = op
	d.stepLocked(logic.Event{
		Kind:     logic.EvOp,
		Op:       op.id,
		OpType:   op.opType,
		Group:    op.statement.Group,
		Left:     op.statement.Timeout,
		WroteAgo: d.clock.wroteAgo(op.statement.MinPosition),
	})
	return true
}

// takeActions gives what has been decided for an op since the last call, and the answer if one has come. An op that is
// finished is forgotten.
func (d *decider) takeActions(op *op) (actions []decidedAction, rows []byte) {
	d.mu.Lock()
	defer d.mu.Unlock()
	actions, op.pending = op.pending, nil
	if op.finished && d.ops[op.id] != nil {
		delete(d.ops, op.id)
		delete(d.openIDs, string(op.statement.ID))
	}
	return actions, op.rows
}

// attemptEnded tells the module how the attempt with that index ended. The first good answer is the op's, unless the
// op was finished before.
func (d *decider) attemptEnded(op *op, index int, r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.outcome == logic.OK && !op.finished {
		op.finished, op.rows = true, r.rows
	}
	if d.zones != nil && r.outcome == logic.OK && index < len(op.sentTo) {
		sent := op.sentTo[index]
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
		Op:      op.id,
		Send:    index,
		Member:  r.member,
		Outcome: r.outcome,
		Closed:  op.finished,
		Note:    d.clock.observation(r.role, r.position),
		Report:  d.clock.observation(r.reportRole, r.reportPosition),
	})
	if op.rows != nil {
		op.signal()
	}
}

// clientDisconnected tells the module that the client of an op has left.
func (d *decider) clientDisconnected(op *op) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !op.finished {
		op.finished = true
		d.stepLocked(logic.Event{Kind: logic.EvGone, Op: op.id})
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
