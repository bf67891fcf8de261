package membershipsim

// This file owns the lifecycle of drivers and virtual time.

import (
	"fmt"
	"math/rand/v2"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/standin/virtualclock"
)

// Options describe a simulation. Times are milliseconds; a zero value stands for the default given at its field.
type Options struct {
	Drivers         int
	ExpectedDrivers int     // number of drivers in each driver's configuration; 0: Drivers
	Period          float64 // time between two probes by a driver; 0: 500
	Latency         float64 // mean one-way latency; 0: 1
	Loss            float64 // share of datagrams that are lost
	Duplicate       float64 // share of datagrams that arrive twice
	Seeds           int     // number of the first drivers that each driver is configured with as seeds; 0: 3
	TakeoverAfter   float64 // delay until failed drivers' shares are taken over; 0: 30 periods
	Seed            uint64
}

// Driver is a simulated driver, which can be started and killed repeatedly.
type Driver struct {
	Name        string
	View        *membership.Fleet // nil while the driver is not running
	PausedUntil float64
	PauseChance float64 // probability at each tick of a short pause, as on a throttled core
	Bytes       float64 // approximate number of sent bytes
	Sent        int     // number of sent datagrams

	index       int
	incarnation int                  // number of starts; callbacks of earlier incarnations are ignored
	pending     []membership.Message // datagrams that arrived while it was paused
}

// Simulation is a number of drivers and the network between them.
type Simulation struct {
	virtualclock.Scheduler
	Drivers []*Driver
	OnEvent func(at float64, driver string, event membership.Event) // called for each event; may be nil
	Blocked func(from, to int) bool                                 // reports whether a direction is blocked; nil: none is
	Loss    float64                                                 // share of datagrams that are lost

	options  Options
	random   *rand.Rand
	killedAt float64 // time of the last call of Kill

	measureSizes    bool
	sampledBytes    float64 // total size of the measured messages
	sampledMessages int     // number of measured messages
}

// startTime is the virtual time of the start; it is large enough for earlier times to stay positive.
const startTime = 1e6

// New returns a simulation in which no driver is running.
func New(options Options) *Simulation {
	options.applyDefaults()
	s := &Simulation{
		Scheduler: virtualclock.Scheduler{Now: startTime},
		Loss:      options.Loss,
		options:   options,
		random:    rand.New(rand.NewPCG(options.Seed, 11)),
	}
	for range options.Drivers {
		s.Add()
	}
	return s
}

func (o *Options) applyDefaults() {
	if o.Period == 0 {
		o.Period = 500
	}
	if o.Latency == 0 {
		o.Latency = 1
	}
	if o.ExpectedDrivers == 0 {
		o.ExpectedDrivers = o.Drivers
	}
	if o.Seeds == 0 {
		o.Seeds = min(3, o.Drivers)
	}
	if o.TakeoverAfter == 0 {
		o.TakeoverAfter = 30 * o.Period
	}
}

// Add adds a driver, which the others are not configured to expect.
func (s *Simulation) Add() *Driver {
	d := &Driver{Name: fmt.Sprintf("n%d", len(s.Drivers)), index: len(s.Drivers)}
	s.Drivers = append(s.Drivers, d)
	return d
}

// Start starts a driver without any state of earlier incarnations. clockOffset is added to its machine's time.
func (s *Simulation) Start(i int, clockOffset float64) {
	d := s.Drivers[i]
	d.incarnation++
	d.pending, d.PausedUntil = nil, 0
	var seeds []string
	for seed := range s.options.Seeds {
		seeds = append(seeds, address(seed))
	}
	d.View = membership.New(
		s.Now,
		membership.Options{Period: s.options.Period, ExpectedDrivers: s.options.ExpectedDrivers, RetainFor: 600000,
			MaxDrivers: 20000, TakeoverAfter: s.options.TakeoverAfter},
		membership.Record{Name: d.Name, Run: uint64(s.Now + clockOffset), Address: address(i), Zone: "a"},
		seeds,
		s.random.Uint64(),
	)
	incarnation := d.incarnation
	s.After(s.tickPeriod()*s.random.Float64(), func() { s.tick(d, incarnation) })
}

func (s *Simulation) tickPeriod() float64 { return s.options.Period / 10 }

// tick passes the time to a driver and schedules the next tick, until the incarnation ends.
func (s *Simulation) tick(driver *Driver, incarnation int) {
	if driver.incarnation != incarnation || driver.View == nil {
		return
	}
	if s.Now < driver.PausedUntil {
		s.After(driver.PausedUntil-s.Now, func() { s.tick(driver, incarnation) })
		return
	}
	s.deliverPending(driver)
	s.dispatch(driver, driver.View.Tick(s.Now))
	if driver.PauseChance > 0 && s.random.Float64() < driver.PauseChance { // its processor quota is used up
		s.Pause(driver.index, s.options.Period*(0.2+0.6*s.random.Float64()))
	}
	s.After(s.tickPeriod(), func() { s.tick(driver, incarnation) })
}

// deliverPending delivers the datagrams that arrived while the driver was paused.
func (s *Simulation) deliverPending(driver *Driver) {
	for _, m := range driver.pending {
		s.dispatch(driver, driver.View.Receive(s.Now, m))
	}
	driver.pending = nil
}

// Kill ends a driver without notice to the others.
func (s *Simulation) Kill(i int) { s.Drivers[i].View, s.killedAt = nil, s.Now }

// Pause suspends a driver for a duration.
func (s *Simulation) Pause(i int, duration float64) {
	s.Drivers[i].PausedUntil = max(s.Drivers[i].PausedUntil, s.Now+duration)
}

// Apply executes a driver's decision that neither a message nor a tick causes, such as leaving.
func (s *Simulation) Apply(i int, decide func(*membership.Fleet) membership.Output) {
	s.dispatch(s.Drivers[i], decide(s.Drivers[i].View))
}

// Run advances the time by a duration.
func (s *Simulation) Run(duration float64) { s.RunUntil(s.Now + duration) }

// RunUntilTrue advances the time until a condition holds, at most by limit. It returns the time that passed, and
// whether the condition holds.
func (s *Simulation) RunUntilTrue(limit float64, condition func() bool) (took float64, ok bool) {
	began := s.Now
	for s.Now-began < limit {
		if condition() {
			return s.Now - began, true
		}
		s.Run(s.options.Period / 20)
	}
	return s.Now - began, condition()
}

// Running returns the drivers that are running and not paused.
func (s *Simulation) Running() (all []*Driver) {
	for _, d := range s.Drivers {
		if d.View != nil && s.Now >= d.PausedUntil {
			all = append(all, d)
		}
	}
	return all
}

// HavePartitionStatus reports whether all given drivers are running and have a partition status.
func (s *Simulation) HavePartitionStatus(want membership.PartitionStatus, drivers ...int) bool {
	for _, i := range drivers {
		view := s.Drivers[i].View
		if view == nil {
			return false
		}
		if status, _, _ := view.PartitionStatus(); status != want {
			return false
		}
	}
	return true
}

// Index returns the index of a driver.
func (s *Simulation) Index(driver *Driver) int { return driver.index }
