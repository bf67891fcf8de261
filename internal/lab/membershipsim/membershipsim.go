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
	Drivers int
	Expect  int     // drivers that each is told to expect; 0: as many as there are
	Period  float64 // 500 without
	Latency float64 // mean one way, 1 without
	Loss    float64 // share of datagrams
	Double  float64 // share that comes twice
	Seeds   int     // each knows the first so many
	Yield   float64
	Seed    uint64
}

// Driver is one.
type Driver struct {
	Name   string
	View   *membership.Fleet // nil while it does not run
	Frozen float64           // it stands still until then
	Slow   float64           // share of time in which it stands still for a moment, of a throttled core
	Bytes  float64           // that it sent, about
	Sent   int

	i       int
	life    int
	waiting []membership.Message // at a socket that nobody reads
	run     uint64
}

// Flock is all of them.
type Flock struct {
	virtualclock.Scheduler // Now is its time
	Drivers                []*Driver
	Notes                  func(at float64, driver string, n membership.Event) // called for each; nil for none
	Cut                    func(from, to int) bool                             // nothing passes; nil for no cut
	Loss                   float64

	o    Options
	draw *rand.Rand

	killed float64 // when the last one was
	sample bool    // measure messages
	sizes  float64 // of those measured
	count  int
}

// New makes a flock of which nobody runs yet.
func New(o Options) *Flock {
	if o.Period == 0 {
		o.Period = 500
	}
	if o.Latency == 0 {
		o.Latency = 1
	}
	if o.Expect == 0 {
		o.Expect = o.Drivers
	}
	if o.Seeds == 0 {
		o.Seeds = min(3, o.Drivers)
	}
	if o.Yield == 0 {
		o.Yield = 30 * o.Period
	}
	f := &Flock{Scheduler: virtualclock.Scheduler{Now: 1e6}, Loss: o.Loss, o: o, draw: rand.New(rand.NewPCG(o.Seed, 11))}
	for i := range o.Drivers {
		f.Drivers = append(f.Drivers, &Driver{Name: fmt.Sprintf("n%d", i), i: i})
	}
	return f
}

// Add is a driver more, which the others do not expect.
func (f *Flock) Add() *Driver {
	d := &Driver{Name: fmt.Sprintf("n%d", len(f.Drivers)), i: len(f.Drivers)}
	f.Drivers = append(f.Drivers, d)
	return d
}

func address(i int) string { return fmt.Sprintf("10.0.%d.%d:7400", i/250, i%250+1) }

