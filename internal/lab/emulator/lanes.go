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
	time   float64
	serial uint64
	source int32
	action func()
}

func (e *event) before(o *event) bool {
	if e.time != o.time {
		return e.time < o.time
	}
	if e.source != o.source {
		return e.source < o.source
	}
	return e.serial < o.serial
}

// lane is a part of the world that nobody else may touch while time passes: a driver, or a group with its members.
type process struct {
	id     int32
	now    float64
	serial uint64
	events []event // a heap
	draw   *rand.Rand
	worker *worker
}

func (l *process) push(e event) {
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

func (l *process) pop() event {
	e, last := l.events[0], len(l.events)-1
	l.events[0] = l.events[last]
	l.events[last].action = nil
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
func (l *process) schedule(ms float64, do func()) {
	l.serial++
	l.push(event{l.now + max(ms, 0), l.serial, l.id, do})
}

// post lets something happen in another lane. What takes less than a window is put off to its end.
func (l *process) sendTo(to *process, ms float64, do func()) {
	if l == to {
		l.schedule(ms, do)
		return
	}
	l.serial++
	at := l.now + max(ms, l.worker.scheduler.lookahead)
	l.worker.outbox[to.worker.index] = append(l.worker.outbox[to.worker.index], message{to, event{at, l.serial, l.id, do}})
}

type message struct {
	to *process
	event
}

// core runs some of the lanes.
type worker struct {
	scheduler    *scheduler
	index        int
	processes    []*process
	outbox       [][]message // by the core that it goes to; emptied by that one
	next         float64     // the earliest event of its lanes
	executed     uint64
	counters     *counters
	startedPhase atomic.Uint64
	_            [64]byte // no two cores' counters on one line of memory
}

type scheduler struct {
	lookahead float64
	workers   []*worker
	finished  atomic.Int64
	windowEnd float64 // the window's end
	phase     uint64
	stopped   atomic.Bool
}

func newScheduler(cores int, window float64) *scheduler {
	c := &scheduler{lookahead: window}
	for i := range max(cores, 1) {
		c.workers = append(c.workers, &worker{scheduler: c, index: i, outbox: make([][]message, max(cores, 1))})
	}
	return c
}

// lane makes one; which core runs it changes nothing but the time it takes.
func (c *scheduler) newProcess(id int, seed uint64, now float64) *process {
	k := c.workers[id%len(c.workers)]
	l := &process{id: int32(id), now: now, draw: rand.New(rand.NewPCG(seed, uint64(id)+101)), worker: k}
	k.processes = append(k.processes, l)
	return l
}

// window runs all that is due before the window's end, core by core.
func (k *worker) runWindow(end float64) {
	for _, l := range k.processes {
		for len(l.events) > 0 && l.events[0].time < end {
			e := l.pop()
			l.now = e.time
			k.executed++
			e.action()
		}
	}
}

// collect takes in what other cores' lanes sent, and finds the next event.
func (k *worker) deliverMessages() {
	for _, other := range k.scheduler.workers {
		for i, m := range other.outbox[k.index] {
			m.to.push(m.event)
			other.outbox[k.index][i] = message{}
		}
		other.outbox[k.index] = other.outbox[k.index][:0]
	}
	k.next = math.Inf(1)
	for _, l := range k.processes {
		if len(l.events) > 0 {
			k.next = min(k.next, l.events[0].time)
		}
	}
}

// run lets time pass up to until. each is called between windows, now and then, with the time reached; it says whether
// to go on.
func (c *scheduler) run(until float64, each func(now float64) bool) {
	var helpers sync.WaitGroup
	for _, k := range c.workers[1:] {
		helpers.Go(func() { c.runWorker(k) })
	}
	all := func(work func(*worker)) {
		c.phase++
		c.finished.Store(0)
		for _, k := range c.workers[1:] {
			k.startedPhase.Store(c.phase)
		}
		work(c.workers[0])
		for spins := 0; c.finished.Load() < int64(len(c.workers)-1); spins++ {
			if spins > 200 {
				runtime.Gosched()
			}
		}
	}
	work := func(k *worker) { k.runPhase(c.phase) }
	all(work) // phases with odd numbers collect, those with even numbers run
	for n := 0; ; n++ {
		next := math.Inf(1)
		for _, k := range c.workers {
			next = min(next, k.next)
		}
		if next > until || n%64 == 0 && !each(min(next, until)) {
			break
		}
		c.windowEnd = min(next+c.lookahead, math.Nextafter(until, math.Inf(1)))
		all(work)
		all(work)
	}
	c.stopped.Store(true)
	c.phase++
	for _, k := range c.workers[1:] {
		k.startedPhase.Store(c.phase)
	}
	helpers.Wait()
	for _, k := range c.workers {
		for _, l := range k.processes {
			l.now = until
		}
	}
}

// help works on a core of its own in each phase, until the play is over.
func (c *scheduler) runWorker(k *worker) {
	for phase := uint64(1); ; phase++ {
		for spins := 0; k.startedPhase.Load() < phase; spins++ {
			if spins > 200 {
				runtime.Gosched()
			}
		}
		if c.stopped.Load() {
			return
		}
		k.runPhase(phase)
		c.finished.Add(1)
	}
}

func (k *worker) runPhase(phase uint64) {
	if phase%2 == 1 {
		k.deliverMessages()
	} else {
		k.runWindow(k.scheduler.windowEnd)
	}
}
