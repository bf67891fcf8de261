package emulator

// This file owns virtual time: processes with their own events and random numbers, which workers run in parallel in
// windows shorter than the shortest latency between two processes. Neither the number of workers nor the order in which
// they run affects a process.

import (
	"math"
	"math/rand/v2"
	"runtime"
	"sync"
	"sync/atomic"
)

const (
	maxSpins       = 200 // iterations of a waiting worker before it yields its core
	progressPeriod = 64  // windows between two reports of progress
)

// event is an action of a process at a time. Events at the same time are ordered by the process that scheduled them,
// then by its serial numbers, so that the order is the same for any number of workers.
type event struct {
	time   float64
	serial uint64
	source int32
	action func()
}

func (e *event) before(other *event) bool {
	if e.time != other.time {
		return e.time < other.time
	}
	if e.source != other.source {
		return e.source < other.source
	}
	return e.serial < other.serial
}

// process is a part of the simulation that no other part accesses within a window: a driver, or a group with its
// members.
type process struct {
	id     int32
	now    float64 // milliseconds; within an action the time of its event
	serial uint64  // serial number of the last event that it scheduled
	events []event // a binary heap
	random *rand.Rand
	worker *worker
}

// push adds an event to the heap. The heap is implemented here, as container/heap would allocate for each event.
func (p *process) push(e event) {
	p.events = append(p.events, e)
	for i := len(p.events) - 1; i > 0; {
		parent := (i - 1) / 2
		if !p.events[i].before(&p.events[parent]) {
			return
		}
		p.events[i], p.events[parent] = p.events[parent], p.events[i]
		i = parent
	}
}

// pop removes the earliest event from the heap.
func (p *process) pop() event {
	first, last := p.events[0], len(p.events)-1
	p.events[0] = p.events[last]
	p.events[last].action = nil
	p.events = p.events[:last]
	for i := 0; ; {
		earliest := i
		for child := 2*i + 1; child <= 2*i+2 && child < last; child++ {
			if p.events[child].before(&p.events[earliest]) {
				earliest = child
			}
		}
		if earliest == i {
			return first
		}
		p.events[i], p.events[earliest] = p.events[earliest], p.events[i]
		i = earliest
	}
}

// schedule runs an action in this process after a delay in milliseconds.
func (p *process) schedule(delay float64, action func()) {
	p.serial++
	p.push(event{p.now + max(delay, 0), p.serial, p.id, action})
}

// sendTo runs an action in another process after a delay, which is at least the lookahead.
func (p *process) sendTo(to *process, delay float64, action func()) {
	if p == to {
		p.schedule(delay, action)
		return
	}
	p.serial++
	at := p.now + max(delay, p.worker.scheduler.lookahead)
	outbox := &p.worker.outbox[to.worker.index]
	*outbox = append(*outbox, message{to, event{at, p.serial, p.id, action}})
}

// message is an event on its way to another process.
type message struct {
	to *process
	event
}

// worker runs some of the processes on a goroutine of its own.
type worker struct {
	scheduler    *scheduler
	index        int
	processes    []*process
	outbox       [][]message // by receiving worker, which empties it between two windows
	next         float64     // time of the earliest event of its processes
	executed     uint64      // number of executed events
	counters     *counters
	startedPhase atomic.Uint64 // the latest phase that it may run
	_            [64]byte      // keeps two workers' counters out of the same cache line
}

// scheduler advances the time of all processes. It alternates between phases with odd numbers, in which workers take
// in messages, and those with even numbers, in which they run a window.
type scheduler struct {
	lookahead float64 // milliseconds: shorter than any latency between processes
	workers   []*worker
	finished  atomic.Int64 // number of workers, without the first one, that have finished the phase
	windowEnd float64
	phase     uint64
	stopped   atomic.Bool
}

func newScheduler(workers int, lookahead float64) *scheduler {
	s := &scheduler{lookahead: lookahead}
	workers = max(workers, 1)
	for i := range workers {
		s.workers = append(s.workers, &worker{scheduler: s, index: i, outbox: make([][]message, workers)})
	}
	return s
}

// newProcess returns a new process and assigns it to a worker, which affects only the time that the run takes.
func (s *scheduler) newProcess(id int, seed uint64, now float64) *process {
	w := s.workers[id%len(s.workers)]
	p := &process{id: int32(id), now: now, random: rand.New(rand.NewPCG(seed, uint64(id)+101)), worker: w}
	w.processes = append(w.processes, p)
	return p
}

// runWindow executes all events before the window's end, one process after the other.
func (w *worker) runWindow(end float64) {
	for _, p := range w.processes {
		for len(p.events) > 0 && p.events[0].time < end {
			e := p.pop()
			p.now = e.time
			w.executed++
			e.action()
		}
	}
}

// receiveMessages moves messages for the worker's processes into their queues, and finds the next event.
func (w *worker) receiveMessages() {
	for _, other := range w.scheduler.workers {
		for i, m := range other.outbox[w.index] {
			m.to.push(m.event)
			other.outbox[w.index][i] = message{}
		}
		other.outbox[w.index] = other.outbox[w.index][:0]
	}
	w.next = math.Inf(1)
	for _, p := range w.processes {
		if len(p.events) > 0 {
			w.next = min(w.next, p.events[0].time)
		}
	}
}

// run advances the time to an end. progress is called periodically between windows with the time that is reached; it
// reports whether to continue.
func (s *scheduler) run(end float64, progress func(now float64) bool) {
	var running sync.WaitGroup
	for _, w := range s.workers[1:] {
		running.Go(w.runPhases)
	}
	s.runPhase()
	for n := 0; ; n++ {
		next := math.Inf(1)
		for _, w := range s.workers {
			next = min(next, w.next)
		}
		if next > end || n%progressPeriod == 0 && !progress(min(next, end)) {
			break
		}
		s.windowEnd = min(next+s.lookahead, math.Nextafter(end, math.Inf(1)))
		s.runPhase()
		s.runPhase()
	}
	s.stopped.Store(true)
	s.startPhase()
	running.Wait()
	for _, w := range s.workers {
		for _, p := range w.processes {
			p.now = end
		}
	}
}

// startPhase starts the next phase on the other workers.
func (s *scheduler) startPhase() {
	s.phase++
	s.finished.Store(0)
	for _, w := range s.workers[1:] {
		w.startedPhase.Store(s.phase)
	}
}

// runPhase runs the next phase on all workers, the first of them on this goroutine.
func (s *scheduler) runPhase() {
	s.startPhase()
	s.workers[0].work(s.phase)
	spinUntil(func() bool { return s.finished.Load() >= int64(len(s.workers)-1) })
}

// runPhases runs each phase once it is started, until the scheduler stops.
func (w *worker) runPhases() {
	for phase := uint64(1); ; phase++ {
		spinUntil(func() bool { return w.startedPhase.Load() >= phase })
		if w.scheduler.stopped.Load() {
			return
		}
		w.work(phase)
		w.scheduler.finished.Add(1)
	}
}

func (w *worker) work(phase uint64) {
	if phase%2 == 1 {
		w.receiveMessages()
	} else {
		w.runWindow(w.scheduler.windowEnd)
	}
}

// spinUntil busy-waits for a condition that becomes true within microseconds, and yields its core after maxSpins.
func spinUntil(condition func() bool) {
	for spins := 0; !condition(); spins++ {
		if spins > maxSpins {
			runtime.Gosched()
		}
	}
}