func (f *Flock) index(at string) int {
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
func (f *Flock) Start(i int, clock float64) {
	d := f.Drivers[i]
	d.life++
	d.run, d.waiting, d.Frozen = uint64(f.Now+clock), nil, 0
	var seeds []string
	for s := range f.o.Seeds {
		seeds = append(seeds, address(s))
	}
	d.View = membership.New(
		f.Now,
		membership.Options{Period: f.o.Period, ExpectedDrivers: f.o.Expect, RetainFor: 600000, MaxDrivers: 20000,
			TakeoverAfter: f.o.Yield},
		membership.Record{Name: d.Name, Run: d.run, Address: address(i), Zone: "a"},
		seeds,
		f.draw.Uint64(),
	)
	life := d.life
	var tick func()
	tick = func() {
		if d.life != life || d.View == nil {
			return
		}
		if f.Now < d.Frozen {
			f.After(d.Frozen-f.Now, tick)
			return
		}
		f.wake(d)
		f.out(d, d.View.Tick(f.Now))
		if d.Slow > 0 && f.draw.Float64() < d.Slow { // of a second it has had its share, and waits for the next
			f.Freeze(i, f.o.Period*(0.2+0.6*f.draw.Float64()))
		}
		f.After(f.o.Period/10, tick)
	}
	f.After(f.o.Period/10*f.draw.Float64(), tick)
}

// wake gives a driver what came while it stood still, as far as a socket would hold it.
func (f *Flock) wake(d *Driver) {
	for _, m := range d.waiting {
		f.out(d, d.View.Receive(f.Now, m))
	}
	d.waiting = nil
}

// Kill ends a run without a word.
func (f *Flock) Kill(i int) { f.Drivers[i].View, f.killed = nil, f.Now }

// Freeze lets a driver stand still for a time.
func (f *Flock) Freeze(i int, length float64) {
	f.Drivers[i].Frozen = max(f.Drivers[i].Frozen, f.Now+length)
}

func (f *Flock) cut(from, to int) bool { return f.Cut != nil && f.Cut(from, to) }

func (f *Flock) late() float64 { return f.o.Latency * (0.5 + f.draw.ExpFloat64()/2) }

func (f *Flock) out(d *Driver, out membership.Output) {
	if f.Notes != nil {
		for _, n := range out.Events {
			f.Notes(f.Now, d.Name, n)
		}
	}
	for _, s := range out.Messages {
		to := f.index(s.Address)
		if d.Sent++; f.sample {
			if f.Scheduled%50 == 0 || f.count == 0 { // one of many tells for all
				f.sizes, f.count = f.sizes+size(&s.Message), f.count+1
			}
			d.Bytes += f.sizes / float64(f.count)
		}
		if to < 0 || f.cut(d.i, to) || f.draw.Float64() < f.Loss {
			continue
		}
		times := 1
		if f.draw.Float64() < f.o.Double {
			times = 2
		}
		for range times {
			f.deliver(f.Drivers[to], s.Message)
		}
	}
	for _, at := range out.SyncWith {
		if to := f.index(at); to >= 0 && !f.cut(d.i, to) {
			f.exchange(d, f.Drivers[to])
		}
	}
}

// deliver brings a datagram after its way; a driver that stands still takes it when it wakes, as far as there is room.
func (f *Flock) deliver(to *Driver, m membership.Message) {
	f.After(f.late(), func() {
		switch {
		case to.View == nil:
		case f.Now < to.Frozen:
			if len(to.waiting) < 200 {
				to.waiting = append(to.waiting, m)
			}
		default:
			f.out(to, to.View.Receive(f.Now, m))
		}
	})
}

// exchange has d and to merge all that they know, over a connection.
func (f *Flock) exchange(d, to *Driver) {
	ask, life := d.View.Snapshot(), d.life
	d.Bytes += 60 * float64(len(ask.Records)) // about
	f.After(2*f.late(), func() {
		if to.View == nil || f.Now < to.Frozen {
			return
		}
		answer := to.View.Snapshot()
		f.out(to, to.View.Merge(f.Now, ask))
		if f.cut(to.i, d.i) {
			return
		}
		to.Bytes += 60 * float64(len(answer.Records))
		f.After(f.late(), func() {
			if d.View != nil && d.life == life && f.Now >= d.Frozen {
				f.out(d, d.View.Merge(f.Now, answer))
			}
		})
	})
}

// Do carries out what a driver decided outside messages and time, such as leaving.
func (f *Flock) Do(i int, what func(*membership.Fleet) membership.Output) {
	f.out(f.Drivers[i], what(f.Drivers[i].View))
}

// Run lets time pass.
func (f *Flock) Run(length float64) {
	f.RunUntil(f.Now + length)
}

// Until lets time pass until something is so, and gives how long that took; false where it was not so in time.
func (f *Flock) Until(most float64, so func() bool) (took float64, ok bool) {
	began := f.Now
	for f.Now-began < most {
		if so() {
			return f.Now - began, true
		}
		f.Run(f.o.Period / 20)
	}
	return f.Now - began, so()
}

// Running are the drivers that run and do not stand still.
func (f *Flock) Running() (all []*Driver) {
	for _, d := range f.Drivers {
		if d.View != nil && f.Now >= d.Frozen {
			all = append(all, d)
		}
	}
	return all
}

// Stand says that all of these drivers have a standing.
func (f *Flock) Stand(want membership.PartitionStatus, of ...int) bool {
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
func (f *Flock) Index(d *Driver) int { return d.i }
