package lab

// This file owns the load: ops that come when they are due, whatever became of those before, and what came of each. It
// must never wait with an op for another's answer, count from any moment but the intended one, or ask twice.

import (
	"bufio"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"weirwind/internal/pgwire"
)

// Kind is one op type of a mix.
type OpKind struct {
	Name    string        `json:"name"`
	Share   float64       `json:"share"` // of all ops, in parts of the sum
	Write   bool          `json:"write"`
	Timeout time.Duration `json:"timeout"`
	Target  time.Duration `json:"target"` // answers up to it are in time; 0: all
	Value   float64       `json:"value"`  // of one in time; 0 for 1
}

// Load is what is to be asked.
type Load struct {
	Targets     []string // drivers
	Rate        float64  // ops a second, all targets together
	Duration    time.Duration
	Mix         []OpKind
	Groups      int
	Seed        uint64
	Slack       time.Duration // beyond an op's time its answer still counts: machines stand still now and then. 0 for 50 ms
	MaxInFlight int           // ops open at a time; those beyond are not asked and counted as Skipped
}

// End is what came of an op.
type Outcome uint8

// What may come of an op.
const (
	Acked Outcome = iota
	Refused
	Failed
	Lost // no whole answer in its time
	outcomeCount
)

func (e Outcome) String() string { return [...]string{"acked", "refused", "failed", "lost"}[e] }

// Figures are of one kind of op, or of one second.
type OpStats struct {
	Outcomes [outcomeCount]int
	Skipped  int
	Latency  *hdrhistogram.Histogram // of acked ops, microseconds from the intended start
}

func newOpStats() *OpStats { return &OpStats{Latency: hdrhistogram.New(1, 60e6, 3)} }

// Quantile is of the latency of acked ops.
func (f *OpStats) Quantile(q float64) time.Duration {
	return time.Duration(f.Latency.ValueAtQuantile(q)) * time.Microsecond
}

// Result is what came of a load.
type Result struct {
	Kinds      map[string]*OpStats
	Writes     map[string]Outcome // by op
	WriteTimes []time.Duration    // of writes, from the begin of the load
	Mismatched []string           // ops that were answered by another's value
}

// Run plays a load. each is called about once a second with what ended since; it may be nil.
func (l Load) Run(ctx context.Context, each func(second int, f *OpStats)) Result {
	if l.MaxInFlight == 0 {
		l.MaxInFlight = 2000
	}
	if l.Slack == 0 {
		l.Slack = 50 * time.Millisecond
	}
	t := l.newTally()
	draw := rand.New(rand.NewPCG(l.Seed, 9))
	pools := make([]pool, len(l.Targets))
	for i, target := range l.Targets {
		pools[i].address = target
	}
	var open sync.WaitGroup
	places := make(chan struct{}, l.MaxInFlight)
	begin, due := time.Now(), time.Duration(0)
	shown := 0
	for serial := 0; due < l.Duration; serial++ {
		due += time.Duration(draw.ExpFloat64() / l.Rate * float64(time.Second))
		select {
		case <-ctx.Done():
			due = l.Duration
			continue
		case <-time.After(time.Until(begin.Add(due))):
		}
		kind := l.pick(draw.Float64() * t.shares)
		p, group := &pools[draw.IntN(len(pools))], draw.IntN(max(l.Groups, 1))+1
		id := fmt.Sprintf("%08x%08x", l.Seed&0xffffffff, serial)
		if s := int(due / time.Second); s > shown && each != nil {
			each(shown, t.nextSecond())
			shown = s
		}
		select {
		case places <- struct{}{}:
		default:
			t.skip(kind)
			continue
		}
		intended := begin.Add(due)
		open.Go(func() {
			defer func() { <-places }()
			end, value := p.query(kind, id, group, intended, l.Slack)
			t.count(kind, id, end, value, time.Since(intended), begin)
		})
	}
	open.Wait()
	for i := range pools {
		pools[i].close()
	}
	return t.result
}

// pick gives the kind at a place in the sum of shares.
func (l *Load) pick(x float64) OpKind {
	for _, k := range l.Mix {
		if x -= k.Share; x < 0 {
			return k
		}
	}
	return l.Mix[len(l.Mix)-1]
}

