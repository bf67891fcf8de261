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
	Read   CallKind = iota // the whole list
	Follow                 // a watch, from Call.Revision on
)

// Call is the next call. After is in milliseconds.
type Call struct {
	Kind     CallKind
	Endpoint int     // its number
	After    float64 // wait so long first
	Revision int64   // of a watch: the first one wanted
	Exact    bool    // of a read: the registry's newest state is wanted, not a follower's
	For      float64 // of a watch: leave it after so long, and read the whole list
}

// End is how a call ended.
type End uint8

// How a call may end.
const (
	Answered  End = iota // a read is done, or a watch has lasted for its time
	Broken               // refused, reset, timed out
	Silent               // open, with no sign for too long
	Compacted            // the revision asked for is not kept any more
	Refused              // credentials, or a wrong call: another endpoint will not do better
	Lagging              // what came was older than what is known
)

// CourseRules are what the calls go by. Times are milliseconds.
type CourseRules struct {
	Endpoints int
	Fellows   int // drivers that may lose the registry at the same time, this one included
	Seed      uint64
	// Reread: a watch is checked against the whole list after so long, drawn from half of it up: what a watch has passed
	// over without a word can't be seen in any other way. 0 for 10 minutes.
	Reread float64
}

const (
	pauseLeast, pauseMost = 100.0, 10000.0 // of pauses after failures
	retryRate, retryMost  = 1.0, 5.0       // calls a second beyond the first, and how many at once
	readsASecond          = 100.0          // whole reads of all peers together that a registry is to bear after its start
	refusedPause          = 5000.0         // credentials don't mend themselves sooner
	rereadDefault         = 600e3          // at 1,000 drivers two whole lists a second
	restTime              = 30000.0        // an endpoint that failed is the last choice for so long
)

// Course is the state of the calls to one registry.
type Course struct {
	rules    CourseRules
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

// NewCourse begins at an endpoint drawn by the seed.
func NewCourse(r CourseRules) *Course {
	if r.Endpoints, r.Fellows = max(r.Endpoints, 1), max(r.Fellows, 1); r.Reread <= 0 {
		r.Reread = rereadDefault
	}
	c := &Course{rules: r, draw: rand.New(rand.NewPCG(r.Seed, 0x9E3779B97F4A7C15)), whole: true,
		pauses: limits.Pauses{Least: pauseLeast, Most: pauseMost}, budget: limits.Budget{Rate: retryRate, Most: retryMost},
		failedAt: make([]float64, r.Endpoints)}
	for i := range c.failedAt {
		c.failedAt[i] = -restTime
	}
	c.endpoint = c.draw.IntN(r.Endpoints)
	c.fellows.Store(int64(r.Fellows))
	return c
}

// Fellows notes how many drivers there are now; it may be called while the course is in use.
func (c *Course) Fellows(n int) { c.fellows.Store(int64(max(n, 1))) }

// Next gives the next call; revision is up to where the list is known, told false where none is.
func (c *Course) Next(revision int64, told bool) Call {
	call := Call{Kind: Follow, Endpoint: c.endpoint, After: c.after, Revision: revision + 1, Exact: c.exact}
	call.For = c.rules.Reread * (0.5 + 0.5*c.draw.Float64())
	if c.whole || !told {
		call.Kind = Read
	}
	c.after = 0
	return call
}

// spread is a pause that keeps all fellows' whole reads under what a registry bears, if all of them want one now.
func (c *Course) spread() float64 {
	return c.draw.Float64() * float64(c.fellows.Load()) / readsASecond * 1000
}

// Ended takes the end of a call. began says whether the call had got any answer before; now is in milliseconds.
func (c *Course) Ended(now float64, kind CallKind, end End, began bool) {
	switch end {
	case Answered:
		c.pauses.Done()
		c.whole, c.exact = kind == Follow, kind == Follow
		return
	case Compacted: // the watch can't resume: the one case in which a whole list is wanted at once by all
		c.whole, c.after = true, c.spread()
		return
	case Lagging:
		c.whole, c.exact = true, true
		c.next(now)
		c.after = c.budget.Take(now)
		return
	case Refused:
		c.after = refusedPause * (0.5 + c.draw.Float64())
		c.next(now)
		return
	}
	if began {
		c.pauses.Done() // it had served: the first further try comes soon
	}
	c.next(now)
	c.after = max(c.pauses.Failed(c.draw), c.budget.Take(now))
	if kind == Read && c.pauses.Row() > c.rules.Endpoints { // down for all: they will all be back at once
		c.after = max(c.after, c.spread())
	}
}

// Gap notes that something is missing in what was told: the whole list is wanted, from the newest state.
func (c *Course) Gap(now float64) {
	c.whole, c.exact = true, true
	c.after = max(c.after, c.budget.Take(now))
}

// Again asks for a whole list after a pause: to confirm one that was held.
func (c *Course) Again(after float64) { c.whole, c.exact, c.after = true, true, max(c.after, after) }

// next moves on to the endpoint that failed the longest ago, in turn.
func (c *Course) next(now float64) {
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
