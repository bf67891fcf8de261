package shardmap

// This file handles the results of actions.

// ResultCode says how an action failed: a code of this package, or a node's code in lower case.
type ResultCode string

// Codes that the rebalancer treats differently.
const (
	ResultOK         ResultCode = ""
	ResultNoAnswer   ResultCode = "dark"
	ResultNoCapacity ResultCode = "noroom"
	ResultWrongState ResultCode = "state" // the replica is in another state, or the answer is malformed
	ResultMoved      ResultCode = "moved"
)

// Result is the outcome of an action.
type Result struct {
	Code      ResultCode
	LastIndex uint64 // last index of the closed source, or of the target after a fetch
	Remaining uint64 // entries that the source has after LastIndex
	Done      bool   // after a close: the source is closed; after a fetch: the target is sealed
	Bytes     int64  // bytes fetched
}

// HandleResult processes the result of an action. The result may arrive late, or after the transfer has ended.
func (rb *Rebalancer) HandleResult(action Action, result Result, now float64) {
	if action.Kind == ActionReport || action.Kind == ActionPropose && action.Change.Kind == ChangeEndTask {
		return
	}
	if view := rb.nodes[action.Node]; view != nil && action.Kind != ActionFetch { // poll now to see the effect
		view.nextPollAt = min(view.nextPollAt, now)
	}
	shard, epoch := action.Shard, action.Epoch
	if action.Change != nil {
		shard, epoch = action.Change.Shard, action.Change.Epoch
	}
	t := rb.transfers[shard]
	if t == nil || t.phase == phaseDone {
		return
	}
	switch action.Kind {
	case ActionDiscard, ActionDrop:
		return // requested by the reconciliation, or after the end of the transfer
	case ActionActivate:
		rb.handleActivated(t, action, result, now)
		return
	}
	if epoch != t.epoch {
		return
	}
	t.requestPending = false
	if result.Code != ResultNoAnswer {
		t.lastContactAt = now
	}
	if result.Code != ResultOK {
		rb.handleFailure(t, action, result, now)
		return
	}
	rb.handleSuccess(t, action, result, now)
}

// handleActivated records that the target has activated the shard, which is served again from then on.
func (rb *Rebalancer) handleActivated(t *transfer, action Action, result Result, now float64) {
	if action.Epoch != t.epoch+1 {
		return
	}
	t.requestPending = false
	if result.Code != ResultOK || action.Node != t.To || t.activated {
		return
	}
	t.activated, t.nextRequestAt = true, now
	rb.writeGaps = append(rb.writeGaps, now-t.closedAt)
	if len(rb.writeGaps) > maxWriteGaps {
		rb.writeGaps = rb.writeGaps[maxWriteGaps/4:]
	}
}

// handleFailure schedules a retry of the action, unless the refusal ends the transfer.
func (rb *Rebalancer) handleFailure(t *transfer, action Action, result Result, now float64) {
	t.nextRequestAt = now + retryInterval/2
	code := string(result.Code)
	switch {
	case action.Kind == ActionReserve && result.Code != ResultNoAnswer:
		rb.abortTransfer(t, TaskFailed, t.To+" has no room: "+code, now)
	case action.Kind == ActionFetch && (result.Code == ResultNoCapacity || result.Code == ResultWrongState):
		rb.abortTransfer(t, TaskFailed, t.To+" let the copy go: "+code, now)
	case action.Kind == ActionFetch && result.Code == ResultMoved:
		rb.abortTransfer(t, TaskFailed, t.From+" doesn't hold it", now)
	case action.Kind == ActionSeal && result.Code != ResultNoAnswer:
		rb.abortTransfer(t, TaskFailed, t.To+" can't seal it: "+code, now)
	}
}

// handleSuccess moves the transfer to its next phase if the action completes the current one.
func (rb *Rebalancer) handleSuccess(t *transfer, action Action, result Result, now float64) {
	switch action.Kind {
	case ActionReserve:
		rb.handleReserved(t, now)
	case ActionFetch:
		rb.handleFetched(t, result, now)
	case ActionClose, ActionAbortTransactions:
		t.handleClosed(result, now)
	case ActionSeal:
		if t.phase == phaseSealing {
			t.phase = phaseHandingOver
		}
	case ActionPropose:
		t.nextRequestAt = now // the map has it
	}
}

func (rb *Rebalancer) handleReserved(t *transfer, now float64) {
	if t.phase != phaseReserving {
		return
	}
	rb.emit(Action{Kind: ActionLog, Shard: t.Shard, Message: "begins from " + t.From + " to " + t.To})
	t.enter(phaseCopying, now)
}

// handleFetched records a fetched chunk. It raises the rate if the shard grows as fast as it is copied.
func (rb *Rebalancer) handleFetched(t *transfer, result Result, now float64) {
	rb.bytesMoved += result.Bytes
	if t.phase == phaseCopying && t.remaining > 0 && result.Remaining >= t.remaining {
		t.rateFactor = min(max(t.rateFactor, 1)*rateStep, maxRateFactor)
	}
	t.remaining = result.Remaining
	switch {
	case t.phase == phaseCopying && result.Remaining <= maxLagToClose:
		t.closedAt = now
		t.enter(phaseClosing, now)
	case t.phase == phaseClosing && t.closed && result.Done:
		t.phase = phaseHandingOver
	case t.phase == phaseClosing && t.closed && result.LastIndex == t.lastIndex:
		t.phase = phaseSealing
	}
}

// handleClosed records the source's final index, or schedules a retry of the close while transactions are open.
func (t *transfer) handleClosed(result Result, now float64) {
	if result.Done && t.phase == phaseClosing {
		t.lastIndex, t.closed = result.LastIndex, true
		return
	}
	t.nextRequestAt = now + closeRetryInterval
}
