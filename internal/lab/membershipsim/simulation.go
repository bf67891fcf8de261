package membershipsim

// This file owns the drivers' lives and the passing of time.

import (
	"fmt"
	"math/rand/v2"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/standin/virtualclock"
)

// Options describe a simulation. Times are milliseconds; zero values take the defaults that are named.
type Options struct {
	Drivers         int
	ExpectedDrivers int     // that each driver is configured to expect; 0: Drivers
	Period          float64 // between two probes of a driver; 0: 500
	Latency         float64 // mean, one way; 0: 1
	Loss            float64 // share of datagrams
	Duplicate       float64 // share of datagrams that arrive twice
	Seeds           int     // each driver is configured with the first so many; 0: 3
	TakeoverAfter   float64 // 0: 30 periods
	Seed            uint64
}

// Driver is a place for runs of a driver of one name.
type Driver struct {
	Name        string
	View        *membership.Fleet // nil while no run is under way
	PausedUntil float64
	PauseChance float64 // probability at each tick of a short pause, as on a throttled core
	Bytes       float64 // that it sent, about
	Sent        int     // datagrams

	index       int
	incarnation int                  // counts runs: events of earlier ones are ignored
	pending     []membership.Message // that arrived while it was paused
}

// Simulation is a number of drivers and the network between them.
type Simulation struct {
	virtualclock.Scheduler
	Drivers []*Driver
	OnEvent func(at float64, driver string, event membership.Event) // called for each event; may be nil
	Blocked func(from, to int) bool                                 // whether nothing passes; nil: everything does
	Loss    float64                                                 // share of datagrams

	options  Options
	random   *rand.Rand
	killedAt float64 // when Kill was last called

	measureSizes    bool
	sampledBytes    float64 // of the messages that were measured
	sampledMessages int
}

// startTime leaves room for times before the begin.
const startTime = 1e6

// New is a simulation in which no driver runs yet.
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

// Add adds a driver, which the others do not expect.
func (s *Simulation) Add() *Driver {
	d := &Driver{Name: fmt.Sprintf("n%d", len(s.Drivers)), index: len(s.Drivers)}
	s.Drivers = append(s.Drivers, d)
	return d
}

// Start begins a run of a driver, which knows nothing of earlier ones. clockOffset is added to its machine's time.
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

// tick gives a driver the time, and schedules the next tick, until its run ends.
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
	if driver.PauseChance > 0 && s.random.Float64() < driver.PauseChance { // its share of a core is used up for this period
		s.Pause(driver.index, s.options.Period*(0.2+0.6*s.random.Float64()))
	}
	s.After(s.tickPeriod(), func() { s.tick(driver, incarnation) })
}

// deliverPending gives a driver what arrived while it was paused.
func (s *Simulation) deliverPending(driver *Driver) {
	for _, m := range driver.pending {
		s.dispatch(driver, driver.View.Receive(s.Now, m))
	}
	driver.pending = nil
}

// Kill ends a run without notice.
func (s *Simulation) Kill(i int) { s.Drivers[i].View, s.killedAt = nil, s.Now }

// Pause lets a driver stand still for a time.
func (s *Simulation) Pause(i int, duration float64) {
	s.Drivers[i].PausedUntil = max(s.Drivers[i].PausedUntil, s.Now+duration)
}

// Apply carries out what a driver decides outside messages and time, such as leaving.
func (s *Simulation) Apply(i int, decide func(*membership.Fleet) membership.Output) {
	s.dispatch(s.Drivers[i], decide(s.Drivers[i].View))
}

// Run lets time pass.
func (s *Simulation) Run(duration float64) { s.RunUntil(s.Now + duration) }

// RunUntilTrue lets time pass until a condition holds, at most for a limit. It gives the time that this took.
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

// Running is the drivers that run and are not paused.
func (s *Simulation) Running() (all []*Driver) {
	for _, d := range s.Drivers {
		if d.View != nil && s.Now >= d.PausedUntil {
			all = append(all, d)
		}
	}
	return all
}

// HavePartitionStatus says whether all of these drivers run and have a status.
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

// Index is a driver's among all.
func (s *Simulation) Index(driver *Driver) int { return driver.index }
