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
	CallRead  CallKind = iota // reads a snapshot
	CallWatch                 // watches changes, from Call.Revision on
)

// Call is the next call to a source. Times are milliseconds.
type Call struct {
	Kind         CallKind
	Endpoint     int     // index of the endpoint
	Delay        float64 // before the call
	Revision     int64   // of a watch: the first revision to deliver
	Linearizable bool    // of a read: the newest state is required, not that of a follower
	MaxDuration  float64 // of a watch: it ends then, and a read verifies its result
}

// CallResult is the result of a call.
type CallResult uint8

// The results of calls.
const (
	CallSucceeded CallResult = iota // the read is complete, or the watch lasted for its MaxDuration
	CallBroken                      // connection refused or reset, or a request timeout
	CallTimedOut                    // a watch without any message for too long
	CallCompacted                   // the requested revision has been compacted
	CallRejected                    // bad credentials or an invalid call, for which another endpoint doesn't help
	CallStale                       // the result was older than the known state
)

// SchedulerOptions configure a Scheduler.
type SchedulerOptions struct {
	Endpoints int
	Drivers   int // drivers that may lose the source at the same time, including this one
	Seed      uint64
	// ResyncInterval is in milliseconds, 0 for 10 minutes. A watch ends at random after half of it up to all of it,
	// and is followed by a read: events that a watch omitted can't be detected in any other way.
	ResyncInterval float64
}

// Times are milliseconds, rates are per second.
const (
	minBackoff, maxBackoff = 100.0, 10000.0 // limits of the delay after the first failure and after any
	retryRate, retryBurst  = 1.0, 5.0       // of the retry budget
	fleetReadRate          = 100.0          // reads of all drivers together that a source can serve after its start
	rejectedDelay          = 5000.0         // the minimum is half of it, as credentials take time to correct
	defaultResyncInterval  = 600e3          // at 1,000 drivers, two reads a second
	endpointCooldown       = 30000.0        // a failed endpoint is chosen last for this time
)

// Scheduler decides the next call to a source: its time, its endpoint and its first revision. It resumes a watch if the
// source still has the history, and spreads the reconnects of drivers that lost the source together. SetDrivers may be
// called concurrently; the other methods are used by one goroutine.
type Scheduler struct {
	options      SchedulerOptions
	random       *rand.Rand
	backoff      limits.Backoff
	budget       limits.RetryBudget
	endpoint     int       // of the next call
	failedAt     []float64 // by endpoint, in milliseconds
	mustRead     bool      // the next call is a read, even if the revision is known
	linearizable bool      // that read must return the newest state
	delay        float64   // before the next call
	drivers      atomic.Int64
}

// NewScheduler returns a scheduler that starts at an endpoint chosen by the seed.
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

// SetDrivers sets the number of drivers.
func (s *Scheduler) SetDrivers(drivers int) { s.drivers.Store(int64(max(drivers, 1))) }

// Next returns the next call. revision is the one up to which the source's state is known; synced is false before its
// first snapshot.
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

// CallEnded records the result of a call. responded reports whether the source had responded during the call; now is in
// milliseconds.
func (s *Scheduler) CallEnded(now float64, kind CallKind, result CallResult, responded bool) {
	switch result {
	case CallSucceeded:
		s.backoff.Reset()
		s.mustRead, s.linearizable = kind == CallWatch, kind == CallWatch
	case CallCompacted: // the watch can't resume, possibly those of all drivers at once
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
		s.backoff.Reset() // the endpoint did respond: the first retry comes soon
	}
	s.switchEndpoint(now)
	s.delay = max(s.backoff.RecordFailure(s.random), s.budget.Reserve(now))
	if kind == CallRead && s.backoff.Failures() > s.options.Endpoints { // down for all drivers
		s.delay = max(s.delay, s.fleetDelay())
	}
}

// fleetDelay returns a random delay that spreads a read by each driver over the time that a source needs for them.
func (s *Scheduler) fleetDelay() float64 {
	return s.random.Float64() * float64(s.drivers.Load()) / fleetReadRate * 1000
}

// Resync requests a read of the newest state, because the received state is incomplete.
func (s *Scheduler) Resync(now float64) {
	s.mustRead, s.linearizable = true, true
	s.delay = max(s.delay, s.budget.Reserve(now))
}

// ResyncAfter requests a read of the newest state after a delay, to confirm a snapshot.
func (s *Scheduler) ResyncAfter(delay float64) {
	s.mustRead, s.linearizable, s.delay = true, true, max(s.delay, delay)
}

// switchEndpoint moves on to the next endpoint without a recent failure, or else to the one whose failure is oldest.
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
