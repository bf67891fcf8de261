// Package membershipsim plays many views of membership in virtual time over a network that cuts, loses, doubles and
// delays, with drivers that stand still, are slow, end and start again.
//
// This file owns the network and the clock. It must never carry a message that the network of its day would not have.
package membershipsim

import (
	"fmt"
	"math/rand/v2"

	"weirwind/internal/fleet/membership"
	"weirwind/internal/standin/virtualclock"
)

// Options describe a flock. Times are milliseconds.
type Options struct {
	Drivers         int
	ExpectedDrivers int     // drivers that each is told to expect; 0: as many as there are
	Period          float64 // 500 without
	Latency         float64 // mean one way, 1 without
	Loss            float64 // share of datagrams
	Duplicate       float64 // share that comes twice
	Seeds           int     // each knows the first so many
	TakeoverAfter   float64
	Seed            uint64
}

// Driver is one.
type Driver struct {
	Name        string
	View        *membership.Fleet // nil while it does not run
	PausedUntil float64           // it stands still until then
	Slow        float64           // share of time in which it stands still for a moment, of a throttled core
	Bytes       float64           // that it sent, about
	Sent        int

	index       int
	incarnation int
	pending     []membership.Message // at a socket that nobody reads
	run         uint64
}

// Flock is all of them.
type Simulation struct {
	virtualclock.Scheduler // Now is its time
	Drivers                []*Driver
	OnEvent                func(at float64, driver string, n membership.Event) // called for each; nil for none
	Blocked                func(from, to int) bool                             // nothing passes; nil for no cut
	Loss                   float64

	options Options
	draw    *rand.Rand

	killedAt        float64 // when the last one was
	sampleSizes     bool    // measure messages
	sampledBytes    float64 // of those measured
	sampledMessages int
}

// New makes a flock of which nobody runs yet.
func New(o Options) *Simulation {
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
	f := &Simulation{Scheduler: virtualclock.Scheduler{Now: 1e6}, Loss: o.Loss, options: o, draw: rand.New(rand.NewPCG(o.Seed, 11))}
	for i := range o.Drivers {
		f.Drivers = append(f.Drivers, &Driver{Name: fmt.Sprintf("n%d", i), index: i})
	}
	return f
}

// Add is a driver more, which the others do not expect.
func (f *Simulation) Add() *Driver {
	d := &Driver{Name: fmt.Sprintf("n%d", len(f.Drivers)), index: len(f.Drivers)}
	f.Drivers = append(f.Drivers, d)
	return d
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250+1) }

func (f *Simulation) index(at string) int {
	var a, b int
	if n, _ := fmt.Sscanf(at, "10.0.%d.%d:7400", &a, &b); n != 2 {
		return -1
	}
	if i := a*250 + b - 1; i < len(f.Drivers) {
		return i
	}
	return -1
}

// Start begins a run of a driver, with no memory of an earlier one. clock is added to its machine's time.
func (f *Simulation) Start(i int, clock float64) {
	d := f.Drivers[i]
	d.incarnation++
	d.run, d.pending, d.PausedUntil = uint64(f.Now+clock), nil, 0
	var seeds []string
	for s := range f.options.Seeds {
		seeds = append(seeds, address(s))
	}
	d.View = membership.New(
		f.Now,
		membership.Options{Period: f.options.Period, ExpectedDrivers: f.options.ExpectedDrivers, RetainFor: 600000, MaxDrivers: 20000,
			TakeoverAfter: f.options.TakeoverAfter},
		membership.Record{Name: d.Name, Run: d.run, Address: address(i), Zone: "a"},
		seeds,
		f.draw.Uint64(),
	)
	life := d.incarnation
	var tick func()
	tick = func() {
		if d.incarnation != life || d.View == nil {
			return
		}
		if f.Now < d.PausedUntil {
			f.After(d.PausedUntil-f.Now, tick)
			return
		}
		f.deliverPending(d)
		f.dispatch(d, d.View.Tick(f.Now))
		if d.Slow > 0 && f.draw.Float64() < d.Slow { // of a second it has had its share, and waits for the next
			f.Pause(i, f.options.Period*(0.2+0.6*f.draw.Float64()))
		}
		f.After(f.options.Period/10, tick)
	}
	f.After(f.options.Period/10*f.draw.Float64(), tick)
}

// wake gives a driver what came while it stood still, as far as a socket would hold it.
func (f *Simulation) deliverPending(d *Driver) {
	for _, m := range d.pending {
		f.dispatch(d, d.View.Receive(f.Now, m))
	}
	d.pending = nil
}

