package emulator

// This file owns what is counted: by op type, by second, by group. It must hold whole numbers alone, so that adding
// the cores' up gives the same whatever their number.

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"weirwind/logic"
)

const (
	gapStep    = 5.0   // milliseconds: how finely times without a write are seen
	sampleStep = 250.0 // milliseconds between looks at a driver's slots and held writes
)

// Figures are of one op type.
type OpStats struct {
	Outcomes     [OutcomeCount]int
	WithinTarget int                     // acked within the latency target, from the first try on
	Latency      *hdrhistogram.Histogram // of acked ops, microseconds from the first try on
}

// Second is what happened in one second of a play; by op type where it is a slice.
type Second struct {
	Arrivals       []int // ops whose first try came in it
	WithinTarget   []int // those of them that were acked within their target
	Retries        int   // further tries of clients
	Outcomes       [OutcomeCount]int
	WithoutPrimary []int // by group: looks at drivers in which the writer slot was empty
	Samples        int   // at one group, all drivers
	PendingWrites  int   // writes open without a send out, all looks together
}

// MemberFigures are of one member over the whole play.
type MemberStats struct {
	Member      string
	Served      int
	MeanWait    float64 // mean milliseconds before a core was free
	Utilization float64 // share of its cores' time
	PeakConns   int     // the most at a time
}

type counters struct {
	Types      []OpStats
	Seconds    []Second
	Lost       int // tries whose driver was restarted or stood still under them
	sends      int
	messages   int
	connects   int
	ackedSlots map[int64][]bool // by group, in steps of gapStep: whether a write was acked
}

// Result is what came of a play.
type Result struct {
	Setup Setup
	counters
	Ops             int     // ops, without further tries
	ValueShare      float64 // value served in time, as a share of all that was asked
	Violations      map[string]int
	FirstViolations []string // the first of what broke a rule
	Events          uint64
	Promotions      []Promotion
	WriteGaps       []float64 // by group, the longest time without an acked write
	Members         []MemberStats
}

// Sends, Words and Connects are how many sends to members, words between drivers and new connections there were.
func (t *counters) Sends() int    { return t.sends }
func (t *counters) Messages() int { return t.messages }
func (t *counters) Connects() int { return t.connects }

func newCounters(s *Setup) *counters {
	t := &counters{Types: make([]OpStats, len(s.Mix)), Seconds: make([]Second, int(s.Duration/1000)+8), ackedSlots: map[int64][]bool{}}
	for i := range t.Types {
		t.Types[i].Latency = newHistogram()
	}
	for i := range t.Seconds {
		t.Seconds[i] = Second{Arrivals: make([]int, len(s.Mix)), WithinTarget: make([]int, len(s.Mix)), WithoutPrimary: make([]int, s.Groups)}
	}
	return t
}

func (t *counters) second(ms float64) *Second { return &t.Seconds[min(int(ms/1000), len(t.Seconds)-1)] }

func (t *counters) opSubmitted(h *driver, o *op) {
	if o.retries == 0 {
		t.second(h.now - h.sim.started).Arrivals[o.kind]++
	} else {
		t.second(h.now-h.sim.started).Retries++
	}
}

func (t *counters) opFinished(h *driver, o *op, outcome Outcome) {
	f, at := &t.Types[o.kind], h.now-h.sim.started
	f.Outcomes[outcome]++
	t.second(at).Outcomes[outcome]++
	if outcome != Acked {
		return
	}
	took := h.now - o.started
	_ = f.Latency.RecordValue(max(int64(took*1000), 1)) // what is beyond its range isn't counted
	if took <= h.sim.types[o.kind].LatencyTarget {
		f.WithinTarget++
		t.second(o.started - h.sim.started).WithinTarget[o.kind]++
	}
	if h.sim.types[o.kind].Need == logic.Write {
		if t.ackedSlots[o.group] == nil {
			t.ackedSlots[o.group] = make([]bool, int(h.sim.setup.Duration/gapStep)+1)
		}
		if i := int(at / gapStep); i < len(t.ackedSlots[o.group]) {
			t.ackedSlots[o.group][i] = true
		}
	}
}

func (t *counters) add(o *counters) {
	for i := range t.Types {
		a, b := &t.Types[i], &o.Types[i]
		a.WithinTarget += b.WithinTarget
		a.Latency.Merge(b.Latency)
		for e := range a.Outcomes {
			a.Outcomes[e] += b.Outcomes[e]
		}
	}
	for i := range t.Seconds {
		a, b := &t.Seconds[i], &o.Seconds[i]
		for k := range a.Arrivals {
			a.Arrivals[k] += b.Arrivals[k]
			a.WithinTarget[k] += b.WithinTarget[k]
		}
		for g := range a.WithoutPrimary {
			a.WithoutPrimary[g] += b.WithoutPrimary[g]
		}
		for e := range a.Outcomes {
			a.Outcomes[e] += b.Outcomes[e]
		}
		a.Retries, a.Samples, a.PendingWrites = a.Retries+b.Retries, a.Samples+b.Samples, a.PendingWrites+b.PendingWrites
	}
	for g, acked := range o.ackedSlots {
		if t.ackedSlots[g] == nil {
			t.ackedSlots[g] = make([]bool, len(acked))
		}
		for i, is := range acked {
			t.ackedSlots[g][i] = t.ackedSlots[g][i] || is
		}
	}
	t.Lost, t.sends, t.messages, t.connects = t.Lost+o.Lost, t.sends+o.sends, t.messages+o.messages, t.connects+o.connects
}

// sample looks at a driver's slots and held writes, now and then, while clients come.
func (h *driver) scheduleSample() {
	h.schedule(sampleStep, func() {
		if h.now >= h.sim.started+h.sim.setup.Duration {
			return
		}
		h.scheduleSample()
		s := h.worker.counters.second(h.now - h.sim.started)
		s.Samples++
		for _, o := range h.ops {
			if h.sim.types[o.kind].Need == logic.Write && !o.finished && (len(o.attempts) == 0 || o.attempts[len(o.attempts)-1].ended) {
				s.PendingWrites++
			}
		}
		if h.down || h.now < h.pausedUntil {
			return
		}
		memory, _ := h.moduleMemory()
		for _, g := range memory.Groups {
			if !g.Held {
				s.WithoutPrimary[g.Group-1]++
			}
		}
	})
}