// tally counts what comes of a load's ops.
type tally struct {
	shares float64 // of all kinds

	mu     sync.Mutex
	result Result
	second *OpStats // of the second that runs
}

func (l *Load) newTally() *tally {
	t := &tally{result: Result{Kinds: map[string]*OpStats{}, Writes: map[string]Outcome{}}, second: newOpStats()}
	for _, k := range l.Mix {
		t.result.Kinds[k.Name] = newOpStats()
		t.shares += k.Share
	}
	return t
}

// nextSecond gives the figures of the second that ends.
func (t *tally) nextSecond() *OpStats {
	t.mu.Lock()
	defer t.mu.Unlock()
	done := t.second
	t.second = newOpStats()
	return done
}

func (t *tally) skip(kind OpKind) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.result.Kinds[kind.Name].Skipped++
}

func (t *tally) count(kind OpKind, id string, end Outcome, value string, took time.Duration, begin time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, f := range []*OpStats{t.result.Kinds[kind.Name], t.second} {
		if f.Outcomes[end]++; end == Acked {
			_ = f.Latency.RecordValue(max(took.Microseconds(), 1)) // what is beyond its range isn't counted
		}
	}
	if kind.Write {
		if t.result.Writes[id] = end; end == Acked {
			t.result.WriteTimes = append(t.result.WriteTimes, time.Since(begin))
		}
	}
	if end == Acked && value != "v:"+id {
		t.result.Mismatched = append(t.result.Mismatched, id)
	}
}

// Gap is the longest time without an acked write between two moments of the load.
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

// pool keeps connections to one driver.
type pool struct {
	address string
	mu      sync.Mutex
	idle    []*clientConn
}

type clientConn struct {
	net.Conn
	reader *bufio.Reader
}

func (p *pool) close() {
	for _, l := range p.idle {
		l.Close()
	}
}

// ask puts one op and waits for its answer for as long as its time lasts from the intended start.
func (p *pool) query(k OpKind, id string, group int, intended time.Time, slack time.Duration) (Outcome, string) {
	due := intended.Add(k.Timeout)
	limit := due.Add(slack)
	p.mu.Lock()
	var l *clientConn
	if n := len(p.idle); n > 0 {
		l, p.idle = p.idle[n-1], slices.Delete(p.idle, n-1, n)
	}
	p.mu.Unlock()
	if l == nil {
		conn, err := net.DialTimeout("tcp", p.address, time.Until(limit))
		if err != nil {
			return Lost, ""
		}
		l = &clientConn{conn, bufio.NewReader(conn)}
		conn.SetDeadline(limit)
		_, _ = conn.Write(pgwire.AppendStartupMessage(nil, "svc", "main")) // the reads behind it see a broken connection
		if _, _, ok := l.readAnswer(); !ok {
			conn.Close()
			return Lost, ""
		}
	}
	l.SetDeadline(limit)
	form := "SELECT v FROM records WHERE k = 'a1'"
	if k.Write {
		form = `INSERT INTO records (k, v) VALUES ('a1', '\x9f03') RETURNING v`
	}
	_, _ = l.Write(pgwire.AppendQuery(nil, fmt.Sprintf("%s /* id=%s,c=%s,d=%d,cluster=%d */", form, id, k.Name,
		max(time.Until(due).Milliseconds(), 1), group)))
	value, code, ok := l.readAnswer()
	if !ok {
		l.Close()
		return Lost, ""
	}
	p.mu.Lock()
	p.idle = append(p.idle, l)
	p.mu.Unlock()
	switch code {
	case "":
		return Acked, value
	case pgwire.CodeTooManyConnections, "57P03":
		return Refused, ""
	}
	return Failed, ""
}

// hear reads one whole answer.
func (l *clientConn) readAnswer() (value, code string, ok bool) {
	for {
		kind, m, err := pgwire.Read(l.reader, nil)
		if err != nil {
			return "", "", false
		}
		switch kind {
		case 'D':
			b, _ := pgwire.ParseDataRow(pgwire.Body(m))
			value = string(b)
		case 'E':
			code = pgwire.ErrorCode(pgwire.Body(m))
		case 'Z':
			return value, code, true
		}
	}
}
