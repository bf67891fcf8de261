package emulator

// This file owns what is counted: by op type, by second, by group. Counters hold integers alone, so that their sum
// over workers is the same for any number of them.

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"weirwind/logic"
)

const (
	gapStep    = 5.0   // milliseconds: the resolution of gaps between writes
	sampleStep = 250.0 // milliseconds between two samples of a driver
	// spareSeconds are counted behind the run's duration, for ops that end then.
	spareSeconds = 8
)

// Outcome is what came of a client's op.
type Outcome uint8

// The outcomes of an op; OutcomeCount is their number.
const (
	Acked   Outcome = iota
	Refused         // proved not to have run: the client may retry
	Failed          // it may have run
	OutcomeCount
)

// OpStats are of one op type.
type OpStats struct {
	Outcomes     [OutcomeCount]int
	WithinTarget int                     // acknowledged within the latency target of the first submission
	Latency      *hdrhistogram.Histogram // of acknowledged ops, in microseconds from the first submission
}

// Second is what happened in one second of a run; slices are by op type where nothing else is said.
type Second struct {
	Arrivals       []int // ops that were submitted first in it
	WithinTarget   []int // those of them that were acknowledged within their target
	Retries        int   // ops that were submitted again
	Outcomes       [OutcomeCount]int
	WithoutPrimary []int // by group: samples of drivers that knew no primary
	Samples        int   // of one group, all drivers
	PendingWrites  int   // writes without an open attempt, all samples together
}

// MemberStats are of one member over the whole run.
type MemberStats struct {
	Member      string
	Served      int
	MeanWait    float64 // milliseconds until a core was free
	Utilization float64 // share of its cores' time
	PeakConns   int
}

// counters are what one worker counts, or the sum of all.
type counters struct {
	Types      []OpStats // by op type
	Seconds    []Second
	Lost       int // ops whose driver restarted or was paused under them
	sends      int
	messages   int
	connects   int
	ackedSlots map[int64][]bool // by group, in steps of gapStep: whether a write was acknowledged
}

// Result is what came of a run.
type Result struct {
	Setup Setup
	counters
	Ops             int            // without retries
	ValueShare      float64        // value of the ops that were served within their target, as a share of all ops' value
	Violations      map[string]int // by rule
	FirstViolations []string       // the first of them, described
	Events          uint64
	Promotions      []Promotion
	WriteGaps       []float64 // by group: the longest time without an acknowledged write, in milliseconds
	Members         []MemberStats
}

// Sends is the number of attempts.
func (c *counters) Sends() int { return c.sends }

// Messages is the number of messages between drivers.
func (c *counters) Messages() int { return c.messages }

// Connects is the number of connections that were opened, or tried to be.
func (c *counters) Connects() int { return c.connects }

// Quantile is of the latency of acknowledged ops, in milliseconds; q is in percent.
func (s *OpStats) Quantile(q float64) float64 { return float64(s.Latency.ValueAtQuantile(q)) / 1000 }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

func newCounters(setup *Setup) *counters {
	c := &counters{
		Types:      make([]OpStats, len(setup.Mix)),
		Seconds:    make([]Second, int(setup.Duration/1000)+spareSeconds),
		ackedSlots: map[int64][]bool{},
	}
	for i := range c.Types {
		c.Types[i].Latency = newHistogram()
	}
	for i := range c.Seconds {
		c.Seconds[i] = Second{
			Arrivals:       make([]int, len(setup.Mix)),
			WithinTarget:   make([]int, len(setup.Mix)),
			WithoutPrimary: make([]int, setup.Groups),
		}
	}
	return c
}

// second is that of a time in milliseconds from the run's start.
func (c *counters) second(at float64) *Second { return &c.Seconds[min(int(at/1000), len(c.Seconds)-1)] }

// opSubmitted counts an op that a client submits.
func (c *counters) opSubmitted(d *driver, o *op) {
	second := c.second(d.now - d.sim.started)
	if o.retries == 0 {
		second.Arrivals[o.kind]++
	} else {
		second.Retries++
	}
}

