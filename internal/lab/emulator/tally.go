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
type Figures struct {
	Ends    [Ends]int
	InTime  int                     // acked within the latency target, from the first try on
	Latency *hdrhistogram.Histogram // of acked ops, microseconds from the first try on
}

// Second is what happened in one second of a play; by op type where it is a slice.
type Second struct {
	Asked  []int // ops whose first try came in it
	InTime []int // those of them that were acked within their target
	Again  int   // further tries of clients
	Ends   [Ends]int
	Empty  []int // by group: looks at drivers in which the writer slot was empty
	Looks  int   // at one group, all drivers
	Held   int   // writes open without a send out, all looks together
}

// MemberFigures are of one member over the whole play.
type MemberFigures struct {
	Member string
	Served int
	Wait   float64 // mean milliseconds before a core was free
	Busy   float64 // share of its cores' time
	Conns  int     // the most at a time
}

type tally struct {
	Types    []Figures
	Seconds  []Second
	Lost     int // tries whose driver was restarted or stood still under them
	sends    int
	words    int
	connects int
	acks     map[int64][]bool // by group, in steps of gapStep: whether a write was acked
}

// Result is what came of a play.
type Result struct {
	Setup Setup
	tally
	Asked    int     // ops, without further tries
	Worth    float64 // value served in time, as a share of all that was asked
	Broken   map[string]int
	First    []string // the first of what broke a rule
	Events   uint64
	Openings []Opening
	Gaps     []float64 // by group, the longest time without an acked write
	Served   []MemberFigures
}

// Sends, Words and Connects are how many sends to members, words between drivers and new connections there were.
func (t *tally) Sends() int    { return t.sends }
func (t *tally) Words() int    { return t.words }
func (t *tally) Connects() int { return t.connects }

func newTally(s *Setup) *tally {
	t := &tally{Types: make([]Figures, len(s.Mix)), Seconds: make([]Second, int(s.For/1000)+8), acks: map[int64][]bool{}}
	for i := range t.Types {
		t.Types[i].Latency = newHistogram()
	}
	for i := range t.Seconds {
		t.Seconds[i] = Second{Asked: make([]int, len(s.Mix)), InTime: make([]int, len(s.Mix)), Empty: make([]int, s.Groups)}
	}
	return t
}

func (t *tally) second(ms float64) *Second { return &t.Seconds[min(int(ms/1000), len(t.Seconds)-1)] }

func (t *tally) asks(h *host, o *op) {
	if o.tries == 0 {
		t.second(h.now - h.w.begin).Asked[o.kind]++
	} else {
		t.second(h.now-h.w.begin).Again++
	}
}

func (t *tally) ended(h *host, o *op, end End) {
	f, at := &t.Types[o.kind], h.now-h.w.begin
	f.Ends[end]++
	t.second(at).Ends[end]++
	if end != Acked {
		return
	}
	took := h.now - o.asked
	_ = f.Latency.RecordValue(max(int64(took*1000), 1)) // what is beyond its range isn't counted
	if took <= h.w.types[o.kind].LatencyTarget {
		f.InTime++
		t.second(o.asked - h.w.begin).InTime[o.kind]++
	}
	if h.w.types[o.kind].Need == logic.Write {
		if t.acks[o.group] == nil {
			t.acks[o.group] = make([]bool, int(h.w.setup.For/gapStep)+1)
		}
		if i := int(at / gapStep); i < len(t.acks[o.group]) {
			t.acks[o.group][i] = true
		}
	}
}

func (t *tally) add(o *tally) {
	for i := range t.Types {
		a, b := &t.Types[i], &o.Types[i]
		a.InTime += b.InTime
		a.Latency.Merge(b.Latency)
		for e := range a.Ends {
			a.Ends[e] += b.Ends[e]
		}
	}
	for i := range t.Seconds {
		a, b := &t.Seconds[i], &o.Seconds[i]
		for k := range a.Asked {
			a.Asked[k] += b.Asked[k]
			a.InTime[k] += b.InTime[k]
		}
		for g := range a.Empty {
			a.Empty[g] += b.Empty[g]
		}
		for e := range a.Ends {
			a.Ends[e] += b.Ends[e]
		}
		a.Again, a.Looks, a.Held = a.Again+b.Again, a.Looks+b.Looks, a.Held+b.Held
	}
	for g, acked := range o.acks {
		if t.acks[g] == nil {
			t.acks[g] = make([]bool, len(acked))
		}
		for i, is := range acked {
			t.acks[g][i] = t.acks[g][i] || is
		}
	}
	t.Lost, t.sends, t.words, t.connects = t.Lost+o.Lost, t.sends+o.sends, t.words+o.words, t.connects+o.connects
}

// sample looks at a driver's slots and held writes, now and then, while clients come.
func (h *host) sample() {
	h.after(sampleStep, func() {
		if h.now >= h.w.begin+h.w.setup.For {
			return
		}
		h.sample()
		s := h.core.tally.second(h.now - h.w.begin)
		s.Looks++
		for _, o := range h.ops {
			if h.w.types[o.kind].Need == logic.Write && !o.over && (len(o.attempts) == 0 || o.attempts[len(o.attempts)-1].over) {
				s.Held++
			}
		}
		if h.down || h.now < h.frozen {
			return
		}
		memory, _ := h.memory()
		for _, g := range memory.Groups {
			if !g.Held {
				s.Empty[g.Group-1]++
			}
		}
	})
}
