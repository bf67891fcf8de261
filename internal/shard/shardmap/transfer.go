package shardmap

// This file owns one move of a shard: its phases, which act each asks for, and how it ends or goes back.

import (
	"weirwind/internal/shard/shardnode"
)

// phase of a move.
type phase uint8

const (
	phaseReserving phase = iota
	phaseCopying
	phaseClosing
	phaseSealing
	phaseHandingOver
	phaseRollingBack // it is to go back
	phaseDone
)

var phaseNames = [...]string{"reserving", "copying", "closing", "sealing", "handing over", "going back", "over"}

// transfer is a move that goes on.
type transfer struct {
	Task
	epoch         uint64
	phase         phase
	enteredAt     float64
	nextAt        float64 // not before
	pending       bool    // something is out
	lastIndex     uint64
	closed        bool
	lastContactAt float64    // its source and target, last
	status        TaskStatus // of the task as it goes back
	reason        string
	activated     bool // the target has opened
	closedAt      float64
	remaining     uint64  // entries, by the last fetch
	rateFactor    float64 // times the rate: a shard that grows faster than it is copied would never be whole
}

func (r *transfer) enter(p phase, now float64) { r.phase, r.enteredAt, r.nextAt = p, now, now }

func (mv *Rebalancer) send(r *transfer, a Action) {
	r.pending = true
	a.Shard, a.Epoch = r.Shard, r.epoch
	mv.emit(a)
}

// rollBack gives a move up: at once while the source serves on, else by another epoch of the source.
func (mv *Rebalancer) rollBack(r *transfer, fate TaskStatus, why string, now float64) {
	switch {
	case r.phase < phaseClosing: // the source never stopped: the sweep lets the copy go
		mv.emit(Action{Kind: ActionLog, Shard: r.Shard, Message: "given up: " + why})
		mv.finish(r, fate, why, now)
	case r.phase < phaseRollingBack:
		r.status, r.reason = fate, why
		mv.emit(Action{Kind: ActionLog, Shard: r.Shard, Message: "goes back: " + why})
		r.enter(phaseRollingBack, now)
	}
}

// advance takes a move on.
func (mv *Rebalancer) advance(m *Map, r *transfer, now float64) {
	p := m.Shards[r.Shard]
	// it was handed over: the target opens, the source drops
	if r.phase != phaseDone && p.Node == r.To && p.Epoch == r.epoch+1 {
		mv.finishHandOver(m, r, now)
		return
	}
	if p.Epoch != r.epoch && r.phase != phaseDone {
		mv.finish(r, TaskFailed, "it went back", now)
		return
	}
	if m.Aborting && r.phase != phaseDone {
		mv.rollBack(r, TaskAborted, "by the operator", now)
	}
	if r.phase >= phaseClosing && r.phase <= phaseSealing && now-r.enteredAt > closeTimeout {
		mv.rollBack(r, TaskFailed, "the hand-over took too long", now)
	}
	if r.phase < phaseClosing && now-r.lastContactAt > silenceTimeout {
		mv.rollBack(r, TaskFailed, "its source or target is silent", now)
	}
	if r.phase == phaseDone {
		if now >= r.nextAt {
			mv.finish(r, r.status, r.reason, now)
		}
		return
	}
	if r.pending || now < r.nextAt {
		return
	}
	mv.sendNext(m, r, now)
}

// askNext lets out the act that a move's phase asks for.
func (mv *Rebalancer) sendNext(m *Map, r *transfer, now float64) {
	switch r.phase {
	case phaseReserving:
		if !m.Paused {
			mv.send(r, Action{Kind: ActionReserve, Node: r.To, Bytes: mv.reservation(m, r, now)})
		}
	case phaseCopying:
		if m.Paused {
			return
		}
		rate := pace(int64(float64(m.Rules.BytesPerSecond)*max(r.rateFactor, 1)), mv.report(r.From, now), mv.report(r.To, now))
		bytes := min(maxChunk, max(int64(float64(rate)*chunkInterval/1000), 1))
		r.nextAt = now + float64(bytes)/float64(rate)*1000
		mv.send(r, Action{Kind: ActionFetch, Node: r.To, Source: r.From, Bytes: bytes})
	case phaseClosing:
		switch {
		case r.closed:
			mv.send(r, Action{Kind: ActionFetch, Node: r.To, Source: r.From, Bytes: maxChunk, LastIndex: r.lastIndex})
		case now-r.enteredAt > abortTransactionsAfter:
			mv.send(r, Action{Kind: ActionAbortTransactions, Node: r.From})
		default:
			mv.send(r, Action{Kind: ActionClose, Node: r.From})
		}
	case phaseSealing:
		mv.send(r, Action{Kind: ActionSeal, Node: r.To, LastIndex: r.lastIndex})
	case phaseHandingOver:
		r.nextAt = now + retryAfter
		hand := &Change{Kind: ChangeHandOver, Shard: r.Shard, Epoch: r.epoch, Node: r.To, LastIndex: r.lastIndex}
		mv.send(r, Action{Kind: ActionPropose, Change: hand})
	case phaseRollingBack: // nothing of it may be handed over any more
		r.nextAt = now + retryAfter
		back := &Change{Kind: ChangeRollBack, Shard: r.Shard, Epoch: r.epoch, Node: r.From}
		mv.send(r, Action{Kind: ActionPropose, Change: back})
	}
}

// reservation is how many bytes the target is to keep free: the shard's size with what it may grow by meanwhile.
func (mv *Rebalancer) reservation(m *Map, r *transfer, now float64) int64 {
	size := r.Bytes
	if rep := mv.report(r.From, now); rep != nil {
		size = max(rep.Replicas[r.Shard].Size, 1)
	}
	return size + int64(m.Rules.GrowthShare*float64(size)) + 1
}

// finishHandOver opens what was handed over and lets the source drop it.
func (mv *Rebalancer) finishHandOver(m *Map, r *transfer, now float64) {
	p := m.Shards[r.Shard]
	if r.pending || now < r.nextAt {
		return
	}
	r.nextAt = now + retryAfter
	if r.phase = phaseHandingOver; !r.activated {
		mv.emit(Action{Kind: ActionActivate, Node: r.To, Shard: r.Shard, Epoch: p.Epoch, LastIndex: p.RequiredIndex})
		r.pending = true
		return
	}
	mv.emit(Action{Kind: ActionDrop, Node: r.From, Shard: r.Shard, Epoch: p.Epoch})
	r.status = ""
	mv.finish(r, TaskDone, "", now)
}

// end tells the fate of a move.
func (mv *Rebalancer) finish(r *transfer, fate TaskStatus, why string, now float64) {
	if r.status == "" {
		r.status, r.reason = fate, why
	}
	r.phase, r.nextAt = phaseDone, now+2*pollBusy // told again until the map has it
	mv.emit(Action{Kind: ActionPropose, Change: &Change{Kind: ChangeEndTask, Shard: r.Shard, Node: r.To, Status: r.status, Reason: r.reason}})
}

// leastShare of its rate is a move's even while its nodes are full.
const leastShare = 0.05

// pace is how many bytes a second a move may take: all of its rate while a node has nothing else to do, little while it
// is full.
func pace(rate int64, reps ...*shardnode.Report) int64 {
	share := 1.0
	for _, r := range reps {
		if r != nil && r.Slots > 0 {
			share = min(share, 1-float64(r.Busy)/float64(r.Slots))
		}
	}
	return max(int64(float64(rate)*max(share, leastShare)), 1)
}
