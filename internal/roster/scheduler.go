package roster

import (
	"math/rand/v2"
	"sync/atomic"

	"weirwind/internal/limits"
)

// CallKind is a kind of call to a source.
type CallKind uint8

// The calls to a source.
const (
	CallRead  CallKind = iota // a snapshot
	CallWatch                 // changes, from Call.Revision on
)

// Call is the next call to a source. Times are milliseconds.
type Call struct {
	Kind         CallKind
	Endpoint     int     // its index
	Delay        float64 // before the call
	Revision     int64   // of a watch: the first one wanted
	Linearizable bool    // of a read: the source's newest state, not that of a follower
	MaxDuration  float64 // of a watch: it ends then, and a read checks what it gave
}

// CallResult is how a call ended.
type CallResult uint8

// The results of calls.
const (
	CallSucceeded CallResult = iota // a read is done, or a watch has lasted for its MaxDuration
	CallBroken                      // refused, reset, timed out
	CallTimedOut                    // open, without a sign of life for too long
	CallCompacted                   // the revision asked for is not kept any more
	CallRejected                    // credentials, or a wrong call: another endpoint will not do better
	CallStale                       // what came was older than what is known
)

// SchedulerOptions are the options of a scheduler.
type SchedulerOptions struct {
	Endpoints int
	Drivers   int // that may lose the source at the same time, this one included
	Seed      uint64
	// ResyncInterval in milliseconds, 0 for 10 minutes: a watch is followed by a read after half of it up to all of
	// it, drawn at random. What a watch omitted can't be seen in any other way.
	ResyncInterval float64
}

// Times are milliseconds, rates are per second.
const (
	minBackoff, maxBackoff = 100.0, 10000.0 // limit of the first delay behind a failure, and of all
	retryRate, retryBurst  = 1.0, 5.0       // of the retry budget
	fleetReadRate          = 100.0          // reads of all drivers together that a source bears after its start
	rejectedDelay          = 5000.0         // at least half of it: credentials aren't mended sooner
	defaultResyncInterval  = 600e3          // at 1,000 drivers, two reads a second
	endpointCooldown       = 30000.0        // an endpoint that failed is the last choice for so long
)

// Scheduler decides which call to a source comes next: when, at which endpoint, and from which revision. A watch is
// resumed wherever the source still has its history, and drivers that lost the source together don't come back
// together. SetDrivers may be called at any time; the rest belongs to one goroutine.
type Scheduler struct {
	options      SchedulerOptions
	random       *rand.Rand
	backoff      limits.Backoff
	budget       limits.RetryBudget
	endpoint     int       // of the next call
	failedAt     []float64 // by endpoint
	mustRead     bool      // the next call is a read, even if the revision is known
	linearizable bool      // and of the newest state
	delay        float64   // before the next call
	drivers      atomic.Int64
}

// NewScheduler begins at an endpoint drawn by the seed.
func NewScheduler(options SchedulerOptions) *Scheduler {
	options.Endpoints, options.Drivers = max(options.Endpoints, 1), max(options.Drivers, 1)
	if options.ResyncInterval <= 0 {
		options.ResyncInterval = defaultResyncInterval
	}
	s := &Scheduler{
		options:  options,
		random:   rand.New(rand.NewPCG(options.Seed, 0x9E3779B97F4A7C15)),
		backoff:  limits.Backoff{Base: minBackoff, Max: maxBackoff},
		budget:   limits.RetryBudget{Rate: retryRate, Burst: retryBurst},
		failedAt: make([]float64, options.Endpoints),
		mustRead: true,
	}
	for i := range s.failedAt {
		s.failedAt[i] = -endpointCooldown
	}
	s.endpoint = s.random.IntN(options.Endpoints)
	s.drivers.Store(int64(options.Drivers))
	return s
}

// SetDrivers notes how many drivers there are now.
func (s *Scheduler) SetDrivers(drivers int) { s.drivers.Store(int64(max(drivers, 1))) }

// Next gives the next call. revision is up to where the source's state is known; synced is false before its first
// snapshot.
func (s *Scheduler) Next(revision int64, synced bool) Call {
	call := Call{
		Kind:         CallWatch,
		Endpoint:     s.endpoint,
		Delay:        s.delay,
		Revision:     revision + 1,
		Linearizable: s.linearizable,
		MaxDuration:  s.options.ResyncInterval * (0.5 + 0.5*s.random.Float64()),
	}
	if s.mustRead || !synced {
		call.Kind = CallRead
	}
	s.delay = 0
	return call
}

// CallEnded takes the result of a call. responded says whether the call had got any response before; now is in
// milliseconds.
func (s *Scheduler) CallEnded(now float64, kind CallKind, result CallResult, responded bool) {
	switch result {
	case CallSucceeded:
		s.backoff.Reset()
		s.mustRead, s.linearizable = kind == CallWatch, kind == CallWatch
	case CallCompacted: // the watch can't resume: the one case in which all drivers want a snapshot at once
		s.mustRead, s.delay = true, s.fleetDelay()
	case CallStale:
		s.mustRead, s.linearizable = true, true
		s.switchEndpoint(now)
		s.delay = s.budget.Reserve(now)
	case CallRejected:
		s.delay = rejectedDelay * (0.5 + s.random.Float64())
		s.switchEndpoint(now)
	default:
		s.callFailed(now, kind, responded)
	}
}

func (s *Scheduler) callFailed(now float64, kind CallKind, responded bool) {
	if responded {
		s.backoff.Reset() // it had served: the first retry comes soon
	}
	s.switchEndpoint(now)
	s.delay = max(s.backoff.RecordFailure(s.random), s.budget.Reserve(now))
	if kind == CallRead && s.backoff.Failures() > s.options.Endpoints { // down for all drivers: all will be back at once
		s.delay = max(s.delay, s.fleetDelay())
	}
}

// fleetDelay spreads the reads of all drivers, if all of them want one now, over what a source bears.
func (s *Scheduler) fleetDelay() float64 {
	return s.random.Float64() * float64(s.drivers.Load()) / fleetReadRate * 1000
}

// Resync asks for a read of the newest state, as something is missing in what came.
func (s *Scheduler) Resync(now float64) {
	s.mustRead, s.linearizable = true, true
	s.delay = max(s.delay, s.budget.Reserve(now))
}

// ResyncAfter asks for a read of the newest state after a delay, to confirm a snapshot.
func (s *Scheduler) ResyncAfter(delay float64) {
	s.mustRead, s.linearizable, s.delay = true, true, max(s.delay, delay)
}

// switchEndpoint moves on to the next endpoint that has not failed of late, or else to the one that failed the
// longest ago.
func (s *Scheduler) switchEndpoint(now float64) {
	s.failedAt[s.endpoint] = now
	best := s.endpoint
	for i := 1; i <= s.options.Endpoints; i++ {
		e := (s.endpoint + i) % s.options.Endpoints
		if now-s.failedAt[e] >= endpointCooldown {
			s.endpoint = e
			return
		}
		if s.failedAt[e] < s.failedAt[best] {
			best = e
		}
	}
	s.endpoint = best
}
