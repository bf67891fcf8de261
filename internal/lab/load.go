package lab

// This file owns the load: ops that are sent at their intended times, independently of earlier ones, and their
// outcomes. Latency is measured from the intended time, so that a stall shows in all ops that it delays (no coordinated
// omission). No op is sent twice.

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// OpKind is an op type of a mix.
type OpKind struct {
	Name    string        `json:"name"`
	Share   float64       `json:"share"` // share of all ops, relative to the sum of all shares
	Write   bool          `json:"write"`
	Timeout time.Duration `json:"timeout"`
	Target  time.Duration `json:"target"` // latency target; 0: none
	Value   float64       `json:"value"`  // value of an op answered within its target; 0: 1
}

// Load is an open-loop load on drivers.
type Load struct {
	Targets     []string // addresses of the drivers
	Rate        float64  // ops per second, all targets together
	Duration    time.Duration
	Mix         []OpKind
	Groups      int
	Seed        uint64
	Slack       time.Duration // time after an op's timeout in which its answer counts, as machines pause; 0: 50 ms
	MaxInFlight int           // maximum number of concurrent ops; more are not sent and counted as Skipped; 0: 2000
}

// Outcome is the outcome of an op.
type Outcome uint8

// The outcomes of an op.
const (
	Acked Outcome = iota
	Refused
	Failed
	Lost // no complete answer before the timeout and slack ended
	outcomeCount
)

// String returns the outcome's name.
func (o Outcome) String() string { return [...]string{"acked", "refused", "failed", "lost"}[o] }

// OpStats are the statistics of one op type or one second.
type OpStats struct {
	Outcomes [outcomeCount]int
	Skipped  int
	Latency  *hdrhistogram.Histogram // of acked ops, microseconds from the intended start
}

func newOpStats() *OpStats { return &OpStats{Latency: hdrhistogram.New(1, 60e6, 3)} }

// Quantile returns a quantile of the latency of acked ops; q is in percent.
func (s *OpStats) Quantile(q float64) time.Duration {
	return time.Duration(s.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Result holds the outcomes of a load's ops.
type Result struct {
	Kinds        map[string]*OpStats // by op type
	Writes       map[string]Outcome  // outcomes of writes, by op
	WriteTimes   []time.Duration     // times of acked writes since the start of the load
	Mismatched   []string            // ops that got the answer to another op
	Clusters     map[string]int      // acked ops, by the cluster whose member answered
	WriteCluster map[string]string   // by acked write: the cluster whose member answered
}

// Run runs a load. eachSecond, which may be nil, is called about once per second with the ops that ended in between.
func (l Load) Run(ctx context.Context, eachSecond func(second int, stats *OpStats)) Result {
	l.MaxInFlight = cmp.Or(l.MaxInFlight, 2000)
	l.Slack = cmp.Or(l.Slack, 50*time.Millisecond)
	t := l.newTally()
	random := rand.New(rand.NewPCG(l.Seed, 9))
	pools := make([]connPool, len(l.Targets))
	for i, target := range l.Targets {
		pools[i].address = target
	}
	var inFlight sync.WaitGroup
	slots := make(chan struct{}, l.MaxInFlight)
	begin, due := time.Now(), time.Duration(0)
	reported := 0
	for serial := 0; due < l.Duration; serial++ {
		due += time.Duration(random.ExpFloat64() / l.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			due = l.Duration
			continue
		case <-time.After(time.Until(begin.Add(due))):
		}
		kind := l.pick(random.Float64() * t.shares)
		pool, group := &pools[random.IntN(len(pools))], random.IntN(max(l.Groups, 1))+1
		id := fmt.Sprintf("%08x%08x", l.Seed&0xffffffff, serial)
		if second := int(due / time.Second); second > reported && eachSecond != nil {
			eachSecond(reported, t.nextSecond())
			reported = second
		}
		select {
		case slots <- struct{}{}:
		default:
			t.skip(kind)
			continue
		}
		intended := begin.Add(due)
		inFlight.Go(func() {
			defer func() { <-slots }()
			outcome, value := pool.query(kind, id, group, intended, l.Slack)
			t.count(kind, id, outcome, value, time.Since(intended), begin)
		})
	}
	inFlight.Wait()
	for i := range pools {
		pools[i].close()
	}
	return t.result
}

// pick returns the kind at position x in the sequence of shares.
func (l *Load) pick(x float64) OpKind {
	for _, k := range l.Mix {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return l.Mix[len(l.Mix)-1]
}

// tally counts the outcomes of a load's ops.
type tally struct {
	shares float64 // sum of the shares of all kinds

	mu     sync.Mutex
	result Result
	second *OpStats // statistics of the current second
}

func (l *Load) newTally() *tally {
	t := &tally{result: newResult(), second: newOpStats()}
	for _, k := range l.Mix {
		t.result.Kinds[k.Name] = newOpStats()
		t.shares += k.Share
	}
	return t
}

func newResult() Result {
	return Result{
		Kinds:        map[string]*OpStats{},
		Writes:       map[string]Outcome{},
		Clusters:     map[string]int{},
		WriteCluster: map[string]string{},
	}
}

// nextSecond returns the statistics of the current second and starts the next one.
func (t *tally) nextSecond() *OpStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := t.second
	t.second = newOpStats()
	return done
}

// skip counts an op that was not sent.
func (t *tally) skip(kind OpKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Kinds[kind.Name].Skipped++
}

// count counts an op that has ended.
func (t *tally) count(kind OpKind, id string, outcome Outcome, value string, took time.Duration, begin time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, stats := range []*OpStats{t.result.Kinds[kind.Name], t.second} {
		if stats.Outcomes[outcome]++; outcome == Acked {
			_ = stats.Latency.RecordValue(max(took.Microseconds(), 1)) // a value beyond the histogram's range isn't counted
		}
	}
	if kind.Write {
		t.result.Writes[id] = outcome
	}
	if outcome != Acked {
		return
	}
	cluster, matches := parseAnswerValue(value, id)
	if !matches {
		t.result.Mismatched = append(t.result.Mismatched, id)
	}
	t.result.Clusters[cluster]++
	if kind.Write {
		t.result.WriteTimes = append(t.result.WriteTimes, time.Since(begin))
		t.result.WriteCluster[id] = cluster
	}
}

// LongestGap returns the longest time without an acknowledged write between two times of the load.
func (r *Result) LongestGap(from, to time.Duration) (longest time.Duration) {
	slices.Sort(r.WriteTimes)
	last := from
	for _, at := range r.WriteTimes {
		if at > from && at <= to {
			longest = max(longest, at-last)
			last = at
		}
	}
	return longest
}
