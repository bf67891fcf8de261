package emulator

// This file owns the statistics by op type, second and group. Counters are integers, so that their sum over workers is
// the same for any number of workers.

import (
	"github.com/HdrHistogram/hdrhistogram-go"

	"weirwind/logic"
)

const (
	gapStep    = 5.0   // milliseconds: the resolution of gaps between writes
	sampleStep = 250.0 // milliseconds between two samples of a driver
	// extraSeconds is the number of seconds counted after the run's duration, for ops that end then.
	extraSeconds = 8
)

// Outcome is the outcome of a client's op.
type Outcome uint8

// The outcomes of an op; OutcomeCount is their number.
const (
	Acked   Outcome = iota
	Refused         // proved not to have been executed: the client may retry
	Failed          // may have been executed
	OutcomeCount
)

// OpStats are the statistics of one op type.
type OpStats struct {
	Outcomes     [OutcomeCount]int
	WithinTarget int                     // ops acknowledged within the latency target since the first submission
	Latency      *hdrhistogram.Histogram // of acknowledged ops, in microseconds since the first submission
}

// Second holds the statistics of one second of a run; slices are by op type unless stated otherwise.
type Second struct {
	Arrivals       []int // ops first submitted in the second
	WithinTarget   []int // those of the arrivals that were acknowledged within their target
	Retries        int   // ops submitted again
	Outcomes       [OutcomeCount]int
	WithoutPrimary []int // by group: samples of drivers that knew no primary
	Samples        int   // samples per group, all drivers together
	PendingWrites  int   // writes without an open attempt, sum over all samples
}

// MemberStats are the statistics of one member over the whole run.
type MemberStats struct {
	Member      string
	Served      int
	MeanWait    float64 // mean milliseconds in the queue
	Utilization float64 // share of its cores' time
	PeakConns   int
}

// counters are the counters of one worker, or their sum over all workers.
type counters struct {
	Types      []OpStats // by op type
	Seconds    []Second
	Lost       int // ops lost as their driver restarted or was paused
	sends      int
	messages   int
	connects   int
	ackedSlots map[int64][]bool // by group and step of gapStep: whether a write was acknowledged in it
}

// Result is the result of a run.
type Result struct {
	Setup Setup
	counters
	Ops             int            // ops without retries
	ValueShare      float64        // value of the ops served within their target, as a share of all ops' value
	Violations      map[string]int // by rule
	FirstViolations []string       // descriptions of the first violations
	Events          uint64
	Promotions      []Promotion
	WriteGaps       []float64 // by group: the longest time without an acknowledged write, in milliseconds
	Members         []MemberStats
}

// Sends returns the number of attempts.
func (c *counters) Sends() int { return c.sends }

// Messages returns the number of messages between drivers.
func (c *counters) Messages() int { return c.messages }

// Connects returns the number of attempts to open a connection.
func (c *counters) Connects() int { return c.connects }

// Quantile returns a quantile of the latency of acknowledged ops, in milliseconds; q is in percent.
func (s *OpStats) Quantile(q float64) float64 { return float64(s.Latency.ValueAtQuantile(q)) / 1000 }

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60e6, 3) }

func newCounters(setup *Setup) *counters {
	c := &counters{
		Types:      make([]OpStats, len(setup.Mix)),
		Seconds:    make([]Second, int(setup.Duration/1000)+extraSeconds),
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

// second returns the statistics of the second at a time in milliseconds from the run's start.
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
	_ = stats.Latency.RecordValue(max(int64(latency*1000), 1)) // a value beyond the histogram's range isn't counted
	if latency <= d.sim.types[o.kind].LatencyTarget {
		stats.WithinTarget++
		c.second(o.started - d.sim.started).WithinTarget[o.kind]++
	}
	if d.sim.types[o.kind].Need == logic.Write {
		c.writeAcked(o.group, at, d.sim.setup.Duration)
	}
}

// writeAcked marks the step in which a group's write was acknowledged.
func (c *counters) writeAcked(group int64, at, duration float64) {
	if c.ackedSlots[group] == nil {
		c.ackedSlots[group] = make([]bool, int(duration/gapStep)+1)
	}
	if i := int(at / gapStep); i < len(c.ackedSlots[group]) {
		c.ackedSlots[group][i] = true
	}
}

// longestGap returns the longest time between two consecutive acknowledged writes, in milliseconds.
func longestGap(acked []bool) float64 {
	longest, last := 0, -1
	for i, wasAcked := range acked {
		if wasAcked {
			if last >= 0 {
				longest = max(longest, i-last)
			}
			last = i
		}
	}
	return float64(longest) * gapStep
}

// add adds the counters of another worker.
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

// scheduleSample samples the driver periodically while clients arrive.
func (d *driver) scheduleSample() {
	d.schedule(sampleStep, func() {
		if d.now >= d.sim.started+d.sim.setup.Duration {
			return
		}
		d.scheduleSample()
		d.sample(d.worker.counters.second(d.now - d.sim.started))
	})
}

// sample counts the writes without an open attempt, and the groups whose primary the module does not know.
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
