package shardmap

// This file implements a transfer: its phases, the requests of each, and how it ends. doc.go has a table of the phases.

import "weirwind/internal/shard/shardnode"

// phase is a phase of a transfer. Phases are entered in the order of the constants, except that phaseRollingBack may
// follow any phase from phaseClosing on, and phaseDone any phase.
type phase uint8

const (
	phaseReserving phase = iota
	phaseCopying
	phaseClosing
	phaseSealing
	phaseHandingOver
	phaseRollingBack
	phaseDone
)

// phaseNames holds the names of the phases that operators see.
var phaseNames = [...]string{"reserving", "copying", "closing", "sealing", "handing over", "going back", "over"}

// transfer is a running task.
type transfer struct {
	Task
	epoch uint64 // the source's epoch as owner; the hand-over or roll-back replaces it with epoch+1
	phase phase

	// enteredAt is the start of the phase. phaseSealing and phaseHandingOver keep the time of phaseClosing, so that
	// closeTimeout bounds the whole close.
	enteredAt      float64
	nextRequestAt  float64 // earliest time of the next request
	requestPending bool    // a request has not been answered
	lastContactAt  float64 // time of the latest answer of the source or the target

	remaining  uint64  // entries that the target lacked after the last fetch
	rateFactor float64 // multiplies the rate of the rules; 0 means 1
	closed     bool    // the source is closed, and lastIndex is final
	lastIndex  uint64
	closedAt   float64 // start of phaseClosing
	activated  bool    // the target is open with epoch+1

	status TaskStatus // the task's status once the transfer is bound to end with it; "" before
	reason string
}

func (t *transfer) enter(next phase, now float64) {
	t.phase, t.enteredAt, t.nextRequestAt = next, now, now
}

// send emits a request of the transfer.
func (rb *Rebalancer) send(t *transfer, action Action) {
	t.requestPending = true
	action.Shard, action.Epoch = t.Shard, t.epoch
	rb.emit(action)
}

// advance sends a transfer's next request if it is due, or ends the transfer if the map has a newer epoch.
func (rb *Rebalancer) advance(m *Map, t *transfer, now float64) {
	if t.phase == phaseDone {
		if now >= t.nextRequestAt { // repeated until the map has the status
			rb.finish(t, t.status, t.reason, now)
		}
		return
	}
	assignment := m.Shards[t.Shard]
	if assignment.Node == t.To && assignment.Epoch == t.epoch+1 {
		rb.completeHandOver(t, assignment, now)
		return
	}
	if assignment.Epoch != t.epoch {
		rb.finish(t, TaskFailed, "it went back", now)
		return
	}
	rb.checkTimeouts(m, t, now)
	if t.phase == phaseDone || t.requestPending || now < t.nextRequestAt {
		return
	}
	rb.sendNext(m, t, now)
}

// checkTimeouts ends a transfer that the operator aborts or that takes too long.
func (rb *Rebalancer) checkTimeouts(m *Map, t *transfer, now float64) {
	if m.Aborting {
		rb.abortTransfer(t, TaskAborted, "by the operator", now)
	}
	if t.phase >= phaseClosing && t.phase <= phaseSealing && now-t.enteredAt > closeTimeout {
		rb.abortTransfer(t, TaskFailed, "the hand-over took too long", now)
	}
	if t.phase < phaseClosing && now-t.lastContactAt > contactTimeout {
		rb.abortTransfer(t, TaskFailed, "its source or target is silent", now)
	}
}

// sendNext sends the request of a transfer's phase.
func (rb *Rebalancer) sendNext(m *Map, t *transfer, now float64) {
	switch t.phase {
	case phaseReserving:
		rb.sendReserve(m, t, now)
	case phaseCopying:
		rb.sendFetch(m, t, now)
	case phaseClosing:
		rb.sendClose(t, now)
	case phaseSealing:
		rb.send(t, Action{Kind: ActionSeal, Node: t.To, LastIndex: t.lastIndex})
	case phaseHandingOver:
		rb.proposeHandOver(t, now)
	case phaseRollingBack:
		rb.proposeRollBack(t, now)
	}
}

// sendReserve has the target reserve space for the shard's size and its growth during the transfer.
func (rb *Rebalancer) sendReserve(m *Map, t *transfer, now float64) {
	if m.Paused {
		return
	}
	size := t.Bytes
	if report := rb.report(t.From, now); report != nil {
		size = max(report.Replicas[t.Shard].Size, 1)
	}
	size += int64(m.Rules.GrowthShare*float64(size)) + 1
	rb.send(t, Action{Kind: ActionReserve, Node: t.To, Bytes: size})
}

