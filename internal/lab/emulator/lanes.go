package emulator

// This file owns virtual time: lanes that each have their own events and draws, and run side by side on several cores
// in windows shorter than the shortest way between two of them. It must never let the number of cores, or the order in
// which they work, change what a lane sees.

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
)

// event is one thing that is due in a lane. The order of events is that of their time, then of the lane that asked for
// them, then of its asking: it is the same however many cores there are.
type event struct {
	at     float64
	serial uint64
	from   int32
	do     func()
}

func (e *event) before(o *event) bool {
	if e.at != o.at {
		return e.at < o.at
	}
	if e.from != o.from {
		return e.from < o.from
	}
	return e.serial < o.serial
}

// lane is a part of the world that nobody else may touch while time passes: a driver, or a group with its members.
type lane struct {
	id     int32
	now    float64
	serial uint64
	events []event // a heap
	draw   *rand.Rand
	core   *core
}

func (l *lane) push(e event) {
	l.events = append(l.events, e)
	for i := len(l.events) - 1; i > 0; {
		up := (i - 1) / 2
		if !l.events[i].before(&l.events[up]) {
			return
		}
		l.events[i], l.events[up] = l.events[up], l.events[i]
		i = up
	}
}

func (l *lane) pop() event {
	e, last := l.events[0], len(l.events)-1
	l.events[0] = l.events[last]
	l.events[last].do = nil
	l.events = l.events[:last]
	for i := 0; ; {
		least := i
		for c := 2*i + 1; c <= 2*i+2 && c < last; c++ {
			if l.events[c].before(&l.events[least]) {
				least = c
			}
		}
		if least == i {
			return e
		}
		l.events[i], l.events[least] = l.events[least], l.events[i]
		i = least
	}
}

// after lets something happen in this lane, ms from now.
func (l *lane) after(ms float64, do func()) {
	l.serial++
	l.push(event{l.now + max(ms, 0), l.serial, l.id, do})
}

// post lets something happen in another lane. What takes less than a window is put off to its end.
func (l *lane) post(to *lane, ms float64, do func()) {
	if l == to {
		l.after(ms, do)
		return
	}
	l.serial++
	at := l.now + max(ms, l.core.clock.window)
	l.core.mail[to.core.index] = append(l.core.mail[to.core.index], letter{to, event{at, l.serial, l.id, do}})
}

type letter struct {
	to *lane
	event
}

// core runs some of the lanes.
type core struct {
	clock  *clock
	index  int
	lanes  []*lane
	mail   [][]letter // by the core that it goes to; emptied by that one
	next   float64    // the earliest event of its lanes
	ran    uint64
	tally  *tally
	begins atomic.Uint64
	_      [64]byte // no two cores' counters on one line of memory
}

type clock struct {
	window float64
	cores  []*core
	done   atomic.Int64
	until  float64 // the window's end
	phase  uint64
	over   atomic.Bool
}

func newClock(cores int, window float64) *clock {
	c := &clock{window: window}
	for i := range max(cores, 1) {
		c.cores = append(c.cores, &core{clock: c, index: i, mail: make([][]letter, max(cores, 1))})
	}
	return c
}

// lane makes one; which core runs it changes nothing but the time it takes.
func (c *clock) lane(id int, seed uint64, now float64) *lane {
	k := c.cores[id%len(c.cores)]
	l := &lane{id: int32(id), now: now, draw: rand.New(rand.NewPCG(seed, uint64(id)+101)), core: k}
	k.lanes = append(k.lanes, l)
	return l
}

// window runs all that is due before the window's end, core by core.
func (k *core) window(end float64) {
	for _, l := range k.lanes {
		for len(l.events) > 0 && l.events[0].at < end {
			e := l.pop()
			l.now = e.at
			k.ran++
			e.do()
		}
	}
}

// collect takes in what other cores' lanes sent, and finds the next event.
func (k *core) collect() {
	for _, other := range k.clock.cores {
		for i, m := range other.mail[k.index] {
			m.to.push(m.event)
			other.mail[k.index][i] = letter{}
		}
		other.mail[k.index] = other.mail[k.index][:0]
	}
	k.next = math.Inf(1)
	for _, l := range k.lanes {
		if len(l.events) > 0 {
			k.next = min(k.next, l.events[0].at)
		}
	}
}

// run lets time pass up to until. each is called between windows, now and then, with the time reached; it says whether
// to go on.
func (c *clock) run(until float64, each func(now float64) bool) {
	var helpers sync.WaitGroup
	for _, k := range c.cores[1:] {
		helpers.Go(func() { c.help(k) })
	}
	all := func(work func(*core)) {
		c.phase++
		c.done.Store(0)
		for _, k := range c.cores[1:] {
			k.begins.Store(c.phase)
		}
		work(c.cores[0])
		for spins := 0; c.done.Load() < int64(len(c.cores)-1); spins++ {
			if spins > 200 {
				runtime.Gosched()
			}
		}
	}
	work := func(k *core) { k.work(c.phase) }
	all(work) // phases with odd numbers collect, those with even numbers run
	for n := 0; ; n++ {
		next := math.Inf(1)
		for _, k := range c.cores {
			next = min(next, k.next)
		}
		if next > until || n%64 == 0 && !each(min(next, until)) {
			break
		}
		c.until = min(next+c.window, math.Nextafter(until, math.Inf(1)))
		all(work)
		all(work)
	}
	c.over.Store(true)
	c.phase++
	for _, k := range c.cores[1:] {
		k.begins.Store(c.phase)
	}
	helpers.Wait()
	for _, k := range c.cores {
		for _, l := range k.lanes {
			l.now = until
		}
	}
}

// help works on a core of its own in each phase, until the play is over.
func (c *clock) help(k *core) {
	for phase := uint64(1); ; phase++ {
		for spins := 0; k.begins.Load() < phase; spins++ {
			if spins > 200 {
				runtime.Gosched()
			}
		}
		if c.over.Load() {
			return
		}
		k.work(phase)
		c.done.Add(1)
	}
}

func (k *core) work(phase uint64) {
	if phase%2 == 1 {
		k.collect()
	} else {
		k.window(k.clock.until)
	}
}
