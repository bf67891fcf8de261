package roster

// This file owns the course of calls to a registry: which comes next, at which endpoint, from which revision, and
// after which pause. It must never ask for a whole list where a watch can resume, nor let drivers that lost
// the registry together come back together.

import (
	"math/rand/v2"
	"sync/atomic"

	"weirwind/internal/limits"
)

// CallKind is what to do next.
type CallKind uint8

// The calls to a source of the list.
const (
	CallRead  CallKind = iota // the whole list
	CallWatch                 // a watch, from Call.Revision on
)

// Call is the next call. After is in milliseconds.
type Call struct {
	Kind         CallKind
	Endpoint     int     // its number
	Delay        float64 // wait so long first
	Revision     int64   // of a watch: the first one wanted
	Linearizable bool    // of a read: the registry's newest state is wanted, not a follower's
	MaxDuration  float64 // of a watch: leave it after so long, and read the whole list
}

// CallResult is how a call ended.
type CallResult uint8

// How a call may end.
const (
	CallSucceeded CallResult = iota // a read is done, or a watch has lasted for its time
	CallBroken                      // refused, reset, timed out
	CallTimedOut                    // open, with no sign for too long
	CallCompacted                   // the revision asked for is not kept any more
	CallRejected                    // credentials, or a wrong call: another endpoint will not do better
	CallStale                       // what came was older than what is known
)

// SchedulerOptions are what the calls go by. Times are milliseconds.
type SchedulerOptions struct {
	Endpoints int
	Drivers   int // drivers that may lose the registry at the same time, this one included
	Seed      uint64
	// ResyncInterval: a watch is checked against the whole list after so long, drawn from half of it up: what a watch has passed
	// over without a word can't be seen in any other way. 0 for 10 minutes.
	ResyncInterval float64
}

const (
	pauseLeast, pauseMost = 100.0, 10000.0 // of pauses after failures
	retryRate, retryMost  = 1.0, 5.0       // calls a second beyond the first, and how many at once
	readsASecond          = 100.0          // whole reads of all peers together that a registry is to bear after its start
	refusedPause          = 5000.0         // credentials don't mend themselves sooner
	rereadDefault         = 600e3          // at 1,000 drivers two whole lists a second
	restTime              = 30000.0        // an endpoint that failed is the last choice for so long
)

// Scheduler is the state of the calls to one registry.
type Scheduler struct {
	rules    SchedulerOptions
	draw     *rand.Rand
	pauses   limits.Pauses
	budget   limits.Budget
	endpoint int
	failedAt []float64 // by endpoint
	whole    bool      // the next call is a read
	exact    bool
	after    float64
	fellows  atomic.Int64
}

// NewScheduler begins at an endpoint drawn by the seed.
func NewScheduler(r SchedulerOptions) *Scheduler {
	if r.Endpoints, r.Drivers = max(r.Endpoints, 1), max(r.Drivers, 1); r.ResyncInterval <= 0 {
		r.ResyncInterval = rereadDefault
	}
	c := &Scheduler{rules: r, draw: rand.New(rand.NewPCG(r.Seed, 0x9E3779B97F4A7C15)), whole: true,
		pauses: limits.Pauses{Least: pauseLeast, Most: pauseMost}, budget: limits.Budget{Rate: retryRate, Most: retryMost},
		failedAt: make([]float64, r.Endpoints)}
	for i := range c.failedAt {
		c.failedAt[i] = -restTime
	}
	c.endpoint = c.draw.IntN(r.Endpoints)
	c.fellows.Store(int64(r.Drivers))
	return c
}

// SetDrivers notes how many drivers there are now; it may be called while the course is in use.
func (c *Scheduler) SetDrivers(n int) { c.fellows.Store(int64(max(n, 1))) }

// Next gives the next call; revision is up to where the list is known, told false where none is.
func (c *Scheduler) Next(revision int64, told bool) Call {
	call := Call{Kind: CallWatch, Endpoint: c.endpoint, Delay: c.after, Revision: revision + 1, Linearizable: c.exact}
	call.MaxDuration = c.rules.ResyncInterval * (0.5 + 0.5*c.draw.Float64())
	if c.whole || !told {
		call.Kind = CallRead
	}
	c.after = 0
	return call
}

// spread is a pause that keeps all fellows' whole reads under what a registry bears, if all of them want one now.
func (c *Scheduler) spread() float64 {
	return c.draw.Float64() * float64(c.fellows.Load()) / readsASecond * 1000
}

// CallEnded takes the end of a call. began says whether the call had got any answer before; now is in milliseconds.
func (c *Scheduler) CallEnded(now float64, kind CallKind, end CallResult, began bool) {
	switch end {
	case CallSucceeded:
		c.pauses.Done()
		c.whole, c.exact = kind == CallWatch, kind == CallWatch
		return
	case CallCompacted: // the watch can't resume: the one case in which a whole list is wanted at once by all
		c.whole, c.after = true, c.spread()
		return
	case CallStale:
		c.whole, c.exact = true, true
		c.next(now)
		c.after = c.budget.Take(now)
		return
	case CallRejected:
		c.after = refusedPause * (0.5 + c.draw.Float64())
		c.next(now)
		return
	}
	if began {
		c.pauses.Done() // it had served: the first further try comes soon
	}
	c.next(now)
	c.after = max(c.pauses.Failed(c.draw), c.budget.Take(now))
	if kind == CallRead && c.pauses.Row() > c.rules.Endpoints { // down for all: they will all be back at once
		c.after = max(c.after, c.spread())
	}
}

// Resync notes that something is missing in what was told: the whole list is wanted, from the newest state.
func (c *Scheduler) Resync(now float64) {
	c.whole, c.exact = true, true
	c.after = max(c.after, c.budget.Take(now))
}

// ResyncAfter asks for a whole list after a pause: to confirm one that was held.
func (c *Scheduler) ResyncAfter(after float64) {
	c.whole, c.exact, c.after = true, true, max(c.after, after)
}

// next moves on to the endpoint that failed the longest ago, in turn.
func (c *Scheduler) next(now float64) {
	c.failedAt[c.endpoint] = now
	best := c.endpoint
	for i := 1; i <= c.rules.Endpoints; i++ {
		e := (c.endpoint + i) % c.rules.Endpoints
		if now-c.failedAt[e] >= restTime {
			c.endpoint = e
			return
		}
		if c.failedAt[e] < c.failedAt[best] {
			best = e
		}
	}
	c.endpoint = best
}
