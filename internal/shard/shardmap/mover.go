package shardmap

// This file owns the mover: which step of which task comes next, at the machine that leads the core. What it remembers
// is lost with the lead; the next leader finds out from the map and from the nodes, and each step may be taken twice.

import (
	"fmt"
	"maps"
	"slices"
)

// Tuned values, in milliseconds unless said otherwise.
const (
	pollBusy               = 250.0
	pollIdle               = 1000.0 // while nothing goes on
	reportMaxAge           = 1500.0 // what a node said is gone by so long
	retryAfter             = 100.0
	closeRetryAfter        = 5.0 // open transactions end at any moment, and the shard is closed meanwhile
	rateStep               = 1.5
	maxGaps                = 4096 // write gaps remembered
	maxGapToClose          = 64   // entries that a copy may lack as its shard closes
	maxChunk               = int64(1 << 20)
	chunkInterval          = 40.0
	abortTransactionsAfter = 80.0   // open transactions of a shard that closes get so long
	closeTimeout           = 1200.0 // a close that has not come to a hand-over goes back
	silenceTimeout         = 3000.0 // a copy whose source or target is silent for so long is given up
	replanInterval         = 4000.0
	reconcileMemory        = 4000.0 // an act of the sweep is remembered for so long behind its pause
	maxRateFactor          = 16.0
)

// ActKind of an act.
type ActionKind uint8

const (
	ActionReport ActionKind = iota
	ActionReserve
	ActionFetch // the target takes so many bytes from the source now; once it has Last, it seals the copy
	ActionClose
	ActionAbortTransactions // closes and ends the transactions that are open
	ActionSeal
	ActionActivate
	ActionDrop
	ActionDiscard
	ActionPropose
	ActionLog
)

// Act is a thing to be done.
type Action struct {
	Kind      ActionKind
	Node      string
	Shard     string
	Epoch     uint64
	Source    string
	Bytes     int64
	LastIndex uint64
	Change    *Change
	Message   string
}

// Mover is one leader's.
type Rebalancer struct {
	nodes       map[string]*nodeView
	transfers   map[string]*transfer
	reconcileAt map[string]float64 // acts of the sweep: not again before
	writeGaps   []float64          // write gaps, of the newest hand-overs
	actions     []Action
	bytesMoved  int64
	replanAt    float64
	emptyPlans  int // new plans that would have moved nothing
}

// NewMover knows nothing.
func NewRebalancer() *Rebalancer {
	return &Rebalancer{nodes: map[string]*nodeView{}, transfers: map[string]*transfer{}, reconcileAt: map[string]float64{}}
}

// State says for operators what goes on with a shard.
func (mv *Rebalancer) TransferState(shard string) string {
	if r := mv.transfers[shard]; r != nil {
		return fmt.Sprintf("%s from %s to %s", phaseNames[r.phase], r.From, r.To)
	}
	return ""
}

// Moved is how many bytes were copied, Gaps how long shards were closed, in milliseconds.
func (mv *Rebalancer) BytesMoved() int64    { return mv.bytesMoved }
func (mv *Rebalancer) WriteGaps() []float64 { return mv.writeGaps }

func (mv *Rebalancer) emit(a Action) { mv.actions = append(mv.actions, a) }

// Step gives what is to be done. nodes are those that there are.
func (mv *Rebalancer) Step(m *Map, nodes []string, now float64) []Action {
	if m == nil {
		return nil
	}
	mv.pollNodes(m, nodes, now)
	mv.reconcile(m, now)
	for _, shard := range slices.Sorted(maps.Keys(mv.transfers)) {
		r := mv.transfers[shard]
		if mv.advance(m, r, now); r.phase == phaseDone && m.pendingTask(r.Shard, r.To) < 0 {
			delete(mv.transfers, shard)
		}
	}
	mv.startTasks(m, now)
	mv.replan(m, now)
	out := mv.actions // and what followed from answers
	mv.actions = nil
	return out
}