// opFinished counts an op's outcome.
func (c *counters) opFinished(d *driver, o *op, outcome Outcome) {
	stats, at := &c.Types[o.kind], d.now-d.sim.started
	stats.Outcomes[outcome]++
	c.second(at).Outcomes[outcome]++
	if outcome != Acked {
		return
	}
	latency := d.now - o.started
	_ = stats.Latency.RecordValue(max(int64(latency*1000), 1)) // what is beyond its range isn't counted
	if latency <= d.sim.types[o.kind].LatencyTarget {
		stats.WithinTarget++
		c.second(o.started - d.sim.started).WithinTarget[o.kind]++
	}
	if d.sim.types[o.kind].Need == logic.Write {
		c.writeAcked(o.group, at, d.sim.setup.Duration)
	}
}

// writeAcked marks the slot of a time in which a group's write was acknowledged.
func (c *counters) writeAcked(group int64, at, duration float64) {
	if c.ackedSlots[group] == nil {
		c.ackedSlots[group] = make([]bool, int(duration/gapStep)+1)
	}
	if i := int(at / gapStep); i < len(c.ackedSlots[group]) {
		c.ackedSlots[group][i] = true
	}
}

// longestGap is the longest time without an acknowledged write, in milliseconds, between the first and the last.
func longestGap(acked []bool) float64 {
	longest, last := 0, -1
	for i, is := range acked {
		if is {
			if last >= 0 {
				longest = max(longest, i-last)
			}
			last = i
		}
	}
	return float64(longest) * gapStep
}

// add adds what another worker has counted.
func (c *counters) add(other *counters) {
	for i := range c.Types {
		sum, x := &c.Types[i], &other.Types[i]
		sum.WithinTarget += x.WithinTarget
		sum.Latency.Merge(x.Latency)
		addInts(sum.Outcomes[:], x.Outcomes[:])
	}
	for i := range c.Seconds {
		c.Seconds[i].add(&other.Seconds[i])
	}
	for group, acked := range other.ackedSlots {
		if c.ackedSlots[group] == nil {
			c.ackedSlots[group] = make([]bool, len(acked))
		}
		for i, is := range acked {
			c.ackedSlots[group][i] = c.ackedSlots[group][i] || is
		}
	}
	c.Lost += other.Lost
	c.sends += other.sends
	c.messages += other.messages
	c.connects += other.connects
}

func (s *Second) add(other *Second) {
	addInts(s.Arrivals, other.Arrivals)
	addInts(s.WithinTarget, other.WithinTarget)
	addInts(s.WithoutPrimary, other.WithoutPrimary)
	addInts(s.Outcomes[:], other.Outcomes[:])
	s.Retries += other.Retries
	s.Samples += other.Samples
	s.PendingWrites += other.PendingWrites
}

func addInts(sum, x []int) {
	for i := range sum {
		sum[i] += x[i]
	}
}

// scheduleSample samples a driver periodically while clients arrive.
func (d *driver) scheduleSample() {
	d.schedule(sampleStep, func() {
		if d.now >= d.sim.started+d.sim.setup.Duration {
			return
		}
		d.scheduleSample()
		d.sample(d.worker.counters.second(d.now - d.sim.started))
	})
}

// sample counts the writes that have no open attempt, and the groups of which the module knows no primary.
func (d *driver) sample(second *Second) {
	second.Samples++
	for _, o := range d.ops {
		if d.sim.types[o.kind].Need == logic.Write && !o.finished &&
			(len(o.attempts) == 0 || o.attempts[len(o.attempts)-1].ended) {
			second.PendingWrites++
		}
	}
	if d.down || d.now < d.pausedUntil {
		return
	}
	memory, _ := d.moduleMemory()
	for _, g := range memory.Groups {
		if !g.InSlot {
			second.WithoutPrimary[g.Group-1]++
		}
	}
}
