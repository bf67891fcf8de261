// Package virtualclock is a discrete-event scheduler in virtual time, for simulations of many components in one
// goroutine.
//
// A simulation schedules actions with After and advances time with RunUntil; actions may schedule further ones. Nothing
// happens between two events, so an hour of virtual time costs what its events cost. Events of the same time run in
// the order in which they were scheduled, so a run is determined by its inputs. A Scheduler is not safe for use by
// several goroutines.
package virtualclock

import "container/heap"

// Scheduler holds the pending events and the virtual time. Its zero value is ready for use at time 0.
type Scheduler struct {
	// Now is the virtual time in milliseconds. Within an action it is the time for which the action was scheduled.
	Now float64
	// Scheduled counts the events that were scheduled so far. It breaks ties between events of the same time.
	Scheduled int

	pending eventHeap
}

// After schedules an action for delay milliseconds from now.
func (s *Scheduler) After(delay float64, action func()) {
	s.Scheduled++
	heap.Push(&s.pending, event{s.Now + delay, s.Scheduled, action})
}

// RunUntil runs all events up to and including time end, also those scheduled meanwhile, and advances the time to end.
func (s *Scheduler) RunUntil(end float64) {
	for len(s.pending) > 0 && s.pending[0].time <= end {
		next := heap.Pop(&s.pending).(event)
		s.Now = next.time
		next.action()
	}
	s.Now = end
}

// Discard drops all pending events.
func (s *Scheduler) Discard() { s.pending = nil }

type event struct {
	time   float64
	serial int // value of Scheduled when the event was scheduled
	action func()
}

// eventHeap is a heap.Interface ordered by time, then by serial.
type eventHeap []event

// Len implements heap.Interface.
func (h eventHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h eventHeap) Less(i, j int) bool {
	return h[i].time < h[j].time || h[i].time == h[j].time && h[i].serial < h[j].serial
}

// Swap implements heap.Interface.
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *eventHeap) Push(x any) { *h = append(*h, x.(event)) }

// Pop implements heap.Interface.
func (h *eventHeap) Pop() any {
	i := len(*h) - 1
	last := (*h)[i]
	(*h)[i] = event{} // releases the action's references
	*h = (*h)[:i]
	return last
}
