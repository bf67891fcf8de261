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
	pollBusy        = 250.0
	pollIdle        = 1000.0 // while nothing goes on
	reportMaxAge    = 1500.0 // what a node said is gone by so long
	retryAfter      = 100.0
	closeRetryAfter = 5.0 // open transactions end at any moment, and the shard is closed meanwhile
	rateStep        = 1.5
	maxGaps         = 4096 // write gaps remembered
	closeGap        = 64   // entries that a copy may lack as its shard closes
	maxChunk        = int64(1 << 20)
	chunkInterval   = 40.0
	cutAfter        = 80.0   // open transactions of a shard that closes get so long
	closeTimeout    = 1200.0 // a close that has not come to a hand-over goes back
	silenceTimeout  = 3000.0 // a copy whose source or target is silent for so long is given up
	replanInterval  = 4000.0
	sweepMemory     = 4000.0 // an act of the sweep is remembered for so long behind its pause
	maxRateFactor   = 16.0
)

// ActKind of an act.
type ActKind uint8

const (
	Look ActKind = iota
	Reserve
	Fetch // the target takes so many bytes from the source now; once it has Last, it seals the copy
	Close
	Cut // closes and ends the transactions that are open
	Seal
	Hold
	Drop
	Abandon
	Propose
	Note
)

// Act is a thing to be done.
type Act struct {
	Kind   ActKind
	Node   string
	Shard  string
	Epoch  uint64
	From   string
	Bytes  int64
	Last   uint64
	Change *Change
	Why    string
}

// Mover is one leader's.
type Mover struct {
	nodes      map[string]*nodeView
	transfers  map[string]*transfer
	sweeps     map[string]float64 // acts of the sweep: not again before
	gaps       []float64          // write gaps, of the newest hand-overs
	out        []Act
	moved      int64
	planAt     float64
	emptyPlans int // new plans that would have moved nothing
}

// NewMover knows nothing.
func NewMover() *Mover {
	return &Mover{nodes: map[string]*nodeView{}, transfers: map[string]*transfer{}, sweeps: map[string]float64{}}
}

// State says for operators what goes on with a shard.
func (mv *Mover) State(shard string) string {
	if r := mv.transfers[shard]; r != nil {
		return fmt.Sprintf("%s from %s to %s", phaseNames[r.phase], r.From, r.To)
	}
	return ""
}

// Moved is how many bytes were copied, Gaps how long shards were closed, in milliseconds.
func (mv *Mover) Moved() int64    { return mv.moved }
func (mv *Mover) Gaps() []float64 { return mv.gaps }

func (mv *Mover) act(a Act) { mv.out = append(mv.out, a) }

// Step gives what is to be done. nodes are those that there are.
func (mv *Mover) Step(m *Map, nodes []string, now float64) []Act {
	if m == nil {
		return nil
	}
	mv.pollNodes(m, nodes, now)
	mv.sweep(m, now)
	for _, shard := range slices.Sorted(maps.Keys(mv.transfers)) {
		r := mv.transfers[shard]
		if mv.advance(m, r, now); r.phase == over && m.task(r.Shard, r.To) < 0 {
			delete(mv.transfers, shard)
		}
	}
	mv.startTasks(m, now)
	mv.replan(m, now)
	out := mv.out // and what followed from answers
	mv.out = nil
	return out
}
