package shardmap

// This file owns what follows from the result of an act.

// What a Result's Err may say.
const (
	resultNoAnswer   = "dark"
	resultNoCapacity = "noroom"
	resultWrongState = "state" // the copy is not in a state in which this can be done, or the answer makes no sense
	resultMoved      = "moved"
)

// Result is what came of an act. Err is "" for good; "dark": no answer; else the node's code.
type Result struct {
	Code      string
	LastIndex uint64
	Remaining uint64 // entries that the source has beyond Last
	Done      bool
	Bytes     int64 // bytes that a fetch brought
}

// Told takes what came of an act.
func (mv *Rebalancer) HandleResult(a Action, res Result, now float64) {
	if a.Kind == ActionPropose && a.Change.Kind == ChangeEndTask || a.Kind == ActionReport {
		return
	}
	if s := mv.nodes[a.Node]; s != nil && a.Kind != ActionFetch { // what it did shows at once
		s.nextAt = min(s.nextAt, now)
	}
	shard := a.Shard
	if a.Change != nil {
		shard = a.Change.Shard
	}
	r := mv.transfers[shard]
	if r == nil || r.phase == phaseDone || a.Kind == ActionDiscard || a.Kind == ActionDrop {
		return
	}
	if a.Kind == ActionActivate {
		mv.handleActivated(r, a, res, now)
		return
	}
	epoch := a.Epoch
	if a.Kind == ActionPropose {
		epoch = a.Change.Epoch
	}
	if epoch != r.epoch {
		return
	}
	r.pending = false
	if res.Code != resultNoAnswer {
		r.lastContactAt = now
	}
	if res.Code != "" {
		mv.handleFailure(r, a, res, now)
		return
	}
	mv.handleSuccess(r, a, res, now)
}

// held notes that the target has opened: the shard is served again.
func (mv *Rebalancer) handleActivated(r *transfer, a Action, res Result, now float64) {
	if a.Epoch != r.epoch+1 {
		return
	}
	if r.pending = false; res.Code != "" || a.Node != r.To || r.activated {
		return
	}
	r.activated, r.nextAt = true, now
	mv.writeGaps = append(mv.writeGaps, now-r.closedAt)
	if len(mv.writeGaps) > maxGaps {
		mv.writeGaps = mv.writeGaps[maxGaps/4:]
	}
}

// failed tries an act again soon, unless the node's refusal ends the move.
func (mv *Rebalancer) handleFailure(r *transfer, a Action, res Result, now float64) {
	r.nextAt = now + retryAfter/2
	switch {
	case a.Kind == ActionReserve && res.Code != resultNoAnswer:
		mv.rollBack(r, TaskFailed, r.To+" has no room: "+res.Code, now)
	case a.Kind == ActionFetch && (res.Code == resultNoCapacity || res.Code == resultWrongState):
		mv.rollBack(r, TaskFailed, r.To+" let the copy go: "+res.Code, now)
	case a.Kind == ActionFetch && res.Code == resultMoved:
		mv.rollBack(r, TaskFailed, r.From+" doesn't hold it", now)
	case a.Kind == ActionSeal && res.Code != resultNoAnswer:
		mv.rollBack(r, TaskFailed, r.To+" can't seal it: "+res.Code, now)
	}
}

// succeeded takes a move to its next phase where the act ends this one.
func (mv *Rebalancer) handleSuccess(r *transfer, a Action, res Result, now float64) {
	switch a.Kind {
	case ActionPropose:
		r.nextAt = now
	case ActionReserve:
		if r.phase == phaseReserving {
			mv.emit(Action{Kind: ActionLog, Shard: r.Shard, Message: "begins from " + r.From + " to " + r.To})
			r.enter(phaseCopying, now)
		}
	case ActionFetch:
		mv.handleFetched(r, res, now)
	case ActionClose, ActionAbortTransactions:
		if res.Done && r.phase == phaseClosing {
			r.lastIndex, r.closed = res.LastIndex, true
		} else {
			r.nextAt = now + closeRetryAfter
		}
	case ActionSeal:
		if r.phase == phaseSealing {
			r.phase = phaseHandingOver
		}
	}
}

// fetched takes a chunk. A shard that grows faster than it is copied is copied faster.
func (mv *Rebalancer) handleFetched(r *transfer, res Result, now float64) {
	mv.bytesMoved += res.Bytes
	if r.phase == phaseCopying && r.remaining > 0 && res.Remaining >= r.remaining {
		r.rateFactor = min(max(r.rateFactor, 1)*rateStep, maxRateFactor)
	}
	r.remaining = res.Remaining
	switch {
	case r.phase == phaseCopying && res.Remaining <= maxGapToClose:
		r.closedAt = now
		r.enter(phaseClosing, now)
	case r.phase == phaseClosing && r.closed && res.Done:
		r.phase = phaseHandingOver
	case r.phase == phaseClosing && r.closed && res.LastIndex == r.lastIndex:
		r.phase = phaseSealing // since stays: the whole close is bounded
	}
}
