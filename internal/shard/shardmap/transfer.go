package shardmap

// This file owns one move of a shard: its phases, which act each asks for, and how it ends or goes back.

import (
	"weirwind/internal/shard/shardnode"
)

// phase of a move.
type phase uint8

const (
	reserving phase = iota
	copying
	closing
	sealing
	handing
	goingBack // it is to go back
	over
)

var phaseNames = [...]string{"reserving", "copying", "closing", "sealing", "handing over", "going back", "over"}

// transfer is a move that goes on.
type transfer struct {
	Task
	epoch      uint64
	phase      phase
	since      float64
	nextAt     float64 // not before
	pending    bool    // something is out
	lastEntry  uint64
	closed     bool
	heardAt    float64 // its source and target, last
	fate       Fate    // of the task as it goes back
	why        string
	opened     bool // the target has opened
	closeAt    float64
	missing    uint64  // entries, by the last fetch
	rateFactor float64 // times the rate: a shard that grows faster than it is copied would never be whole
}

func (r *transfer) enter(p phase, now float64) { r.phase, r.since, r.nextAt = p, now, now }

func (mv *Mover) ask(r *transfer, a Act) {
	r.pending = true
	a.Shard, a.Epoch = r.Shard, r.epoch
	mv.act(a)
}

// rollBack gives a move up: at once while the source serves on, else by another epoch of the source.
func (mv *Mover) rollBack(r *transfer, fate Fate, why string, now float64) {
	switch {
	case r.phase < closing: // the source never stopped: the sweep lets the copy go
		mv.act(Act{Kind: Note, Shard: r.Shard, Why: "given up: " + why})
		mv.end(r, fate, why, now)
	case r.phase < goingBack:
		r.fate, r.why = fate, why
		mv.act(Act{Kind: Note, Shard: r.Shard, Why: "goes back: " + why})
		r.enter(goingBack, now)
	}
}

// advance takes a move on.
func (mv *Mover) advance(m *Map, r *transfer, now float64) {
	p := m.Shards[r.Shard]
	// it was handed over: the target opens, the source drops
	if r.phase != over && p.Node == r.To && p.Epoch == r.epoch+1 {
		mv.finishHandOver(m, r, now)
		return
	}
	if p.Epoch != r.epoch && r.phase != over {
		mv.end(r, Failed, "it went back", now)
		return
	}
	if m.Abort && r.phase != over {
		mv.rollBack(r, Aborted, "by the operator", now)
	}
	if r.phase >= closing && r.phase <= sealing && now-r.since > closeTimeout {
		mv.rollBack(r, Failed, "the hand-over took too long", now)
	}
	if r.phase < closing && now-r.heardAt > silenceTimeout {
		mv.rollBack(r, Failed, "its source or target is silent", now)
	}
	if r.phase == over {
		if now >= r.nextAt {
			mv.end(r, r.fate, r.why, now)
		}
		return
	}
	if r.pending || now < r.nextAt {
		return
	}
	mv.askNext(m, r, now)
}

// askNext lets out the act that a move's phase asks for.
func (mv *Mover) askNext(m *Map, r *transfer, now float64) {
	switch r.phase {
	case reserving:
		if !m.Paused {
			mv.ask(r, Act{Kind: Reserve, Node: r.To, Bytes: mv.reservation(m, r, now)})
		}
	case copying:
		if m.Paused {
			return
		}
		rate := pace(int64(float64(m.Rules.Rate)*max(r.rateFactor, 1)), mv.report(r.From, now), mv.report(r.To, now))
		bytes := min(maxChunk, max(int64(float64(rate)*chunkInterval/1000), 1))
		r.nextAt = now + float64(bytes)/float64(rate)*1000
		mv.ask(r, Act{Kind: Fetch, Node: r.To, From: r.From, Bytes: bytes})
	case closing:
		switch {
		case r.closed:
			mv.ask(r, Act{Kind: Fetch, Node: r.To, From: r.From, Bytes: maxChunk, Last: r.lastEntry})
		case now-r.since > cutAfter:
			mv.ask(r, Act{Kind: Cut, Node: r.From})
		default:
			mv.ask(r, Act{Kind: Close, Node: r.From})
		}
	case sealing:
		mv.ask(r, Act{Kind: Seal, Node: r.To, Last: r.lastEntry})
	case handing:
		r.nextAt = now + retryAfter
		hand := &Change{Kind: Hand, Shard: r.Shard, Epoch: r.epoch, Node: r.To, Last: r.lastEntry}
		mv.ask(r, Act{Kind: Propose, Change: hand})
	case goingBack: // nothing of it may be handed over any more
		r.nextAt = now + retryAfter
		back := &Change{Kind: Back, Shard: r.Shard, Epoch: r.epoch, Node: r.From}
		mv.ask(r, Act{Kind: Propose, Change: back})
	}
}

// reservation is how many bytes the target is to keep free: the shard's size with what it may grow by meanwhile.
func (mv *Mover) reservation(m *Map, r *transfer, now float64) int64 {
	size := r.Bytes
	if rep := mv.report(r.From, now); rep != nil {
		size = max(rep.Copies[r.Shard].Held, 1)
	}
	return size + int64(m.Rules.Growth*float64(size)) + 1
}

// finishHandOver opens what was handed over and lets the source drop it.
func (mv *Mover) finishHandOver(m *Map, r *transfer, now float64) {
	p := m.Shards[r.Shard]
	if r.pending || now < r.nextAt {
		return
	}
	r.nextAt = now + retryAfter
	if r.phase = handing; !r.opened {
		mv.act(Act{Kind: Hold, Node: r.To, Shard: r.Shard, Epoch: p.Epoch, Last: p.Last})
		r.pending = true
		return
	}
	mv.act(Act{Kind: Drop, Node: r.From, Shard: r.Shard, Epoch: p.Epoch})
	r.fate = ""
	mv.end(r, Done, "", now)
}

// end tells the fate of a move.
func (mv *Mover) end(r *transfer, fate Fate, why string, now float64) {
	if r.fate == "" {
		r.fate, r.why = fate, why
	}
	r.phase, r.nextAt = over, now+2*pollBusy // told again until the map has it
	mv.act(Act{Kind: Propose, Change: &Change{Kind: End, Shard: r.Shard, Node: r.To, Fate: r.fate, Why: r.why}})
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
