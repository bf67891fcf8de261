package shardmap

// This file owns what follows from the result of an act.

// What a Result's Err may say.
const (
	noAnswer = "dark"
	noRoom   = "noroom"
	badState = "state" // the copy is not in a state in which this can be done, or the answer makes no sense
	notHeld  = "moved"
)

// Result is what came of an act. Err is "" for good; "dark": no answer; else the node's code.
type Result struct {
	Err  string
	Last uint64
	More uint64 // entries that the source has beyond Last
	Done bool
	Took int64 // bytes that a fetch brought
}

// Told takes what came of an act.
func (mv *Mover) Told(a Act, res Result, now float64) {
	if a.Kind == Propose && a.Change.Kind == End || a.Kind == Look {
		return
	}
	if s := mv.nodes[a.Node]; s != nil && a.Kind != Fetch { // what it did shows at once
		s.askAt = min(s.askAt, now)
	}
	shard := a.Shard
	if a.Change != nil {
		shard = a.Change.Shard
	}
	r := mv.transfers[shard]
	if r == nil || r.phase == over || a.Kind == Abandon || a.Kind == Drop {
		return
	}
	if a.Kind == Hold {
		mv.held(r, a, res, now)
		return
	}
	epoch := a.Epoch
	if a.Kind == Propose {
		epoch = a.Change.Epoch
	}
	if epoch != r.epoch {
		return
	}
	r.pending = false
	if res.Err != noAnswer {
		r.heardAt = now
	}
	if res.Err != "" {
		mv.failed(r, a, res, now)
		return
	}
	mv.succeeded(r, a, res, now)
}

// held notes that the target has opened: the shard is served again.
func (mv *Mover) held(r *transfer, a Act, res Result, now float64) {
	if a.Epoch != r.epoch+1 {
		return
	}
	if r.pending = false; res.Err != "" || a.Node != r.To || r.opened {
		return
	}
	r.opened, r.nextAt = true, now
	mv.gaps = append(mv.gaps, now-r.closeAt)
	if len(mv.gaps) > maxGaps {
		mv.gaps = mv.gaps[maxGaps/4:]
	}
}

// failed tries an act again soon, unless the node's refusal ends the move.
func (mv *Mover) failed(r *transfer, a Act, res Result, now float64) {
	r.nextAt = now + retryAfter/2
	switch {
	case a.Kind == Reserve && res.Err != noAnswer:
		mv.rollBack(r, Failed, r.To+" has no room: "+res.Err, now)
	case a.Kind == Fetch && (res.Err == noRoom || res.Err == badState):
		mv.rollBack(r, Failed, r.To+" let the copy go: "+res.Err, now)
	case a.Kind == Fetch && res.Err == notHeld:
		mv.rollBack(r, Failed, r.From+" doesn't hold it", now)
	case a.Kind == Seal && res.Err != noAnswer:
		mv.rollBack(r, Failed, r.To+" can't seal it: "+res.Err, now)
	}
}

// succeeded takes a move to its next phase where the act ends this one.
func (mv *Mover) succeeded(r *transfer, a Act, res Result, now float64) {
	switch a.Kind {
	case Propose:
		r.nextAt = now
	case Reserve:
		if r.phase == reserving {
			mv.act(Act{Kind: Note, Shard: r.Shard, Why: "begins from " + r.From + " to " + r.To})
			r.enter(copying, now)
		}
	case Fetch:
		mv.fetched(r, res, now)
	case Close, Cut:
		if res.Done && r.phase == closing {
			r.lastEntry, r.closed = res.Last, true
		} else {
			r.nextAt = now + closeRetryAfter
		}
	case Seal:
		if r.phase == sealing {
			r.phase = handing
		}
	}
}

// fetched takes a chunk. A shard that grows faster than it is copied is copied faster.
func (mv *Mover) fetched(r *transfer, res Result, now float64) {
	mv.moved += res.Took
	if r.phase == copying && r.missing > 0 && res.More >= r.missing {
		r.rateFactor = min(max(r.rateFactor, 1)*rateStep, maxRateFactor)
	}
	r.missing = res.More
	switch {
	case r.phase == copying && res.More <= closeGap:
		r.closeAt = now
		r.enter(closing, now)
	case r.phase == closing && r.closed && res.Done:
		r.phase = handing
	case r.phase == closing && r.closed && res.Last == r.lastEntry:
		r.phase = sealing // since stays: the whole close is bounded
	}
}
