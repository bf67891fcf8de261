// Package virtualclock is virtual time for what plays many parts in one goroutine: what is to happen when, in a fixed
// order.
//
// It owns the queue and the clock. What falls on one moment happens in the order in which it was asked for.
package virtualclock

import "container/heap"

// Queue is one; its zero value stands at 0.
type Scheduler struct {
	Now       float64 // milliseconds
	Scheduled int     // how many things were asked for so far
	pending   eventHeap
}

// In has something done after so long.
func (q *Scheduler) After(after float64, do func()) {
	q.Scheduled++
	heap.Push(&q.pending, event{q.Now + after, q.Scheduled, do})
}

// Pass lets time pass until end, with all that is due on the way.
func (q *Scheduler) RunUntil(end float64) {
	for len(q.pending) > 0 && q.pending[0].at <= end {
		m := heap.Pop(&q.pending).(event)
		q.Now = m.at
		m.do()
	}
	q.Now = end
}

// Drop forgets what is still to come.
func (q *Scheduler) Discard() { q.pending = nil }

type event struct {
	at   float64
	turn int
	do   func()
}

type eventHeap []event

func (m eventHeap) Len() int { return len(m) }
func (m eventHeap) Less(i, j int) bool {
	return m[i].at < m[j].at || m[i].at == m[j].at && m[i].turn < m[j].turn
}
func (m eventHeap) Swap(i, j int) { m[i], m[j] = m[j], m[i] }
func (m *eventHeap) Push(x any)   { *m = append(*m, x.(event)) }
func (m *eventHeap) Pop() any {
	i := len(*m) - 1
	last := (*m)[i]
	(*m)[i] = event{} // what was done holds nothing
	*m = (*m)[:i]
	return last
}