// sendFetch has the target fetch a chunk from the source, and schedules the next chunk by the transfer's rate.
func (rb *Rebalancer) sendFetch(m *Map, t *transfer, now float64) {
	if m.Paused {
		return
	}
	rate := int64(float64(m.Rules.BytesPerSecond) * max(t.rateFactor, 1))
	rate = throttle(rate, rb.report(t.From, now), rb.report(t.To, now))
	bytes := min(maxChunkBytes, max(int64(float64(rate)*chunkInterval/1000), 1))
	t.nextRequestAt = now + float64(bytes)/float64(rate)*1000
	rb.send(t, Action{Kind: ActionFetch, Node: t.To, Source: t.From, Bytes: bytes})
}

// sendClose has the source close, and then has the target fetch the remaining entries and seal.
func (rb *Rebalancer) sendClose(t *transfer, now float64) {
	switch {
	case t.closed:
		rb.send(t, Action{Kind: ActionFetch, Node: t.To, Source: t.From, Bytes: maxChunkBytes, LastIndex: t.lastIndex})
	case now-t.enteredAt > abortTransactionsAfter:
		rb.send(t, Action{Kind: ActionAbortTransactions, Node: t.From})
	default:
		rb.send(t, Action{Kind: ActionClose, Node: t.From})
	}
}

func (rb *Rebalancer) proposeHandOver(t *transfer, now float64) {
	t.nextRequestAt = now + retryInterval
	rb.send(t, Action{Kind: ActionPropose, Change: &Change{Kind: ChangeHandOver, Shard: t.Shard, Epoch: t.epoch,
		Node: t.To, LastIndex: t.lastIndex}})
}

// proposeRollBack proposes the next epoch for the source. Once it is applied, a hand-over in flight is refused.
func (rb *Rebalancer) proposeRollBack(t *transfer, now float64) {
	t.nextRequestAt = now + retryInterval
	rb.send(t, Action{Kind: ActionPropose, Change: &Change{Kind: ChangeRollBack, Shard: t.Shard, Epoch: t.epoch,
		Node: t.From}})
}

// completeHandOver activates the target and has the source drop its replica, once the map has the hand-over.
func (rb *Rebalancer) completeHandOver(t *transfer, assignment Assignment, now float64) {
	if t.requestPending || now < t.nextRequestAt {
		return
	}
	t.nextRequestAt = now + retryInterval
	t.phase = phaseHandingOver // a roll-back proposed in the meantime was refused
	if !t.activated {
		rb.emit(Action{Kind: ActionActivate, Node: t.To, Shard: t.Shard, Epoch: assignment.Epoch,
			LastIndex: assignment.RequiredIndex})
		t.requestPending = true
		return
	}
	rb.emit(Action{Kind: ActionDrop, Node: t.From, Shard: t.Shard, Epoch: assignment.Epoch})
	t.status = ""
	rb.finish(t, TaskDone, "", now)
}

// abortTransfer ends a transfer that is not rolling back yet: immediately while the source still serves the shard,
// otherwise with a roll-back.
func (rb *Rebalancer) abortTransfer(t *transfer, status TaskStatus, reason string, now float64) {
	switch {
	case t.phase < phaseClosing: // the reconciliation will discard the target's replica
		rb.emit(Action{Kind: ActionLog, Shard: t.Shard, Message: "given up: " + reason})
		rb.finish(t, status, reason, now)
	case t.phase < phaseRollingBack:
		t.status, t.reason = status, reason
		rb.emit(Action{Kind: ActionLog, Shard: t.Shard, Message: "goes back: " + reason})
		t.enter(phaseRollingBack, now)
	}
}

// finish proposes the task's final status. The status of an earlier failure takes precedence.
func (rb *Rebalancer) finish(t *transfer, status TaskStatus, reason string, now float64) {
	if t.status == "" {
		t.status, t.reason = status, reason
	}
	t.phase, t.nextRequestAt = phaseDone, now+reconcileInterval
	rb.emit(Action{Kind: ActionPropose, Change: &Change{Kind: ChangeEndTask, Shard: t.Shard, Node: t.To,
		Status: t.status, Reason: t.reason}})
}

// throttle returns the rate of a transfer in bytes per second: the full rate while its nodes are idle, less the more of
// a node's slots are busy, and at least minRateShare of it. A nil report counts as idle.
func throttle(rate int64, reports ...*shardnode.Report) int64 {
	share := 1.0
	for _, report := range reports {
		if report != nil && report.Slots > 0 {
			share = min(share, 1-float64(report.Busy)/float64(report.Slots))
		}
	}
	return max(int64(float64(rate)*max(share, minRateShare)), 1)
}