// Kill ends a run without a word.
func (f *Simulation) Kill(i int) { f.Drivers[i].View, f.killedAt = nil, f.Now }

// Freeze lets a driver stand still for a time.
func (f *Simulation) Pause(i int, length float64) {
	f.Drivers[i].PausedUntil = max(f.Drivers[i].PausedUntil, f.Now+length)
}

func (f *Simulation) blocked(from, to int) bool { return f.Blocked != nil && f.Blocked(from, to) }

func (f *Simulation) latency() float64 { return f.options.Latency * (0.5 + f.draw.ExpFloat64()/2) }

func (f *Simulation) dispatch(d *Driver, out membership.Output) {
	if f.OnEvent != nil {
		for _, n := range out.Events {
			f.OnEvent(f.Now, d.Name, n)
		}
	}
	for _, s := range out.Messages {
		to := f.index(s.Address)
		if d.Sent++; f.sampleSizes {
			if f.Scheduled%50 == 0 || f.sampledMessages == 0 { // one of many tells for all
				f.sampledBytes, f.sampledMessages = f.sampledBytes+encodedSize(&s.Message), f.sampledMessages+1
			}
			d.Bytes += f.sampledBytes / float64(f.sampledMessages)
		}
		if to < 0 || f.blocked(d.index, to) || f.draw.Float64() < f.Loss {
			continue
		}
		times := 1
		if f.draw.Float64() < f.options.Duplicate {
			times = 2
		}
		for range times {
			f.deliver(f.Drivers[to], s.Message)
		}
	}
	for _, at := range out.SyncWith {
		if to := f.index(at); to >= 0 && !f.blocked(d.index, to) {
			f.exchange(d, f.Drivers[to])
		}
	}
}

// deliver brings a datagram after its way; a driver that stands still takes it when it wakes, as far as there is room.
func (f *Simulation) deliver(to *Driver, m membership.Message) {
	f.After(f.latency(), func() {
		switch {
		case to.View == nil:
		case f.Now < to.PausedUntil:
			if len(to.pending) < 200 {
				to.pending = append(to.pending, m)
			}
		default:
			f.dispatch(to, to.View.Receive(f.Now, m))
		}
	})
}

// exchange has d and to merge all that they know, over a connection.
func (f *Simulation) exchange(d, to *Driver) {
	ask, life := d.View.Snapshot(), d.incarnation
	d.Bytes += 60 * float64(len(ask.Records)) // about
	f.After(2*f.latency(), func() {
		if to.View == nil || f.Now < to.PausedUntil {
			return
		}
		answer := to.View.Snapshot()
		f.dispatch(to, to.View.Merge(f.Now, ask))
		if f.blocked(to.index, d.index) {
			return
		}
		to.Bytes += 60 * float64(len(answer.Records))
		f.After(f.latency(), func() {
			if d.View != nil && d.incarnation == life && f.Now >= d.PausedUntil {
				f.dispatch(d, d.View.Merge(f.Now, answer))
			}
		})
	})
}

// Do carries out what a driver decided outside messages and time, such as leaving.
func (f *Simulation) Apply(i int, what func(*membership.Fleet) membership.Output) {
	f.dispatch(f.Drivers[i], what(f.Drivers[i].View))
}

// Run lets time pass.
func (f *Simulation) Run(length float64) {
	f.RunUntil(f.Now + length)
}

// Until lets time pass until something is so, and gives how long that took; false where it was not so in time.
func (f *Simulation) RunUntilTrue(limit float64, condition func() bool) (took float64, ok bool) {
	began := f.Now
	for f.Now-began < limit {
		if condition() {
			return f.Now - began, true
		}
		f.Run(f.options.Period / 20)
	}
	return f.Now - began, condition()
}

// Running are the drivers that run and do not stand still.
func (f *Simulation) Running() (all []*Driver) {
	for _, d := range f.Drivers {
		if d.View != nil && f.Now >= d.PausedUntil {
			all = append(all, d)
		}
	}
	return all
}

// Stand says that all of these drivers have a standing.
func (f *Simulation) HavePartitionStatus(want membership.PartitionStatus, of ...int) bool {
	for _, i := range of {
		if v := f.Drivers[i].View; v == nil {
			return false
		} else if s, _, _ := v.PartitionStatus(); s != want {
			return false
		}
	}
	return true
}

// Index is the place of a driver.
func (f *Simulation) Index(d *Driver) int { return d.index }
