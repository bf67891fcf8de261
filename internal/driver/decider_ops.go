package driver

import (
	"strconv"
	"time"

	"weirwind/logic"
)

// lookupOpType returns the index of an op type, and reports whether both the type and the op's group are known.
func (d *decider) lookupOpType(opType []byte, group int64) (index int, ok bool) {
	index, ok = d.opTypes[string(opType)]
	d.mu.Lock()
	defer d.mu.Unlock()
	return index, ok && d.groups[group]
}

// hasStalenessBound reports whether an op's reads have a staleness bound, so that decisions on its attempts expire.
func (d *decider) hasStalenessBound(op *op) bool { return d.boundedReads[op.opType] }

// submit passes a new op to the module under an ID of the driver's own. It returns false if the ID given by the client
// belongs to an op that is still open: a member couldn't distinguish the attempts of the two.
func (d *decider) submit(op *op) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	id := string(op.statement.ID)
	if d.openIDs[id] {
		return false
	}
	d.openIDs[id] = true
	d.lastSerial++
	op.id = strconv.FormatUint(d.lastSerial, 36)
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

// takeActions returns the actions that were decided for an op since the last call, and its answer, if there is one. A
// finished op is removed from the open ones.
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

// attemptEnded passes the result of the op's attempt with that index to the module. The first successful answer becomes
// the op's answer, unless the op was finished before.
func (d *decider) attemptEnded(op *op, index int, r result) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if r.outcome == logic.OK && !op.finished {
		op.finished, op.rows = true, r.rows
	}
	if d.zones != nil && r.outcome == logic.OK && index < len(op.zoneAttempts) {
		sent := op.zoneAttempts[index]
		d.zones.recordAnswer(sent.member, d.members[sent.member].Zone, d.clock.now()-sent.decidedAt,
			d.clock.observation(r.role, r.position).Position)
	}
	connOpenedAt := 0.0
	if r.outcome == logic.OK && !r.connOpenedAt.IsZero() {
		connOpenedAt = d.clock.at(r.connOpenedAt)
	}
	d.stepLocked(logic.Event{
		Kind:    logic.EvAnswer,
		Opened:  connOpenedAt,
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

// clientDisconnected notifies the module that the client of an op has disconnected.
func (d *decider) clientDisconnected(op *op) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !op.finished {
		op.finished = true
		d.stepLocked(logic.Event{Kind: logic.EvGone, Op: op.id})
	}
}

// healthChecked passes the result of a member's health check to the module.
func (d *decider) healthChecked(member string, r result, latency time.Duration) {
	d.step(logic.Event{
		Kind:    logic.EvProbed,
		Member:  member,
		Outcome: r.outcome,
		Took:    float64(latency.Microseconds()) / 1000,
		Report:  d.clock.observation(r.reportRole, r.reportPosition),
	})
}
